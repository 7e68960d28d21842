"""Log events whose number does not grow with the load."""

import logging

from dotterelweir_core import events
from dotterelweir_core import timers

# Time between two lines of one event and reason, in seconds.
_INTERVAL_S = 10.0


class BoundedLog:
    """Logs an event once per reason and interval, with what it stands for.

    Args:
        logger: The logger.
        timer_service: Clock.
    """

    def __init__(
        self, logger: logging.Logger, timer_service: timers.TimerService
    ) -> None:
        self._logger = logger
        self._timers = timer_service
        self._next_s: dict[tuple[int, str], float] = {}
        self._counts: dict[tuple[int, str], int] = {}

    def log(self, event: events.Event, reason: str, **fields: object) -> None:
        """Counts an event and logs it unless it was logged lately.

        Args:
            event: The event.
            reason: Its reason, one of a few.
            **fields: Further fields, of the occurrence that is logged.
        """
        key = (event.number, reason)
        count = self._counts[key] = self._counts.get(key, 0) + 1
        now_s = self._timers.monotonic_s()
        if now_s < self._next_s.get(key, now_s):
            return
        self._next_s[key] = now_s + _INTERVAL_S
        self._counts[key] = 0
        events.log(self._logger, event, reason=reason, count=count, **fields)
