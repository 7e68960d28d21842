"""Order of requests that wait for memory."""

import random

import pytest

from dotterelweir_core.gateway import waiting


def test_requests_on_time_go_before_late_ones():
    """Guards against a crest in which everybody becomes late."""
    line = waiting.WaitingLine()
    late, first, second = (
        waiting.Ticket(arrived_s, 1.8) for arrived_s in (0.0, 2.0, 2.5)
    )
    for ticket in (late, first, second):
        line.add(ticket)
    assert line.is_next(first, 2.6)
    line.remove(first)
    assert line.is_next(second, 2.6)
    line.remove(second)
    assert line.is_next(late, 2.6)
    assert len(line) == 1


def test_nobody_waits_until_the_caller_leaves():
    """Guards against requests held until their callers give up."""
    ticket = waiting.Ticket(0.0, 1.8)
    assert not ticket.has_waited_out(5.7)
    assert ticket.has_waited_out(5.8)


def test_the_earliest_due_time_goes_first():
    """Guards against requests with much time before those with little."""
    line = waiting.WaitingLine()
    patient, urgent = waiting.Ticket(0.0, 4.0), waiting.Ticket(0.5, 1.5)
    for ticket in (patient, urgent):
        line.add(ticket)
    assert line.is_next(urgent, 0.6)


@pytest.mark.parametrize(('instances', 'bound_s'), [(7, 0.056), (195, 0.3)])
def test_instances_take_room_one_after_another(instances, bound_s):
    """Guards against a new engine that all instances fill at once."""
    rng = random.Random(1)
    delays_s = [
        waiting.claim_delay_s(instances, True, rng) for _ in range(200)
    ]
    assert 0.8 * bound_s < max(delays_s) <= bound_s
    assert min(delays_s) < 0.1 * bound_s


def test_late_requests_let_those_of_other_instances_go_first():
    """Guards against a crest in which everybody becomes late.

    Each instance knows its own line alone; one whose requests are all late
    takes room from another one's that can still be on time.
    """
    line = waiting.WaitingLine()
    ticket = waiting.Ticket(0.0, 2.0)
    line.add(ticket)
    search = waiting.Search(ticket, line)
    rng = random.Random(1)
    search.look(0.1, lambda: True)
    on_time_s = [search.delay_s(0.2, 7, rng) for _ in range(200)]
    late_s = [search.delay_s(1.9, 7, rng) for _ in range(200)]
    assert max(on_time_s) <= min(late_s)


def test_room_is_taken_at_the_second_look():
    """Guards against instances that all take the room that they see."""
    line = waiting.WaitingLine()
    ticket = waiting.Ticket(0.0, 1.5)
    line.add(ticket)
    search = waiting.Search(ticket, line)
    seen = [
        search.look(0.1 * number, lambda room=room: room)
        for number, room in enumerate((True, False, True, True))
    ]
    wait = waiting.Look.WAIT
    assert seen == [wait, wait, wait, waiting.Look.FOUND]


def test_a_search_ends_when_it_has_waited_out():
    """Guards against requests held until their callers give up."""
    line = waiting.WaitingLine()
    ticket = waiting.Ticket(0.0, 1.0)
    line.add(ticket)
    search = waiting.Search(ticket, line)
    assert search.look(3.1, lambda: False) is waiting.Look.WAIT
    assert search.look(3.3, lambda: False) is waiting.Look.TOO_LATE
