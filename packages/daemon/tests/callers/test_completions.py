"""Tests of completions against engines that fail."""

import asyncio
import json

import pytest

from dotterelweir_fakes.engine import tokens

CHAT = '/v1/chat/completions'


def _events(text):
    """Returns the (id, event, data) of each event."""
    parsed = []
    for block in text.split('\n\n')[:-1]:
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        parsed.append((fields.get('id'), fields.get('event'), fields['data']))
    return parsed


def _check_whole(text, count):
    """Checks for a complete answer of one generation, in order."""
    events = _events(text)
    assert events[-1] == (None, None, '[DONE]')
    chunks = [json.loads(data) for _, _, data in events[:-1]]
    names = {chunk['id'] for chunk in chunks}
    assert len(names) == 1
    contents = [
        chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
    ]
    assert ''.join(contents) == tokens.answer_text(names.pop(), count)
    assert [int(i.rpartition('.')[2]) for i, _, _ in events[:-1]] == list(
        range(count + 1)
    )


async def _post(instance, body, **headers):
    async with instance.session.post(
        CHAT, json=body, headers=headers
    ) as response:
        return response.status, await response.text()


# Faults after which the answer is still complete.
RECOVERABLE_FAULTS = {
    'none': [],
    'die-before-first-token': [('die', {'at': 0})],
    'cut-before-first-token': [('cut', {'at': 0})],
    'refused': [('refuse', {})],
    'wrong-request-id': [('wrong-request-id', {})],
    'cut-mid-stream': [('cut', {'at': 3})],
    'cut-twice': [('cut', {'at': 2}), ('cut', {'at': 4, 'on': 'resume'})],
    'cut-before-end-mark': [('cut', {'at': -1})],
    'stall': [('stall', {'at': 3})],
    'duplicate': [('duplicate-event', {'at': 2})],
    'skipped': [('skip-event', {'at': 2})],
    'skipped-last': [('skip-event', {'at': 6})],
    'refused-resume': [
        ('cut', {'at': 3}),
        ('refuse', {'on': 'resume', 'count': 2}),
    ],
    'other-generation': [
        ('cut', {'at': 3}),
        ('other-generation', {'on': 'resume'}),
    ],
    'crossed-resume': [
        ('cut', {'at': 3}),
        ('wrong-request-id', {'on': 'resume'}),
    ],
}


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('case', RECOVERABLE_FAULTS)
async def test_recoverable_faults_are_hidden_from_the_caller(
    cluster, body, fault, case, stream
):
    """Guards against lost, repeated or foreign tokens (P1, P2)."""
    first = await cluster.add_engine('e1')
    await cluster.add_engine('e2')
    instance = await cluster.add_instance()
    for kind, fields in RECOVERABLE_FAULTS[case]:
        first.engine.inject(fault(kind, **fields))
    status, text = await _post(instance, body(6, stream))
    assert status == 200
    if stream:
        _check_whole(text, 6)
    else:
        answer = json.loads(text)
        choice = answer['choices'][0]
        expected = tokens.answer_text(answer['id'], 6)
        assert choice['message']['content'] == expected
        assert choice['finish_reason'] == 'stop'
    assert instance.scheduler.ends[-1][1] == 'complete'
    assert instance.scheduler.tokens == 7
    assert instance.components.dispatcher.attempts_running == 0
    assert instance.components.in_flight.count == 0


# Faults after which the answer must end with an explicit error.
FATAL_FAULTS = {
    'die-mid-stream': {'at': 3},
    'die-before-end-mark': {'at': -1},
}


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('case', FATAL_FAULTS)
async def test_a_lost_generation_ends_with_an_error(
    cluster, body, fault, caplog, case, stream
):
    """Guards against tokens of two engines in one answer (P1)."""
    first = await cluster.add_engine('e1')
    second = await cluster.add_engine('e2')
    instance = await cluster.add_instance(resume_attempts=2)
    first.engine.inject(fault('die', **FATAL_FAULTS[case]))
    caplog.set_level('INFO')
    status, text = await _post(instance, body(6, stream))
    if stream:
        events = _events(text)
        assert '[DONE]' not in text
        assert events[-1][1] == 'error'
        problem = json.loads(events[-1][2])
        assert problem['complete'] is False
    else:
        assert status == 502
        problem = json.loads(text)
    assert problem['code'] == 'generation-lost'
    assert problem['execution'] == 'ran'
    assert second.engine.started == []
    assert instance.scheduler.ends == [('e1', 'failed')]
    ends = [r for r in caplog.records if r.message == 'request-ended']
    assert [r.fields['outcome'] for r in ends] == ['generation-lost']


