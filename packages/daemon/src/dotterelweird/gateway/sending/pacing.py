"""Follows which targets have started and must not be sent all their load yet.

The paces are in ``dotterelweir_core.gateway.pace``; the turns that keep them
are given by ``dotterelweird.gateway.limiting``.
"""

from collections.abc import Callable

import attrs

from dotterelweir_core import timers
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import limiting


@attrs.frozen
class PaceKeeper:
    """Records starts of targets and what they state of their warm-up.

    Attributes:
        limiter: Keeps requests within the limits and paces of targets.
        timers: The timer service.
        has_state: Whether this instance has read the targets before; what it
            reads first has not just started.
    """

    limiter: limiting.TargetLimiter
    timers: timers.TimerService
    has_state: Callable[[], bool]

    def apply_settings(self, settings: pace.PaceSettings) -> None:
        """Replaces the settings of the pace."""
        self.limiter.pace.settings = settings

    def apply_tables(self, tables: gateway_tables.Tables) -> None:
        """Replaces the figures of the services."""
        self.limiter.pace.set_services(tables.services)

    def apply_change(self, change: targets.TargetChange) -> None:
        """Records the start or the end of a target.

        Args:
            change: The change of the target.
        """
        target = change.after
        if target is None:
            if change.before is not None:
                self.limiter.pace.forget(change.before)
            return
        now_s = self.timers.monotonic_s()
        age_s = None
        if not self.has_state():
            age_s = self.timers.wall_s() - target.started_ms / 1000.0
        if self.limiter.pace.record_start(target, now_s, age_s):
            self._record(target, limiting.STARTED)
        self.record_registration(target)

    def record_registration(self, target: targets.Target) -> None:
        """Records what a registration states, also one without a change.

        All instances read it.

        Args:
            target: The registered target.
        """
        if not target.warm_up_left_s:
            return
        now_s = self.timers.monotonic_s()
        if self.limiter.pace.begin_cold(target, now_s, target.warm_up_left_s):
            self._record(target, limiting.STATED)

    def record_stated(
        self, target: targets.Target, cold_left_s: float
    ) -> None:
        """Records what a target states in an answer to this instance.

        Args:
            target: The target.
            cold_left_s: Time for which it is still cold, in seconds.
        """
        now_s = self.timers.monotonic_s()
        if self.limiter.pace.begin_cold(target, now_s, cold_left_s):
            self._record(target, limiting.STATED)
            self.limiter.send_pace(target)

    def begin_cold(self, target: targets.Target) -> None:
        """Takes a target to be cold, as after the return of its zone.

        Every instance learns of the return, so that nothing is sent.

        Args:
            target: The target.
        """
        if self.limiter.pace.begin_cold(target, self.timers.monotonic_s()):
            self._record(target, limiting.RESTORED)

    def _record(self, target: targets.Target, origin: str) -> None:
        self.limiter.record_cold(target.target_id, target.started_ms, origin)
