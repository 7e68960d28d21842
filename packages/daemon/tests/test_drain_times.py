"""Tests of the division of the time of a drain."""

import pytest

from dotterelweird import drain_times


@pytest.mark.parametrize('deadline_s', [0.5, 1.0, 3.0, 30.0])
def test_every_step_of_a_drain_ends_before_the_deadline(deadline_s):
    """Guards against steps whose sum is longer than the platform waits."""
    times = drain_times.plan(2.0, deadline_s)
    assert times.handover_s < times.calls_end_s
    assert times.calls_end_s + times.append_limit_s <= times.exit_s
    assert times.send_limit_s(times.calls_end_s) > 0
    assert times.exit_s < deadline_s
