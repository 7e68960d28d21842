"""Orders that set the models, adapters, version and role of the engine."""

import typing

from dotterelweir_core import timers
from dotterelweir_fakes.engine import batch

_FIELDS = ('models', 'adapters', 'version', 'role')


class Orders:
    """Accepts orders and applies each after its load time.

    Args:
        options: Whether fencing tokens and expiry are checked, and the load
            time.
        timer: Source of time.
        models: Models that are loaded at the start.

    Attributes:
        state: Models, adapters, version and role in use, and the fencing
            token of the last accepted order.
    """

    def __init__(
        self,
        options: batch.EngineOptions,
        timer: timers.TimerService,
        models: tuple[str, ...],
    ) -> None:
        self._options = options
        self._timer = timer
        self._loading_timer: timers.TimerHandle | None = None
        self.state: dict[str, typing.Any] = {
            'fencing': 0,
            'models': list(models),
            'adapters': [],
            'version': '',
            'role': '',
        }

    def apply(self, order: dict[str, typing.Any]) -> str | None:
        """Applies an order after its load time.

        Returns:
            Why the order is refused; None if it is accepted.
        """
        if (
            self._options.checks_fencing
            and order['fencing'] < self.state['fencing']
        ):
            return 'old fencing number'
        if (
            self._options.checks_expiry
            and order['expires_at_s'] < self._timer.wall_s()
        ):
            return 'order expired'
        self.state['fencing'] = order['fencing']
        changes = {name: order[name] for name in _FIELDS if name in order}
        # An order replaces an earlier one that is still being loaded.
        if self._loading_timer is not None:
            self._loading_timer.cancel()
        if self._options.load_s > 0:
            self._loading_timer = self._timer.call_after(
                self._options.load_s, lambda: self.state.update(changes)
            )
        else:
            self.state.update(changes)
        return None
