"""Bounded index of the prompt prefixes that each engine has cached."""

import enum

import attrs

from dotterelweir_core import bounded_map


class CacheEventKind(enum.StrEnum):
    """The kind of change to a cached prefix."""

    STORED = 'stored'
    REMOVED = 'removed'


@attrs.frozen
class CacheEvent:
    """One change of an engine's cache.

    Attributes:
        sequence: Sequence number of the event; increases by one.
        kind: Whether the prefix was stored or removed.
        prefix_hash: Hash of the prefix.
    """

    sequence: int
    kind: CacheEventKind
    prefix_hash: int


class PrefixIndex:
    """Holds the cached prefixes of one engine, derived from its events.

    A gap in the events clears the index: a removal may have been missed, and
    a stale match would send work to an engine without any cache benefit.

    Args:
        hashes_max: Maximum number of hashes; the oldest are dropped.
    """

    def __init__(self, hashes_max: int) -> None:
        self._hashes: bounded_map.BoundedMap[int, None] = (
            bounded_map.BoundedMap(hashes_max)
        )
        self._next_sequence: int | None = None

    @property
    def next_sequence(self) -> int:
        """Sequence number of the first event that was not applied yet."""
        return self._next_sequence or 0

    def apply(
        self, events: tuple[CacheEvent, ...], first_available: int = 0
    ) -> bool:
        """Applies events in order.

        Args:
            events: The events from ``next_sequence`` on.
            first_available: Sequence number of the oldest event that the
                engine still has.

        Returns:
            Whether the events were complete, without a gap.
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
        """Counts the leading prefixes of a prompt that are cached.

        Args:
            prefix_hashes: Hashes of the prompt's prefixes, shortest first.

        Returns:
            Number of prefixes before the first one that is not cached.
        """
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
