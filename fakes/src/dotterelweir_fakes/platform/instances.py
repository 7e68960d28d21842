"""Stand-in for the platform's lagging list of instances."""

import collections

import attrs

from dotterelweir_core import timers


@attrs.frozen
class InstanceRow:
    """One row of the list.

    Attributes:
        target_id: Name of the instance.
        service: Name of the service.
        zone: Availability zone.
        host: IP address.
        port: TCP port.
        state: 'live' or 'leaving'.
        incarnation: Number that differs between runs.
    """

    target_id: str
    service: str
    zone: str
    host: str
    port: int
    state: str = 'live'
    incarnation: int = 1


@attrs.frozen
class InstancesFaults:
    """Faults in force.

    Attributes:
        down: Every read gets 503.
        lag_s: Time until a change shows in the list.
    """

    down: bool = False
    lag_s: float = 0.0


@attrs.frozen
class _Change:
    at_s: float
    target_id: str
    row: InstanceRow | None


class MemoryInstances:
    """The list; a change shows after the lag."""

    def __init__(self, timer: timers.TimerService, lag_s: float = 0.0) -> None:
        self._timer = timer
        self._visible_rows: dict[str, InstanceRow] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self.faults = InstancesFaults(lag_s=lag_s)

    def put(self, row: InstanceRow) -> None:
        """Adds or replaces an instance."""
        self._change(row.target_id, row)

    def delete(self, target_id: str) -> None:
        """Removes an instance; succeeds if there is none."""
        self._change(target_id, None)

    def rows(self) -> tuple[InstanceRow, ...]:
        """The list as its readers see it now."""
        visible_s = self._timer.monotonic_s() - self.faults.lag_s
        while self._pending and self._pending[0].at_s <= visible_s:
            change = self._pending.popleft()
            if change.row is None:
                self._visible_rows.pop(change.target_id, None)
            else:
                self._visible_rows[change.target_id] = change.row
        return tuple(row for _, row in sorted(self._visible_rows.items()))

    def _change(self, target_id: str, row: InstanceRow | None) -> None:
        change = _Change(self._timer.monotonic_s(), target_id, row)
        self._pending.append(change)
