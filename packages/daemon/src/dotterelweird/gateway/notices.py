"""Acts on what targets say of themselves beside their answers."""

import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import keepers
from dotterelweird.gateway import peers
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)


@attrs.frozen
class NoticeHandler:
    """Takes notices of targets.

    Attributes:
        keeper: The registered targets.
        pause_book: Until when targets want nothing.
        exchange: The other instances.
        timers: The timer service.
        statistics: Counters.
    """

    keeper: keepers.TargetsKeeper
    pause_registry: pauses.PauseRegistry
    peer_exchange: peers.PeerExchange
    timers: timers.TimerService
    statistics: statistics.Statistics

    def handle(self, target: targets.Target, notice: api.TargetNotice) -> None:
        """Takes one notice."""
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
