"""Tests of the pace of targets that have started or recovered."""

import math

import pytest

from dotterelweir_core.gateway import learned_pace
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

SERVICES = {
    'model': tables.Service('model', 0, warm_up_s=10.0, warm_up_per_s=25.0),
    'plain': tables.Service('plain', 0),
}
AIM_PER_S = pace.PaceSettings().aim_per_s(25.0)


def make_target(service='model', started_ms=1_000_000):
    return targets.Target(
        't1',
        service,
        '10.0.0.1',
        80,
        'a',
        8,
        targets.TargetState.READY,
        started_ms=started_ms,
    )


@pytest.fixture
def registry():
    created = pace.PaceRegistry(pace.PaceSettings(mode=pace.PaceMode.OFF))
    created.set_services(SERVICES)
    return created


def rate_per_s(registry, now_s, started_ms=1_000_000):
    return registry.rate_per_s('t1', started_ms, now_s)


@pytest.mark.parametrize('age_s', [None, -3600.0, 0.0])
def test_a_started_target_is_cold_for_the_stated_time(registry, age_s):
    """Guards against wall clocks that shorten or extend the cold time."""
    assert registry.record_start(make_target(), 100.0, age_s)
    assert rate_per_s(registry, 109.9) == AIM_PER_S < 25.0
    assert rate_per_s(registry, 110.1) == rate_limits.UNLIMITED
    # It registers again after an outage of the store.
    assert not registry.record_start(make_target(), 200.0)
    assert rate_per_s(registry, 200.0) == rate_limits.UNLIMITED


def test_a_start_before_the_first_read_counts_by_its_age(registry):
    """Guards against a deployment that is paced after each of its starts."""
    assert registry.record_start(make_target(), 100.0, 4.0)
    assert registry.cold_left_s('t1', 1_000_000, 100.0) == pytest.approx(6.0)
    unknown = make_target(started_ms=0)
    assert registry.record_start(unknown, 100.0, 1.0)
    assert rate_per_s(registry, 100.0, 0) == rate_limits.UNLIMITED


def test_a_later_start_and_a_later_cold_time_count(registry):
    """Guards against engines that are cold again and flooded."""
    registry.record_start(make_target(), 0.0)
    assert registry.record_start(make_target(started_ms=2_000_000), 50.0)
    assert rate_per_s(registry, 50.0, 2_000_000) == AIM_PER_S
    assert registry.begin_cold(make_target(), 60.0, 3.0)
    assert not registry.begin_cold(make_target(), 61.0, 2.0)
    assert registry.begin_cold(make_target(), 80.0)
    assert registry.cold_left_s('t1', 1_000_000, 81.0) == pytest.approx(9.0)


def test_a_target_without_starts_is_cold_after_each_return(registry):
    """Guards against a restart that no start time shows."""
    unknown = make_target(started_ms=0)
    registry.record_start(unknown, 0.0, 1.0)
    registry.forget(unknown)
    assert registry.record_start(unknown, 20.0)
    assert rate_per_s(registry, 20.0, 0) == AIM_PER_S


def test_a_service_without_a_figure_is_not_paced(registry):
    """Guards against a pace in deployments that have none today."""
    registry.record_start(make_target('plain'), 100.0)
    assert not registry.begin_learning(make_target('plain'), 100.0)
    assert not registry.begin_cold(make_target('plain'), 100.0, 50.0)
    assert rate_per_s(registry, 100.0) == rate_limits.UNLIMITED


def test_news_of_a_peer_does_not_extend_itself(registry):
    """Guards against delays of datagrams that keep a target cold."""
    other = pace.PaceRegistry(registry.settings)
    registry.record_start(make_target(), 0.0)
    now_s = 0.0
    while notice := registry.notice('t1', 1_000_000, now_s):
        now_s += 0.2
        other.apply(notice, now_s)
        back = other.notice('t1', 1_000_000, now_s)
        if back is not None:
            registry.apply(back, now_s + 0.2)
        assert now_s < 12.0
    assert list(registry.notices(16, now_s)) == []


@pytest.mark.parametrize('stated_per_s', [0.2, 1.0, 25.0, 400.0])
@pytest.mark.parametrize('over', [1.0, 1.5, 4.0])
def test_the_aim_is_below_the_stated_rate(stated_per_s, over):
    """Guards against settings that let a target be overloaded."""
    settings = pace.PaceSettings(cold_over=over)
    assert 0.1 <= settings.aim_per_s(stated_per_s) < stated_per_s


