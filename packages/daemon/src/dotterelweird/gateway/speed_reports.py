"""Logs and counts what was learned of the speeds of targets."""

import logging

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import target_speeds
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Shortest time between two log events about the same target or service, in
# seconds. A target whose speed is close to the limit of what counts as equal
# would otherwise be logged twice a second.
_LOG_INTERVAL_S = 60.0


class SpeedReporter:
    """Reports speeds that differ, and choices that do not avoid a pause.

    Args:
        timer_service: The timer service.
        loads: Loads and speeds of the targets.
        metrics: Counters.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        loads: gateway_load.LoadRegistry,
        metrics: statistics.Statistics,
    ) -> None:
        self._timers = timer_service
        self._loads = loads
        self._statistics = metrics
        self._views: dict[str, target_speeds.ServiceSpeeds] = {}
        # By service and target: 1 if it was logged as faster than the others,
        # -1 if as slower.
        self._different: dict[str, dict[str, int]] = {}
        self._uneven: dict[str, bool] = {}
        # Time of the last event, by number and service or target.
        self._logged_s: dict[tuple[int, str, str], float] = {}
        # Choices since the last event, by service.
        self._choices: dict[str, int] = {}

    def report_choice(
        self, exchange: exchanges.Exchange, choice: placement.Choice
    ) -> None:
        """Reports a choice, and the speeds that it rested on.

        Args:
            exchange: The request.
            choice: The target chosen for it.
        """
        service = exchange.service.name
        self._report_speeds(service)
        if not choice.over_limit:
            return
        self._statistics.expected_pauses.inc({'service': service})
        self._choices[service] = self._choices.get(service, 0) + 1
        if self._may_log(events.PAUSE_EXPECTED.number, service):
            events.log(
                LOG,
                events.PAUSE_EXPECTED,
                request_id=exchange.request.request_id,
                service=service,
                target_id=choice.target.target_id,
                expected_pause_s=round(choice.pause_s, 4),
                event_gap_s=exchange.shortest_event_gap_s,
                choices=self._choices.pop(service),
            )

    def _report_speeds(self, service: str) -> None:
        view = self._loads.speeds.last(service)
        if view is self._views.get(service):
            return
        self._views[service] = view
        if view.uneven is not self._uneven.get(service, False):
            if self._may_log(events.SPEEDS_UNEVEN.number, service):
                self._uneven[service] = view.uneven
                events.log(
                    LOG,
                    events.SPEEDS_UNEVEN,
                    service=service,
                    uneven=view.uneven,
                    known=len(view.by_target),
                    slowest_event_s=round(view.slowest_event_s, 4),
                    pause_factor=round(view.pause_factor, 2),
                )
        different = self._different.setdefault(service, {})
        for target_id in different.keys() - view.by_target.keys():
            del different[target_id]
            self._logged_s.pop(
                (events.TARGET_SPEED_DIFFERS.number, service, target_id), None
            )
        for target_id, speed in view.by_target.items():
            self._report_target(service, target_id, speed, different)

    def _report_target(
        self,
        service: str,
        target_id: str,
        speed: target_speeds.Speed,
        different: dict[str, int],
    ) -> None:
        side = (speed.running > 1.0) - (speed.running < 1.0)
        if side == different.get(target_id, 0):
            return
        number = events.TARGET_SPEED_DIFFERS.number
        if not self._may_log(number, service, target_id):
            return
        different[target_id] = side
        events.log(
            LOG,
            events.TARGET_SPEED_DIFFERS,
            service=service,
            target_id=target_id,
            speed=round(speed.running, 2),
            prefill_speed=round(speed.prefill, 2),
            event_s=round(speed.event_s, 4),
        )

    def _may_log(self, number: int, service: str, target_id: str = '') -> bool:
        """Whether an event may be logged now; if so, its time is recorded."""
        key = (number, service, target_id)
        now_s = self._timers.monotonic_s()
        if now_s - self._logged_s.get(key, float('-inf')) < _LOG_INTERVAL_S:
            return False
        self._logged_s[key] = now_s
        return True
