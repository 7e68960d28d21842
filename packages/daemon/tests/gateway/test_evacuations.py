"""Tests of zones that the operator evacuates, for each kind of send."""

import asyncio

from aiohttp import web
import pytest

from dotterelweir_core.gateway import evacuation_moves
from dotterelweir_core.gateway import evacuations
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import move_calls
from dotterelweird.gateway.sending import evacuating


def expected_events(events):
    """Returns the bytes of the events that a fake engine sends."""
    return b''.join(
        b'id: %d\ndata: token-%d\n\n' % (number, number)
        for number in range(1, events + 1)
    )


@pytest.fixture
async def zones(deployment):
    """Lets the second target of each service be in another zone."""
    for name, service in (('engine-2', 'model'), ('shop-2', 'plain')):
        deployment.engines[name].zone = 'zone-b'
        await deployment.register(name, service)
    directory = deployment.gateway._directory
    async with asyncio.timeout(5):
        while directory.registered('shop-2').zone != 'zone-b':
            await asyncio.sleep(0.01)
    return deployment


def evacuate_at_once(deployment, zone):
    """Lets the gateway learn from a peer that a zone is evacuated."""
    deployment.gateway._evacuations.apply(
        evacuations.Evacuation(zone, True, 1_000_000, 0)
    )


async def write(deployment, zone, value=b'{}'):
    await deployment.store.write('keyed.op', f'evacuate/{zone}', value)


async def wait_for_zones(gateway, *zones):
    async with asyncio.timeout(5):
        while gateway._evacuations.zones != set(zones):
            await asyncio.sleep(0.01)


async def request_status(deployment, route, **headers):
    async with deployment.request(route, **headers) as answer:
        await answer.read()
        return answer.status


@pytest.mark.parametrize('route', ['read', 'book', 'guide', 'check'])
async def test_a_zone_is_evacuated_and_restored(zones, route):
    """Guards against sends to an evacuated zone, and to none afterwards."""
    name = 'engine-1' if route in ('guide', 'check') else 'shop-1'
    away, other = zones.engines[name], name.replace('1', '2')
    await write(zones, 'zone-a')
    await wait_for_zones(zones.gateway, 'zone-a')
    for _ in range(8):
        assert await request_status(zones, route) == 200
    assert away.received_headers == []
    assert all(
        'x-kv-backup' not in headers
        for headers in zones.engines[other].received_headers
    )
    await write(zones, 'zone-a', b'')
    await wait_for_zones(zones.gateway)
    zones.gateway._loads.get(other).running = 3
    assert await request_status(zones, route) == 200
    assert len(away.received_headers) == 1


async def test_a_snapshot_without_the_record_restores_the_zone(zones):
    """Guards against zones that stay evacuated after unread removals."""
    await write(zones, 'zone-a')
    await wait_for_zones(zones.gateway, 'zone-a')
    zones.store.failing = True
    await zones.wait_store_answers(False)
    await write(zones, 'zone-a', b'')
    zones.store.expire('keyed.op')
    zones.store.failing = False
    await wait_for_zones(zones.gateway)


async def test_a_snapshot_evacuates_a_zone(zones):
    """Guards against an instance that starts without the evacuations."""
    await write(zones, 'zone-a')
    await wait_for_zones(zones.gateway, 'zone-a')
    second = await zones.start_second()
    await wait_for_zones(second, 'zone-a')


async def test_an_evacuation_is_lost_with_the_era_that_has_it(zones):
    """Guards against a zone that no record of a restored store names."""
    zones.store.back_up()
    await write(zones, 'zone-a')
    await wait_for_zones(zones.gateway, 'zone-a')
    zones.store.rewind()
    await wait_for_zones(zones.gateway)


