"""Tests of how streams whose run was stopped for a move are judged."""

import pytest

from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import losses
from dotterelweir_fakes.soak import moved_streams

# Time of SIGTERM of some tests, in seconds.
STOPPED_S = 9.0


def run(begun_s, ended_s, stopped=False, cut_off=False):
    return guarantees.Run(
        't', begun_s, ended_s, stopped=stopped, cut_off=cut_off
    )


def cut(ended_s, stopped_s=None, due_s=100.0):
    return losses.Cut(10.0, ended_s, due_s, stopped_s=stopped_s)


def test_a_stream_lost_after_a_stop_counts_without_planned_work():
    """Guards against a check that looks at streams around SIGTERM alone."""
    verdict = moved_streams.judge(cut(12.4), [run(10.0, 12.0, stopped=True)])
    assert verdict is losses.Verdict.LOST_AFTER_STOP


def test_a_later_run_does_not_excuse_a_stop():
    """Guards against a check that looks at the last run alone."""
    runs = [run(10.0, 12.0, stopped=True), run(12.1, 13.0)]
    verdict = moved_streams.judge(cut(13.0), runs)
    assert verdict is losses.Verdict.LOST_AFTER_STOP


@pytest.mark.parametrize(
    ('runs', 'verdict'),
    [
        (
            [run(10.0, 12.0, stopped=True), run(12.1, 16.5)],
            losses.Verdict.EXCUSED,
        ),
        (
            [run(10.0, 12.0, stopped=True), run(12.1, None)],
            losses.Verdict.EXCUSED,
        ),
        ([run(10.0, 16.2, stopped=True)], losses.Verdict.LOST_AFTER_STOP),
        ([run(10.0, 16.5)], losses.Verdict.EXCUSED),
    ],
    ids=['at work again', 'still at work', 'stopped late', 'never stopped'],
)
def test_the_end_of_the_grace_time_excuses_runs_at_work(runs, verdict):
    """Guards against runs that are stopped just before the exit."""
    assert moved_streams.judge(cut(16.5, STOPPED_S), runs) is verdict


def test_an_engine_may_end_under_a_run_that_nobody_stopped():
    """Guards against blaming a gateway for an engine that breaks off."""
    verdict = moved_streams.judge(cut(12.0), [run(10.0, 12.0, cut_off=True)])
    assert verdict is losses.Verdict.ENGINE_ENDED


def test_a_stopped_run_whose_engine_ends_is_lost():
    """Guards against runs that are stopped at an engine about to end."""
    runs = [run(10.0, 12.0, stopped=True, cut_off=True)]
    verdict = moved_streams.judge(cut(12.0), runs)
    assert verdict is losses.Verdict.LOST_AFTER_STOP


def test_a_failure_in_place_of_a_moved_stream_is_not_excused():
    """Guards against an error status that hides a run lost in a stop."""
    runs = [run(10.0, 12.0, stopped=True), run(12.1, 16.5)]
    verdict = moved_streams.judge(cut(16.5, STOPPED_S), runs, failed=True)
    assert verdict is losses.Verdict.LOST_AFTER_STOP


def test_a_stream_may_be_overdue():
    """Guards against blaming a gateway for a deadline."""
    runs = [run(10.0, 12.0, stopped=True), run(12.1, 12.5)]
    verdict = moved_streams.judge(cut(12.5, due_s=12.5), runs)
    assert verdict is losses.Verdict.OVERDUE


def test_a_deadline_excuses_no_run_that_did_not_go_on():
    """Guards against runs lost in a stop that is held until the deadline."""
    runs = [run(10.0, 12.0, stopped=True)]
    verdict = moved_streams.judge(cut(12.5, due_s=12.5), runs)
    assert verdict is losses.Verdict.LOST_AFTER_STOP
