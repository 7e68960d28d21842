"""Bounded index of the prompt prefixes that each engine has cached."""

import enum

import attrs

from dotterelweir_core import newest


class CacheEventKind(enum.StrEnum):
    """What happened to a cached prefix."""

    STORED = 'stored'
    REMOVED = 'removed'


@attrs.frozen
class CacheEvent:
    """One change of an engine's cache.

    Attributes:
        sequence: Number of the event; rises by one.
        kind: What happened.
        prefix_hash: Hash of the prefix.
    """

    sequence: int
    kind: CacheEventKind
    prefix_hash: int


class PrefixIndex:
    """The cached prefixes of one engine, as its events tell them.

    After a gap in the events the index is emptied: a removal may have been
    missed, and a wrong match draws work to an engine for nothing.

    Args:
        hashes_max: Hashes that are remembered; the oldest are dropped.
    """

    def __init__(self, hashes_max: int) -> None:
        self._hashes: newest.NewestMap[int, None] = newest.NewestMap(
            hashes_max
        )
        self._next_sequence: int | None = None

    @property
    def next_sequence(self) -> int:
        """The first event that is not yet known."""
        return self._next_sequence or 0

    def apply(
        self, events: tuple[CacheEvent, ...], first_available: int = 0
    ) -> bool:
        """Takes note of events in order.

        Args:
            events: The events from ``next_sequence`` on.
            first_available: First event that the engine still has.

        Returns:
            Whether there was no gap.
        """
        complete = True
        if self._next_sequence is not None:
            complete = first_available <= self._next_sequence
        if not complete:
            self._hashes.clear()
            self._next_sequence = first_available
        for event in events:
            complete = self._apply_event(event) and complete
        return complete

    def match_length(self, prefix_hashes: tuple[int, ...]) -> int:
        """How many prefixes, shortest first, are cached."""
        count = 0
        for prefix_hash in prefix_hashes:
            if prefix_hash not in self._hashes:
                break
            count += 1
        return count

    def _apply_event(self, event: CacheEvent) -> bool:
        expected = self._next_sequence
        if expected is not None and event.sequence < expected:
            return True
        complete = expected is None or event.sequence == expected
        if not complete:
            self._hashes.clear()
        self._next_sequence = event.sequence + 1
        match event.kind:
            case CacheEventKind.STORED:
                self._hashes.put(event.prefix_hash, None)
            case CacheEventKind.REMOVED:
                self._hashes.pop(event.prefix_hash, None)
        return complete
