"""Detects the ends of targets with requests in flight."""

import asyncio
from collections.abc import Callable

import attrs

from dotterelweir_core import timers
from dotterelweir_core.gateway import targets
from dotterelweird import probing
from dotterelweird import timers as loop_timers
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import reaching
from dotterelweird.gateway import target_client

# Delays of the attempts to connect to a target that closed a connection, in
# seconds. It may close its connections before it stops listening.
_PROBE_DELAYS_S = (0.02, 0.2)
# Time for which further lost connections belong to an end that was detected,
# in seconds.
_SAME_END_S = 1.0


@attrs.frozen(eq=False)
class InFlight:
    """A request in flight at a target that closed its connection.

    Attributes:
        exchange: The request.
        begun: Whether the target had begun to write its answer.
    """

    exchange: exchanges.Exchange
    begun: bool = False


Listener = Callable[[targets.Target, tuple[InFlight, ...]], None]


@attrs.define
class _Suspicion:
    """A target that closed connections with requests in flight.

    Attributes:
        target: The target.
        requests: The requests.
        ended: Whether the target has ended.
    """

    target: targets.Target
    requests: list[InFlight] = attrs.field(factory=list)
    ended: bool = False


class EndDetector:
    """Tests whether targets that closed connections have ended.

    A target that goes on accepts or resets a further connection, one that has
    ended refuses it.

    So does a link that this instance alone has lost, which ends no target.

    Args:
        timer_service: The timer service.
        reach: Follows whether this instance reaches any target.

    Attributes:
        refuses_connections: Tells whether a host and port refuse a connection
            within a time in seconds.
    """

    def __init__(
        self, timer_service: timers.TimerService, reach: reaching.ReachKeeper
    ) -> None:
        self._timers = timer_service
        self._reach = reach
        self.refuses_connections = probing.refuses_connections
        self._listeners: list[Listener] = []
        self._suspicions: dict[str, _Suspicion] = {}
        # The event loop itself keeps only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def subscribe(self, listener: Listener) -> None:
        """Registers a function to call with each end and requests in it."""
        self._listeners.append(listener)

    def report_lost_connection(
        self,
        exchange: exchanges.Exchange,
        target: targets.Target,
        begun: bool = False,
    ) -> None:
        """Records that a target closed a connection without an answer.

        Args:
            exchange: The request in flight.
            target: The target.
            begun: Whether the target had begun to write its answer.
        """
        suspicion = self._suspicions.get(target.target_id)
        if suspicion is None or suspicion.target != target:
            suspicion = _Suspicion(target)
            self._suspicions[target.target_id] = suspicion
            task = asyncio.create_task(self._probe(suspicion))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        request = InFlight(exchange, begun)
        suspicion.requests.append(request)
        if suspicion.ended:
            self._notify(target, (request,))

    async def _probe(self, suspicion: _Suspicion) -> None:
        target = suspicion.target
        lost_s = self._timers.monotonic_s()
        for delay_s in _PROBE_DELAYS_S:
            await loop_timers.sleep(self._timers, delay_s)
            if await self.refuses_connections(
                target.host, target.port, target_client.CONNECT_TIMEOUT_S
            ):
                self._reach.record_failed(target)
                if await self._reach.is_cut_off(lost_s):
                    break
                suspicion.ended = True
                self._notify(target, tuple(suspicion.requests))
                await loop_timers.sleep(self._timers, _SAME_END_S)
                break
        if self._suspicions.get(target.target_id) is suspicion:
            del self._suspicions[target.target_id]

    def _notify(
        self, target: targets.Target, requests: tuple[InFlight, ...]
    ) -> None:
        for listener in self._listeners:
            listener(target, requests)
