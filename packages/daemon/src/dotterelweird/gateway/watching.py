"""Tells running generations what happens to their targets."""

from collections.abc import Callable
import contextlib

from dotterelweir_core.gateway import targets

Listener = Callable[[targets.TargetChange], None]


class TargetWatch:
    """Hands changes of targets to those who use them."""

    def __init__(self) -> None:
        self._listeners: dict[str, set[Listener]] = {}

    @contextlib.contextmanager
    def watching(self, target_ids: list[str], listener: Listener):
        """Calls a function with each change of some targets meanwhile."""
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
        """Hands on one change."""
        for listener in list(self._listeners.get(change.target_id, ())):
            listener(change)
