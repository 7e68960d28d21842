"""Tests of the pace of targets that have started or recovered."""

import pytest

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
    created = pace.PaceRegistry()
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
    assert not registry.record_start(unknown, 100.0, 1.0)


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


def test_a_service_without_a_figure_is_not_paced(registry):
    """Guards against a pace in deployments that have none today."""
    assert not registry.record_start(make_target('plain'), 100.0)
    assert not registry.begin_cold(make_target('plain'), 100.0, 50.0)
    assert rate_per_s(registry, 100.0) == rate_limits.UNLIMITED


def test_news_of_a_peer_does_not_extend_itself(registry):
    """Guards against delays of datagrams that keep a target cold."""
    other = pace.PaceRegistry()
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
