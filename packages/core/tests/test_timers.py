"""Tests of the timer service and of the backoff."""

import random

import pytest

from dotterelweir_core import backoff
from dotterelweir_core import timers


def test_calls_run_in_order_of_their_time():
    """Guards against calls that run in the order of their scheduling."""
    service = timers.VirtualTimerService()
    seen = []
    service.call_after(2.0, lambda: seen.append(('b', service.monotonic_s())))
    service.call_after(1.0, lambda: seen.append(('a', service.monotonic_s())))
    service.advance(3.0)
    assert seen == [('a', 1.0), ('b', 2.0)]
    assert service.monotonic_s() == 3.0


def test_a_cancelled_periodic_call_does_not_run():
    """Guards against a periodic call that continues after its cancel."""
    service = timers.VirtualTimerService()
    seen = []
    handle = service.call_every(1.0, lambda: seen.append(None))
    service.advance(2.5)
    handle.cancel()
    service.advance(5.0)
    assert len(seen) == 2


def test_a_periodic_call_can_cancel_itself():
    """Guards against a periodic call that its own callback cannot cancel."""
    service = timers.VirtualTimerService()
    handles = []
    handles.append(service.call_every(1.0, lambda: handles[0].cancel()))
    service.advance(10.0)
    assert service.next_due_s() is None


def test_jitter_needs_a_random_source():
    """Guards against instances that act in lockstep."""
    service = timers.VirtualTimerService()
    with pytest.raises(ValueError, match='random source'):
        service.call_every(1.0, lambda: None, jitter_ratio=0.1)


def test_backoff_ends_and_stays_in_its_bounds():
    """Guards against endless retry loops and unbounded delays."""
    retry_backoff = backoff.Backoff(
        random.Random(1), first_s=0.1, cap_s=0.5, attempts=6
    )
    delays_s = [retry_backoff.next_delay_s() for _ in range(7)]
    assert delays_s[-1] is None
    for index, delay_s in enumerate(delays_s[:-1]):
        bound_s = min(0.5, 0.1 * 2**index)
        assert bound_s / 2 <= delay_s <= bound_s
