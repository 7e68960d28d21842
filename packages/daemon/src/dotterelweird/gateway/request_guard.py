"""Recognises requests under which targets end."""

import asyncio
from collections.abc import Callable
import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import targets
from dotterelweird import timers as loop_timers
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import statistics
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Origin of a finding of this instance, in logs.
_OWN = 'own'
# Delays of the attempts to connect to a target that closed a connection, in
# seconds. It may close its connections before it stops listening.
_PROBE_DELAYS_S = (0.02, 0.2)
# Time for which further lost connections belong to an end that was detected,
# in seconds.
_SAME_END_S = 1.0


@attrs.define
class _Suspicion:
    """A target that closed connections with requests in flight.

    Attributes:
        target: The target.
        keys: Keys of these requests.
        ended: Whether the target has ended.
    """

    target: targets.Target
    keys: set[str] = attrs.field(factory=set)
    ended: bool = False


class RequestGuard:
    """Detects the ends of targets and records the requests in flight there.

    Args:
        timer_service: The timer service.
        stats: Metrics of the process.
    """

    def __init__(
        self, timer_service: timers.TimerService, stats: statistics.Statistics
    ) -> None:
        self._timers = timer_service
        self._statistics = stats
        self._ends = engine_ends.EndRegistry()
        self._listeners: list[Callable[[engine_ends.EndReport], None]] = []
        self._suspicions: dict[str, _Suspicion] = {}
        # The event loop itself keeps only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def subscribe(
        self, listener: Callable[[engine_ends.EndReport], None]
    ) -> None:
        """Registers a function to call with each finding of this instance."""
        self._listeners.append(listener)

    def reports(self, count: int) -> tuple[engine_ends.EndReport, ...]:
        """Returns the newest ends of targets, at most the given number."""
        return self._ends.reports(count, self._timers.elapsed_s())

    def report_lost_connection(
        self, exchange: exchanges.Exchange, target: targets.Target
    ) -> None:
        """Records that a target closed a connection without an answer.

        Whether the target has ended is tested by connecting to it: a target
        that goes on accepts or resets connections, one that has ended refuses
        them.

        Args:
            exchange: The request in flight.
            target: The target.
        """
        suspicion = self._suspicions.get(target.target_id)
        if suspicion is None or suspicion.target != target:
            suspicion = _Suspicion(target)
            self._suspicions[target.target_id] = suspicion
            task = asyncio.create_task(self._probe(suspicion))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        suspicion.keys.add(exchange.key)
        if suspicion.ended:
            self._report_end(target, frozenset({exchange.key}))

    async def _probe(self, suspicion: _Suspicion) -> None:
        target = suspicion.target
        for delay_s in _PROBE_DELAYS_S:
            await loop_timers.sleep(self._timers, delay_s)
            if await _refuses_connections(target):
                suspicion.ended = True
                self._report_end(target, frozenset(suspicion.keys))
                await loop_timers.sleep(self._timers, _SAME_END_S)
                break
        if self._suspicions.get(target.target_id) is suspicion:
            del self._suspicions[target.target_id]

    def _report_end(
        self, target: targets.Target, keys: frozenset[str]
    ) -> None:
        report = engine_ends.EndReport(
            target.target_id, target.started_ms, keys
        )
        if self._apply(report, _OWN):
            for listener in self._listeners:
                listener(report)

    def apply_finding(self, report: engine_ends.EndReport, host: str) -> None:
        """Applies a finding of another instance.

        Args:
            report: The finding.
            host: IP address of the instance.
        """
        self._apply(report, host)

    def _apply(self, report: engine_ends.EndReport, origin: str) -> bool:
        if not self._ends.apply(report, self._timers.elapsed_s()):
            return False
        self._statistics.target_ends.inc({'origin': origin})
        events.log(
            LOG,
            events.TARGET_ENDED,
            target_id=report.target_id,
            keys=sorted(report.keys),
            age_s=round(report.age_s, 3),
            origin=origin,
        )
        return True


async def _refuses_connections(target: targets.Target) -> bool:
    """Whether a target refuses a connection."""
    try:
        async with asyncio.timeout(target_client.CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(target.host, target.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # A cut link does not show whether the target has ended.
        return False
    writer.close()
    return False
