"""The budget of repeats."""

import pytest

from dotterelweir_core.gateway import repeats

ALLOWANCE = 0.2 * 200 + 40


def book(instances=4, visible=1):
    made = repeats.BudgetBook(0.2, 40.0, 10.0)
    made.pool.instances = instances
    made.pool.visible = visible
    return made


def drain(made, now_s=0.0, urgent=True):
    taken = 0
    while made.take('s', now_s, urgent):
        taken += 1
    return taken


def test_instances_that_hear_nobody_stay_within_the_allowance():
    """Guards against a sum of repeats above what the operator allows."""
    sent = 0
    for _ in range(4):
        own = book()
        for _ in range(50):
            own.of('s').record_request(0.0)
        sent += drain(own, 1.0)
    assert 0.7 * ALLOWANCE <= sent <= ALLOWANCE


@pytest.mark.parametrize('users', [1, 2, 4])
def test_instances_that_hear_each_other_share_the_whole(users):
    """Guards against streams lost while most of the budget lies idle.

    Load: all runs of a failed engine were at some of the instances.
    """
    fleet = [book(visible=4) for _ in range(4)]
    for own in fleet:
        for _ in range(50):
            own.of('s').record_request(0.0)

    def tell():
        for number, own in enumerate(fleet):
            for other in fleet:
                if other is not own:
                    other.set_peer(f'i{number}', own.own(), 1.0)

    for own in fleet:
        for number in range(4):
            own.set_peer(f'i{number}', {'s': repeats.Counts()}, 0.0)
    tell()
    sent = 0
    while True:
        taken = sum(own.take('s', 1.0, True) for own in fleet[:users])
        if not taken:
            break
        sent += taken
        tell()
    assert 0.7 * ALLOWANCE <= sent <= ALLOWANCE


def test_a_cut_off_part_keeps_to_its_part():
    """Guards against two parts that both use the whole budget."""
    both = drain(book(visible=2)) + drain(book(visible=2))
    assert 0.7 * 40 <= both <= 40


def test_usual_repeats_leave_room_for_urgent_ones():
    """Guards against streams lost because plain calls were repeated."""
    own = book()
    drain(own, urgent=False)
    assert own.take('s', 0.0, urgent=True)


def test_the_window_slides():
    """Guards against a budget that never fills again."""
    own = book()
    drain(own)
    assert not own.take('s', 9.9, urgent=True)
    assert own.take('s', 10.1, urgent=True)


def test_more_instances_get_smaller_shares():
    """Guards against a burst that each instance takes for its own."""
    assert not book(instances=41).take('s', 0.0, urgent=True)


def test_repeats_of_others_count_once():
    """Guards against totals that are counted again with each digest."""
    own = book(instances=2, visible=2)
    for _ in range(3):
        own.set_peer('i1', {'s': repeats.Counts(0, 10)}, 0.0)
    assert drain(own) == 22


def test_a_peer_that_started_anew_counts_from_zero():
    """Guards against repeats hidden behind the totals of an earlier start."""
    own = book(instances=2, visible=2)
    own.set_peer('i1', {'s': repeats.Counts(0, 10)}, 0.0)
    own.drop_peer('i1')
    own.set_peer('i1', {'s': repeats.Counts(0, 5)}, 0.0)
    assert drain(own) == 17


def test_a_taken_repeat_is_told():
    """Guards against instances that hear of repeats too late."""
    own = book()
    told = []
    own.subscribe(lambda: told.append(own.own()))
    own.take('s', 0.0, urgent=True)
    assert told == [{'s': repeats.Counts(0, 1)}]