@pytest.mark.parametrize('value', [b'[]', b'no', b'\xff', b'7'])
async def test_an_unreadable_evacuation_changes_nothing(zones, value):
    """Guards against a malformed record that evacuates or restores."""
    await write(zones, 'zone-a')
    await write(zones, 'zone-a', value)
    await write(zones, 'zone-b', value)
    await zones.store.write('keyed.op', 'evacuate/', b'{}')
    await zones.store.write('keyed.op', 'evacuate/\udcff', b'{}')
    await write(zones, 'nowhere')
    await wait_for_zones(zones.gateway, 'zone-a', 'nowhere')
    zones.store.failing = True
    await zones.wait_store_answers(False)
    await zones.store.write('keyed.op', 'other', b'{}')
    zones.store.expire('keyed.op')
    zones.store.failing = False
    await zones.wait_store_read(('keyed.op',))
    assert zones.gateway._evacuations.zones == {'zone-a', 'nowhere'}


async def test_requests_are_refused_at_once_without_other_zones(zones):
    """Guards against callers that wait for a zone to be restored."""
    evacuate_at_once(zones, 'zone-a')
    evacuate_at_once(zones, 'zone-b')
    async with asyncio.timeout(0.5):
        for route in ('read', 'book', 'guide', 'check'):
            async with zones.request(route) as answer:
                assert answer.status == 503
                assert 'Retry-After' in answer.headers
    assert all(not one.received_headers for one in zones.engines.values())


async def test_an_instance_without_the_store_learns_from_its_peer(zones):
    """Guards against sends of an instance that cannot read the record."""
    await write(zones, 'zone-a')
    await wait_for_zones(zones.gateway, 'zone-a')
    zones.store.failing = True
    second = await zones.start_second()
    await wait_for_zones(second, 'zone-a')


async def test_a_send_is_withheld_after_the_choice(zones, monkeypatch):
    """Guards against a request to a target that was chosen before."""
    original_call = attempts.call

    async def call(*arguments):
        evacuate_at_once(zones, 'zone-a')
        return await original_call(*arguments)

    monkeypatch.setattr(attempts, 'call', call)
    zones.gateway._loads.get('shop-2').running = 3
    assert await request_status(zones, 'book') == 200
    assert zones.engines['shop-1'].received_headers == []


async def test_a_repeat_avoids_the_zone(zones):
    """Guards against the repeat of a call into an evacuated zone."""
    first, second = zones.engines['shop-1'], zones.engines['shop-2']
    zones.gateway._loads.get('shop-1').running = 3
    second.behaviour.status = 500
    second.behaviour.delay_s = 0.1
    task = asyncio.create_task(request_status(zones, 'read'))
    async with asyncio.timeout(2):
        while not second.arrivals:
            await asyncio.sleep(0.005)
    evacuate_at_once(zones, 'zone-a')
    await task
    assert first.arrivals == []


async def test_a_backup_that_was_not_sent_yet_is_left_out(zones, monkeypatch):
    """Guards against a backup in a zone evacuated after its choice."""
    original_send = attempts.send

    async def send(*arguments):
        evacuate_at_once(zones, 'zone-b')
        return await original_send(*arguments)

    monkeypatch.setattr(attempts, 'send', send)
    zones.gateway._loads.get('engine-2').running = 3
    assert await request_status(zones, 'guide') == 200
    (headers,) = zones.engines['engine-1'].received_headers
    assert 'x-kv-backup' not in headers


async def read_until(answer, text):
    """Reads a stream until some bytes have arrived; returns what it read."""
    body = b''
    while text not in body:
        chunk = await answer.content.readany()
        assert chunk, body
        body += chunk
    return body


async def test_a_run_does_not_continue_from_a_backup_in_the_zone(zones):
    """Guards against a continuation in a zone that was evacuated meanwhile."""
    first, second = zones.engines['engine-1'], zones.engines['engine-2']
    zones.gateway._loads.get('engine-2').running = 3
    first.behaviour.event_s = 0.05
    first.behaviour.cut_after = 6
    async with zones.request('guide') as answer:
        await read_until(answer, b'token-2\n')
        assert first.received_headers[0]['x-kv-backup'] == second.address
        evacuate_at_once(zones, 'zone-b')
        with pytest.raises(Exception):  # noqa: B017, PT011
            await answer.read()
    assert second.received_headers == []


