"""Queue of generations that wait until an engine admits them.

The queue is needed at peak load, see ``admission``.
"""

from collections.abc import Callable
from collections.abc import Set
import enum
import math
import random

import attrs

from dotterelweir_core.gateway import service_order

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
# Longest interval between two polls, as a multiple of the mean.
_POLL_SPREAD_MAX = 1.5
# Time until the other instances know of a request that one of them has sent,
# in seconds. The random backoff is bounded by this time multiplied by the
# number of instances.
_LOAD_DIGEST_DELAY_S = 0.008
# Upper bound of the random backoff, in seconds, however many instances there
# are.
_BACKOFF_MAX_S = 0.3
# Time constant of the decay of the rate of admissions, in seconds. Within
# about this time runs end and engines are replaced.
_RATE_DECAY_S = 10.0


def backoff_s(
    instances: int, on_time: bool, rng: random.Random, ahead: int = 0
) -> float:
    """Returns the backoff between finding capacity and using it, in seconds.

    All instances see free capacity at the same moment, especially when a new
    engine registers. Each polls again after a random backoff, when it has
    received the load of most instances that were faster. A request that can no
    longer be on time backs off longer than any that can, whatever its
    instance.

    A request that ranks behind the heads of other instances leaves each of
    them the time until others know of a request that it sent, after the time
    until it polls. No random time is needed then, as the heads have different
    numbers of others ahead.

    Args:
        instances: Number of instances that exchange digests.
        on_time: Whether the request can still be on time.
        rng: Random source.
        ahead: Number of heads of other queues that go before the request.
    """
    bound_s = min(_BACKOFF_MAX_S, _LOAD_DIGEST_DELAY_S * instances)
    late_s = 0.0 if on_time else bound_s
    if not ahead:
        return rng.uniform(0.0, bound_s) + late_s
    ahead_s = min(bound_s, _LOAD_DIGEST_DELAY_S * ahead)
    jitter_s = rng.uniform(0.0, _LOAD_DIGEST_DELAY_S)
    return _POLL_S * _POLL_SPREAD_MAX + ahead_s + jitter_s + late_s


@attrs.define(eq=False)
class QueueEntry:
    """A queued request.

    Attributes:
        arrived_s: Monotonic time of the arrival, in seconds.
        objective_s: Longest time from the arrival to the first event for
            the request to be on time, in seconds.
        urgency: Priority of the request; equal for all requests of a service
            without an order.
        organisation: Hash of its organisation; 0 without one.
        key: Key that is equal for equal requests of the same caller; empty if
            they need not be recognised.
        first_arrived_s: Monotonic time of the first attempt of the caller
            with this request, in seconds; equal to ``arrived_s`` if it is
            the first. It determines the due time by which the request is
            ordered.
        repeated: Whether an equal request of the same caller waits in the
            queue and goes first.
        deferred: Whether its last poll found capacity, but only at engines
            that it passes over while it waits for a faster one.
    """

    arrived_s: float
    objective_s: float
    urgency: service_order.Urgency = service_order.Urgency()
    organisation: int = 0
    key: str = ''
    first_arrived_s: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived_s, takes_self=True)
    )
    repeated: bool = False
    deferred: bool = False

    @property
    def due_s(self) -> float:
        """Monotonic time at which the objective ends, in seconds."""
        return self.first_arrived_s + self.objective_s

    @property
    def late_s(self) -> float:
        """Monotonic time from which it can no longer be on time."""
        return self.arrived_s + _ON_TIME_SHARE * self.objective_s

    def is_on_time(self, now_s: float) -> bool:
        """Whether the request can still get its first event in time."""
        return now_s - self.arrived_s < _ON_TIME_SHARE * self.objective_s

    def is_expired(self, now_s: float) -> bool:
        """Whether the request has reached its longest wait."""
        return now_s - self.arrived_s >= self.wait_max_s

    @property
    def wait_max_s(self) -> float:
        """Longest wait, in seconds."""
        return _WAIT_FACTOR_MAX * self.objective_s


@attrs.define
class AdmissionRate:
    """Recent rate at which a queue that is not empty gets capacity.

    One admission is added to those that were counted, so that a queue that
    has just begun to fill does not count as stuck.
    """

    _admitted: float = 0.0
    _busy_s: float = 0.0
    _updated_s: float = 0.0

    def advance(self, now_s: float, busy: bool) -> None:
        """Accounts for the time since the last call.

        Args:
            now_s: Monotonic time, in seconds.
            busy: Whether requests waited during that time.
        """
        elapsed_s = max(0.0, now_s - self._updated_s)
        factor = math.exp(-elapsed_s / _RATE_DECAY_S)
        self._admitted *= factor
        self._busy_s *= factor
        if busy:
            self._busy_s += _RATE_DECAY_S * (1.0 - factor)
        self._updated_s = max(self._updated_s, now_s)

    def record_admission(self) -> None:
        """Counts a request that left the queue with capacity."""
        self._admitted += 1.0

    def wait_s(self, place: int) -> float:
        """Returns the expected wait at a place of the queue, in seconds.

        Args:
            place: Place in the queue; 1 is its head.
        """
        return place * self._busy_s / (self._admitted + 1.0)


