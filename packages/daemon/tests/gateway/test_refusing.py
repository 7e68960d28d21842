"""Tests of the time after which a refused caller may retry."""

import random
import types

import pytest

from dotterelweir_core import timers
from dotterelweird.gateway import pausing
from dotterelweird.gateway import refusing


@pytest.mark.parametrize(
    ('deadline_s', 'earliest_s', 'latest_s'),
    [
        # Accepted in 4 s, while others are served.
        (39.0, 4.0, 8.0),
        # Callers retry only within a third of their remaining time.
        (6.0, 0.9, 1.8),
    ],
)
def test_refused_callers_are_spread(
    monkeypatch, deadline_s, earliest_s, latest_s
):
    """Guards against callers that come back too early, or all together."""
    monkeypatch.setattr(pausing, 'blocked_remaining_s', lambda *_: 0.0)
    parts = types.SimpleNamespace(
        timers=timers.VirtualTimerService(), rng=random.Random(1)
    )
    exchange = types.SimpleNamespace(deadline_s=deadline_s)
    delays_s = sorted(
        refusing.retry_after_s(parts, exchange, 4.0) for _ in range(200)
    )
    assert earliest_s <= delays_s[0] and delays_s[-1] <= latest_s
    # No tenth of the span is empty or has more than a quarter of the callers.
    tenth_s = (latest_s - earliest_s) / 10
    for number in range(10):
        from_s = earliest_s + number * tenth_s
        share = sum(
            from_s <= delay_s < from_s + tenth_s for delay_s in delays_s
        )
        assert 0 < share < 50
