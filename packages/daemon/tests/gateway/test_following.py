"""Tests of the gateway's copy of the store's state, also in store failures."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweird.gateway import api
from dotterelweird.gateway import stream_api


async def request_status(deployment, route):
    async with deployment.request(route) as answer:
        await answer.read()
        return answer.status


async def wait_for_request_status(deployment, route, status):
    async with asyncio.timeout(4):
        while await request_status(deployment, route) != status:
            await asyncio.sleep(0.02)


async def test_a_new_version_is_in_force_at_once(deployment):
    """Guards against a delay between a configuration change and its effect."""
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(2, host='other.example')
    )
    await wait_for_request_status(deployment, 'book', 404)


async def test_an_older_version_never_returns(deployment):
    """Guards against stale records that undo a configuration change."""
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(5, host='other.example')
    )
    await wait_for_request_status(deployment, 'book', 404)
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(4)
    )
    await deployment.wait_store_read()
    assert await request_status(deployment, 'book') == 404


@pytest.mark.parametrize('value', [b'\xff\x00', b'{}', b'[1]', b'{"v":1}'])
async def test_an_unreadable_configuration_changes_nothing(deployment, value):
    """Guards against an instance that a malformed record stops."""
    await deployment.store.write('keyed.op', 'config', value)
    await deployment.store.write_json('keyed.op', 'other', {'version': 99})
    await deployment.wait_store_read()
    assert await request_status(deployment, 'book') == 200


@pytest.mark.parametrize(
    'change',
    [
        {'service': 7},
        {'addr': 'nowhere'},
        {'addr': None},
        {'state': 'resting'},
        {'slots': '6'},
        {'slots': 0},
        {'zone': None},
        {'warmupLeftMs': 'soon'},
    ],
)
async def test_an_invalid_entry_registers_no_target(deployment, change):
    """Guards against targets built from entries with wrong fields or types."""
    entry = deployment.engines['shop-1'].entry('plain') | change
    await deployment.store.write_json('keyed.servers', 'intruder', entry)
    await deployment.store.write('keyed.servers', 'noise', b'\xfe\xfe')
    await deployment.wait_store_read()
    assert await request_status(deployment, 'book') == 200
    assert set(deployment.gateway._directory.targets) == set(
        deployment.engines
    )


@pytest.mark.parametrize('fault', ['failing', 'silent'])
async def test_the_gateway_serves_while_the_store_is_unavailable(
    deployment, fault
):
    """Guards against requests that fail during an outage of the store."""
    setattr(deployment.store, fault, True)
    await deployment.wait_store_answers(False)
    assert await request_status(deployment, 'book') == 200
    assert await deployment.ready_status() == 200
    setattr(deployment.store, fault, False)
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(2, host='other.example')
    )
    await wait_for_request_status(deployment, 'book', 404)


async def test_expired_records_are_read_anew(deployment):
    """Guards against a stale state after unread records expired."""
    deployment.store.failing = True
    await deployment.wait_store_answers(False)
    await deployment.store.write_json(
        'keyed.op', 'config', fleet.configuration(2, host='other.example')
    )
    await deployment.store.write_json(
        'keyed.servers',
        'shop-1',
        deployment.engines['shop-1'].entry('plain', 'draining'),
    )
    await deployment.store.write('keyed.servers', 'shop-2', b'')
    for topic in ('keyed.op', 'keyed.servers'):
        deployment.store.expire(topic)
    deployment.store.failing = False
    await wait_for_request_status(deployment, 'book', 404)
    async with asyncio.timeout(4):
        while 'shop-2' in deployment.gateway._directory.targets:
            await asyncio.sleep(0.02)
    assert not deployment.gateway._directory.takes_work('shop-1')


async def test_a_snapshot_that_has_expired_is_read_again_after_a_delay(
    deployment, monkeypatch
):
    """Guards against calls without a pause to a store that answers 410."""
    follower = deployment.gateway._followers[api.StoreStream.TARGETS]
    reads_s = []

    async def refuse(stream):
        reads_s.append(asyncio.get_running_loop().time())
        raise api.RecordsExpired('log-newest')

    monkeypatch.setattr(follower._store, 'read_snapshot', refuse)
    follower._offset = None
    follower._hasten_read()
    async with asyncio.timeout(4):
        while len(reads_s) < 4:
            await asyncio.sleep(0.01)
    # The delays are at least 0.05, 0.1 and 0.2 s.
    assert reads_s[3] - reads_s[0] >= 0.34


async def test_a_leaving_target_gets_no_new_work(deployment):
    """Guards against work for targets registered as draining."""
    await deployment.register('shop-1', 'plain', 'draining')
    async with asyncio.timeout(2):
        while deployment.gateway._directory.takes_work('shop-1'):
            await asyncio.sleep(0.02)
    before = len(deployment.engines['shop-1'].received_headers)
    for number in range(8):
        async with deployment.request('book', f'request-{number}') as answer:
            assert answer.status == 200
    assert len(deployment.engines['shop-1'].received_headers) == before


async def test_an_instance_without_tables_refuses():
    """Guards against 404 and 401 before the tables are known.

    The tables may allow the request, so the answer must be a 503.
    """
    running = fleet.Deployment()
    address = await running.start_store()
    running.store.failing = True
    await running.start(address)
    try:
        assert await running.ready_status() == 503
        async with running.request('book') as answer:
            assert answer.status == 503
            assert float(answer.headers['Retry-After']) > 0
    finally:
        await running.close()


async def test_entries_that_expired_in_an_outage_may_be_renewed(deployment):
    """Guards against targets removed because their entries expired.

    Entries expire during an outage, when targets cannot renew them.
    """
    directory = deployment.gateway._directory
    deployment.store.failing = True
    await deployment.wait_store_answers(False)
    for name in ('shop-1', 'shop-2'):
        await deployment.store.write('keyed.servers', name, b'')
    deployment.store.failing = False
    await deployment.wait_store_answers(True)
    # The settling time is too short to wait for reads of the tables too.
    await deployment.wait_store_read(('keyed.servers',))
    assert directory.takes_work('shop-1')
    await deployment.register('shop-1', 'plain')
    async with asyncio.timeout(5):
        while 'shop-2' in directory.targets:
            await asyncio.sleep(0.05)
    assert directory.takes_work('shop-1')
    assert await request_status(deployment, 'book') == 200


async def test_a_removal_without_an_outage_is_applied(deployment):
    """Guards against work for targets that were removed."""
    await deployment.store.write('keyed.servers', 'shop-1', b'')
    async with asyncio.timeout(1.5):
        while 'shop-1' in deployment.gateway._directory.targets:
            await asyncio.sleep(0.02)


@pytest.fixture
async def rewound(deployment):
    """A gateway whose store was restored from an older copy.

    The copy contains a withdrawn key and a target that departed since.
    """
    store = deployment.store
    store.era = 1
    old = fleet.configuration(2)
    old['tenants'][0]['keys'].append('old-key')
    await store.write_json('keyed.op', 'config', old)
    await deployment.wait_store_read()
    store.back_up()
    await store.write_json('keyed.op', 'config', fleet.configuration(3))
    await store.write('keyed.servers', 'shop-2', b'')
    async with asyncio.timeout(4):
        while (
            deployment.gateway.tables_version != 3
            or 'shop-2' in deployment.gateway._directory.targets
        ):
            await asyncio.sleep(0.02)
    store.rewind()
    return deployment


async def status_with_key(deployment, key):
    async with deployment.request('book', Api_Key=key) as answer:
        await answer.read()
        return answer.status


async def test_a_rewind_restores_no_withdrawn_entry(rewound):
    """Guards against use of withdrawn keys and departed targets."""
    for _ in range(3):
        await rewound.wait_store_read()
        assert await status_with_key(rewound, 'old-key') == 401
        assert not rewound.gateway._directory.takes_work('shop-2')
    assert await status_with_key(rewound, fleet.KEY) == 200
    # The store assigns offsets again.
    await rewound.store.write_json(
        'keyed.op', 'config', fleet.configuration(4, host='other.example')
    )
    await wait_for_request_status(rewound, 'book', 404)


async def test_an_instance_started_after_a_rewind_fetches_state_from_peers(
    rewound,
):
    """Guards against withdrawn keys in use at an instance started later."""
    new_instance = await rewound.start_second()
    async with asyncio.timeout(5):
        while new_instance.tables_version != 3:
            await asyncio.sleep(0.02)
    async with asyncio.timeout(5):
        while new_instance._directory.takes_work('shop-2'):
            await asyncio.sleep(0.02)
    assert new_instance._directory.takes_work('shop-1')


async def test_evidence_is_a_read_that_began_later(deployment):
    """Guards against what was read, or reported, before it was wanted."""
    follower = deployment.gateway._followers[api.StoreStream.TARGETS]
    now_s = follower._timers.monotonic_s()
    # A peer has read just now, so that no read is due here.
    follower._schedule.record_read(now_s + 60.0, 1)
    assert await follower.confirm(now_s, 1.0)
    assert follower._own_read_s >= now_s


async def test_a_store_that_fails_gives_no_evidence(deployment):
    """Guards against streams that wait for a store that is away."""
    follower = deployment.gateway._followers[api.StoreStream.TARGETS]
    deployment.store.failing = True
    await deployment.wait_store_answers(False)
    now_s = follower._timers.monotonic_s()
    follower._schedule.last_read_s = now_s - 10.0
    assert not await follower.confirm(now_s, 60.0)


@pytest.mark.parametrize(('after_s', 'expected'), [(0.05, False), (0.2, True)])
async def test_a_read_by_another_instance_is_evidence(
    deployment, after_s, expected
):
    """Guards against refusals while the store rejects one instance.

    A report that had waited in the socket is no evidence.
    """
    follower = deployment.gateway._followers[api.StoreStream.TARGETS]
    deployment.store.failing = True
    await deployment.wait_store_answers(False)
    now_s = follower._timers.monotonic_s()
    follower._schedule.last_read_s = now_s - 0.5
    report = stream_api.ReadReport(
        follower._position, follower._keeper.fingerprint, 0.0
    )
    asyncio.get_running_loop().call_later(
        after_s, follower.handle_report, 'peer', report
    )
    assert await follower.confirm(now_s, 0.4) is expected
