"""Order in which waiting generations get capacity, at all instances.

The order matters when more generations arrive than the engines can serve in
time: it decides which of them are late or refused. Generations of a service
are ordered by priority, then those that can still be on time come first, then
organisations that have used less than their share, then the earliest due
time, then the earliest arrival.
"""

import math
import zlib

import attrs

# Time constant of the decay of an organisation's use, in seconds. It spans
# the run of a usual long generation, so that the use is about what the
# organisation holds at the engines.
_USE_DECAY_S = 10.0
# Time for which the organisations above their share are kept, in seconds. Each
# waiting request asks for them every 0.04 s. At 370 instances that all have
# waiting requests, finding them takes 0.3 ms.
_OVER_SHARE_VALID_S = 0.2
# Use below which an organisation is forgotten, in tokens.
_USE_TOKENS_MIN = 1.0
# Maximum number of organisations in a digest; those with the greatest use are
# kept, as only these can be above their share.
USES_MAX = 8


def hash_name(name: str) -> int:
    """Returns a number of fixed size that stands for a name in digests."""
    return zlib.crc32(name.encode())


def _decay(elapsed_s: float) -> float:
    """Returns the share of a use that is left after a time in seconds."""
    return math.exp(-max(0.0, elapsed_s) / _USE_DECAY_S)


@attrs.frozen(order=True)
class Urgency:
    """Priority of a generation; the smallest is the most urgent.

    Attributes:
        priority: Priority of the organisation, or of the route if the
            organisation has none.
        route_priority: Priority of the route, which decides between requests
            of organisations with the same priority.
    """

    priority: int = 0
    route_priority: int = 0


# Place of a waiting generation in the order; the smallest is served first. The
# fields are priority and route priority, whether an equal request of the same
# caller goes first, whether it is late, whether its organisation has used more
# than its share, and the monotonic times at which it is due and arrived, in
# seconds. A tuple, as each poll of each waiting request compares many.
Rank = tuple[int, int, bool, bool, bool, float, float]


@attrs.frozen
class QueueKey:
    """Queue of the generations of one service and kind.

    Attributes:
        service_hash: Hash of the name of the service.
        prefill_bound: Whether the queue holds prefill-bound generations.
    """

    service_hash: int
    prefill_bound: bool


@attrs.frozen
class QueueHead:
    """First generation in a queue, as told to the other instances.

    Attributes:
        queue: The queue.
        urgency: Priority of the generation.
        late_in_s: Time until it can no longer be on time, in seconds;
            negative if it cannot be on time.
        due_in_s: Time until its objective ends, in seconds; may be negative.
        over_share: Whether its organisation has used more than its share.
    """

    queue: QueueKey
    urgency: Urgency
    late_in_s: float
    due_in_s: float
    over_share: bool


@attrs.frozen
class WaitingState:
    """What an instance tells the others about its waiting generations.

    Attributes:
        heads: Heads of its queues that are not empty.
        uses: Tokens that it has admitted lately, by hash of the
            organisation; only organisations with waiting generations.
    """

    heads: tuple[QueueHead, ...] = ()
    uses: dict[int, float] = attrs.field(factory=dict)


@attrs.frozen
class _KnownHead:
    """A head of a peer's queue, with times of this instance's clock."""

    head: QueueHead
    received_s: float

    def rank(self, now_s: float) -> Rank:
        """Returns the present rank; the arrival is not known."""
        head = self.head
        return (
            head.urgency.priority,
            head.urgency.route_priority,
            False,
            now_s >= self.received_s + head.late_in_s,
            head.over_share,
            self.received_s + head.due_in_s,
            0.0,
        )


@attrs.define
class _Use:
    """Tokens admitted for an organisation, with exponential decay."""

    tokens: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        """Returns the tokens at a time, in seconds."""
        return self.tokens * _decay(now_s - self.updated_s)

    def add(self, tokens: float, now_s: float) -> None:
        """Adds tokens at a time, in seconds."""
        self.tokens = self.at(now_s) + tokens
        self.updated_s = now_s


