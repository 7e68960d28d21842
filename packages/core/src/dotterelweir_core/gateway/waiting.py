"""Order of generations that wait until an engine admits them.

Answers the load of a crest, see ``admission``.
"""

import attrs

# Share of the objective within which a waiting request still counts as one
# that can be on time; the rest is the time of its prefill.
_ON_TIME_SHARE = 0.65
# Longest wait, as a multiple of the objective. Callers give up a stream
# without a first event after four times the objective; the request is sent
# before that, room or not.
_WAIT_SHARE_MAX = 2.5


@attrs.define(eq=False)
class Ticket:
    """A request that waits.

    Attributes:
        arrived_s: Monotonic time of its arrival.
        objective_s: Time to the first event within which it is on time.
    """

    arrived_s: float
    objective_s: float

    @property
    def due_s(self) -> float:
        """Monotonic time of its objective."""
        return self.arrived_s + self.objective_s

    def is_on_time(self, now_s: float) -> bool:
        """Whether it can still get its first event in time."""
        return now_s - self.arrived_s < _ON_TIME_SHARE * self.objective_s

    def has_waited_out(self, now_s: float) -> bool:
        """Whether it must be sent now."""
        return now_s - self.arrived_s >= _WAIT_SHARE_MAX * self.objective_s


@attrs.define
class WaitingLine:
    """Requests of one service that wait for room at this instance.

    Those that can still be on time go first, those with the earliest due
    time before the others; one that is late anyway loses little by waiting
    longer.
    """

    _tickets: list[Ticket] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, ticket: Ticket) -> None:
        """Adds a request."""
        self._tickets.append(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Removes a request."""
        self._tickets.remove(ticket)

    def is_next(self, ticket: Ticket, now_s: float) -> bool:
        """Whether a request is the first to get room."""
        first = min(
            self._tickets,
            key=lambda other: (not other.is_on_time(now_s), other.due_s),
        )
        return first is ticket
