"""The queue of one pool: bands, priorities and fair queueing.

Requests wait in one queue per band of expected output. Within a band they
are ordered by priority and then by self-clocked fair queueing among the
organisations: each request gets a finish tag, the virtual time at which its
organisation will have used the expected tokens. A short request costs few
tokens and so gets an early tag.
"""

import heapq
import itertools

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths

BAND_COUNT = 3
SHORT, MEDIUM, LONG = range(BAND_COUNT)
# Finish tags that a band keeps before those of idle organisations are
# dropped.
_TAGS_MAX = 256


@attrs.define(eq=False)
class Entry:
    """A request in the queue.

    Attributes:
        item: The request.
        profile: Expected lengths of its route and organisation.
        band: Band of its expected output.
        timeout_at_s: Monotonic time at which it is refused, in seconds.
        expected_tokens: Tokens that it is expected to use, including the
            prompt.
        waiting: False once it was placed, refused or cancelled. The heaps
            drop such entries when they reach the top.
    """

    item: api.WorkItem
    profile: lengths.LengthProfile
    band: int
    timeout_at_s: float
    expected_tokens: float
    waiting: bool = True


@attrs.define(eq=False)
class _BandQueue:
    heap: list[tuple[int, float, int, Entry]] = attrs.field(factory=list)
    finish_tags: dict[str, float] = attrs.field(factory=dict)
    virtual_time: float = 0.0

    def start_tag(self, organisation: str) -> float:
        return max(self.virtual_time, self.finish_tags.get(organisation, 0.0))

    def prune(self) -> None:
        if len(self.finish_tags) > _TAGS_MAX:
            self.finish_tags = {
                name: tag
                for name, tag in self.finish_tags.items()
                if tag > self.virtual_time
            }


class EntryQueue:
    """Holds the requests of one pool that wait for a target.

    Args:
        fair_share: Whether organisations share the pool by tokens. If not,
            requests of equal priority in a band are served in the order of
            arrival.
    """

    def __init__(self, fair_share: bool = True) -> None:
        self._fair_share = fair_share
        self._band_queues = [_BandQueue() for _ in range(BAND_COUNT)]
        self._sequence = itertools.count()
        self._entries: dict[str, Entry] = {}
        self._timeouts: list[tuple[float, int, Entry]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: Entry) -> None:
        """Adds a request."""
        band_queue = self._band_queues[entry.band]
        sequence = next(self._sequence)
        tag = 0.0
        if self._fair_share:
            organisation = entry.item.organisation
            tag = band_queue.start_tag(organisation) + entry.expected_tokens
            band_queue.finish_tags[organisation] = tag
            band_queue.prune()
        heapq.heappush(
            band_queue.heap, (entry.item.priority, tag, sequence, entry)
        )
        heapq.heappush(self._timeouts, (entry.timeout_at_s, sequence, entry))
        self._entries[entry.item.request_id] = entry

    def heads(self) -> list[Entry]:
        """Returns the first request of each band, most urgent first."""
        heads = []
        for band, band_queue in enumerate(self._band_queues):
            while band_queue.heap and not band_queue.heap[0][3].waiting:
                heapq.heappop(band_queue.heap)
            if band_queue.heap:
                heads.append(
                    (band_queue.heap[0][0], band, band_queue.heap[0][3])
                )
        heads.sort(key=lambda head: head[:2])
        return [head[2] for head in heads]

    def dequeue(self, entry: Entry) -> None:
        """Removes a request that was placed.

        Advances the virtual time of its band.
        """
        band_queue = self._band_queues[entry.band]
        if band_queue.heap and band_queue.heap[0][3] is entry:
            tag = heapq.heappop(band_queue.heap)[1]
            band_queue.virtual_time = max(
                band_queue.virtual_time, tag - entry.expected_tokens
            )
        self.discard(entry.item.request_id)

    def discard(self, request_id: str) -> Entry | None:
        """Removes a request, if it is in the queue, and returns it."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            entry.waiting = False
        return entry

    def correct_usage(
        self,
        band: int,
        organisation: str,
        expected_tokens: float,
        used_tokens: float,
    ) -> None:
        """Replaces the expected by the used tokens in an organisation's tag.

        Args:
            band: Band of the request.
            organisation: Organisation of the request.
            expected_tokens: Tokens that the request was expected to use.
            used_tokens: Tokens that the request used.
        """
        band_queue = self._band_queues[band]
        tag = band_queue.finish_tags.get(organisation)
        if tag is not None:
            band_queue.finish_tags[organisation] = (
                tag + used_tokens - expected_tokens
            )

    def pop_expired(self, now_s: float) -> list[Entry]:
        """Removes and returns the requests that have timed out."""
        expired = []
        while self._timeouts and (
            not self._timeouts[0][2].waiting or self._timeouts[0][0] <= now_s
        ):
            entry = heapq.heappop(self._timeouts)[2]
            if entry.waiting:
                self.discard(entry.item.request_id)
                expired.append(entry)
        return expired

    def next_timeout_s(self) -> float | None:
        """Returns the monotonic time of the next timeout, or None."""
        while self._timeouts and not self._timeouts[0][2].waiting:
            heapq.heappop(self._timeouts)
        return self._timeouts[0][0] if self._timeouts else None

    def entries(self) -> list[Entry]:
        """Returns all waiting requests."""
        return list(self._entries.values())