class ServiceOrder:
    """What this instance knows of the order at all instances.

    What a peer has told is used until its next digest, or until the peer is
    removed because it is silent. A lost digest or an instance that has ended
    therefore delays others no longer than its digests are valid.
    """

    def __init__(self) -> None:
        self._uses: dict[int, _Use] = {}
        self._peer_heads: dict[str, tuple[_KnownHead, ...]] = {}
        # By peer: monotonic time of its digest in seconds, and tokens by hash
        # of the organisation.
        self._peer_uses: dict[str, tuple[float, dict[int, float]]] = {}
        # Numbers of own waiting requests, by hash of the organisation.
        self._waiting: dict[int, int] = {}
        self._over_share: set[int] = set()
        self._over_share_s = float('-inf')

    def add_waiting(self, organisation: int) -> None:
        """Counts a request of an organisation that begins to wait."""
        self._waiting[organisation] = self._waiting.get(organisation, 0) + 1

    def remove_waiting(self, organisation: int) -> None:
        """Counts a request of an organisation that no longer waits."""
        count = self._waiting.get(organisation, 0) - 1
        if count > 0:
            self._waiting[organisation] = count
        else:
            self._waiting.pop(organisation, None)

    def record_use(
        self, organisation: int, tokens: float, now_s: float
    ) -> None:
        """Records a generation that was admitted.

        Args:
            organisation: Hash of the organisation.
            tokens: Tokens that the generation is expected to hold.
            now_s: Monotonic time, in seconds.
        """
        if organisation not in self._uses:
            self._uses = {
                name: use
                for name, use in self._uses.items()
                if use.at(now_s) >= _USE_TOKENS_MIN
            }
        self._uses.setdefault(organisation, _Use()).add(tokens, now_s)

    def over_share(self, now_s: float) -> set[int]:
        """Returns the organisations that have used more than their share.

        The share is an equal part of what the organisations with waiting
        generations have used; there is none if there is only one of them.

        Args:
            now_s: Monotonic time, in seconds.

        Returns:
            Hashes of the organisations.
        """
        if now_s - self._over_share_s >= _OVER_SHARE_VALID_S:
            self._over_share = self._find_over_share(now_s)
            self._over_share_s = now_s
        return self._over_share

    def _find_over_share(self, now_s: float) -> set[int]:
        uses: dict[int, float] = dict.fromkeys(self._waiting, 0.0)
        for received_s, peer_uses in self._peer_uses.values():
            factor = _decay(now_s - received_s)
            for name, tokens in peer_uses.items():
                uses[name] = uses.get(name, 0.0) + factor * tokens
        if len(uses) < 2:
            return set()
        for name, use in self._uses.items():
            if name in uses:
                uses[name] += use.at(now_s)
        share = sum(uses.values()) / len(uses)
        return {name for name, use in uses.items() if use > share}

    def own_uses(self, now_s: float) -> dict[int, float]:
        """Returns the own use of organisations with own waiting requests.

        Args:
            now_s: Monotonic time, in seconds.
        """
        uses = {
            name: self._uses[name].at(now_s) if name in self._uses else 0.0
            for name in self._waiting
        }
        greatest = sorted(uses, key=uses.__getitem__, reverse=True)
        return {name: uses[name] for name in greatest[:USES_MAX]}

    def set_peer(
        self, peer_id: str, state: WaitingState | None, now_s: float
    ) -> None:
        """Replaces what another instance has told.

        Args:
            peer_id: Id of the instance.
            state: The state in its digest; None if nothing waits there.
            now_s: Monotonic time, in seconds.
        """
        if state is None:
            self.drop_peer(peer_id)
            return
        self._peer_heads[peer_id] = tuple(
            _KnownHead(head, now_s) for head in state.heads
        )
        self._peer_uses[peer_id] = (now_s, state.uses)

    def drop_peer(self, peer_id: str) -> None:
        """Removes what another instance has told."""
        self._peer_heads.pop(peer_id, None)
        self._peer_uses.pop(peer_id, None)

    def count_ahead(self, queue: QueueKey, rank: Rank, now_s: float) -> int:
        """Returns how many heads of other instances go before a request.

        A more urgent head of the other kind counts as well, as both kinds
        wait for the same engines, but not before a prefill-bound request:
        these only wait for other prompts, while the others wait for memory
        that it holds for a short time.

        Args:
            queue: Queue of the request.
            rank: Rank of the request.
            now_s: Monotonic time, in seconds.
        """
        return sum(
            known.rank(now_s) < rank
            if known.head.queue == queue
            else not queue.prefill_bound and known.rank(now_s)[:2] < rank[:2]
            for heads in self._peer_heads.values()
            for known in heads
            if known.head.queue.service_hash == queue.service_hash
        )
