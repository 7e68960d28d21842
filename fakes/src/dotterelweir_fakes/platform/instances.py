"""Stand-in for the platform's instance list, which shows changes late."""

import collections

import attrs

from dotterelweir_core import timers


@attrs.frozen
class InstanceRow:
    """One row of the list.

    Attributes:
        target_id: Name of the target.
        service: Name of its service.
        zone: Its availability zone.
        host: Its IP address.
        port: Its TCP port.
        state: ``live`` or ``leaving``.
        incarnation: Number that differs between runs of the target.
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
    """Active faults of the instance list.

    Attributes:
        down: Whether every read fails with status 503.
        lag_s: Delay until a change is visible in the list, in seconds.
    """

    down: bool = False
    lag_s: float = 0.0


@attrs.frozen
class _Change:
    at_s: float
    target_id: str
    row: InstanceRow | None


class MemoryInstances:
    """The instance list; changes are visible after a delay.

    Args:
        timer: Source of time.
        lag_s: Delay until a change is visible, in seconds.

    Attributes:
        faults: The active faults.
    """

    def __init__(self, timer: timers.TimerService, lag_s: float = 0.0) -> None:
        self._timer = timer
        self._visible_rows: dict[str, InstanceRow] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self.faults = InstancesFaults(lag_s=lag_s)

    def put(self, row: InstanceRow) -> None:
        """Adds or replaces a row."""
        self._change(row.target_id, row)

    def delete(self, target_id: str) -> None:
        """Removes the row of a target, if there is one."""
        self._change(target_id, None)

    def rows(self) -> tuple[InstanceRow, ...]:
        """Returns the rows that are visible now, sorted by target id."""
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
