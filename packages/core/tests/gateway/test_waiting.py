"""Tests of the queue of requests that wait for an engine."""

import random

import pytest

from dotterelweir_core.gateway import waiting


def test_requests_on_time_go_before_late_ones():
    """Guards against a peak load in which every request becomes late."""
    queue = waiting.RequestQueue()
    late, first, second = (
        waiting.QueueEntry(arrived_s, 1.8) for arrived_s in (0.0, 2.0, 2.5)
    )
    for entry in (late, first, second):
        queue.add(entry)
    assert queue.is_next(first, 2.6)
    queue.remove(first)
    assert queue.is_next(second, 2.6)
    queue.remove(second)
    assert queue.is_next(late, 2.6)
    assert len(queue) == 1


def test_a_request_expires_before_its_caller_gives_up():
    """Guards against requests queued until their callers give up."""
    entry = waiting.QueueEntry(0.0, 1.8)
    assert not entry.is_expired(5.7)
    assert entry.is_expired(5.8)


def test_the_earliest_due_time_goes_first():
    """Guards against requests with much time left that go first."""
    queue = waiting.RequestQueue()
    patient, urgent = (
        waiting.QueueEntry(0.0, 4.0),
        waiting.QueueEntry(0.5, 1.5),
    )
    for entry in (patient, urgent):
        queue.add(entry)
    assert queue.is_next(urgent, 0.6)


@pytest.mark.parametrize(('instances', 'bound_s'), [(7, 0.056), (195, 0.3)])
def test_random_backoff_staggers_the_instances(instances, bound_s):
    """Guards against a new engine that all instances fill at once."""
    rng = random.Random(1)
    delays_s = [waiting.backoff_s(instances, True, rng) for _ in range(200)]
    assert 0.8 * bound_s < max(delays_s) <= bound_s
    assert min(delays_s) < 0.1 * bound_s


def test_late_requests_back_off_longer_than_those_on_time():
    """Guards against a peak load in which every request becomes late.

    An instance knows only its own queue. If all requests in it are late,
    they would take capacity from requests of other instances that can still
    be on time.
    """
    queue = waiting.RequestQueue()
    entry = waiting.QueueEntry(0.0, 2.0)
    queue.add(entry)
    admission_poll = waiting.AdmissionPoll(entry, queue)
    rng = random.Random(1)
    admission_poll.poll(0.1, lambda: True)
    on_time_s = [admission_poll.delay_s(0.2, 7, rng) for _ in range(200)]
    late_s = [admission_poll.delay_s(1.9, 7, rng) for _ in range(200)]
    assert max(on_time_s) <= min(late_s)


def test_a_request_is_admitted_at_the_second_poll_with_capacity():
    """Guards against instances that all use the capacity they find."""
    queue = waiting.RequestQueue()
    entry = waiting.QueueEntry(0.0, 1.5)
    queue.add(entry)
    admission_poll = waiting.AdmissionPoll(entry, queue)
    seen = [
        admission_poll.poll(0.1 * number, lambda capacity=capacity: capacity)
        for number, capacity in enumerate((True, False, True, True))
    ]
    wait = waiting.PollResult.WAIT
    assert seen == [wait, wait, wait, waiting.PollResult.ADMITTED]


def test_polling_ends_when_the_request_expires():
    """Guards against requests queued until their callers give up."""
    queue = waiting.RequestQueue()
    entry = waiting.QueueEntry(0.0, 1.0)
    queue.add(entry)
    admission_poll = waiting.AdmissionPoll(entry, queue)
    assert admission_poll.poll(3.1, lambda: False) is waiting.PollResult.WAIT
    assert (
        admission_poll.poll(3.3, lambda: False) is waiting.PollResult.EXPIRED
    )
