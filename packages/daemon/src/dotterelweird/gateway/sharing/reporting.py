"""Log events and counters about generations that wait or are refused."""

import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Shortest time between two lines about the same event and service, in seconds.
# Refusals come by the hundred when there is too little capacity.
_LINE_INTERVAL_S = 1.0


@attrs.define
class _Line:
    """State of the lines about one event and service."""

    logged_s: float = float('-inf')
    unlogged: int = 0


class WaitingReporter:
    """Counts what happens to waiting generations, and logs it at times.

    Args:
        timer_service: The timer service.
        process_statistics: Counters of the process.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        process_statistics: statistics.Statistics,
    ) -> None:
        self._timers = timer_service
        self._statistics = process_statistics
        self._lines: dict[tuple[int, str], _Line] = {}

    def record_length(self, service: str, length: int) -> None:
        """Records the number of requests of a service that wait."""
        self._statistics.queue_length.set({'service': service}, length)

    def record_refusal(
        self,
        exchange: exchanges.Exchange,
        reason: str,
        expected_wait_s: float,
        retry_after_s: float,
    ) -> None:
        """Records a generation that is refused for lack of capacity.

        Args:
            exchange: The request.
            reason: Why it is refused.
            expected_wait_s: Expected wait at the end of its queue, in
                seconds.
            retry_after_s: Time after which the caller may retry, in seconds.
        """
        self._statistics.queue_refusals.inc(
            {'service': exchange.service.name, 'reason': reason}
        )
        self._log(
            events.REFUSED_FOR_CAPACITY,
            exchange,
            reason=reason,
            expected_wait_s=round(expected_wait_s, 3),
            retry_after_s=round(retry_after_s, 3),
        )

    def record_return(
        self, exchange: exchanges.Exchange, age_s: float
    ) -> None:
        """Records a caller that came back with a refused request.

        Args:
            exchange: The request.
            age_s: Time since its first attempt, in seconds.
        """
        self._log(events.CALLER_RETURNED, exchange, age_s=round(age_s, 3))

    def record_repeat(self, exchange: exchanges.Exchange) -> None:
        """Records a request of which an equal one waits already."""
        self._log(events.REPEAT_WAITS, exchange)

    def _log(
        self,
        event: events.Event,
        exchange: exchanges.Exchange,
        **fields: object,
    ) -> None:
        service = exchange.service.name
        line = self._lines.setdefault((event.number, service), _Line())
        now_s = self._timers.monotonic_s()
        if now_s - line.logged_s < _LINE_INTERVAL_S:
            line.unlogged += 1
            return
        events.log(
            LOG,
            event,
            request_id=exchange.request.request_id,
            service=service,
            organisation=exchange.organisation_name,
            unlogged=line.unlogged,
            **fields,
        )
        line.logged_s = now_s
        line.unlogged = 0