async def test_a_request_that_may_have_run_is_not_sent_again(
    cluster, body, fault
):
    """Guards against a second run on a route that is not repeatable."""
    first = await cluster.add_engine('e1')
    second = await cluster.add_engine('e2')
    instance = await cluster.add_instance(
        route={'repeatable': False}, resume_attempts=2
    )
    first.engine.inject(fault('die', at=0))
    status, text = await _post(instance, body())
    assert status == 502
    assert json.loads(text)['execution'] == 'unknown'
    assert second.engine.started == []
    status, text = await _post(instance, body())
    assert status == 200, 'nothing was sent to the dead engine'
    _check_whole(text, 6)


async def test_a_refused_request_has_not_run(cluster, body, fault):
    """Guards against a false statement about execution (P3)."""
    first = await cluster.add_engine('e1')
    instance = await cluster.add_instance()
    first.engine.inject(fault('refuse'))
    status, text = await _post(instance, body())
    assert status == 503
    assert json.loads(text)['execution'] == 'not run'
    assert json.loads(text)['code'] == 'target-refused'
    first.engine.inject(fault('die', at=0))
    status, text = await _post(instance, body())
    assert json.loads(text)['execution'] == 'unknown'


async def test_retries_stay_within_their_budget(cluster, body, fault):
    """Guards against retries that multiply the load of a failing pool."""
    first = await cluster.add_engine('e1')
    second = await cluster.add_engine('e2')
    instance = await cluster.add_instance(retry_ratio=0.1)
    first.engine.inject(fault('refuse', count=30))
    statuses = [(await _post(instance, body(1)))[0] for _ in range(30)]
    assert len(second.engine.started) == statuses.count(200)
    assert 10 <= statuses.count(200) <= 13


async def test_a_late_answer_never_reaches_another_request(
    cluster, body, fault
):
    """Guards against a late answer on a connection that is used again."""
    first = await cluster.add_engine('e1')
    await cluster.add_engine('e2')
    instance = await cluster.add_instance(first_token_timeout_s=0.05)
    _check_whole((await _post(instance, body()))[1], 6)
    first.engine.inject(fault('delay-headers', duration_s=0.1))
    for count in (3, 4, 5, 6):
        _check_whole((await _post(instance, body(count)))[1], count)


async def test_the_first_hedge_to_produce_wins(
    cluster, body, fault, eventually
):
    """Guards against a losing attempt that runs on or adds tokens."""
    slow = await cluster.add_engine('e1', step_s=0.5)
    await cluster.add_engine('e2')
    instance = await cluster.add_instance()
    instance.scheduler.hedged = True
    status, text = await _post(instance, body())
    _check_whole(text, 6)
    await eventually(lambda: len(slow.engine.cancelled) == 1)
    assert set(instance.scheduler.ends) == {
        ('e1', 'cancelled'),
        ('e2', 'complete'),
    }
    assert instance.components.dispatcher.attempts_running == 0


@pytest.mark.parametrize('stream', [True, False])
async def test_a_request_past_its_timeout_is_cancelled(
    cluster, body, eventually, stream
):
    """Guards against generations that continue without a caller."""
    engine = await cluster.add_engine('e1', step_s=0.02)
    instance = await cluster.add_instance()
    headers = {'X-Request-Timeout-S': '0.2'}
    status, text = await _post(instance, body(1000, stream), **headers)
    if stream:
        problem = json.loads(_events(text)[-1][2])
    else:
        assert status == 504
        problem = json.loads(text)
    assert problem['code'] == 'request-timeout'
    assert problem['execution'] == 'ran'
    await eventually(lambda: engine.engine.batcher.running == [])
    assert instance.scheduler.ends == [('e1', 'cancelled')]


async def test_a_caller_that_disconnects_before_the_first_token(
    cluster, body, eventually
):
    """Guards against a generation that no caller can resume (5.3)."""
    engine = await cluster.add_engine('e1', step_s=10.0)
    instance = await cluster.add_instance()
    task = asyncio.create_task(_post(instance, body()))
    await eventually(lambda: engine.engine.batcher.running)
    task.cancel()
    await eventually(lambda: engine.engine.cancelled)
    await eventually(lambda: instance.scheduler.ends == [('e1', 'cancelled')])


async def test_the_route_limits_the_output(cluster, body):
    """Guards against output above the limit of the route."""
    await cluster.add_engine('e1')
    instance = await cluster.add_instance(route={'max_output_tokens': 4})
    _, text = await _post(instance, body(50, max_tokens=9))
    _check_whole(text, 4)
    _, text = await _post(instance, body(50, max_tokens=3))
    _check_whole(text, 3)
