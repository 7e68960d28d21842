"""Tests of odd entries that another writer left among those of targets."""

import asyncio

import orjson
import pytest

from dotterelweir_core import timers
from dotterelweir_core.gateway import targets
from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_platform import store
from dotterelweird.gateway import api
from dotterelweird.gateway import keepers
from dotterelweird.gateway import settings

DEEP = b'[' * 1000 + b']' * 1000


def raw_entry(engine, name, raw):
    """Returns the entry of an engine with one field as raw bytes."""
    fields = engine.entry('plain')
    del fields[name]
    encoded = orjson.dumps(fields)[:-1]
    return encoded + b',"' + name.encode() + b'":' + raw + b'}'


async def wait_for_targets(gateway, target_ids):
    async with asyncio.timeout(4):
        while set(gateway._directory.targets) != target_ids:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('name', ['service', 'slots'])
async def test_entries_after_a_deeply_nested_one_are_followed(
    deployment, name
):
    """Guards against a follower that reads one record again without end."""
    entry = raw_entry(deployment.engines['shop-1'], name, DEEP)
    await deployment.store.write('keyed.servers', 'intruder', entry)
    expected = set(deployment.engines) | {'shop-3'}
    await deployment.add_engine('shop-3', 'plain')
    await wait_for_targets(deployment.gateway, expected)
    second = await deployment.start_second()
    await wait_for_targets(second, expected)


async def test_tables_after_a_deeply_nested_version_are_followed(deployment):
    """Guards against tables that stay as they were after one odd version."""
    value = b'{"version":2,"routes":[],"services":[{"name":' + DEEP + b'}]}'
    await deployment.store.write('keyed.op', 'config', value)
    await deployment.wait_store_read(('keyed.op',))
    assert deployment.gateway.tables_version == 1
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(3)
    )
    async with asyncio.timeout(4):
        while deployment.gateway.tables_version != 3:
            await asyncio.sleep(0.02)


async def statuses(deployment, routes=('read', 'book')):
    """Sends requests one after the other and returns their statuses."""
    received = []
    for number in range(12):
        for route in routes:
            async with deployment.request(
                route, request_id=f'{route}-{number}'
            ) as answer:
                await answer.read()
                received.append(answer.status)
    return received


@pytest.mark.parametrize(
    'host', ['fe80::1%eth0', '::1', '[::1', '10.0.0.1]', 'a b', '']
)
async def test_an_unusable_address_counts_as_never_sent(deployment, host):
    """Guards against 500 for the requests that such a target gets."""
    target = targets.Target(
        'odd', 'plain', host, 80, 'zone-a', 8, targets.TargetState.READY
    )
    deployment.gateway._directory.apply('odd', target, 1_000)
    assert set(await statuses(deployment)) == {200}


@pytest.mark.parametrize(
    'key',
    [
        'shop-1\r\nX-Attempt-Id: 1',
        'shop\x001',
        '',
        'x' * 255,
        '\udcff\udcfe',
        '\udcff' * 255,
    ],
)
async def test_an_odd_key_fails_no_request(deployment, key):
    """Guards against 500 for requests to a target whose id is no header."""
    entry = deployment.engines['shop-1'].entry('plain')
    await deployment.store.write_json('keyed.servers', key, entry)
    await deployment.add_engine('shop-3', 'plain')
    for gateway in (deployment.gateway, await deployment.start_second()):
        async with asyncio.timeout(4):
            while 'shop-3' not in gateway._directory.targets:
                await asyncio.sleep(0.02)
    assert set(await statuses(deployment)) == {200}


CLAMPED = (b'1e308', b'9' * 400, b'18446744073709551616', b'-1')
ODD_ENTRIES = [
    (name, raw)
    for name in (
        *('addr', 'born', 'service', 'slots', 'state', 'version'),
        'warmupLeftMs',
    )
    for raw in (
        DEEP,
        b'[' * 100_000,
        b'"' + b'x' * 200_000 + b'"',
        b'1e999',
        b'1e308',
        b'9' * 400,
        b'18446744073709551616',
        b'NaN',
        b'-1',
        b'null',
    )
    # A warm-up out of range is clamped, and the entry is a sound one.
    if name != 'warmupLeftMs' or raw not in CLAMPED
] + [
    ('addr', orjson.dumps(address))
    for address in (
        'fe80::1%eth0:80',
        '::1:80',
        '[10.0.0.1]:80',
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:-1',
        '10.0.0.1:²',
    )
]
ODD_KEYS = ['', '\udcff\udcfe', 'shop\r\n1', 'shop\x00', 'shop\u2028', '²' * 9]


async def write_odd_entries(deployment, prefix):
    engine = deployment.engines['shop-1']
    for number, (name, raw) in enumerate(ODD_ENTRIES):
        await deployment.store.write(
            'keyed.servers',
            f'{prefix}-{number}',
            raw_entry(engine, name, raw),
        )
    for value in (b'\xff\xfe', b'7', b'[]', b'{}', DEEP):
        await deployment.store.write('keyed.servers', f'{prefix}-raw', value)
    for key in ODD_KEYS:
        # Another target has the address, so this one answers with 421.
        await deployment.store.write_json(
            'keyed.servers', key, engine.entry('plain')
        )


