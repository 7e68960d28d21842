"""The budget of repeats."""

from dotterelweir_core.gateway import repeats


def budget(instances=4):
    return repeats.RepeatBudget(
        ratio=0.2, burst=40.0, window_s=10.0, instances=instances
    )


def test_all_instances_together_stay_within_the_allowance():
    """Guards against a sum of repeats above what the operator allows."""
    sent = 0
    for _ in range(4):
        own = budget()
        for _ in range(50):
            own.record_request(0.0)
        while own.take(1.0, urgent=True):
            sent += 1
    assert 0.7 * 80 <= sent <= 0.2 * 200 + 40


def test_usual_repeats_leave_room_for_urgent_ones():
    """Guards against streams lost because plain calls were repeated."""
    own = budget()
    while own.take(0.0):
        pass
    assert own.take(0.0, urgent=True)


def test_the_window_slides():
    """Guards against a budget that never fills again."""
    own = budget()
    while own.take(0.0, urgent=True):
        pass
    assert not own.take(9.9, urgent=True)
    assert own.take(10.1, urgent=True)


def test_more_instances_get_smaller_shares():
    """Guards against a burst that each instance takes for its own."""
    own = budget(instances=40)
    assert own.take(0.0, urgent=True) is False
