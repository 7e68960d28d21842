"""Tests of the state of a target and of the step time estimate."""

import pytest

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths
from dotterelweir_core.policy import steptime
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes


def make_view():
    target = model.Target('t', 1, 'llm', 'a', '127.0.0.1', 1)
    return policy_view.TargetView(
        target, health.TargetHealth(1.0), prefixes.PrefixIndex(10)
    )


def make_attempt(request_id, sent_s, prompt=100):
    item = api.WorkItem(
        request_id, 'r', 'p', 'o', 5, prompt, 400, (), 0.0, 600.0, True
    )
    profile = lengths.default_profile(200.0)
    return policy_view.Attempt(item, profile, 2, sent_s)


def test_a_report_is_compared_with_own_work_of_its_time():
    """Guards against attributing own load to other instances.

    Own requests at the time of the measurement must be subtracted from the
    report, and later ones must not.
    """
    view = make_view()
    view.add(make_attempt('r1', 1.0))
    view.add(make_attempt('r2', 3.0))
    report = model.LoadReport(
        't',
        1,
        running=3,
        memory_used_tokens=350,
        memory_total_tokens=10_000,
    )
    view.record_report(report, measured_s=2.0)
    assert view.peer_running == 2
    assert view.peer_held_tokens == 250
    assert view.held_tokens == 200


def test_an_older_report_does_not_replace_a_newer_one():
    """Guards against stale load from reports that arrive out of order."""
    view = make_view()
    view.record_report(model.LoadReport('t', 1, running=5), 2.0)
    view.record_report(model.LoadReport('t', 1, running=50), 1.0)
    assert view.peer_running == 5


def test_tokens_move_from_the_expected_remainder_to_memory():
    """Guards against totals that drift from the sum over the requests."""
    view = make_view()
    attempt = make_attempt('r1', 0.0)
    other = make_attempt('r2', 0.0)
    view.add(attempt)
    view.add(other)
    for number in range(300):
        view.record_tokens(attempt, 1, 0.05 * number)
    assert view.held_tokens == 200 + 300
    assert view.remaining_tokens == pytest.approx(
        attempt.remaining_tokens + other.remaining_tokens
    )
    assert attempt.remaining_tokens <= 100
    view.remove('r1', 20.0)
    view.remove('r2', 20.0)
    assert (view.held_tokens, view.remaining_tokens, view.prefilling) == (
        0,
        0.0,
        0,
    )


def test_a_slow_step_shows_within_two_steps_of_six_streams():
    """Guards against detecting a slow target only after seconds."""
    view = make_view()
    attempts = [make_attempt(f'r{number}', 0.0) for number in range(6)]
    for attempt in attempts:
        view.add(attempt)
    now_s = 0.0
    for step_s in [0.04] * 50 + [0.24] * 2:
        now_s += step_s
        for attempt in attempts:
            view.record_tokens(attempt, 1, now_s)
    assert view.fresh_step_s(now_s) > 0.1
    assert view.fresh_step_s(now_s + 2.0) == 0.0


def test_the_fit_estimates_the_slope_of_step_times():
    """Guards against admission by a wrong slope of the step time."""
    fit = steptime.StepTimeFit()
    for number in range(300):
        running = 10 + number % 30
        fit.record(running, 0.016 + 0.000_7 * running)
    assert fit.slope_s == pytest.approx(0.000_7, rel=0.1)
    assert fit.predict_s(50) == pytest.approx(0.051, rel=0.05)
