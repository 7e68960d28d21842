"""The prefix cache of the engine and the events that it publishes."""

import collections
import random
import typing

from dotterelweir_core import timers
from dotterelweir_core.delivery import prompts


class PrefixCache:
    """Cached prompt blocks in least recently used order.

    Args:
        timer: Source of time.
        rng: Random source of the gaps.
        capacity_blocks: Most blocks that are kept.
        lag_s: How late an event is published.
        gap_ratio: Part of the events that are never published.
        retained: Number of events that can still be read.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        capacity_blocks: int,
        lag_s: float,
        gap_ratio: float,
        retained: int = 1024,
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._capacity_blocks = capacity_blocks
        self._lag_s = lag_s
        self._gap_ratio = gap_ratio
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, int, str, int]] = (
            collections.deque(maxlen=retained)
        )
        self._next_sequence = 0

    def cached_tokens(self, hashes: tuple[int, ...]) -> int:
        """Tokens of the longest cached prefix."""
        blocks = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            blocks += 1
        return blocks * prompts.BLOCK_TOKENS

    def store(self, hashes: tuple[int, ...]) -> None:
        """Keeps the blocks of a prompt and evicts the oldest ones."""
        # The first blocks are shared most, so they become the most recent.
        for prefix_hash in reversed(hashes):
            if prefix_hash not in self._blocks:
                self._publish('stored', prefix_hash)
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish('removed', evicted)

    def events_from(self, start: int) -> dict[str, typing.Any]:
        """The published events from a sequence number on."""
        visible_s = self._timer.monotonic_s() - self._lag_s
        published = [event for event in self._events if event[0] <= visible_s]
        first = self._events[0][1] if self._events else self._next_sequence
        end = published[-1][1] + 1 if published else first
        return {
            'first_available': first,
            'end': end,
            'events': [
                {
                    'sequence': sequence,
                    'kind': kind,
                    'prefix_hash': prefix_hash,
                }
                for _, sequence, kind, prefix_hash in published
                if sequence >= start
            ],
        }

    def _publish(self, kind: str, prefix_hash: int) -> None:
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._rng.random() >= self._gap_ratio:
            self._events.append(
                (self._timer.monotonic_s(), sequence, kind, prefix_hash)
            )
