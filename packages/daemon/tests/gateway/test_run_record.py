"""Tests of what is known of a run after calls to its engine."""

import pytest

from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import handover
from dotterelweird.gateway import run_record

Result = api.MoveResult
State = run_record.SourceState


def make_target(number):
    """Returns a target with an address of its own."""
    return targets.Target(
        target_id=f'engine-{number}',
        service='model',
        host='127.0.0.1',
        port=number,
        zone='zone-a',
        slots=8,
        state=targets.TargetState.READY,
    )


SOURCE, OTHER, THIRD = (make_target(number) for number in (1, 2, 3))


@pytest.fixture
def record():
    """A run whose other engine has a backup."""
    backup = run_record.Way(OTHER, api.RunCopy(OTHER.address, 'request-1'))
    return run_record.RunRecord(SOURCE, 'request-1', backup)


def call(record, result, handle='', final=True, destination=OTHER):
    """Records a call and its outcome."""
    record.begin_call(final)
    outcome = api.MoveOutcome(result, handle)
    record.end_call(destination, final, outcome, source_heard=False)


def test_a_call_without_an_answer_leaves_the_run_open(record):
    """Guards against a run that counts as stopped, or as not stopped."""
    record.begin_call(True)
    assert record.state is State.CALLED
    assert record.ways == ()


@pytest.mark.parametrize('result', [Result.BROKEN, Result.TIMED_OUT])
def test_an_unanswered_stop_is_remembered(record, result):
    """Guards against a 404 after a stop that is read without the stop."""
    call(record, Result.MOVED, 'h1', final=False)
    call(record, result)
    assert record.state is State.CALLED
    record.link_ended.set()
    call(record, Result.NO_RUN)
    assert record.state is State.STOPPED
    first, back, *_ = record.ways
    assert (first.target, back.target) == (OTHER, SOURCE)
    assert handover.find(record).way is handover.HandoverWay.COPIED


def test_a_run_that_nobody_stopped_is_not_kept_at_its_engine(record):
    """Guards against a run sent back to an engine that has no memory."""
    call(record, Result.MOVED, 'h1', final=False)
    record.link_ended.set()
    call(record, Result.NO_RUN)
    assert record.state is State.NO_RUN
    assert SOURCE not in [way.target for way in record.ways]


def test_a_preempted_run_is_not_gone(record):
    """Guards against a run that its engine resumes beside another engine."""
    call(record, Result.NO_RUN)
    assert record.state is State.RUNNING
    assert record.ways == ()


@pytest.mark.parametrize(
    'results, expected',
    [
        ((Result.REFUSED,), State.ENDED),
        ((Result.UNREACHABLE,), State.ENDED),
        ((Result.FAILED, Result.UNREACHABLE), State.RUNNING),
        ((Result.FAILED, Result.REFUSED), State.RUNNING),
        ((Result.FAILED, Result.REFUSED, Result.REFUSED), State.ENDED),
        ((Result.BROKEN, Result.BUSY, Result.REFUSED), State.ENDED),
    ],
)
def test_an_engine_has_ended_if_nothing_speaks_against_it(
    record, results, expected
):
    """Guards against an engine at work that counts as ended."""
    record.link_ended.set()
    for result in results:
        call(record, result)
    assert record.state is expected


def test_a_source_that_is_heard_has_not_ended(record):
    """Guards against a full accept queue that is taken for an end."""
    record.link_ended.set()
    record.begin_call(True)
    record.end_call(OTHER, True, api.MoveOutcome(Result.UNREACHABLE), True)
    assert not record.is_settled


@pytest.mark.parametrize('leaving', [False, True])
def test_a_run_without_room_for_its_rest_keeps_two_ways(record, leaving):
    """Guards against a handle in a refusal, or a first copy, not used.

    An engine that leaves soon accepts no request any more.
    """
    record.leaving = leaving
    call(record, Result.MOVED, 'h1', final=False)
    call(record, Result.STOPPED, 'h2')
    found = [(way.target, way.copy.handle) for way in record.ways]
    expected = [(SOURCE, 'h2'), (OTHER, 'h1')]
    assert found == (expected[::-1] if leaving else expected)
    assert handover.find(record).way is handover.HandoverWay.STAYED


def test_a_refused_copy_stops_nothing(record):
    """Guards against a refusal of a copy that is read as a stop."""
    call(record, Result.STOPPED, 'h1', final=False)
    assert record.state is State.RUNNING


def test_a_late_answer_replaces_what_was_concluded(record):
    """Guards against an older copy that is preferred to the newest one."""
    call(record, Result.MOVED, 'h1', final=False)
    record.begin_call(True)
    record.link_ended.set()
    call(record, Result.NO_RUN)
    outcome = api.MoveOutcome(Result.MOVED, 'h2')
    record.end_call(THIRD, True, outcome, False)
    assert record.ways[0].target is THIRD
    assert record.stop_answered