@pytest.fixture
def leaving_run(zones):
    """Places a long run without a backup on the first engine."""
    loads = zones.gateway._loads
    loads.get('engine-2').running = 3
    for name in ('engine-1', 'engine-2'):
        loads.get(name).tokens += 28_000
        zones.engines[name].behaviour.events = 20
        zones.engines[name].behaviour.event_s = 0.03
    return zones.engines['engine-1'], zones.engines['engine-2']


def announce_leaving(deployment, name):
    deployment.gateway._handle_notice(
        deployment.gateway._directory.registered(name),
        api.TargetNotice(leaving=True),
    )


async def test_no_run_is_copied_into_the_zone(zones, leaving_run):
    """Guards against copies of runs to an engine in an evacuated zone."""
    first, second = leaving_run
    async with zones.request('guide') as answer:
        await read_until(answer, b'token-1\n')
        evacuate_at_once(zones, 'zone-b')
        announce_leaving(zones, 'engine-1')
        await answer.read()
    assert first.move_orders == []
    assert second.received_headers == []


async def test_a_stopped_run_does_not_return_into_the_zone(zones, leaving_run):
    """Guards against a way back to a source in an evacuated zone."""
    first, second = leaving_run
    second.behaviour.has_copies = False
    original_move = first._move

    async def move(request):
        order = await request.json()
        if order['last']:
            evacuate_at_once(zones, 'zone-a')
        return await original_move(request)

    first._move = move
    async with zones.request('guide') as answer:
        await read_until(answer, b'token-1\n')
        announce_leaving(zones, 'engine-1')
        with pytest.raises(Exception):  # noqa: B017, PT011
            await answer.read()
    assert len(first.received_headers) == 1


async def test_the_status_names_evacuated_zones(zones):
    """Guards against operators who cannot see an evacuation."""
    assert (await zones.status())['evacuated_zones'] == []
    evacuate_at_once(zones, 'zone-a')
    assert (await zones.status())['evacuated_zones'] == ['zone-a']


@pytest.fixture
def long_run(zones, leaving_run, monkeypatch):
    """Lets runs without a backup move off evacuated zones soon."""
    monkeypatch.setattr(evacuation_moves, 'WORK_LEFT_MIN_S', 0.3)
    monkeypatch.setattr(evacuation_moves, 'RETRY_DELAY_S', 0.1)
    monkeypatch.setattr(evacuating, '_FIRST_DELAY_MAX_S', 0.02)
    monkeypatch.setattr(evacuating, '_CHECK_INTERVAL_S', 0.05)
    for engine in leaving_run:
        engine.behaviour.events = 40
    return leaving_run


def free_memory(deployment):
    deployment.gateway._loads.get('engine-2').tokens -= 28_000
    deployment.gateway._loads.get('engine-1').tokens -= 28_000


async def read_while_evacuated(deployment, has_memory=True):
    """Reads a long stream whose zone is evacuated after the first event.

    Args:
        deployment: The deployment.
        has_memory: Whether the engines then have free memory. They have none
            when the run begins, so that it has no backup.
    """
    async with deployment.request('guide', X_Token_Usage='100,4000') as answer:
        body = await read_until(answer, b'token-1\n')
        if has_memory:
            free_memory(deployment)
        evacuate_at_once(deployment, 'zone-a')
        return body + await answer.read()


async def test_a_long_run_moves_off_an_evacuated_zone(zones, long_run):
    """Guards against runs that a later shutdown of the zone cuts off."""
    first, second = long_run
    first.behaviour.final_move_s = 0.05
    assert await read_while_evacuated(zones) == expected_events(40)
    assert second.resumed_after
    assert len(first.received_headers) == 1


