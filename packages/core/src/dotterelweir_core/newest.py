"""A map that keeps its newest entries."""

import collections
from typing import TypeVar

K = TypeVar('K')
V = TypeVar('V')


class NewestMap(collections.OrderedDict[K, V]):
    """Keeps a bounded number of entries and drops the oldest.

    Args:
        entries_max: Entries that are kept.
    """

    def __init__(self, entries_max: int) -> None:
        super().__init__()
        self._entries_max = entries_max

    def put(self, key: K, value: V) -> None:
        """Sets an entry, which is the newest one then."""
        self[key] = value
        self.move_to_end(key)
        if len(self) > self._entries_max:
            self.popitem(last=False)
