"""Notifies running generations of changes of their targets."""

from collections.abc import Callable
import contextlib

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core import timers
from dotterelweir_core.gateway import targets

# Maximum number of departures that are remembered; the oldest are evicted
# first.
_DEPARTURES_MAX = 4_096

Listener = Callable[[targets.TargetChange], None]


class TargetWatch:
    """Delivers changes of targets to the listeners for these targets."""

    def __init__(self) -> None:
        self._listeners: dict[str, set[Listener]] = {}

    @contextlib.contextmanager
    def watching(self, target_ids: list[str], listener: Listener):
        """Calls a function with each change of some targets.

        The function is registered while the context is active.

        Args:
            target_ids: Ids of the targets.
            listener: Called with each change.
        """
        for target_id in target_ids:
            self._listeners.setdefault(target_id, set()).add(listener)
        try:
            yield
        finally:
            for target_id in target_ids:
                listeners = self._listeners.get(target_id, set())
                listeners.discard(listener)
                if not listeners:
                    self._listeners.pop(target_id, None)

    def notify(self, change: targets.TargetChange) -> None:
        """Calls the listeners for the target of a change.

        Args:
            change: The change.
        """
        for listener in list(self._listeners.get(change.target_id, ())):
            listener(change)


@attrs.define
class DepartureTimes:
    """Records when targets began to leave, as this instance learned it.

    Attributes:
        timers: The timer service.
    """

    timers: timers.TimerService
    _left_s: bounded_map.BoundedMap[str, float] = attrs.field(
        factory=lambda: bounded_map.BoundedMap(_DEPARTURES_MAX)
    )

    def record(self, change: targets.TargetChange) -> None:
        """Records a change of a target.

        Args:
            change: The change.
        """
        after = change.after
        if after is not None and after.state is targets.TargetState.READY:
            self._left_s.pop(change.target_id, None)
        elif change.target_id not in self._left_s:
            self._left_s.put(change.target_id, self.timers.monotonic_s())

    def elapsed_s(self, target_id: str) -> float:
        """Returns the time since a target began to leave, in seconds.

        Args:
            target_id: Id of the target.

        Returns:
            The time; 0 if no departure is known.
        """
        now_s = self.timers.monotonic_s()
        return now_s - self._left_s.get(target_id, now_s)
