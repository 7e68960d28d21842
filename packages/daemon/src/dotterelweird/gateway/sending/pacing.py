"""Follows which targets have started and must not be sent all their load yet.

The paces are in ``dotterelweir_core.gateway.pace``; the turns that keep them
are given by ``dotterelweird.gateway.limiting``.
"""

from collections.abc import Callable
import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import learned_pace
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import limiting
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Time between two looks at the outcomes of attempts, in seconds: half the
# shortest period of the digests that report them.
PERIOD_S = 0.25
# Shortest time between two lines about the fall of one pace, in seconds.
_LOG_INTERVAL_S = 5.0


@attrs.frozen
class PaceKeeper:
    """Records starts of targets and what they state of their warm-up.

    Attributes:
        limiter: Keeps requests within the limits and paces of targets.
        directory: The registered targets.
        loads: Load of each target.
        timers: The timer service.
        statistics: Metrics of the process.
        has_state: Whether this instance has read the targets before; what it
            reads first has not just started.
    """

    limiter: limiting.TargetLimiter
    directory: targets.TargetDirectory
    loads: gateway_load.LoadRegistry
    timers: timers.TimerService
    statistics: statistics.Statistics
    has_state: Callable[[], bool]
    durations: learned_pace.UsualDurations = attrs.field(
        factory=learned_pace.UsualDurations
    )
    _logged_s: dict[str, float] = attrs.field(factory=dict)

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
                self._logged_s.pop(change.target_id, None)
            return
        now_s = self.timers.monotonic_s()
        age_s = None
        if not self.has_state():
            age_s = self.timers.wall_s() - target.started_ms / 1000.0
        paces = self.limiter.pace
        if paces.record_start(target, now_s, age_s):
            if paces.cold_left_s(target.target_id, target.started_ms, now_s):
                self._record(target, limiting.STARTED)
            if age_s is None and not paces.has_stated_pace(target.service):
                self.begin_learning(target)
        before = change.before
        if before is not None and before.slots != target.slots:
            self.begin_learning(target)
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

    # Learned paces.

    def begin_learning(self, target: targets.Target) -> None:
        """Learns the pace of a target anew.

        Unless that is switched off, or the service cannot spare the target.

        Args:
            target: The target.
        """
        now_s = self.timers.monotonic_s()
        paces = self.limiter.pace
        registered = self.directory.of_service(target.service)
        if not paces.learns or not paces.may_learn(target, registered, now_s):
            return
        if paces.begin_learning(target, now_s):
            self._record_change(
                target.target_id, target.started_ms, pace.PaceChange.BEGUN
            )

    def update(self) -> None:
        """Applies the outcomes since the last call to the learned paces."""
        paces = self.limiter.pace
        if not paces.learns and not paces.learning():
            return
        now_s = self.timers.monotonic_s()
        for target in self.directory.targets.values():
            # A target that fails gets little, whenever it recovers.
            if self.loads.get(target.target_id).outcomes.is_failing(now_s):
                self.begin_learning(target)
        for target_id, started_ms in paces.learning():
            target = self.directory.targets.get(target_id)
            if target is None or target.started_ms != started_ms:
                paces.end_learning(target_id, started_ms, now_s)
                continue
            load = self.loads.get(target_id)
            counts = learned_pace.AttemptCounts(
                load.all_served, load.all_failed, load.all_late
            )
            change = paces.learn(target_id, started_ms, counts, now_s)
            if change is not None:
                self._record_change(target_id, started_ms, change)

    def record_call(
        self,
        exchange: exchanges.Exchange,
        target: targets.Target,
        outcome: exchanges.Outcome,
        taken_s: float,
    ) -> None:
        """Records how long a plain call took.

        Args:
            exchange: The request.
            target: The target.
            outcome: How the attempt ended.
            taken_s: Duration of the attempt, in seconds.
        """
        if not self.limiter.pace.learns:
            return
        match outcome:
            case exchanges.Answered(status=status) if status < 500:
                if self.durations.record(exchange.route.name, taken_s):
                    self._record_late(target)

    def record_first_event(
        self,
        exchange: exchanges.Exchange,
        target: targets.Target,
        pending_tokens: float,
        tokens_per_s: float,
        taken_s: float,
    ) -> None:
        """Records how long the first event of a generation took.

        Args:
            exchange: The request.
            target: The engine.
            pending_tokens: Prompt tokens that were pending there before.
            tokens_per_s: Usual prefill rate of the service.
            taken_s: Time from the send to the event, in seconds.
        """
        if self.limiter.pace.learns and learned_pace.is_late_first_event(
            exchange.demand.prompt_tokens + int(pending_tokens),
            tokens_per_s,
            taken_s,
        ):
            self._record_late(target)

    def _record_late(self, target: targets.Target) -> None:
        self.loads.get(target.target_id).record_late(self.timers.monotonic_s())

    def _record_change(
        self, target_id: str, started_ms: int, change: pace.PaceChange
    ) -> None:
        self.statistics.pace_changes.inc({'change': change.value})
        now_s = self.timers.monotonic_s()
        event = events.PACE_CHANGED
        if change is pace.PaceChange.LOWERED:
            event = events.PACE_LOWERED
            logged_s = self._logged_s.get(target_id, float('-inf'))
            if now_s - logged_s < _LOG_INTERVAL_S:
                return
            self._logged_s[target_id] = now_s
        rate_per_s = self.limiter.pace.rate_per_s(target_id, started_ms, now_s)
        events.log(
            LOG,
            event,
            target_id=target_id,
            change=change.value,
            rate_per_s=rate_per_s
            if rate_per_s < rate_limits.UNLIMITED
            else None,
        )

    # What targets state.

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
