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
_WAIT_FACTOR_MAX = 3.2
# Between two looks for room, in seconds; digests of other instances arrive
# within about this time.
_POLL_S = 0.04
# Time until other instances know of what one of them sent, in seconds, and
# the most of it that one waits, which a large deployment would exceed.
_PROPAGATION_S = 0.008
_BACKOFF_MAX_S = 0.3


def backoff_s(instances: int, on_time: bool, rng: random.Random) -> float:
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
    bound_s = min(_BACKOFF_MAX_S, _PROPAGATION_S * instances)
    return rng.uniform(0.0, bound_s) + (0.0 if on_time else bound_s)


@attrs.define(eq=False)
class QueueEntry:
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

    def is_expired(self, now_s: float) -> bool:
        """Whether it must not wait any longer."""
        return now_s - self.arrived_s >= _WAIT_FACTOR_MAX * self.objective_s


@attrs.define
class RequestQueue:
    """Requests of one service that wait for room at this instance.

    Those that can still be on time go first, those with the earliest due
    time before the others; one that is late anyway loses little by waiting
    longer.
    """

    _entries: list[QueueEntry] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: QueueEntry) -> None:
        """Adds a request."""
        self._entries.append(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Removes a request."""
        self._entries.remove(entry)

    def is_next(self, entry: QueueEntry, now_s: float) -> bool:
        """Whether a request is the first to get room."""
        first = min(
            self._entries,
            key=lambda other: (not other.is_on_time(now_s), other.due_s),
        )
        return first is entry


class PollResult(enum.Enum):
    """What came of a look for room."""

    WAIT = 'wait on'
    ADMITTED = 'room was found and is taken'
    EXPIRED = 'no room was found in time'


@attrs.define
class AdmissionPoll:
    """One request that looks for room again and again.

    Attributes:
        ticket: The request.
        line: The line that it waits in.
        claims: Whether room was seen and is taken at the next look, if it is
            still there.
    """

    entry: QueueEntry
    queue: RequestQueue
    capacity_seen: bool = False

    def delay_s(
        self, now_s: float, instances: int, rng: random.Random
    ) -> float:
        """Time until the next look, in seconds.

        Args:
            now_s: Monotonic time.
            instances: Instances that hear each other.
            rng: Random source.
        """
        if self.capacity_seen:
            on_time = self.entry.is_on_time(now_s)
            return backoff_s(instances, on_time, rng)
        return _POLL_S * rng.uniform(0.5, 1.5)

    def poll(
        self, now_s: float, has_capacity: Callable[[], bool]
    ) -> PollResult:
        """Looks for room.

        Args:
            now_s: Monotonic time.
            has_room: Whether there is room now; asked when it is the
                request's turn.
        """
        seen_before = self.capacity_seen
        self.capacity_seen = (
            self.queue.is_next(self.entry, now_s) and has_capacity()
        )
        if self.capacity_seen and seen_before:
            return PollResult.ADMITTED
        if self.entry.is_expired(now_s):
            return PollResult.EXPIRED
        return PollResult.WAIT