@attrs.define(eq=False)
class RequestQueue:
    """Requests of one service that wait for capacity at this instance.

    See ``service_order`` for the order. Without priorities and organisations
    to tell apart, requests that can still be on time come first, and within
    each group the one with the earliest due time. A request that is already
    late loses little by a longer wait.

    Attributes:
        key: The queue in messages to other instances.
        order: The order at all instances; None if all requests of the
            service have the same priority. Such a queue is not told to
            others, and no request of it is refused before its longest wait.
        sibling: Queue of the other kind of generations of the same service;
            None if there is none.
    """

    key: service_order.QueueKey = service_order.QueueKey(0, False)
    order: service_order.ServiceOrder | None = None
    sibling: 'RequestQueue | None' = None
    _entries: list[QueueEntry] = attrs.field(factory=list)
    _rate: AdmissionRate = attrs.field(factory=AdmissionRate)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: QueueEntry) -> None:
        """Adds a request."""
        self._rate.advance(entry.arrived_s, bool(self._entries))
        entry.repeated = self.has_equal(entry)
        self._entries.append(entry)
        if self.order is not None:
            self.order.add_waiting(entry.organisation)

    def remove(self, entry: QueueEntry) -> None:
        """Removes a request; an equal one of its caller takes its place."""
        self._entries.remove(entry)
        if not entry.repeated and (equals := self._equals(entry)):
            equals[0].repeated = False
        if self.order is not None:
            self.order.remove_waiting(entry.organisation)

    def record_admission(self, entry: QueueEntry, now_s: float) -> None:
        """Records that a request of the queue got capacity.

        An equal request of the same caller that waits as well gets its place
        anew, so that several of them gain nothing over a single one.

        Args:
            entry: The request.
            now_s: Monotonic time, in seconds.
        """
        self._rate.advance(now_s, busy=True)
        self._rate.record_admission()
        for other in self._equals(entry):
            other.first_arrived_s = now_s

    def is_next(self, entry: QueueEntry, now_s: float) -> bool:
        """Whether a request is at the head of the queue.

        In an ordered queue, the requests that pass over free capacity do not
        block the others. Urgent ones that arrive one after another would
        otherwise keep less urgent ones from engines that none of them uses.

        Args:
            entry: The request.
            now_s: Monotonic time, in seconds.
        """
        over_share = self._over_share(now_s)
        own = _rank(entry, over_share, now_s)
        own_seen = False
        for other in self._entries:
            if other is entry:
                own_seen = True
                continue
            if other.deferred and self.order is not None:
                continue
            rank = _rank(other, over_share, now_s)
            if rank < own or (rank == own and not own_seen):
                return False
        return True

    def find_head(self, now_s: float) -> QueueEntry | None:
        """Returns the first request; None if the queue is empty.

        Args:
            now_s: Monotonic time, in seconds.
        """
        over_share = self._over_share(now_s)
        return min(
            self._entries,
            key=lambda entry: _rank(entry, over_share, now_s),
            default=None,
        )

    def _over_share(self, now_s: float) -> Set[int]:
        if self.order is None:
            return frozenset()
        return self.order.over_share(now_s)

    def _equals(self, entry: QueueEntry) -> list[QueueEntry]:
        """Returns the other requests of the same caller that are equal."""
        return [
            other
            for other in self._entries
            if entry.key and other.key == entry.key and other is not entry
        ]

    def has_earlier(self, entry: QueueEntry, now_s: float) -> bool:
        """Whether a waiting request goes before one that arrives.

        Args:
            entry: The request that arrives.
            now_s: Monotonic time, in seconds.
        """
        over_share = self._over_share(now_s)
        own = _rank(entry, over_share, now_s)
        return self.has_equal(entry) or any(
            _rank(other, over_share, now_s) < own for other in self._entries
        )

    def count_ahead(self, entry: QueueEntry, now_s: float) -> int:
        """Returns the number of heads of other queues that go first.

        These are heads at other instances, and a more urgent one of the
        sibling: both kinds wait for the same engines. A prefill-bound request
        does not wait for the sibling, whose head waits for memory.

        Args:
            entry: The request, which may be outside the queue.
            now_s: Monotonic time, in seconds.
        """
        if self.order is None:
            return 0
        rank = _rank(entry, self.order.over_share(now_s), now_s)
        ahead = self.order.count_ahead(self.key, rank, now_s)
        if self.sibling is not None and not self.key.prefill_bound:
            head = self.sibling.find_head(now_s)
            ahead += head is not None and head.urgency < entry.urgency
        return ahead

    def may_send_at_once(self, entry: QueueEntry, now_s: float) -> bool:
        """Whether a request that arrives may take capacity without a wait.

        Args:
            entry: The request that arrives.
            now_s: Monotonic time, in seconds.
        """
        return self.order is None or not (
            self.has_earlier(entry, now_s) or self.count_ahead(entry, now_s)
        )

    def own_head(self, now_s: float) -> service_order.QueueHead | None:
        """Returns the head as told to others; None if there is none.

        Args:
            now_s: Monotonic time, in seconds.
        """
        entry = self.find_head(now_s)
        if entry is None or self.order is None:
            return None
        return service_order.QueueHead(
            self.key,
            entry.urgency,
            entry.late_s - now_s,
            entry.due_s - now_s,
            entry.organisation in self.order.over_share(now_s),
        )

    def is_hopeless(self, entry: QueueEntry, now_s: float) -> bool:
        """Whether a request is the last one and gets no capacity in time.

        The expected wait is that of a request which arrives now at its place.
        A request that is alone is therefore not refused early, however long
        it has waited.

        Args:
            entry: The request.
            now_s: Monotonic time, in seconds.
        """
        if self.order is None:
            return False
        if not self.accepted_in_s(entry, now_s):
            return False
        over_share = self._over_share(now_s)
        # The newest of equals is the last.
        last = max(
            reversed(self._entries),
            key=lambda other: _rank(other, over_share, now_s),
        )
        return last is entry

    def has_equal(self, entry: QueueEntry) -> bool:
        """Whether an equal request of the same caller waits."""
        return bool(self._equals(entry))

    def accepted_in_s(self, entry: QueueEntry, now_s: float) -> float:
        """Returns the time until the queue is short enough for a request.

        Args:
            entry: The request, which may be outside the queue.
            now_s: Monotonic time, in seconds.

        Returns:
            The time in seconds until the expected wait is as long as the
            longest wait; 0 if it is not longer.
        """
        if self.order is None:
            return 0.0
        return max(0.0, self.expected_wait_s(now_s) - entry.wait_max_s)

    def expected_wait_s(self, now_s: float) -> float:
        """Returns the expected wait of the last request, in seconds.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._rate.advance(now_s, bool(self._entries))
        return self._rate.wait_s(len(self._entries))


def _rank(
    entry: QueueEntry, over_share: Set[int], now_s: float
) -> service_order.Rank:
    """Returns the rank of a request.

    Args:
        entry: The request.
        over_share: Organisations that have used more than their share.
        now_s: Monotonic time, in seconds.
    """
    return (
        entry.urgency.priority,
        entry.urgency.route_priority,
        entry.repeated,
        not entry.is_on_time(now_s),
        entry.organisation in over_share,
        entry.due_s,
        entry.first_arrived_s,
    )


class PollResult(enum.Enum):
    """Result of a poll for capacity."""

    WAIT = 'keep waiting'
    ADMITTED = 'capacity was found and is used'
    EXPIRED = 'no capacity was found in time'
    REFUSED = 'capacity in time is not to be expected'


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
            ahead = self.queue.count_ahead(self.entry, now_s)
            return backoff_s(instances, on_time, rng, ahead)
        return _POLL_S * rng.uniform(0.5, _POLL_SPREAD_MAX)

    def poll(
        self, now_s: float, has_capacity: Callable[[], bool]
    ) -> PollResult:
        """Polls for capacity.

        Args:
            now_s: Monotonic time, in seconds.
            has_capacity: Returns whether an engine has capacity for the
                request, and sets ``entry.deferred``; called only if it is at
                the head of the queue.
        """
        seen_before = self.capacity_seen
        self.entry.deferred = False
        self.capacity_seen = (
            self.queue.is_next(self.entry, now_s) and has_capacity()
        )
        if self.capacity_seen and seen_before:
            return PollResult.ADMITTED
        if self.entry.is_expired(now_s):
            return PollResult.EXPIRED
        if self.capacity_seen or self.entry.deferred:
            return PollResult.WAIT
        if self.queue.is_hopeless(self.entry, now_s):
            return PollResult.REFUSED
        return PollResult.WAIT
