"""Tests of the read schedule in small and large deployments."""

import random

import pytest

from dotterelweir_core.gateway import reading

# Time until the other instances know of a read, in seconds.
PROPAGATION_S = 0.02


def simulate(instances, length_s, seed=1):
    """Simulates the reads of some instances in virtual time.

    Returns:
        The number of reads and the longest time between two, in seconds.
    """
    rng = random.Random(seed)
    schedules = [
        reading.ReadSchedule(0.15, 0.5, rng) for _ in range(instances)
    ]
    reads, gap_s, last_s = 0, 0.0, 0.0
    for schedule in schedules:
        schedule.record_read(0.0, instances)
    while last_s < length_s:
        now_s = min(schedule.due_s for schedule in schedules)
        for schedule in schedules:
            if schedule.due_s < now_s + PROPAGATION_S:
                reads += 1
        for schedule in schedules:
            schedule.record_read(now_s + PROPAGATION_S, instances)
        gap_s = max(gap_s, now_s - last_s)
        last_s = now_s
    return reads, gap_s


@pytest.mark.parametrize('instances', [1, 6, 90, 300])
def test_reads_hardly_depend_on_the_number_of_instances(instances):
    """Guards against a store overloaded by a large deployment."""
    reads, gap_s = simulate(instances, 100.0)
    assert reads / 100.0 < 8.0
    assert gap_s < 0.65 + PROPAGATION_S


def test_an_isolated_instance_reads_in_time():
    """Guards against an isolated instance that relies on other reads."""
    rng = random.Random(1)
    for _ in range(1000):
        schedule = reading.ReadSchedule(0.15, 0.5, rng)
        schedule.record_read(7.0, 300)
        assert 7.15 <= schedule.due_s <= 7.65 + 1e-9


def test_an_old_report_does_not_delay_a_read():
    """Guards against old reports that postpone the next read."""
    schedule = reading.ReadSchedule(0.15, 0.5, random.Random(1))
    schedule.record_read(7.0, 90)
    due_s = schedule.due_s
    for read_s in (6.0, 7.0, 7.01):
        schedule.record_read(read_s, 90)
    assert schedule.due_s == due_s


def test_a_newer_state_is_read_soon():
    """Guards against a change that is not read until the next due time."""
    schedule = reading.ReadSchedule(0.15, 0.5, random.Random(1))
    schedule.record_read(7.0, 6)
    schedule.hasten(7.0, 0.05)
    assert schedule.due_s == 7.05
