"""Roster of instances in the platform's store.

Instances that hear each other form a group. Each group keeps a few entries in
the roster, and its members read it now and then, so that groups that know
nobody in common find each other. An instance that hears nobody enters itself
before it reads: of two that start together, the later one sees the other.

The store gets one read in ``READ_INTERVAL_S`` from a group of any size, and a
write when an instance with an entry is replaced.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random

import attrs

# Mean time between two reads of the roster by a group, in seconds.
READ_INTERVAL_S = 5.0
# Time after which an instance that hears nobody reads the roster for the first
# time, in seconds. Its seeds answer sooner, if they are not stale.
FIRST_READ_S = 0.5
# Time between two attempts while the store does not answer, in seconds.
RETRY_S = 1.0
# Number of entries of a group. One may belong to an instance that has died.
_GROUP_ENTRIES = 3
# Time after which the entry of an instance that was not heard is removed, in
# seconds. If it is alive, its group enters it again.
_REMOVE_S = 60.0


@attrs.frozen
class Entry:
    """Entry of an instance in the roster.

    Attributes:
        instance_id: Id of the instance.
        host: Its IP address.
        offset: Offset of the entry in the store.
    """

    instance_id: str
    host: str
    offset: int = 0


@attrs.frozen
class Plan:
    """What follows from a read of the roster.

    Attributes:
        contacts: Addresses of instances that are not heard.
        is_found: Whether other groups find this one by the entries.
        enter: Whether this instance should enter itself.
        remove: Ids whose entries should be removed.
    """

    contacts: tuple[str, ...]
    is_found: bool
    enter: bool
    remove: tuple[str, ...]


def read_delay_s(instance_count: int, rng: random.Random) -> float:
    """Draws the time until the next read of the roster by this instance.

    Args:
        instance_count: Number of instances that this one hears, itself
            included.
        rng: Random source.

    Returns:
        The time, in seconds.
    """
    return rng.uniform(0.5, 1.5) * READ_INTERVAL_S * instance_count


class Roster:
    """Decides what an instance does about the roster.

    Args:
        instance_id: Id of this instance.
        host: Its IP address.

    Attributes:
        is_entered: Whether the roster has this instance at its address.
    """

    def __init__(self, instance_id: str, host: str) -> None:
        self._instance_id = instance_id
        self._host = host
        # Offset of each entry of an instance that is not heard, and the
        # monotonic time at which it was first read, in seconds.
        self._unheard: dict[str, tuple[int, float]] = {}
        self.is_entered = False

    def apply(
        self, entries: Iterable[Entry], heard: Collection[str], now_s: float
    ) -> Plan:
        """Applies a read of the roster.

        Args:
            entries: The entries.
            heard: Ids of the other instances that are heard.
            now_s: Monotonic time, in seconds.

        Returns:
            What should be done.
        """
        by_id = {entry.instance_id: entry for entry in entries}
        own = by_id.pop(self._instance_id, None)
        self.is_entered = own is not None and own.host == self._host
        unheard = {
            instance_id: entry
            for instance_id, entry in by_id.items()
            if instance_id not in heard
        }
        self._unheard = {
            instance_id: self._first_read(entry, now_s)
            for instance_id, entry in unheard.items()
        }
        in_group = len(by_id) - len(unheard) + self.is_entered
        return Plan(
            contacts=tuple(entry.host for entry in unheard.values()),
            is_found=in_group > 0,
            enter=not self.is_entered
            and (own is not None or in_group < _GROUP_ENTRIES),
            remove=tuple(
                instance_id
                for instance_id, (_, first_s) in self._unheard.items()
                if now_s - first_s > _REMOVE_S
            ),
        )

    def _first_read(self, entry: Entry, now_s: float) -> tuple[int, float]:
        known = self._unheard.get(entry.instance_id)
        if known is not None and known[0] == entry.offset:
            return known
        return entry.offset, now_s
