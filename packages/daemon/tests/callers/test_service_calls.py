"""Tests of calls to plain services, with faults of the services."""

import asyncio

import pytest

from dotterelweir_core import errors
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweird.callers import service_attempts

ONCE = tables_model.Route(
    'book', tables_model.Match('/book'), 'shop', repeatable=False
)
REPEATABLE = tables_model.Route(
    'stock', tables_model.Match('/stock'), 'shop', repeatable=True
)
NOT_RUN = errors.Execution.NOT_RUN
UNKNOWN = errors.Execution.UNKNOWN
REFUSED = None


def _request(method='POST', headers=()):
    return service_attempts.CallerRequest(
        method, '/book?seat=1%2F2', tuple(headers), b'{"key": "k1"}'
    )


async def _until(condition):
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError('the condition never held')


@pytest.mark.parametrize(
    ('method', 'faults', 'kind', 'execution', 'executions'),
    [
        ('POST', [[]], None, None, 1),
        ('POST', [REFUSED, []], None, None, 1),
        ('POST', [REFUSED], 'target-unreachable', NOT_RUN, 0),
        ('POST', [['cut-before'], []], 'target-failed', UNKNOWN, 0),
        ('POST', [['cut-after'], []], 'target-failed', UNKNOWN, 1),
        ('GET', [['cut-after'], []], 'target-failed', UNKNOWN, 1),
        ('PUT', [['cut-after'], []], 'target-failed', UNKNOWN, 1),
        ('DELETE', [['cut-after'], []], 'target-failed', UNKNOWN, 1),
        ('POST', [['cut-in-answer'], []], 'target-failed', UNKNOWN, 1),
        ('POST', [['crash-before'], []], 'target-failed', UNKNOWN, 0),
        ('POST', [['crash-after'], []], 'target-failed', UNKNOWN, 1),
        ('POST', [['wrong-echo'], []], 'target-failed', UNKNOWN, 1),
        ('POST', [['refuse'], []], 'target-refused', NOT_RUN, 0),
        ('POST', [['unavailable'], []], None, None, 1),
    ],
)
async def test_a_call_that_is_not_repeatable_runs_at_most_once(
    service_harness, method, faults, kind, execution, executions
):
    """Guards against a second execution and against a false "not run".

    The cases with GET, PUT and DELETE guard against retries by aiohttp.
    """
    harness = await service_harness(*faults)
    outcome = await harness.call(ONCE, _request(method))
    assert outcome.executions.get('k1', 0) == executions
    if kind is None:
        assert outcome.error is None
    else:
        assert outcome.error.kind == kind
        assert outcome.error.execution is execution


@pytest.mark.parametrize(
    ('faults', 'kind', 'execution'),
    [
        ([['cut-after'], []], None, None),
        ([['refuse'], []], None, None),
        ([REFUSED, ['cut-before'], []], None, None),
        ([['cut-after'], REFUSED], 'target-failed', UNKNOWN),
        ([['refuse'], REFUSED], 'target-unreachable', NOT_RUN),
        ([['cut-before']], 'target-failed', UNKNOWN),
    ],
)
async def test_a_repeatable_call_is_retried_on_other_targets(
    service_harness, faults, kind, execution
):
    """Guards against a "not run" that ignores an earlier attempt."""
    harness = await service_harness(*faults)
    outcome = await harness.call(REPEATABLE, _request('GET'))
    assert max(outcome.executions_per_attempt.values(), default=0) <= 1
    if kind is None:
        assert outcome.response.status == 200
    else:
        assert outcome.error.kind == kind
        assert outcome.error.execution is execution


async def test_retries_stop_when_the_budget_is_used_up(service_harness):
    """Guards against retries that multiply the load during an outage."""
    faults = [['cut-before']] * 13
    harness = await service_harness(*faults, retry_ratio=0.1)
    outcome = await harness.call(REPEATABLE, _request())
    assert outcome.error.kind is errors.ErrorKind.TARGET_FAILED
    assert len(outcome.ends) == 11


async def test_connection_headers_are_not_forwarded(service_harness):
    """Guards against a caller's framing headers reaching the service."""
    harness = await service_harness([])
    outcome = await harness.call(
        ONCE,
        _request(
            headers=[
                ('Connection', 'X-Internal, close'),
                ('X-Internal', '1'),
                ('Transfer-Encoding', 'chunked'),
                ('Expect', '100-continue'),
                ('X-Request-Id', 'from-the-caller'),
                ('X-Business-Key', 'passed-on'),
            ]
        ),
    )
    assert outcome.executions == {'passed-on': 1}
    assert outcome.executions_per_attempt == {'r1.1': 1}
    assert 'X-Target-State' not in outcome.response.headers


async def test_a_leaving_service_is_reported(service_harness):
    """Guards against new calls to a service that reports it is leaving."""
    harness = await service_harness([])
    harness.states[0].state = 'leaving'
    outcome = await harness.call(ONCE, _request())
    assert outcome.states == [targets_model.TargetState.LEAVING]
    assert outcome.ends == [('shop-0', policy_api.AttemptEnd.COMPLETE)]


async def test_a_slow_call_ends_at_its_deadline_with_unknown(service_harness):
    """Guards against "not run" for a call that outlives its timeout."""
    harness = await service_harness([])
    gate = harness.states[0].gate = asyncio.Event()
    outcome = await harness.call(ONCE, _request(), timeout_s=0.05)
    assert outcome.error.execution is UNKNOWN
    gate.set()
    await _until(lambda: harness.states[0].by_business_key)


async def test_a_call_completes_after_its_caller_disconnects(
    service_harness,
):
    """Guards against the loss of an outcome when the caller disconnects."""
    harness = await service_harness([])
    gate = harness.states[0].gate = asyncio.Event()
    task = asyncio.create_task(harness.call(ONCE, _request()))
    await _until(lambda: harness.states[0].running)
    task.cancel()
    await _until(task.done)
    assert harness.in_flight.count == 1
    gate.set()
    await _until(lambda: harness.scheduler.ends)
    assert harness.states[0].by_business_key == {'k1': 1}
    assert harness.scheduler.ends[0][1] is policy_api.AttemptEnd.COMPLETE


@pytest.mark.parametrize(
    ('holds_requests', 'execution', 'executions'),
    [(True, NOT_RUN, 0), (False, UNKNOWN, 1)],
)
async def test_a_call_ended_by_a_shutdown_reports_its_execution(
    service_harness, holds_requests, execution, executions
):
    """Guards against a call that is sent after the answer "not run"."""
    harness = await service_harness([])
    gate = harness.states[0].gate = asyncio.Event()
    harness.scheduler.holds_requests = holds_requests
    task = asyncio.create_task(harness.call(ONCE, _request()))
    await _until(
        lambda: harness.scheduler.waiting or harness.states[0].running
    )
    harness.in_flight.hand_over()
    outcome = await task
    assert outcome.error.kind is errors.ErrorKind.SHUTTING_DOWN
    assert outcome.error.execution is execution
    gate.set()
    harness.scheduler.holds_requests = False
    await _until(lambda: harness.in_flight.count == 0)
    assert harness.states[0].by_business_key['k1'] == executions
    assert not harness.scheduler.waiting
