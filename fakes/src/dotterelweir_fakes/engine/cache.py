"""Prefix cache of the engine and the events that it publishes."""

import collections
import random
import typing

from dotterelweir_core import timers
from dotterelweir_core.delivery import prompts


class PrefixCache:
    """Prefix cache of prompt blocks with LRU eviction.

    Args:
        timer: Source of time.
        rng: Random source that selects the lost events.
        capacity_blocks: Maximum number of cached blocks.
        lag_s: Delay until an event is published, in seconds.
        gap_ratio: Fraction of the events that are lost, 0 to 1.
        retained: Maximum number of events that are retained.
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
        """Returns the length of the longest cached prefix, in tokens.

        Args:
            hashes: Hashes of the prompt's prefixes, the shortest first.
        """
        blocks = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                break
            blocks += 1
        return blocks * prompts.BLOCK_TOKENS

    def store(self, hashes: tuple[int, ...]) -> None:
        """Stores the blocks of a prompt and evicts others beyond capacity.

        Args:
            hashes: Hashes of the prompt's prefixes, the shortest first.
        """
        # The first blocks of a prompt are shared with the most other prompts,
        # so they become the most recently used.
        for prefix_hash in reversed(hashes):
            if prefix_hash not in self._blocks:
                self._publish('stored', prefix_hash)
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish('removed', evicted)

    def events_from(self, start: int) -> dict[str, typing.Any]:
        """Returns the published events from a sequence number onwards."""
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
