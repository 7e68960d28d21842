"""Tests of streams while engines of several software versions serve."""

import asyncio
import time

import aiohttp
import pytest

from dotterelweird.gateway import api

# Wall time of the start of an engine that has served for long, in
# milliseconds.
LONG_AGO_MS = 1_700_000_000_000


def expected_events(first, last):
    """Returns the bytes of the events that a fake engine sends."""
    return b''.join(
        b'id: %d\ndata: token-%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


async def set_versions(deployment, versions, started_ms=LONG_AGO_MS):
    """Lets engines serve at software versions, and waits until it is known.

    Args:
        deployment: The deployment.
        versions: Version of each engine, by its id.
        started_ms: Wall time of their start, in milliseconds.
    """
    for target_id, version in versions.items():
        if target_id not in deployment.engines:
            await deployment.add_engine(target_id, 'model')
        engine = deployment.engines[target_id]
        engine.software_version = version
        engine.started_ms = started_ms
        await deployment.register(target_id, 'model')
    await wait_for_versions(deployment.gateway, versions)


async def wait_for_versions(gateway, versions):
    async with asyncio.timeout(5):
        while any(
            (target := gateway._directory.targets.get(target_id)) is None
            or target.software_version != version
            for target_id, version in versions.items()
        ):
            await asyncio.sleep(0.01)


def set_costs(gateway, *target_ids):
    """Makes engines cheaper in the given order."""
    for running, target_id in enumerate(target_ids):
        gateway._loads.get(target_id).running += 3 * running


@pytest.fixture
async def versions(deployment):
    """Runs two engines of one version, and one of another between them."""
    await set_versions(
        deployment, {'engine-1': 'v1', 'engine-2': 'v2', 'engine-3': 'v1'}
    )
    set_costs(deployment.gateway, 'engine-1', 'engine-2', 'engine-3')
    return deployment


async def read_stream(deployment, route, **options):
    """Returns status, bytes, and whether the answer is complete."""
    received = b''
    async with deployment.request(route, **options) as answer:
        try:
            async for data in answer.content.iter_any():
                received += data
        except aiohttp.ClientPayloadError:
            return answer.status, received, False
        return answer.status, received, True


async def break_off(deployment, events=4, **options):
    """Reads some events of a stream and closes its connection.

    Returns:
        Id of the last event that was read.
    """
    async with deployment.request('check', **options) as answer:
        received = b''
        while received.count(b'\n\n') < events:
            received += await answer.content.readany()
        answer.close()
    return received.count(b'\n\n')


async def take_up(deployment, last_id, resumed_id='request-1', **options):
    """Takes a stream up again as its caller does."""
    return await read_stream(
        deployment,
        'check',
        request_id='request-2',
        Last_Event_Id=str(last_id),
        Resumes=resumed_id,
        **options,
    )


def slow_down(deployment, events=20):
    for engine in deployment.engines.values():
        engine.behaviour.event_s = 0.03
        engine.behaviour.events = events


def ran(deployment, request_id):
    """Returns the versions of the engines that ran a request."""
    return [
        engine.software_version
        for engine in deployment.engines.values()
        for ran_id in engine.ran
        if ran_id == request_id
    ]


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_a_broken_stream_goes_on_at_its_software_version(
    versions, route
):
    """Guards against a backup or a restart at an engine of another version."""
    versions.engines['engine-1'].behaviour.cut_after = 4
    result = await read_stream(versions, route)
    assert result == (200, expected_events(1, 10), True)
    assert ran(versions, 'request-1') == ['v1', 'v1']
    assert not versions.engines['engine-2'].ran


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_a_stream_whose_version_has_left_is_not_joined(
    deployment, route
):
    """Guards against a whole answer made of the texts of two versions."""
    await set_versions(deployment, {'engine-1': 'v1', 'engine-2': 'v2'})
    set_costs(deployment.gateway, 'engine-1', 'engine-2')
    slow_down(deployment)
    received = b''
    async with deployment.request(route) as answer:
        received += await answer.content.readany()
        deployment.engines['engine-1'].crash()
        with pytest.raises(aiohttp.ClientPayloadError):
            while data := await answer.content.readany():
                received += data
    assert received
    assert expected_events(1, 20).startswith(received)
    assert ran(deployment, 'request-1') == ['v1']
    assert not deployment.engines['engine-2'].ran


async def test_a_run_is_moved_to_an_engine_of_its_version(versions):
    """Guards against a copy at an engine that can never continue the run."""
    slow_down(versions, events=80)
    for name in ('engine-1', 'engine-2', 'engine-3'):
        versions.gateway._loads.get(name).tokens += 28_000
    async with versions.request('guide', deadline_ms=3000) as answer:
        await answer.content.readany()
        await versions.register('engine-1', 'model', 'draining')
        await answer.read()
    assert ran(versions, 'request-1') == ['v1', 'v1']
    third = versions.engines['engine-3'].address
    orders = versions.engines['engine-1'].move_orders
    assert {order['to'] for order in orders} == {third}


async def test_a_stream_is_taken_up_at_its_version(versions):
    """Guards against a second attempt of a caller at another version."""
    slow_down(versions)
    last_id = await break_off(versions)
    versions.gateway._loads.get('engine-1').running += 20
    status, received, complete = await take_up(versions, last_id)
    assert (status, complete) == (200, True)
    assert received == expected_events(last_id + 1, 20)
    assert ran(versions, 'request-2') == ['v1']


async def test_a_stream_is_taken_up_twice_at_its_version(versions):
    """Guards against a version that is known for one further attempt only."""
    slow_down(versions)
    last_id = await break_off(versions)
    taken_up = {
        'request_id': 'request-1b',
        'Last_Event_Id': str(last_id),
        'Resumes': 'request-1',
    }
    last_id += await break_off(versions, **taken_up)
    versions.gateway._loads.get('engine-1').running += 20
    status, received, complete = await take_up(versions, last_id)
    assert (status, complete) == (200, True)
    assert received == expected_events(last_id + 1, 20)
    assert ran(versions, 'request-2') == ['v1']


async def wait_for_peers(*gateways):
    async with asyncio.timeout(5):
        while not all(gateway._peers.view().peers for gateway in gateways):
            await asyncio.sleep(0.01)


async def start_second(versions):
    """Starts an instance that would choose the engine of another version."""
    slow_down(versions)
    second = await versions.start_second()
    names = {'engine-1': 'v1', 'engine-2': 'v2', 'engine-3': 'v1'}
    await wait_for_versions(second, names)
    await wait_for_peers(versions.gateway, second)
    set_costs(second, 'engine-2', 'engine-1', 'engine-3')
    return second


async def test_a_stream_is_taken_up_at_another_instance(versions):
    """Guards against an instance that takes any engine for a new stream."""
    second = await start_second(versions)
    last_id = await break_off(versions)
    status, received, complete = await take_up(
        versions, last_id, gateway=second
    )
    assert (status, complete) == (200, True)
    assert received == expected_events(last_id + 1, 20)
    assert ran(versions, 'request-2') == ['v1']


async def test_a_killed_instance_leaves_the_versions_of_its_streams(versions):
    """Guards against a version that only the instance that ended knew."""
    second = await start_second(versions)
    last_id = await break_off(versions)
    await versions.gateway.close()
    status, received, complete = await take_up(
        versions, last_id, gateway=second
    )
    assert (status, complete) == (200, True)
    assert received == expected_events(last_id + 1, 20)
    assert ran(versions, 'request-2') == ['v1']


async def take_up_after_a_restart(deployment, names):
    """Takes a stream up after all instances have been restarted."""
    slow_down(deployment)
    last_id = await break_off(deployment)
    await deployment.gateway.close()
    second = await deployment.start_second()
    await wait_for_versions(second, names)
    async with asyncio.timeout(5):
        while second._tables.current is None:
            await asyncio.sleep(0.01)
    return await take_up(deployment, last_id, gateway=second)


@pytest.mark.parametrize('resumed_id', ['request-1', ''])
async def test_a_stream_of_an_unknown_version_is_not_joined(
    versions, resumed_id
):
    """Guards against guessing the version after all instances restarted."""
    names = {'engine-1': 'v1', 'engine-2': 'v2', 'engine-3': 'v1'}
    status, _, _ = await take_up_after_a_restart(versions, names)
    assert status == 503
    assert not ran(versions, 'request-2')


async def test_a_version_that_has_just_left_is_not_forgotten(deployment):
    """Guards against a stream joined to the only version that is left."""
    now_ms = int(time.time() * 1000)
    await set_versions(deployment, {'engine-1': 'v1'})
    await set_versions(deployment, {'engine-2': 'v2'}, started_ms=now_ms)
    set_costs(deployment.gateway, 'engine-1', 'engine-2')
    slow_down(deployment)
    last_id = await break_off(deployment)
    deployment.engines['engine-1'].crash()
    await deployment.store.write('keyed.servers', 'engine-1', b'')
    async with asyncio.timeout(5):
        while 'engine-1' in deployment.gateway._directory.targets:
            await asyncio.sleep(0.01)
    second = await deployment.start_second()
    await wait_for_versions(second, {'engine-2': 'v2'})
    await deployment.gateway.close()
    status, _, _ = await take_up(deployment, last_id, gateway=second)
    assert status == 503
    assert not ran(deployment, 'request-2')


async def test_streams_of_the_only_version_are_taken_up_after_a_restart(
    deployment,
):
    """Guards against refusals where no second version has served."""
    names = {'engine-1': 'v1', 'engine-2': 'v1'}
    await set_versions(deployment, names)
    status, _, complete = await take_up_after_a_restart(deployment, names)
    assert (status, complete) == (200, True)


async def test_an_engine_that_returns_at_another_version_continues_nothing(
    versions,
):
    """Guards against a backup taken for one of the version that made it."""
    first, third = versions.engines['engine-1'], versions.engines['engine-3']
    slow_down(versions, events=200)
    async with versions.request('guide', deadline_ms=3000) as answer:
        await answer.content.readany()
        await set_versions(versions, {'engine-3': 'v3'}, LONG_AGO_MS + 1)
        first.crash()
        with pytest.raises(aiohttp.ClientPayloadError):
            await answer.read()
    assert not third.ran
    assert not versions.engines['engine-2'].ran


@pytest.fixture
async def out_of_step(deployment):
    """Runs two instances, of which one no longer hears store or peer.

    An engine of another version joins meanwhile.
    """
    await set_versions(deployment, {'engine-1': 'v1'})
    second = await deployment.start_second()
    await wait_for_versions(second, {'engine-1': 'v1'})
    await wait_for_peers(deployment.gateway, second)
    slow_down(deployment)
    # Streams are taken up long after its start.
    second._origins._history._complete_since_s -= 60.0
    store = second._followers[api.StoreStream.TARGETS]._store
    readers = store.read, store.read_snapshot
    receive = second._peers.datagram_received

    async def fail(*unused):
        raise api.StoreUnavailable('cut off')

    store.read = store.read_snapshot = fail
    second._peers.datagram_received = lambda data, address: None

    def reconnect():
        store.read, store.read_snapshot = readers
        second._peers.datagram_received = receive

    deployment.reconnect = reconnect
    await set_versions(deployment, {'engine-2': 'v2'})
    set_costs(deployment.gateway, 'engine-2', 'engine-1')
    return second


async def test_an_instance_out_of_step_joins_no_stream(
    deployment, out_of_step
):
    """Guards against the only version that an instance has heard of."""
    last_id = await break_off(deployment)
    assert ran(deployment, 'request-1') == ['v2']
    known = out_of_step._directory.targets['engine-2']
    assert known.software_version == 'v1'
    status, _, _ = await take_up(deployment, last_id, gateway=out_of_step)
    assert status == 503
    assert not ran(deployment, 'request-2')


async def test_an_instance_that_is_in_step_again_goes_on_at_the_version(
    deployment, out_of_step
):
    """Guards against conclusions from what was read before a standstill."""
    last_id = await break_off(deployment)
    deployment.reconnect()
    status, received, complete = await take_up(
        deployment, last_id, gateway=out_of_step
    )
    assert (status, complete) == (200, True)
    assert received == expected_events(last_id + 1, 20)
    assert ran(deployment, 'request-2') == ['v2']


async def test_new_streams_wait_for_no_read(deployment, out_of_step):
    """Guards against new streams that wait for evidence of versions."""
    status, _, complete = await read_stream(
        deployment, 'check', gateway=out_of_step
    )
    assert (status, complete) == (200, True)


@pytest.mark.parametrize('settled', [True, False])
async def test_a_restored_store_shows_no_absence(
    deployment, out_of_step, settled
):
    """Guards against a copy of the store without the newest engines."""
    keeper = out_of_step._targets
    now_s = out_of_step._timers.monotonic_s()
    follower = out_of_step._followers[api.StoreStream.TARGETS]
    deployment.reconnect()
    if not settled:
        keeper.on_store_recovered(now_s + 1.0)
    assert await follower.confirm(now_s, 0.5) is settled
