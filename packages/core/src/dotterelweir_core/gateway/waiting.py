"""Queue of generations that wait until an engine admits them.

The queue is needed at peak load, see ``admission``.
"""

from collections.abc import Callable
import enum
import random

import attrs

# Share of its objective for which a queued request still counts as one that
# can be on time. The rest is needed for its prefill.
_ON_TIME_SHARE = 0.65
# Longest wait, as a multiple of the objective. Callers give up a stream that
# has no first event after four times the objective. A request that has waited
# for most of that time is refused: sent to a full engine, it would delay
# requests that can still be on time, which would then delay the next ones.
_WAIT_FACTOR_MAX = 3.2
# Mean interval between two polls for capacity, in seconds. The load digests of
# other instances arrive within about this time.
_POLL_S = 0.04
# Time until the other instances know of a request that one of them has sent,
# in seconds. The random backoff is bounded by this time multiplied by the
# number of instances.
_LOAD_DIGEST_DELAY_S = 0.008
# Upper bound of the random backoff, in seconds, however many instances there
# are.
_BACKOFF_MAX_S = 0.3


def backoff_s(instances: int, on_time: bool, rng: random.Random) -> float:
    """Returns the backoff between finding capacity and using it, in seconds.

    All instances see free capacity at the same moment, especially when a new
    engine registers. Each polls again after a random backoff, when it has
    received the load of most instances that were faster. A request that can no
    longer be on time backs off longer than any that can, whatever its
    instance.

    Args:
        instances: Number of instances that exchange digests.
        on_time: Whether the request can still be on time.
        rng: Random source.
    """
    bound_s = min(_BACKOFF_MAX_S, _LOAD_DIGEST_DELAY_S * instances)
    return rng.uniform(0.0, bound_s) + (0.0 if on_time else bound_s)


@attrs.define(eq=False)
class QueueEntry:
    """A queued request.

    Attributes:
        arrived_s: Monotonic time of the arrival, in seconds.
        objective_s: Longest time from the arrival to the first event for
            the request to be on time, in seconds.
    """

    arrived_s: float
    objective_s: float

    @property
    def due_s(self) -> float:
        """Monotonic time at which the objective ends, in seconds."""
        return self.arrived_s + self.objective_s

    def is_on_time(self, now_s: float) -> bool:
        """Whether the request can still get its first event in time."""
        return now_s - self.arrived_s < _ON_TIME_SHARE * self.objective_s

    def is_expired(self, now_s: float) -> bool:
        """Whether the request has reached its longest wait."""
        return now_s - self.arrived_s >= _WAIT_FACTOR_MAX * self.objective_s


@attrs.define
class RequestQueue:
    """Requests of one service that wait for capacity at this instance.

    Requests that can still be on time come first, and within each group the
    one with the earliest due time. A request that is already late loses
    little by a longer wait.
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
        """Whether a request is at the head of the queue.

        Args:
            entry: The request.
            now_s: Monotonic time, in seconds.
        """
        first = min(
            self._entries,
            key=lambda other: (not other.is_on_time(now_s), other.due_s),
        )
        return first is entry


class PollResult(enum.Enum):
    """Result of a poll for capacity."""

    WAIT = 'keep waiting'
    ADMITTED = 'capacity was found and is used'
    EXPIRED = 'no capacity was found in time'


@attrs.define
class AdmissionPoll:
    """Repeated polls for capacity on behalf of one queued request.

    Attributes:
        entry: The request.
        queue: The queue that holds the request.
        capacity_seen: Whether the last poll found capacity with the request
            at the head of the queue. The request is admitted if the next
            poll finds the same.
    """

    entry: QueueEntry
    queue: RequestQueue
    capacity_seen: bool = False

    def delay_s(
        self, now_s: float, instances: int, rng: random.Random
    ) -> float:
        """Returns the time until the next poll, in seconds.

        Args:
            now_s: Monotonic time, in seconds.
            instances: Number of instances that exchange digests.
            rng: Random source.
        """
        if self.capacity_seen:
            on_time = self.entry.is_on_time(now_s)
            return backoff_s(instances, on_time, rng)
        return _POLL_S * rng.uniform(0.5, 1.5)

    def poll(
        self, now_s: float, has_capacity: Callable[[], bool]
    ) -> PollResult:
        """Polls for capacity.

        Args:
            now_s: Monotonic time, in seconds.
            has_capacity: Returns whether an engine has capacity for the
                request; called only if it is at the head of the queue.
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
