"""Tests of runs that are moved because their engine leaves or is silent."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweird.gateway import api
from dotterelweird.gateway import links
from dotterelweird.gateway import move_calls
from dotterelweird.gateway import moving
from dotterelweird.gateway.sending import gate


def expected_events(events):
    """Returns the bytes of the events that a fake engine sends."""
    return b''.join(
        b'id: %d\ndata: token-%d\n\n' % (number, number)
        for number in range(1, events + 1)
    )


@pytest.fixture
def engines(deployment, monkeypatch):
    """Places runs on the first of two engines, without backups.

    Links are silent after 0.1 s.
    """
    monkeypatch.setattr(links, '_SILENCE_TIMEOUT_S', 0.1)
    monkeypatch.setitem(moving._RETRY_DELAY_S, moving.Reason.SILENT, 0.1)
    loads = deployment.gateway._loads
    loads.get('engine-2').running = 3
    for name in ('engine-1', 'engine-2'):
        loads.get(name).tokens += 28_000
        deployment.engines[name].behaviour.events = 30
        deployment.engines[name].behaviour.event_s = 0.02
    return deployment.engines['engine-1'], deployment.engines['engine-2']


def replace_move(engine, answer):
    """Lets a function answer the calls that move runs.

    Args:
        engine: The engine.
        answer: Called with the order, and with a function that handles it as
            the engine does; returns the response, or raises an error to
            break the call off.
    """
    original_move = engine._move

    async def move(request):
        order = await request.json()
        try:
            return await answer(order, lambda: original_move(request))
        except ConnectionResetError:
            request.transport.abort()
            raise

    engine._move = move


def announce_leaving(deployment, name):
    """Lets the gateway learn that an engine leaves."""
    deployment.gateway._handle_notice(
        deployment.gateway._directory.registered(name),
        api.TargetNotice(leaving=True),
    )


async def read_until(answer, text):
    """Reads a stream until some bytes have arrived; returns what it read."""
    body = b''
    while text not in body:
        chunk = await answer.content.readany()
        assert chunk, body
        body += chunk
    return body


def refuse_first_stop(engine):
    """Lets an engine refuse the first call that stops a run."""
    refused = []

    async def refuse(order, handle):
        if order['last'] and not refused:
            refused.append(order)
            return web.Response(status=409)
        return await handle()

    replace_move(engine, refuse)
    return refused


async def read_while_leaving(deployment):
    """Reads a stream whose engine begins to leave after the first event."""
    async with deployment.request('guide') as answer:
        first = await answer.content.readany()
        announce_leaving(deployment, 'engine-1')
        return first + await answer.read()


async def test_a_silent_run_goes_on_while_its_copy_is_queued(
    deployment, engines
):
    """Guards against runs stopped before another engine has their copy."""
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 0.5
    resumed = asyncio.Event()

    async def queue(order, handle):
        await resumed.wait()
        return await handle()

    replace_move(first, queue)
    async with deployment.request('guide') as answer:
        body = b''
        while b'token-4\n' not in body:
            body += await answer.content.readany()
        resumed.set()
        body += await answer.read()
    assert body == expected_events(30)
    assert not any(order['last'] for order in first.move_orders)
    assert second.received_headers == []


async def test_the_answer_to_a_stop_is_waited_for(deployment, engines):
    """Guards against handles lost with a call that was given up."""
    first, second = engines
    first.behaviour.final_move_s = 1.0
    orders = []

    async def work_on_one_call(order, handle):
        if orders and orders[-1]['last']:
            return web.Response(status=409)
        orders.append(order)
        return await handle()

    replace_move(first, work_on_one_call)
    assert await read_while_leaving(deployment) == expected_events(30)
    assert second.resumed_after


def lose_answer_to_stop(engine):
    """Lets an engine stop a run and break the call off that said so."""

    async def lose_answer(order, handle):
        if not order['last'] or engine.behaviour.move_status:
            return await handle()
        await handle()
        engine.behaviour.move_status = 404
        raise ConnectionResetError

    replace_move(engine, lose_answer)


async def test_a_stop_whose_answer_is_lost_leaves_the_first_copy(
    deployment, engines
):
    """Guards against runs lost with the answer to a call to stop them."""
    first, second = engines

    lose_answer_to_stop(first)
    assert await read_while_leaving(deployment) == expected_events(30)
    assert second.resumed_after


@pytest.mark.parametrize(
    'obstacle', ['no retry', 'blocked', 'deadline', 'exit', 'limited']
)
async def test_a_run_is_not_stopped_without_a_certain_way(
    deployment, engines, monkeypatch, obstacle
):
    """Guards against runs that may not be sent again once they stopped."""
    first, second = engines
    gateway = deployment.gateway
    parts = gateway._parts

    async def meet_obstacle(order, handle):
        response = await handle()
        match obstacle:
            case 'no retry':
                parts.budgets.set_bounds(0.0, 0.0, 10.0)
            case 'blocked':
                monkeypatch.setattr(
                    parts.request_guard, 'is_blocked', lambda exchange: True
                )
            case 'deadline':
                monkeypatch.setattr(moving, '_START_S', 3.0)
            case 'exit':
                parts.stop_plan.stop_requested_s = parts.timers.monotonic_s()
                parts.stop_plan.grace_s = 1.0
                monkeypatch.setattr(moving, '_START_S', 1.0)
            case 'limited':
                monkeypatch.setattr(
                    parts.limiter, 'next_turn_s', lambda target: float('inf')
                )
        return response

    replace_move(first, meet_obstacle)
    body = await read_while_leaving(deployment)
    parts.stop_plan.stop_requested_s = None
    assert body == expected_events(30)
    assert first.move_orders
    assert not any(order['last'] for order in first.move_orders)
    assert second.received_headers == []


async def test_a_run_is_moved_once_a_retry_is_left(deployment, engines):
    """Guards against runs that stay because of an obstacle that is gone."""
    first, second = engines
    budgets = deployment.gateway._parts.budgets
    budgets.set_bounds(0.0, 0.0, 10.0)
    asyncio.get_running_loop().call_later(
        0.25, budgets.set_bounds, 0.2, 50.0, 10.0
    )
    assert await read_while_leaving(deployment) == expected_events(30)
    assert second.resumed_after


async def test_a_run_is_stopped_for_silence_only_once(deployment, engines):
    """Guards against runs that are moved on and on, silent everywhere."""
    for engine in engines:
        engine.behaviour.pause_after = 3
        engine.behaviour.pause_s = 0.6
    async with deployment.request('guide') as answer:
        assert await answer.read() == expected_events(30)
    stops = [
        order
        for engine in engines
        for order in engine.move_orders
        if order['last']
    ]
    assert len(stops) == 1


async def test_a_run_that_resumes_during_the_copy_stays(deployment, engines):
    """Guards against a decision that is not looked at after the copy."""
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 0.25
    resumed = asyncio.Event()

    async def copy_until_resumed(order, handle):
        response = await handle()
        await resumed.wait()
        return response

    replace_move(first, copy_until_resumed)
    async with deployment.request('guide') as answer:
        body = b''
        while b'token-6\n' not in body:
            body += await answer.content.readany()
        resumed.set()
        body += await answer.read()
    assert body == expected_events(30)
    assert [order['last'] for order in first.move_orders] == [False]
    async with asyncio.timeout(2):
        while not first.released_handles:
            await asyncio.sleep(0.01)


async def test_a_run_is_not_sent_back_to_an_engine_without_its_memory(
    deployment, engines
):
    """Guards against sends in vain to an engine that did not stop the run."""
    first, second = engines
    second.behaviour.has_copies = False

    async def lose_run(order, handle):
        if not order['last'] or first.behaviour.move_status:
            return await handle()
        # The run breaks off at its engine, which has not stopped it.
        first.behaviour.move_status = 404
        first._stop_events['request-1'].set()
        return web.Response(status=500)

    replace_move(first, lose_run)
    with pytest.raises(aiohttp.ClientPayloadError):
        await read_while_leaving(deployment)
    sends = [request_id for _, request_id in first.arrivals if request_id]
    assert sends == ['request-1']
    assert second.received_headers


async def test_a_run_returns_after_a_stop_found_by_a_further_call(
    deployment, engines
):
    """Guards against memory that is kept for a stopped run and not used."""
    first, second = engines
    second.behaviour.has_copies = False

    lose_answer_to_stop(first)
    assert await read_while_leaving(deployment) == expected_events(30)
    assert first.resumed_after


async def test_a_move_takes_one_retry(deployment, engines):
    """Guards against a budget that shrinks by more than the move sends."""
    first, second = engines
    assert await read_while_leaving(deployment) == expected_events(30)
    assert second.resumed_after
    budget = deployment.gateway._parts.budgets.for_service('model')
    assert budget.total.retries == 1


async def test_a_stop_for_silence_is_no_failure_of_the_engine(
    deployment, engines
):
    """Guards against engines avoided as they closed a link as called to."""
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 0.6
    async with deployment.request('guide') as answer:
        assert await answer.read() == expected_events(30)
    assert second.resumed_after
    assert deployment.gateway._loads.get('engine-1').failed == 0


async def test_a_run_that_was_not_stopped_is_moved_when_its_engine_leaves(
    deployment, engines
):
    """Guards against a refused stop that prevents all later moves."""
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 0.4
    refused = refuse_first_stop(first)
    async with deployment.request('guide') as answer:
        body = await read_until(answer, b'token-15\n')
        assert refused
        announce_leaving(deployment, 'engine-1')
        body += await answer.read()
    assert body == expected_events(30)
    assert second.resumed_after


async def test_a_refused_stop_does_not_count_as_a_move(deployment, engines):
    """Guards against a silent run that is held until its deadline."""
    first, second = engines
    first.behaviour.silent_after = 3
    refused = refuse_first_stop(first)
    async with asyncio.timeout(2), deployment.request('guide') as answer:
        body = await answer.read()
    assert refused
    assert body == expected_events(30)
    assert second.resumed_after


async def test_a_late_call_does_not_stop_a_run_that_has_returned(
    deployment, engines
):
    """Guards against a further call to stop that takes effect later.

    The run is back at its engine by then, under the same id.
    """
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 1.0
    stops = []

    async def delay_calls(order, handle):
        if not order['last']:
            return await handle()
        stops.append(order)
        if len(stops) == 1:
            first.behaviour.pause_after = None
            await handle()
            async with asyncio.timeout(2):
                while len(stops) == 1:
                    await asyncio.sleep(0.01)
            return web.json_response({'handle': 'h2'}, status=503)
        # It arrives late, after some events of the run that returned.
        async with asyncio.timeout(2):
            while first.events_made('request-1') < 6:
                await asyncio.sleep(0.01)
        return await handle()

    replace_move(first, delay_calls)
    async with deployment.request('guide') as answer:
        body = await answer.read()
    assert len(stops) > 1
    assert body == expected_events(30)


async def test_an_engine_that_leaves_before_the_copy_is_no_failed_engine(
    deployment, engines, monkeypatch
):
    """Guards against requests blamed for the end of an engine that left."""
    first, _ = engines
    first.behaviour.hang_moves = True
    reported = []
    monkeypatch.setattr(
        deployment.gateway._parts.end_detector,
        'report_lost_connection',
        lambda *args, **kwargs: reported.append(args),
    )
    async with deployment.request('guide') as answer:
        await read_until(answer, b'token-3\n')
        announce_leaving(deployment, 'engine-1')
        async with asyncio.timeout(1):
            while not first.move_orders:
                await asyncio.sleep(0.01)
        first.crash()
        with pytest.raises(Exception):  # noqa: B017
            await answer.read()
    assert reported == []


async def test_a_refusal_for_the_rate_leaves_the_copy(
    deployment, engines, monkeypatch
):
    """Guards against a status 429 that is read as a missing copy."""
    monkeypatch.setattr(gate, '_RESUME_AFTER_DEPARTURE_S', 0.0)
    first, second = engines
    respond = second._respond
    refused = []

    async def refuse_once(request):
        if 'Kv-From' in request.headers and not refused:
            refused.append(request)
            return fleet_engine._refusal(429, request.headers['X-Attempt-Id'])
        return await respond(request)

    second._respond = refuse_once
    async with deployment.request('guide') as answer:
        body = await read_until(answer, b'token-3\n')
        announce_leaving(deployment, 'engine-1')
        body += await answer.read()
    assert refused
    assert body == expected_events(30)


def keep_at_source(engine):
    """Lets an engine stop runs and keep their memory under handle h2."""

    async def keep(order, handle):
        response = await handle()
        if not order['last']:
            return response
        engine.behaviour.pause_after = None
        return web.json_response({'handle': 'h2'}, status=503)

    replace_move(engine, keep)


async def wait_for_release(engines, handle):
    """Waits until one of some engines was called to free a copy."""
    async with asyncio.timeout(1):
        while not any(handle in engine.released_handles for engine in engines):
            await asyncio.sleep(0.01)


async def test_the_copy_of_a_run_that_returned_is_freed(deployment, engines):
    """Guards against a copy that occupies a slot until it expires."""
    first, _ = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 1.0
    keep_at_source(first)
    async with deployment.request('guide') as answer:
        assert await answer.read() == expected_events(30)
    assert first.resumed_after
    await wait_for_release(engines, 'h1')


async def test_memory_kept_at_a_source_that_is_not_needed_is_freed(
    deployment, engines
):
    """Guards against memory of a stopped run that is kept until it expires."""
    first, second = engines
    keep_at_source(first)
    async with deployment.request('guide') as answer:
        body = await read_until(answer, b'token-3\n')
        announce_leaving(deployment, 'engine-1')
        body += await answer.read()
    assert body == expected_events(30)
    assert second.resumed_after
    await wait_for_release(engines, 'h2')


async def test_a_retry_is_taken_before_a_stop(deployment, engines):
    """Guards against a stop under way whose retry others may take."""
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 1.0
    second.behaviour.delay_s = 0.3
    deployment.gateway._parts.budgets.set_bounds(0.2, 50.0, 10.0)
    budget = deployment.gateway._parts.budgets.for_service('model')
    retries = []

    async def move_early(order, handle):
        if not order['last']:
            return web.json_response({'handle': 'h3', 'created': 0})
        async with asyncio.timeout(2):
            while second.events_made('request-1') < 6:
                await asyncio.sleep(0.01)
        retries.append(budget.total.retries)
        first.behaviour.pause_after = None
        return await handle()

    replace_move(second, move_early)

    async def leave():
        async with asyncio.timeout(2):
            while not second.received_headers:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        announce_leaving(deployment, 'engine-2')

    leaving = asyncio.create_task(leave())
    async with deployment.request('guide') as answer:
        body = await answer.read()
    await leaving
    assert body == expected_events(30)
    # One for the first move, one before the stop in progress.
    assert retries[0] == 2


async def test_a_run_that_will_not_be_stopped_is_not_copied(
    deployment, engines
):
    """Guards against copies on and on of a run that stays where it is."""
    for engine in engines:
        engine.behaviour.pause_after = 3
        engine.behaviour.pause_s = 0.6
    _, second = engines
    deployment.gateway._parts.budgets.set_bounds(0.2, 50.0, 10.0)
    async with deployment.request('guide') as answer:
        assert await answer.read() == expected_events(30)
    assert second.resumed_after
    assert not second.move_orders


async def test_a_stop_that_broke_off_is_called_again_while_the_run_is_silent(
    deployment, engines
):
    """Guards against a silent run that one broken call keeps until it ends."""
    first, second = engines
    first.behaviour.silent_after = 3
    broken = []

    async def break_first_stop(order, handle):
        if order['last'] and not broken:
            broken.append(order)
            raise ConnectionResetError
        return await handle()

    replace_move(first, break_first_stop)
    async with asyncio.timeout(1.5), deployment.request('guide') as answer:
        assert await answer.read() == expected_events(30)
    assert second.resumed_after


async def test_a_slow_copy_is_called_for_a_few_times_only(
    deployment, engines, monkeypatch
):
    """Guards against calls without a delay while one copy is in progress."""
    monkeypatch.setattr(move_calls, '_REPEAT_DELAY_S', 0.1)
    first, second = engines
    first.behaviour.events = 60
    second.behaviour.events = 60
    calls = []
    copied = asyncio.Event()

    async def work_on_first_call(order, handle):
        calls.append(order)
        if len(calls) > 1 and not copied.is_set():
            return web.Response(status=409)
        await copied.wait()
        return await handle()

    replace_move(first, work_on_first_call)
    async with deployment.request('guide') as answer:
        body = await read_until(answer, b'token-3\n')
        announce_leaving(deployment, 'engine-1')
        body += await read_until(answer, b'token-43\n')
        # 0.8 s: calls after 0, 0.1, 0.25, 0.48 and 0.81 s.
        assert 1 < len(calls) <= 8
        copied.set()
        body += await answer.read()
    assert body == expected_events(60)
    assert second.resumed_after


@pytest.mark.parametrize('refused', ['copies', 'stops'])
async def test_many_engines_are_not_tried_without_a_delay(
    deployment, engines, refused
):
    """Guards against a call for each engine at once, again and again."""
    first, _ = engines
    for number in range(3, 11):
        await deployment.add_engine(f'engine-{number}', 'model')
        load = deployment.gateway._loads.get(f'engine-{number}')
        # The run is placed on the first engine.
        load.running = 3
        load.tokens += 28_000
    await deployment.wait_store_read()
    first.behaviour.events = 60
    if refused == 'copies':
        first.behaviour.move_status = 503
    else:
        first.behaviour.final_move_status = 503
    async with deployment.request('guide') as answer:
        body = await read_until(answer, b'token-3\n')
        announce_leaving(deployment, 'engine-1')
        body += await read_until(answer, b'token-43\n')
        # 0.8 s: the delays are 0.02 s and grow by half, so 8 tries.
        tries = len([o for o in first.move_orders if not o['last']])
        assert 3 <= tries <= 12
        assert len({order['to'] for order in first.move_orders}) > 1
        assert len(first.move_orders) <= 2 * tries
        body += await answer.read()
    assert body == expected_events(60)


async def test_engines_that_refuse_a_stopped_run_are_not_sent_it_at_once(
    deployment, engines
):
    """Guards against sends to and fro between two engines with its memory."""
    refused = []

    def refuse_continuations(engine):
        respond = engine._respond

        async def refuse(request):
            if 'Kv-From' not in request.headers:
                return await respond(request)
            now_s = asyncio.get_running_loop().time()
            refused.append((engine.target_id, now_s))
            return fleet_engine._refusal(429, request.headers['X-Attempt-Id'])

        engine._respond = refuse

    first, _ = engines
    first.behaviour.silent_after = 3
    deployment.gateway._parts.budgets.set_bounds(0.2, 50.0, 10.0)
    for engine in engines:
        refuse_continuations(engine)
    with pytest.raises(aiohttp.ClientPayloadError):
        async with deployment.request('guide') as answer:
            await answer.read()
    assert {name for name, _ in refused} == {'engine-1', 'engine-2'}
    times_s = [at_s for _, at_s in refused]
    assert len(times_s) > 2
    # After one send to each, there is a delay before every further one.
    for earlier_s, later_s in zip(times_s[1:], times_s[2:], strict=False):
        assert later_s - earlier_s >= 0.09


async def test_a_source_that_keeps_answering_409_is_reported(
    deployment, engines, monkeypatch, caplog
):
    """Guards against a copy that never ends and is seen by nobody."""
    monkeypatch.setattr(moving, '_REFUSAL_DELAY_MAX_S', 0.1)
    first, _ = engines
    first.behaviour.move_status = 409
    caplog.set_level('INFO')
    assert await read_while_leaving(deployment) == expected_events(30)
    assert len(first.move_orders) >= 3
    lines = [
        line for line in caplog.records if getattr(line, 'event', 0) == 250
    ]
    assert len(lines) == 1


async def test_a_run_that_resumes_after_a_broken_stop_is_not_called_again(
    deployment, engines
):
    """Guards against further calls to stop a run that writes again."""
    first, second = engines
    first.behaviour.pause_after = 3
    first.behaviour.pause_s = 0.4
    stops = []

    async def break_stop_after_pause(order, handle):
        if not order['last']:
            return await handle()
        stops.append(order)
        async with asyncio.timeout(2):
            while first.events_made('request-1') < 6:
                await asyncio.sleep(0.01)
        raise ConnectionResetError

    replace_move(first, break_stop_after_pause)
    async with deployment.request('guide') as answer:
        assert await answer.read() == expected_events(30)
    assert len(stops) == 1
    assert second.received_headers == []
