"""Notifies running generations of changes of their targets."""

from collections.abc import Callable
import contextlib

from dotterelweir_core.gateway import targets

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
