"""The entry queue of one pool: bands, priority and fair share.

Work waits in one lane per band of expected output. Within a lane the order
is priority, then self-clocked fair queueing by organisation: each request
gets a finish tag, the tokens that its organisation will have used relative
to the others. A short request has a small cost and so an early tag.
"""

import heapq
import itertools

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths

BANDS = 3
SHORT, MEDIUM, LONG = range(BANDS)
# Organisations whose tags are kept in one lane before idle ones are dropped.
_TAGS_MAX = 256


@attrs.define(eq=False)
class Entry:
    """A request in the queue.

    Attributes:
        item: The request.
        profile: Expected lengths of its route and organisation.
        band: Its lane.
        give_up_s: When it is refused.
        expected: Tokens that it is expected to need, prompt included.
        waiting: False once it was placed, refused or cancelled.
    """

    item: api.WorkItem
    profile: lengths.Profile
    band: int
    give_up_s: float
    expected: float
    waiting: bool = True


@attrs.define(eq=False)
class _Lane:
    heap: list[tuple[int, float, int, Entry]] = attrs.field(factory=list)
    finish: dict[str, float] = attrs.field(factory=dict)
    virtual: float = 0.0

    def start_tag(self, organisation: str) -> float:
        return max(self.virtual, self.finish.get(organisation, 0.0))

    def prune(self) -> None:
        if len(self.finish) > _TAGS_MAX:
            self.finish = {
                name: tag
                for name, tag in self.finish.items()
                if tag > self.virtual
            }


class EntryQueue:
    """Requests of one pool that wait for a target.

    Args:
        fair_share: Whether organisations share by tokens; if not, lanes are
            served in the order of arrival.
    """

    def __init__(self, fair_share: bool = True) -> None:
        self._fair_share = fair_share
        self._lanes = [_Lane() for _ in range(BANDS)]
        self._sequence = itertools.count()
        self._entries: dict[str, Entry] = {}
        self._timeouts: list[tuple[float, int, Entry]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: Entry) -> None:
        """Adds a request."""
        lane = self._lanes[entry.band]
        sequence = next(self._sequence)
        tag = 0.0
        if self._fair_share:
            organisation = entry.item.organisation
            tag = lane.start_tag(organisation) + entry.expected
            lane.finish[organisation] = tag
            lane.prune()
        heapq.heappush(lane.heap, (entry.item.priority, tag, sequence, entry))
        heapq.heappush(self._timeouts, (entry.give_up_s, sequence, entry))
        self._entries[entry.item.request_id] = entry

    def heads(self) -> list[Entry]:
        """The first request of each lane, most urgent first."""
        heads = []
        for band, lane in enumerate(self._lanes):
            while lane.heap and not lane.heap[0][3].waiting:
                heapq.heappop(lane.heap)
            if lane.heap:
                heads.append((lane.heap[0][0], band, lane.heap[0][3]))
        heads.sort(key=lambda head: head[:2])
        return [head[2] for head in heads]

    def take(self, entry: Entry) -> None:
        """Removes a request that was placed and advances its lane."""
        lane = self._lanes[entry.band]
        if lane.heap and lane.heap[0][3] is entry:
            tag = heapq.heappop(lane.heap)[1]
            lane.virtual = max(lane.virtual, tag - entry.expected)
        self.drop(entry.item.request_id)

    def drop(self, request_id: str) -> Entry | None:
        """Removes a request, if it waits."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            entry.waiting = False
        return entry

    def settle(
        self, band: int, organisation: str, expected: float, used: float
    ) -> None:
        """Corrects an organisation's share by what a request really used."""
        lane = self._lanes[band]
        tag = lane.finish.get(organisation)
        if tag is not None:
            lane.finish[organisation] = tag + used - expected

    def expired(self, now_s: float) -> list[Entry]:
        """Removes and returns the requests that waited too long."""
        expired = []
        while self._timeouts and (
            not self._timeouts[0][2].waiting or self._timeouts[0][0] <= now_s
        ):
            entry = heapq.heappop(self._timeouts)[2]
            if entry.waiting:
                self.drop(entry.item.request_id)
                expired.append(entry)
        return expired

    def next_timeout_s(self) -> float | None:
        """When the next request has waited too long."""
        while self._timeouts and not self._timeouts[0][2].waiting:
            heapq.heappop(self._timeouts)
        return self._timeouts[0][0] if self._timeouts else None

    def entries(self) -> list[Entry]:
        """All waiting requests."""
        return list(self._entries.values())
