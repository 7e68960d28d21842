"""Order of generations that wait until an engine admits them.

Answers the load of a crest, see ``admission``.
"""

from collections.abc import Callable
import enum
import random

import attrs

# Share of the objective within which a waiting request still counts as one
# that can be on time; the rest is the time of its prefill.
_ON_TIME_SHARE = 0.65
# Longest wait, as a multiple of the objective. Callers give up a stream
# without a first event after four times the objective. One that has waited
# until little is left of that is refused: sent to a full engine, it would
# make those late that can still be on time, and they the next ones.
_WAIT_SHARE_MAX = 3.2
# Between two looks for room, in seconds; digests of other instances arrive
# within about this time.
_CHECK_S = 0.04
# Time until other instances know of what one of them sent, in seconds, and
# the most of it that one waits, which a large deployment would exceed.
_NEWS_S = 0.008
_CLAIM_MAX_S = 0.3


def claim_delay_s(instances: int, on_time: bool, rng: random.Random) -> float:
    """Time from seeing room to taking it, in seconds.

    All instances see it at the same moment, a new engine above all. Each one
    looks again after a random time, so that it knows of most that were
    sooner. A request that is late anyway lets those of all instances go
    first that can still be on time.

    Args:
        instances: Instances that hear each other.
        on_time: Whether the request can still be on time.
        rng: Random source.
    """
    bound_s = min(_CLAIM_MAX_S, _NEWS_S * instances)
    return rng.uniform(0.0, bound_s) + (0.0 if on_time else bound_s)


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
        """Whether it must not wait any longer."""
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


class Look(enum.Enum):
    """What came of a look for room."""

    WAIT = 'wait on'
    FOUND = 'room was found and is taken'
    TOO_LATE = 'no room was found in time'


@attrs.define
class Search:
    """One request that looks for room again and again.

    Attributes:
        ticket: The request.
        line: The line that it waits in.
        claims: Whether room was seen and is taken at the next look, if it is
            still there.
    """

    ticket: Ticket
    line: WaitingLine
    claims: bool = False

    def delay_s(
        self, now_s: float, instances: int, rng: random.Random
    ) -> float:
        """Time until the next look, in seconds.

        Args:
            now_s: Monotonic time.
            instances: Instances that hear each other.
            rng: Random source.
        """
        if self.claims:
            on_time = self.ticket.is_on_time(now_s)
            return claim_delay_s(instances, on_time, rng)
        return _CHECK_S * rng.uniform(0.5, 1.5)

    def look(self, now_s: float, has_room: Callable[[], bool]) -> Look:
        """Looks for room.

        Args:
            now_s: Monotonic time.
            has_room: Whether there is room now; asked when it is the
                request's turn.
        """
        claimed = self.claims
        self.claims = self.line.is_next(self.ticket, now_s) and has_room()
        if self.claims and claimed:
            return Look.FOUND
        if self.ticket.has_waited_out(now_s):
            return Look.TOO_LATE
        return Look.WAIT
