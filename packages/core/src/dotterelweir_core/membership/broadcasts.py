"""Queue of updates piggybacked on other datagrams, and a token bucket."""

from collections.abc import Hashable

import attrs

from dotterelweir_core.membership import messages

# Updates of a lower rank are sent first.
LEAVING_RANK = 0
FAILURE_RANK = 1
JOIN_RANK = 2
# Bounds the queue when a large group starts at once. Without a bound, joins of
# 370 members fill it for a minute, and sorting it takes a tenth of the time of
# the protocol. Joins that are dropped from the queue still spread, because
# pages of the full state contain all members.
QUEUED_JOINS_MAX = 64


@attrs.define
class _QueuedUpdate:
    """An update in the queue.

    Attributes:
        update: Record of a member, or leaving notice.
        size_bytes: Upper bound of its encoded size.
        rank: Send order; lower ranks go first.
        send_count: How often it has been sent.
    """

    update: messages.Member | messages.Leaving
    size_bytes: int
    rank: int
    send_count: int = 0


class UpdateQueue:
    """Updates that are each sent a bounded number of times.

    Updates of a lower rank go first, within a rank the least often sent ones,
    and of equally often sent ones the newest. A newer update about the same
    member, or the same incarnation of a target, replaces the older one.
    """

    def __init__(self) -> None:
        self._queued: dict[Hashable, _QueuedUpdate] = {}
        # Joins that were sent or replaced are counted until the oldest ones
        # are dropped.
        self._joins_upper_bound = 0

    def __len__(self) -> int:
        return len(self._queued)

    def add(
        self,
        update: messages.Member | messages.Leaving,
        refutes: bool = False,
    ) -> None:
        """Queues an update.

        Args:
            update: Record of a member, or leaving notice.
            refutes: Whether it refutes a suspicion; it then gets the rank of
                a suspicion.
        """
        match update:
            case messages.Member():
                key: Hashable = update.member_id
                size = messages.member_bytes(update)
            case messages.Leaving():
                key = (update.target_id, update.incarnation)
                size = messages.leaving_bytes(update)
        self._queued.pop(key, None)
        rank = FAILURE_RANK if refutes else _rank(update)
        self._queued[key] = _QueuedUpdate(update, size, rank)
        if rank == JOIN_RANK:
            self._joins_upper_bound += 1
            if self._joins_upper_bound > QUEUED_JOINS_MAX:
                self._drop_oldest_joins()

    @property
    def has_unsent_leaving(self) -> bool:
        """Whether a queued leaving notice has not been sent at all."""
        return any(
            queued.rank == LEAVING_RANK and not queued.send_count
            for queued in self._queued.values()
        )

    def take(
        self, max_bytes: int, leaving_max_bytes: int, max_sends: int
    ) -> tuple[list[messages.Member], list[messages.Leaving], int]:
        """Selects the updates of one datagram and counts them as sent.

        Args:
            max_bytes: Limit of the total size up to which member records are
                added.
            leaving_max_bytes: The same limit for leaving notices; may exceed
                ``max_bytes``.
            max_sends: How often each update is sent before it is removed.
                Leaving notices are sent four more times, because one fan-out
                uses up that many.

        Returns:
            Records of members, leaving notices, and their size in bytes.
        """
        members: list[messages.Member] = []
        leaving: list[messages.Leaving] = []
        used_bytes = 0
        if not self._queued:
            return members, leaving, used_bytes
        # The sort is stable: with equal keys the newest stay first.
        ordered = sorted(
            reversed(self._queued.items()),
            key=lambda entry: (entry[1].rank, entry[1].send_count),
        )
        for key, queued in ordered:
            size_limit_bytes = max_bytes
            if isinstance(queued.update, messages.Leaving):
                size_limit_bytes = leaving_max_bytes
            if used_bytes + queued.size_bytes > size_limit_bytes:
                continue
            used_bytes += queued.size_bytes
            queued.send_count += 1
            match queued.update:
                case messages.Member() as member:
                    members.append(member)
                    send_limit = max_sends
                case messages.Leaving() as notice:
                    leaving.append(notice)
                    send_limit = max_sends + 4
            if queued.send_count >= send_limit:
                del self._queued[key]
        return members, leaving, used_bytes

    def _drop_oldest_joins(self) -> None:
        joins = [
            key
            for key, queued in self._queued.items()
            if queued.rank == JOIN_RANK
        ]
        for key in joins[: -QUEUED_JOINS_MAX // 2]:
            del self._queued[key]
        self._joins_upper_bound = min(len(joins), QUEUED_JOINS_MAX // 2)


def _rank(update: messages.Member | messages.Leaving) -> int:
    # Leaving notices have to reach all instances within 3 s. Failures come
    # before joins, because joins also spread with pages of the full state.
    match update:
        case messages.Leaving():
            return LEAVING_RANK
        case messages.Member(state=messages.MemberState.ALIVE):
            return JOIN_RANK
        case _:
            return FAILURE_RANK


@attrs.define
class TokenBucket:
    """A token bucket that limits the bytes sent.

    Attributes:
        rate_bytes_per_s: Average rate.
        burst_bytes: Capacity, and the most that it may be overdrawn.
    """

    rate_bytes_per_s: float
    burst_bytes: float
    _balance_bytes: float = attrs.field(init=False)
    _updated_s: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._balance_bytes = self.burst_bytes

    def available(self, now_s: float) -> int:
        """Refills the bucket and returns the bytes that may be sent now.

        Args:
            now_s: The time.

        Returns:
            The balance in bytes; negative while it is overdrawn.
        """
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._balance_bytes = min(
                self.burst_bytes,
                self._balance_bytes + elapsed_s * self.rate_bytes_per_s,
            )
        self._updated_s = now_s
        return int(self._balance_bytes)

    def spend(self, size_bytes: int) -> None:
        """Deducts bytes that are sent.

        Probes are sent even with a negative balance, so the bucket may be
        overdrawn by up to one burst.

        Args:
            size_bytes: Size of the datagram.
        """
        self._balance_bytes = max(
            -self.burst_bytes, self._balance_bytes - size_bytes
        )
