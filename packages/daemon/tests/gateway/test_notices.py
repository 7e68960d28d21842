"""Tests of the notices in targets' answers, on real connections."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet

# Deadline of streams that a test follows to their end, in milliseconds.
STREAM_DEADLINE_MS = 20_000


def received_count(deployment, name):
    """Number of requests that an engine received."""
    return len(deployment.engines[name].received_headers)


async def send_request(deployment, route, number=0, **options):
    async with deployment.request(
        route, f'request-{number}', **options
    ) as answer:
        await answer.read()
        return answer


async def send_until_received(deployment, route, name):
    """Sends requests until one has reached an engine."""
    for number in range(100):
        if received_count(deployment, name):
            return
        await send_request(deployment, route, number)
    raise AssertionError(f'{name} got nothing')


@pytest.mark.parametrize(
    ('route', 'name', 'behaviour'),
    [
        ('book', 'shop-1', {}),
        ('read', 'shop-1', {'status': 500}),
        ('book', 'shop-1', {'refuse': True}),
        ('guide', 'engine-1', {}),
        ('check', 'engine-1', {'refuse': True}),
    ],
)
async def test_a_target_that_announces_its_departure_gets_no_new_requests(
    deployment, route, name, behaviour
):
    """Guards against work for a leaving target that is ready in the store."""
    engine = deployment.engines[name]
    engine.behaviour.leaving = True
    for field, value in behaviour.items():
        setattr(engine.behaviour, field, value)
    await send_until_received(deployment, route, name)
    engine.behaviour.leaving = False
    # Its entry stays ready; it also expires and is written again.
    service = 'model' if name.startswith('engine') else 'plain'
    await deployment.register(name, service)
    await deployment.store.write('keyed.servers', name, b'')
    await deployment.register(name, service)
    await deployment.wait_store_read()
    before = received_count(deployment, name)
    for number in range(20):
        await send_request(deployment, route, 100 + number)
    assert received_count(deployment, name) == before


async def test_a_new_start_of_a_target_that_left_is_used(deployment):
    """Guards against a departure that excludes later starts of a target."""
    engine = deployment.engines['shop-1']
    engine.behaviour.leaving = True
    await send_until_received(deployment, 'book', 'shop-1')
    engine.behaviour.leaving = False
    engine.started_ms = 1_700_000_000_000
    await deployment.register('shop-1', 'plain')
    directory = deployment.gateway._directory
    async with asyncio.timeout(2):
        while not directory.takes_work('shop-1'):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    'behaviour',
    [
        {'echo_id': False},
        {
            'raw': b'HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n'
            b'X-Upstream-Seal: s\r\nX-Attempt-Id: other\r\n'
            b'Content-Length: 1\r\n\r\nx'
        },
    ],
)
async def test_a_notice_in_an_answer_to_another_request_is_ignored(
    deployment, behaviour
):
    """Guards against a mismatched answer that excludes a target."""
    engine = deployment.engines['shop-1']
    engine.behaviour.leaving = True
    for field, value in behaviour.items():
        setattr(engine.behaviour, field, value)
    await send_until_received(deployment, 'book', 'shop-1')
    assert deployment.gateway._directory.takes_work('shop-1')


async def disable_backups(deployment):
    """Switches backups off, so that only a move preserves a run."""
    changed = fleet.configuration(2, timeoutMs=STREAM_DEADLINE_MS)
    changed['services'][1]['engine']['backups'] = False
    await deployment.store.write_json('keyed.op', 'config', changed)
    async with asyncio.timeout(3):
        while deployment.gateway.tables_version != 2:
            await asyncio.sleep(0.01)


async def start_streams(deployment, count):
    """Starts long streams.

    Returns:
        Their tasks, and the two engines, the busier one first.
    """
    engines = [deployment.engines[n] for n in ('engine-1', 'engine-2')]
    streams = [
        asyncio.create_task(
            send_request(
                deployment, 'guide', number, deadline_ms=STREAM_DEADLINE_MS
            )
        )
        for number in range(count)
    ]
    async with asyncio.timeout(2):
        while sum(len(engine.ran) for engine in engines) < count:
            await asyncio.sleep(0.01)
    return streams, sorted(engines, key=lambda engine: -len(engine.ran))


async def test_runs_move_when_their_engine_announces_its_departure(deployment):
    """Guards against runs that move only once the store has the departure."""
    await disable_backups(deployment)
    for name in ('engine-1', 'engine-2'):
        deployment.engines[name].behaviour.event_s = 0.02
        deployment.engines[name].behaviour.events = 60
    streams, (leaving, _) = await start_streams(deployment, 6)
    leaving.behaviour.leaving = True
    # The answers to short requests to both engines carry the notice.
    await asyncio.gather(
        *(send_request(deployment, 'check', 100 + n) for n in range(8))
    )
    answers = await asyncio.gather(*streams)
    assert {answer.status for answer in answers} == {200}
    assert any(move['last'] for move in leaving.move_orders)


async def test_a_paused_target_gets_no_request_until_the_pause_ends(
    deployment,
):
    """Guards against requests to a target that requested a pause."""
    engine = deployment.engines['shop-1']
    engine.behaviour.refuse = True
    engine.behaviour.retry_after = '0.6'
    await send_until_received(deployment, 'book', 'shop-1')
    loop = asyncio.get_running_loop()
    end_s = loop.time() + 0.5
    engine.behaviour.refuse = False
    before = received_count(deployment, 'shop-1')
    number = 100
    while loop.time() < end_s:
        number += 1
        assert (await send_request(deployment, 'book', number)).status == 200
    assert received_count(deployment, 'shop-1') == before
    # The other target leaves, so that the first one must be used again.
    deployment.engines['shop-2'].behaviour.leaving = True
    async with asyncio.timeout(3):
        while received_count(deployment, 'shop-1') == before:
            number += 1
            await send_request(deployment, 'book', number)


@pytest.mark.parametrize('route', ['book', 'check'])
async def test_a_request_waits_for_a_pause_that_ends_in_time(
    deployment, route
):
    """Guards against refusals of requests that can be served in time."""
    for engine in deployment.engines.values():
        engine.behaviour.refuse = True
        engine.behaviour.retry_after = '0.3'
    assert (await send_request(deployment, route)).status == 503
    for engine in deployment.engines.values():
        engine.behaviour.refuse = False
    assert (await send_request(deployment, route, 1)).status == 200


@pytest.mark.parametrize('route', ['book', 'read', 'guide', 'check'])
async def test_a_request_that_all_pauses_outlast_is_refused_at_once(
    deployment, route
):
    """Guards against callers that wait for a target that stays paused."""
    for engine in deployment.engines.values():
        engine.behaviour.refuse = True
        engine.behaviour.retry_after = '20.5'
    await send_request(deployment, route)
    counts = {
        name: received_count(deployment, name) for name in deployment.engines
    }
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    answer = await send_request(deployment, route, 1)
    assert loop.time() - began_s < 0.5
    assert answer.status == 503
    assert 19.0 < float(answer.headers['Retry-After']) < 21.0
    assert counts == {
        name: received_count(deployment, name) for name in deployment.engines
    }


@pytest.mark.parametrize(
    'text', ['-5', 'nan', 'soon', '0', 'Fri, 04 Dec 2026 12:00:00 GMT']
)
async def test_an_invalid_retry_after_causes_no_pause(deployment, text):
    """Guards against targets excluded because of a malformed header."""
    engine = deployment.engines['shop-1']
    engine.behaviour.refuse = True
    engine.behaviour.retry_after = text
    await send_until_received(deployment, 'book', 'shop-1')
    target = deployment.gateway._directory.targets['shop-1']
    assert not deployment.gateway._parts.gate.is_paused(target)


async def test_a_pause_of_a_year_ends_with_a_new_start(deployment):
    """Guards against a pause that outlasts the start it was requested for."""
    engine = deployment.engines['shop-1']
    engine.behaviour.refuse = True
    engine.behaviour.retry_after = '1e308'
    await send_until_received(deployment, 'book', 'shop-1')
    engine.behaviour.refuse = False
    before = received_count(deployment, 'shop-1')
    for number in range(100, 120):
        await send_request(deployment, 'book', number)
    assert received_count(deployment, 'shop-1') == before
    engine.started_ms = 1_700_000_000_000
    await deployment.register('shop-1', 'plain')
    deployment.engines['shop-2'].behaviour.leaving = True
    async with asyncio.timeout(3):
        while received_count(deployment, 'shop-1') == before:
            number += 1
            await send_request(deployment, 'book', number)


async def test_a_paused_engine_gets_few_moves_and_no_releases(deployment):
    """Guards against moves and releases sent to a paused engine."""
    await disable_backups(deployment)
    for name in ('engine-1', 'engine-2'):
        behaviour = deployment.engines[name].behaviour
        behaviour.event_s, behaviour.events = 0.02, 60
        behaviour.move_status, behaviour.retry_after = 503, '30'
    streams, (engine, _) = await start_streams(deployment, 4)
    runs = len(engine.ran)
    await deployment.register(engine.target_id, 'model', 'draining')
    await asyncio.gather(*streams)
    # Each run requested at most one move before the pause was known.
    assert 0 < len(engine.move_orders) <= runs
    assert engine.released_handles == []