def play(target_bears, seconds, demand_per_s, begun=None):
    """Plays a target that serves a number per second and fails the rest.

    Returns the learned pace, and the failures and answers by second.
    """
    learned = begun or learned_pace.LearnedPace(0.0)
    counts = learned_pace.AttemptCounts()
    failed, served = [], []
    for step in range(seconds * 4):
        now_s = step / 4
        sent = min(demand_per_s, learned.rate_per_s) / 4
        good = min(sent, target_bears(now_s) / 4)
        counts = learned_pace.AttemptCounts(
            counts.served + good, counts.failed + sent - good, counts.late
        )
        learned.update(counts, now_s)
        failed.append(sent - good)
        served.append(good)
        if learned.ended:
            break
    return learned, sum(failed), sum(served), now_s


@pytest.mark.parametrize('demand_per_s', [3.0, 20.0, 90.0])
def test_a_pace_ends_when_the_target_bears_what_it_is_sent(demand_per_s):
    """Guards against a sound target that is left idle."""
    learned, failed, _, ended_s = play(lambda _: 100.0, 30, demand_per_s)
    assert learned.ended
    assert failed == 0.0
    # It grows by a third in a second, from 2/s to twice the demand, and must
    # exceed the average of a second for 3 s.
    assert ended_s < 5.0 + math.log(demand_per_s) / 0.28


def test_a_pace_follows_what_a_slow_target_bears():
    """Guards against a target that gets far more than it serves."""
    learned, failed, served, _ = play(lambda _: 10.0, 60, 100.0)
    assert not learned.ended
    assert served > 0.6 * 10.0 * 60
    assert failed < 0.35 * served


def test_a_target_that_fails_everything_gets_little():
    """Guards against a target that is ready by its own account only."""
    learned, failed, _, _ = play(lambda _: 0.0, 60, 100.0)
    assert not learned.ended
    assert failed < 45.0


def test_late_answers_lower_a_pace():
    """Guards against a queue at a target that is slow at first."""
    learned = learned_pace.LearnedPace(0.0, 40.0)
    learned.update(learned_pace.AttemptCounts(), 0.0)
    assert learned.update(learned_pace.AttemptCounts(10.0, 0.0, 6.0), 0.25)
    assert learned.rate_per_s == 20.0
    # These were sent before the pace fell.
    assert not learned.update(
        learned_pace.AttemptCounts(20.0, 0.0, 16.0), 0.75
    )


def test_all_instances_compute_the_same_pace(registry):
    """Guards against a coordinator that begins anew after another died."""
    registries = [registry, pace.PaceRegistry()]
    target = make_target('plain')
    counts = learned_pace.AttemptCounts()
    for each in registries:
        each.settings = pace.PaceSettings()
        each.set_services(SERVICES)
        each.record_start(target, 0.0)
        assert each.begin_learning(target, 0.0)
    for step in range(1, 9):
        counts = learned_pace.AttemptCounts(counts.served + 1.0)
        for number, each in enumerate(registries):
            # One hears of the outcomes later.
            now_s = step / 4 + 0.1 * number
            each.learn('t1', target.started_ms, counts, now_s)
    rates = {
        each.rate_per_s('t1', target.started_ms, 2.2) for each in registries
    }
    assert len(rates) == 1
    assert rates.pop() == pytest.approx(2.0 + 7.0 * 0.3)
    started = pace.PaceRegistry()
    started.set_services(SERVICES)
    started.apply(registry.notice('t1', target.started_ms, 2.2), 2.3)
    assert started.rate_per_s(
        't1', target.started_ms, 2.3
    ) == registry.rate_per_s('t1', target.started_ms, 2.3)


def test_calls_are_late_by_what_is_usual():
    """Guards against an evidence that a slow route distorts."""
    durations = learned_pace.UsualDurations()
    for _ in range(30):
        assert not durations.record('read', 0.07)
        assert not durations.record('book', 0.5)
    assert durations.record('read', 0.3)
    assert not durations.record('book', 0.6)
    assert not learned_pace.is_late_first_event(6_000, 14_000.0, 0.8)
    assert learned_pace.is_late_first_event(3_000, 14_000.0, 0.8)
