"""Order of requests that wait for memory."""

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
    assert not ticket.has_waited_out(4.4)
    assert ticket.has_waited_out(4.6)
