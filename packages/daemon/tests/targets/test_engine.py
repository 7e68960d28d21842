"""Tests of the engine adapter against valid and faulty responses."""

import asyncio
import random

from aiohttp import web
import pytest

from dotterelweir_core import errors
from dotterelweir_core.targets import model
from dotterelweird import timers
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import api
from dotterelweird.targets import engine

REQUEST = api.GenerationRequest('r-1', '/v1/completions', b'{}', 3, 9.0, 0.2)
NOT_RUN = b'{"execution": "not run", "detail": "full"}'
HEADERS = {'X-Generation-Id': 'g1', 'X-Incarnation': '7'}


@pytest.fixture
async def engines():
    """Provides the clients and an engine whose next response is set.

    ``answers['next']`` is the status, headers and body of the response; the
    connection breaks if the status is None. The engine echoes the request id
    unless ``answers`` has the key ``echo``.
    """
    answers = {}
    callback_calls = []

    async def answer(request):
        status, headers, body = answers['next']
        if request.headers.get('X-Request-Id') and 'echo' not in answers:
            headers = {
                'X-Request-Id': request.headers['X-Request-Id']
            } | headers
        if status is None:
            request.transport.abort()
        return web.Response(status=status or 500, headers=headers, body=body)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    target = model.Target(
        'e1', 7, 'llm', 'a', '127.0.0.1', runner.addresses[0][1]
    )
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    delivery = settings_model.Delivery()
    async with engine.make_session(delivery) as session:
        client = engine.HttpEngineClient(
            session,
            delivery,
            timer,
            random.Random(1),
            lambda *args: callback_calls.append(args),
        )
        load_client = engine.HttpLoadClient(session, timer)
        yield client, load_client, target, answers, callback_calls
    await runner.cleanup()


# Status, headers and body of a response, and the kind and execution of the
# error that it must raise, by name.
REJECTED_RESPONSES = {
    'refused': (503, {}, NOT_RUN, 'target-refused', 'not run'),
    'too-many': (429, {}, NOT_RUN, 'target-refused', 'not run'),
    'not-certain': (503, {}, b'{}', 'target-failed', 'unknown'),
    'not-json': (503, {}, b'full', 'target-failed', 'unknown'),
    'failed-not-run': (500, {}, NOT_RUN, 'target-failed', 'unknown'),
    'malformed': (400, {}, NOT_RUN, 'malformed-request', 'not run'),
    'crossed-refusal': (
        503,
        {'X-Request-Id': 'other'},
        NOT_RUN,
        'target-failed',
        'unknown',
    ),
    'crossed': (
        200,
        HEADERS | {'X-Request-Id': 'other'},
        b'',
        'target-failed',
        'unknown',
    ),
    'nameless': (200, {}, b'', 'target-failed', 'unknown'),
    'aborted': (None, {}, b'', 'target-failed', 'unknown'),
}


@pytest.mark.parametrize('case', REJECTED_RESPONSES)
async def test_failed_responses_map_to_error_kinds(engines, case):
    """Guards against "not run" for a request that may have run (P3)."""
    client, _, target, answers, _ = engines
    status, headers, body, kind, execution = REJECTED_RESPONSES[case]
    answers['next'] = (status, headers, body)
    with pytest.raises(errors.DotterelweirError) as raised:
        await client.start(target, REQUEST)
    assert raised.value.kind.value == kind
    assert raised.value.execution.value == execution


async def test_callback_receives_the_state_of_the_engine(engines):
    """Guards against new work for an engine that is leaving."""
    client, _, target, answers, callback_calls = engines
    leaving = HEADERS | {'X-Target-State': 'leaving', 'X-Incarnation': '8'}
    answers['next'] = (200, leaving, b'')
    stream = await client.start(target, REQUEST)
    stream.close()
    assert stream.incarnation == 8
    answered, state, _ = callback_calls[0]
    assert (answered.target_id, answered.incarnation) == ('e1', 8)
    assert state is model.TargetState.LEAVING


async def test_a_resume_needs_the_same_generation_and_incarnation(engines):
    """Guards against a resume that continues with another generation."""
    client, _, target, answers, _ = engines
    answers['echo'] = False
    for headers, kind in (
        (HEADERS, None),
        (HEADERS | {'X-Generation-Id': 'g2'}, 'target-failed'),
        (HEADERS | {'X-Request-Id': 'other'}, 'target-failed'),
        ({'X-Incarnation': '7'}, 'target-failed'),
        (HEADERS | {'X-Incarnation': '8'}, 'resume-expired'),
    ):
        answers['next'] = (200, headers, b'')
        try:
            stream = await client.resume(target, 'g1', 4, 0.2)
            stream.close()
            found = None
        except errors.DotterelweirError as error:
            found = error.kind.value
        assert found == kind
    for status in (404, 410):
        answers['next'] = (status, {}, b'')
        with pytest.raises(errors.DotterelweirError) as raised:
            await client.resume(target, 'g1', 4, 0.2)
        assert raised.value.kind is errors.ErrorKind.RESUME_EXPIRED


async def test_a_failed_connection_means_not_run(engines):
    """Guards against "unknown" for a request that cannot have run."""
    client, load_client, target, _, _ = engines
    unreachable = model.Target('e2', 1, 'llm', 'a', '127.0.0.1', 1)
    with pytest.raises(errors.DotterelweirError) as raised:
        await client.start(unreachable, REQUEST)
    assert raised.value.kind is errors.ErrorKind.TARGET_UNREACHABLE
    assert raised.value.execution is errors.Execution.NOT_RUN
    with pytest.raises(errors.DotterelweirError):
        await load_client.load(unreachable, 0.2)


async def test_load_reports(engines):
    """Guards against malformed load reports that stop the monitor."""
    _, load_client, target, answers, _ = engines
    answers['next'] = (
        200,
        {},
        b'{"target_id": "e1", "incarnation": 7, "state": "leaving", '
        b'"running": 3, "models": ["m"], "extra": 1}',
    )
    report = await load_client.load(target, 0.2)
    assert report.state is model.TargetState.LEAVING
    assert (report.running, report.models) == (3, ('m',))
    for body in (b'', b'[]', b'{"target_id": "e1"}', b'{"running": "x"}'):
        answers['next'] = (200, {}, body)
        with pytest.raises(errors.DotterelweirError):
            await load_client.load(target, 0.2)