async def test_a_run_stays_while_no_memory_is_free(zones, long_run):
    """Guards against moves that displace runs of other zones."""
    first, second = long_run
    body = await read_while_evacuated(zones, has_memory=False)
    assert body == expected_events(40)
    assert first.move_orders == []
    assert second.received_headers == []


async def test_no_run_moves_while_that_is_switched_off(
    zones, long_run, monkeypatch
):
    """Guards against moves that the constant does not switch off."""
    monkeypatch.setattr(evacuation_moves, 'MOVES_MAX', 0)
    assert await read_while_evacuated(zones) == expected_events(40)
    assert zones.engines['engine-1'].move_orders == []


async def test_a_refused_run_ends_where_it_is(zones, long_run, monkeypatch):
    """Guards against runs stopped without a copy, and calls without end."""
    # The run lasts for 1.2 s, and is tried four times at most.
    monkeypatch.setattr(evacuation_moves, 'RETRY_DELAY_S', 0.3)
    first, second = long_run
    first.behaviour.move_status = 503
    assert await read_while_evacuated(zones) == expected_events(40)
    assert 1 <= len(first.move_orders) < 12
    assert second.received_headers == []


async def test_a_stop_names_an_engine_outside_the_zone(
    zones, leaving_run, monkeypatch
):
    """Guards against the last copy of a run into an evacuated zone.

    The zone of the engine that has the first copy is evacuated while the
    call that stops the run waits for its turn.
    """
    first, second = leaving_run
    third = await zones.add_engine('engine-3', 'model')
    third.zone = 'zone-c'
    third.behaviour.events = 20
    await zones.register('engine-3', 'model')
    directory, loads = zones.gateway._directory, zones.gateway._loads
    loads.get('engine-3').running = 60
    async with asyncio.timeout(5):
        while 'engine-3' not in directory.targets or (
            directory.registered('engine-3').zone != 'zone-c'
        ):
            await asyncio.sleep(0.01)
    original_may_call = move_calls.MoveCalls._may_call_source

    async def may_call(calls):
        if calls._record.copies:
            evacuate_at_once(zones, 'zone-b')
        return await original_may_call(calls)

    monkeypatch.setattr(move_calls.MoveCalls, '_may_call_source', may_call)
    async with zones.request('guide') as answer:
        body = await read_until(answer, b'token-1\n')
        announce_leaving(zones, 'engine-1')
        assert body + await answer.read() == expected_events(20)
    orders = [(order['to'], order['last']) for order in first.move_orders]
    assert orders[:2] == [(second.address, False), (third.address, True)]
    assert second.received_headers == []
    assert third.resumed_after


async def test_the_state_for_peers_has_the_evacuations(zones):
    """Guards against an instance that starts from a peer's tables alone."""

    def keys():
        return [record.key for record in zones.gateway._tables.records]

    await write(zones, 'zone-a')
    await wait_for_zones(zones.gateway, 'zone-a')
    assert keys() == ['config', 'evacuate/zone-a']
    url = f'http://{zones.peers_address}/records/tables'
    async with zones.session.get(url) as answer:
        document = await answer.json(content_type=None)
    assert [row[0] for row in document['records']] == keys()
    await write(zones, 'zone-a', b'')
    await wait_for_zones(zones.gateway)
    assert keys() == ['config']


async def test_a_run_moves_if_its_engine_leaves_meanwhile(
    zones, long_run, monkeypatch
):
    """Guards against a departure missed during a move off the zone."""
    # The engine is gone before the run is tried again.
    monkeypatch.setattr(evacuation_moves, 'RETRY_DELAY_S', 60.0)
    first, second = long_run
    original_move = first._move
    refused = []

    async def move(request):
        if refused:
            return await original_move(request)
        refused.append(request)
        announce_leaving(zones, 'engine-1')
        return web.Response(status=503)

    first._move = move
    assert await read_while_evacuated(zones) == expected_events(40)
    assert second.resumed_after
