"""Tests of odd entries that another writer left among those of targets."""

import asyncio

import orjson
import pytest

from dotterelweir_core.gateway import targets
from dotterelweir_fakes.fleet import deployment as fleet

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
    'key', ['shop-1\r\nX-Attempt-Id: 1', 'shop\x001', '', 'x' * 255]
)
async def test_an_odd_key_fails_no_request(deployment, key):
    """Guards against 500 for requests to a target whose id is no header."""
    entry = deployment.engines['shop-1'].entry('plain')
    await deployment.store.write_json('keyed.servers', key, entry)
    await deployment.wait_store_read(('keyed.servers',))
    assert set(await statuses(deployment)) == {200}
