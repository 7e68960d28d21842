"""Handles the notices that targets attach to their answers."""

import logging
import math

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import brittleness
from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import keepers
from dotterelweird.gateway import limiting
from dotterelweird.gateway import peers
from dotterelweird.gateway import statistics
from dotterelweird.gateway.sending import pacing

LOG = logging.getLogger(__name__)


@attrs.frozen
class NoticeHandler:
    """Handles departures, pauses and limits that targets announce.

    Attributes:
        keeper: Holds the registered targets.
        pause_registry: Ends of the pauses that targets have requested.
        limiter: Keeps requests within the limits of targets.
        pace_keeper: Holds which targets are cold.
        peer_exchange: Sends departures to the other instances.
        brittle: Services whose targets are brittle.
        timers: The timer service.
        statistics: Metrics of the process.
    """

    keeper: keepers.TargetsKeeper
    pause_registry: pauses.PauseRegistry
    limiter: limiting.TargetLimiter
    pace_keeper: pacing.PaceKeeper
    peer_exchange: peers.PeerExchange
    brittle: brittleness.BrittleServices
    timers: timers.TimerService
    statistics: statistics.Statistics

    def handle(
        self,
        target: targets.Target,
        notice: api.TargetNotice,
        sent_s: float | None,
    ) -> None:
        """Handles a notice of a target.

        Args:
            target: The target.
            notice: The notice.
            sent_s: Time at which the answered request was sent, in seconds,
                by a clock that counts suspensions; None if it is unknown.
        """
        if notice.leaving:
            self._handle_departure(target)
        if notice.pause_s:
            now_s = self.timers.monotonic_s()
            self.pause_registry.extend(target, now_s + notice.pause_s)
            self.statistics.notices.inc({'kind': 'pause'})
            events.log(
                LOG,
                events.TARGET_PAUSED,
                target_id=target.target_id,
                pause_s=notice.pause_s,
            )
        if notice.refusals_max_per_s is not None:
            self._handle_brittleness(target, notice.refusals_max_per_s, sent_s)
        if notice.limit_per_s is not None:
            self._handle_limit(target, notice.limit_per_s, sent_s)
        if notice.cold_left_s:
            self.pace_keeper.record_stated(target, notice.cold_left_s)

    def _handle_brittleness(
        self,
        target: targets.Target,
        refusals_max_per_s: float,
        sent_s: float | None,
    ) -> None:
        now_s = self.timers.elapsed_s()
        is_brittle = math.isfinite(refusals_max_per_s)
        if not self.brittle.apply(
            target.service,
            refusals_max_per_s if is_brittle else None,
            -math.inf if sent_s is None else sent_s,
            now_s,
        ):
            return
        self.statistics.notices.inc({'kind': 'brittle'})
        events.log(
            LOG,
            events.SERVICE_BRITTLE,
            service=target.service,
            target_id=target.target_id,
            brittle=is_brittle,
            refusals_max_per_s=refusals_max_per_s if is_brittle else None,
        )

    def _handle_limit(
        self, target: targets.Target, rate_per_s: float, sent_s: float | None
    ) -> None:
        now_s = self.timers.elapsed_s()
        statement = rate_limits.LimitStatement(
            target.target_id,
            target.started_ms,
            rate_per_s,
            math.inf if sent_s is None else now_s - sent_s,
        )
        self.limiter.report(statement)

    def _handle_departure(self, target: targets.Target) -> None:
        departure = targets.Departure(
            target.target_id, target.started_ms, announced=True
        )
        if not self.keeper.apply_departure(departure):
            return
        self.statistics.notices.inc({'kind': 'leaving'})
        events.log(
            LOG,
            events.TARGET_ANNOUNCED_LEAVING,
            target_id=target.target_id,
            started_ms=target.started_ms,
        )
        self.peer_exchange.send_departure(departure)
