"""Tests of the judgement of requests without a complete answer."""

import pytest

from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import losses

Verdict = losses.Verdict


def judge(sent_s, ended_s, due_s=60.0, stopped_s=0.0, reset=False, runs=()):
    """Judges a request whose connection ended; its stop is at 0 s."""
    cut = losses.Cut(sent_s, ended_s, due_s, reset, stopped_s)
    return cut.judge([guarantees.Run('t', *times) for times in runs])


@pytest.mark.parametrize(
    ('sent_s', 'run', 'verdict'),
    [
        # Sent late: work of the engine is no excuse.
        (3.1, (3.2, 7.7), Verdict.LOST),
        (3.1, (3.2, None), Verdict.LOST),
        (3.1, (3.2, 5.0), Verdict.LOST),
        # Sent in time: it depends on when the engine had ended.
        (3.0, (3.1, 7.7), Verdict.EXCUSED),
        (-2.0, (-1.9, None), Verdict.EXCUSED),
        (3.0, (3.1, 6.6), Verdict.LOST),
        (-2.0, (-1.9, 6.7), Verdict.EXCUSED),
    ],
)
def test_cut_of_a_request_that_ran(sent_s, run, verdict):
    """Guards against an excuse for requests that a stop may not cut."""
    assert judge(sent_s, 7.7, runs=[run]) is verdict


@pytest.mark.parametrize(
    ('ended_s', 'reset', 'verdict'),
    [
        (5.1, False, Verdict.CROSSED),
        (5.1875, False, Verdict.CROSSED),
        (5.25, False, Verdict.LOST),
        (5.25, True, Verdict.CROSSED),
    ],
)
def test_cut_of_a_request_that_did_not_run(ended_s, reset, verdict):
    """Guards against missing a request that was read and then dropped."""
    assert judge(5.0, ended_s, reset=reset) is verdict


@pytest.mark.parametrize(
    ('due_s', 'verdict'), [(7.7, Verdict.OVERDUE), (7.8, Verdict.LOST)]
)
def test_deadline_excuses_a_cut(due_s, verdict):
    """Guards against loss of an answer that nobody waits for."""
    assert judge(5.0, 7.7, due_s, runs=[(5.1, 7.7)]) is verdict


def test_cut_without_a_stop_is_lost():
    """Guards against an excuse for a process that is not stopped."""
    verdict = judge(0.0, 1.0, stopped_s=None, runs=[(0.1, None)])
    assert verdict is Verdict.LOST