@pytest.fixture
async def deployment_with_odd_entries():
    """Runs a gateway whose first snapshot has odd entries."""
    running = fleet.Deployment()
    address = await running.start_store()
    await running.store.write_json('keyed.op', 'config', fleet.configuration())
    for target_id in ('shop-1', 'shop-2'):
        await running.add_engine(target_id, 'plain')
    await write_odd_entries(running, 'snapshot')
    for target_id in ('engine-1', 'engine-2'):
        await running.add_engine(target_id, 'model')
    await running.start(address)
    try:
        await running.wait_ready()
        yield running
    finally:
        await running.close()


async def test_odd_entries_beside_sound_ones_fail_no_request(
    deployment_with_odd_entries,
):
    """Guards against odd entries that end a process, its reads or requests."""
    deployment = deployment_with_odd_entries
    routes = ('read', 'book', 'guide', 'check')
    sound = set(deployment.engines) | {'²' * 9}
    await wait_for_targets(deployment.gateway, sound)
    assert set(await statuses(deployment, routes)) == {200}
    await write_odd_entries(deployment, 'record')
    await deployment.add_engine('shop-3', 'plain')
    await wait_for_targets(deployment.gateway, sound | {'shop-3'})
    assert set(await statuses(deployment, routes)) == {200}
    # Sound entries replace odd ones, and are removed again.
    for key in ('record-0', 'snapshot-0', 'record-raw'):
        await deployment.store.write_json(
            'keyed.servers', key, deployment.engines['shop-1'].entry('plain')
        )
        await wait_for_targets(deployment.gateway, sound | {'shop-3', key})
        await deployment.store.write('keyed.servers', key, b'')
        await wait_for_targets(deployment.gateway, sound | {'shop-3'})
    await deployment.store.write('keyed.servers', 'shop-2', b'')
    expected = (sound | {'shop-3'}) - {'shop-2'}
    await wait_for_targets(deployment.gateway, expected)
    assert set(await statuses(deployment, routes)) == {200}


@pytest.mark.parametrize('method', ['apply', 'apply_snapshot'])
def test_many_odd_entries_are_logged_in_few_lines(caplog, method):
    """Guards against odd entries that displace other lines of the log."""
    keeper = keepers.TargetsKeeper(
        store.PlatformStore(None, settings.Address('127.0.0.1', 1)),
        targets.TargetDirectory(),
        timers.VirtualTimerService(),
        2.0,
    )
    odd = orjson.dumps({'addr': '10.0.0.1:1', 'state': 'x' * 200_000})
    records = tuple(api.Record(f't{n}', odd, n) for n in range(10_000))
    getattr(keeper, method)(api.Batch(records, 10_000))
    lines = [line for line in caplog.records if line.event == 323]
    assert 1 <= len(lines) <= 8
    assert lines[0].fields['invalid_records'] == 10_000
    assert max(len(str(line.fields)) for line in lines) < 500
    assert keeper.records == ()


@pytest.mark.parametrize(
    'change',
    [
        {'k': ['\x00']},
        {'h': '\x00'},
        {'k': ['name.invalid']},
        {'r': {'targets': [1e300, 'c', 5, 0]}},
        {'r': {'tables': [1e300, 'c', 5, 1e300]}},
        {'b': 1e300},
    ],
)
async def test_an_odd_datagram_does_not_end_the_exchange(deployment, change):
    """Guards against an instance that hears nothing of its peers any more."""
    digest = {'i': 'x', 'h': '127.0.0.9', 'z': 'z', 'b': 1, 's': 1, 'l': []}
    exchange = deployment.gateway._peers
    exchange.datagram_received(orjson.dumps(digest | change), ('127.0.0.9', 9))
    await asyncio.sleep(0.7)
    second = await deployment.start_second()
    async with asyncio.timeout(4):
        while second.tables_version is None or exchange.instance_count < 2:
            await asyncio.sleep(0.02)
    assert exchange._transport is not None
    contacts = exchange._contacts.hosts(exchange._timers.monotonic_s())
    assert set(contacts) <= {'127.0.0.9'}


@pytest.mark.parametrize(
    'change',
    [
        {'version': 1e300},
        {'version': True},
        {'tenants': [{'name': 'a\r\nb', 'keys': [fleet.KEY]}]},
        {'limits': {'bodyBytes': -1}},
        {'limits': {'idleMs': 1e308}},
    ],
)
async def test_an_odd_version_keeps_the_tables_in_force(deployment, change):
    """Guards against tables with which requests or digests fail."""
    odd = fleet.configuration(2) | change
    await deployment.store.write_json('keyed.op', 'config', odd)
    await deployment.wait_store_read(('keyed.op',))
    assert deployment.gateway.tables_version == 1
    assert set(await statuses(deployment)) == {200}
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(3)
    )
    async with asyncio.timeout(4):
        while deployment.gateway.tables_version != 3:
            await asyncio.sleep(0.02)
