"""Tests of the turns of requests at limited targets, in virtual time."""

import random

import pytest

from dotterelweir_core.gateway import turns
from dotterelweir_fakes.soak import trials


def play(schedules, load_per_s, seconds, wait_max_s, urgent_share, rng):
    """Asks the schedules for turns and returns the times of the turns.

    Only the first schedule serves urgent requests ahead of others.
    """
    times_s = []
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(load_per_s)
        for schedule in schedules:
            wait_s = schedule.reserve(
                now_s,
                wait_max_s,
                schedule is schedules[0] and rng.random() < urgent_share,
            )
            if wait_s is not None:
                times_s.append(now_s + wait_s)
    return sorted(times_s)


@pytest.mark.parametrize('rate_per_s', [0.0, 0.1, 0.6, 1.4, 2.3, 5, 40, 500])
@pytest.mark.parametrize('wait_max_s', [0.0, 0.25, 4.5])
@pytest.mark.parametrize('urgent_share', [0.0, 0.5])
def test_all_ranks_together_stay_within_the_limit(
    rate_per_s, wait_max_s, urgent_share
):
    """Guards against coordinators that exceed the limit together."""
    schedules = [
        turns.TurnSchedule(turns.turn_rate_per_s(rate_per_s, rank), 0.0)
        for rank in range(turns.COORDINATORS)
    ]
    load_per_s = 20.0 + 2.0 * rate_per_s
    times_s = play(
        schedules,
        load_per_s,
        40.0,
        wait_max_s,
        urgent_share,
        random.Random(rate_per_s),
    )
    allowed = trials.allowed_requests(rate_per_s)
    assert trials.worst_window(times_s, 0.0) <= allowed


@pytest.mark.parametrize('rate_per_s', [0.1, 1.4, 30])
def test_a_limit_is_used_in_full(rate_per_s):
    """Guards against turns that are lost while callers are refused."""
    schedule = turns.TurnSchedule(rate_per_s, 0.0)
    times_s = play(
        [schedule], 100 + rate_per_s, 100.0, 0.0, 0.0, random.Random(1)
    )
    assert len(times_s) >= 0.9 * (rate_per_s * 100.0 - 1.0)


def test_a_changed_rate_applies_at_once():
    """Guards against the long wait of a low rate after the limit has risen."""
    schedule = turns.TurnSchedule(0.1, 0.0)
    assert schedule.wait_s(0.0) == pytest.approx(10.0)
    schedule.set_rate(5.0, 0.0)
    assert schedule.reserve(0.25, 0.0) is not None
    schedule.set_rate(0.1, 1.0)
    assert schedule.reserve(1.0, 0.0) is not None
    assert schedule.reserve(2.0, 0.0) is None


def test_an_urgent_turn_comes_before_the_waiting_ones():
    """Guards against streams that are lost behind a queue of new requests."""
    schedule = turns.TurnSchedule(2.0, 0.0)
    while schedule.reserve(1.0, 3.0) is not None:
        pass
    assert schedule.reserve(1.0, 0.5, urgent=True) == 0.0
    assert schedule.reserve(1.0, 0.5, urgent=True) == 0.0
    assert schedule.reserve(1.0, 0.5, urgent=True) is None


def test_the_coordinators_of_targets_are_spread_and_stable():
    """Guards against one instance that coordinates every target."""
    instances = [f'instance-{n}' for n in range(195)]
    first = {
        turns.rank_coordinators(instances, f'engine-{n}')[0] for n in range(60)
    }
    assert len(first) > 40
    ranked = turns.rank_coordinators(instances, 'engine-1')
    left = [name for name in instances if name != ranked[0]]
    assert turns.rank_coordinators(left, 'engine-1')[:2] == ranked[1:]
