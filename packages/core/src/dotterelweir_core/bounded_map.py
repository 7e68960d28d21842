"""A bounded map that evicts its oldest entry."""

import collections
from typing import TypeVar

K = TypeVar('K')
V = TypeVar('V')


class BoundedMap(collections.OrderedDict[K, V]):
    """Holds a bounded number of entries in the order of their last ``put``.

    Args:
        entries_max: Maximum number of entries.
    """

    def __init__(self, entries_max: int) -> None:
        super().__init__()
        self._entries_max = entries_max

    def put(self, key: K, value: V) -> None:
        """Sets an entry as the newest; evicts the oldest above the limit."""
        self[key] = value
        self.move_to_end(key)
        if len(self) > self._entries_max:
            self.popitem(last=False)
