"""Detects the ends of targets with requests in flight."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import unanswered
from dotterelweird import probing
from dotterelweird import timers as loop_timers
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import reaching
from dotterelweird.gateway import statistics
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Delays of the attempts to connect to a target that closed a connection, in
# seconds. It may close its connections before it stops listening.
_PROBE_DELAYS_S = (0.02, 0.2)
# Time for which further lost connections belong to an end that was detected,
# in seconds.
_SAME_END_S = 1.0
# Time between two attempts to connect to a target without an answer, in
# seconds, and number of failed ones after which it counts as ended while the
# store does not answer. Its entry is not removed then.
_SILENCE_PROBE_INTERVAL_S = 0.5
_SILENCE_PROBES = 6

# Maximum length of an id, and number of parts of a prompt, that are remembered
# of a request without an answer. Both come from its caller.
_FIELD_CHARS_MAX = 64
_PARTS_MAX = 32


@attrs.frozen
class InFlight:
    """A request in flight at a target that may have ended.

    Attributes:
        key: Digest of the request, equal for all its repeats.
        request_id: Id of the request.
        shared_parts: Shared parts of its prompt.
        begun: Whether the target had begun to write its answer.
    """

    key: str
    request_id: str
    shared_parts: tuple[str, ...] = ()
    begun: bool = False

    @classmethod
    def of(
        cls, exchange: exchanges.Exchange, begun: bool = False
    ) -> 'InFlight':
        """Returns what is remembered of a request.

        Args:
            exchange: The request.
            begun: Whether the target had begun to write its answer.
        """
        request = exchange.request
        return cls(
            exchange.key,
            request.request_id,
            tuple(request.shared_parts),
            begun,
        )

    def without_excess(self) -> 'InFlight':
        """Returns the request with what takes a bounded amount of memory."""
        parts = [
            part for part in self.shared_parts if len(part) <= _FIELD_CHARS_MAX
        ]
        return attrs.evolve(
            self,
            request_id=self.request_id[:_FIELD_CHARS_MAX],
            shared_parts=() if self.begun else tuple(parts[:_PARTS_MAX]),
        )


@attrs.frozen
class End:
    """The end of a target.

    Attributes:
        target: The target.
        requests: Requests that were in flight there.
        age_s: Time since the end, in seconds.
    """

    target: targets.Target
    requests: tuple[InFlight, ...]
    age_s: float = 0.0


Listener = Callable[[End], None]


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
    ended refuses it. So does a link that this instance alone has lost, which
    ends no target.

    A target that loses its power does neither. A request that ended without
    an answer is remembered until another start of the target is registered,
    or its entry is removed while it accepts no connection.

    Args:
        timer_service: The timer service.
        reach: Follows whether this instance reaches any target.
        stats: Metrics of the process.
        directory: The registered targets.
        store_answers: Returns whether the store answers, so that entries of
            silent targets are removed.

    Attributes:
        refuses_connections: Tells whether a host and port refuse a connection
            within a time in seconds.
        accepts_connections: Tells whether they accept one.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        reach: reaching.ReachKeeper,
        stats: statistics.Statistics,
        directory: targets.TargetDirectory,
        store_answers: Callable[[], bool] = lambda: True,
    ) -> None:
        self._timers = timer_service
        self._reach = reach
        self._statistics = stats
        self._directory = directory
        self._store_answers = store_answers
        self.refuses_connections = probing.refuses_connections
        self.accepts_connections = probing.accepts_connections
        self._listeners: list[Listener] = []
        self._return_listeners: list[Callable[[targets.Target], None]] = []
        self._suspicions: dict[str, _Suspicion] = {}
        self._unanswered: unanswered.UnansweredRequests[InFlight] = (
            unanswered.UnansweredRequests()
        )
        # Targets without an answer whose connections are tested.
        self._probed: set[str] = set()
        # The event loop itself keeps only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def subscribe(self, listener: Listener) -> None:
        """Registers a function to call with each end."""
        self._listeners.append(listener)

    def subscribe_returns(
        self, listener: Callable[[targets.Target], None]
    ) -> None:
        """Registers a function to call with a target that had not ended.

        Its entry was removed, and it has registered again as the same start.
        """
        self._return_listeners.append(listener)

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Targets that close connections.

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
            self._start(self._probe(suspicion))
        request = InFlight.of(exchange, begun)
        suspicion.requests.append(request)
        if suspicion.ended:
            self._notify(End(target, (request,)), unanswered.Sign.REFUSED)

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
                self._notify(
                    End(target, tuple(suspicion.requests)),
                    unanswered.Sign.REFUSED,
                )
                await loop_timers.sleep(self._timers, _SAME_END_S)
                break
        if self._suspicions.get(target.target_id) is suspicion:
            del self._suspicions[target.target_id]

    # Targets that fall silent.

    def report_unanswered(
        self,
        exchange: exchanges.Exchange,
        target: targets.Target,
        sent_s: float,
        begun: bool = False,
    ) -> None:
        """Records that a request ended without an answer at a target.

        Its time may be over, its caller may have left, or its connection may
        have been lost.

        Args:
            exchange: The request.
            target: The target.
            sent_s: Time at which it was sent, or the target was heard last on
                its connection, in seconds, by a clock that counts
                suspensions.
            begun: Whether the target had begun to write its answer.
        """
        now_s = self._timers.elapsed_s()
        request = unanswered.Unanswered(
            InFlight.of(exchange, begun).without_excess(), sent_s, now_s
        )
        sign = self._unanswered.record(
            target,
            request,
            self._directory.registered(target.target_id),
            now_s,
        )
        events.log(
            LOG,
            events.REQUEST_UNANSWERED,
            request_id=exchange.request.request_id,
            target_id=target.target_id,
            key=exchange.key,
            silent_s=round(now_s - sent_s, 3),
        )
        self._follow_sign(sign, target)
        if self._store_answers() or target.target_id in self._probed:
            return
        if sign is None:
            self._probed.add(target.target_id)
            self._start(self._probe_silent(target))

    def record_answer(self, target: targets.Target) -> None:
        """Records that a target has answered a request."""
        self._unanswered.record_answer(target, self._timers.elapsed_s())

    def apply_change(self, change: targets.TargetChange) -> None:
        """Looks for the sign of an end in a change of a target.

        Args:
            change: The change.
        """
        sign = self._unanswered.sign_of(change, self._timers.elapsed_s())
        target = change.before if change.after is None else change.after
        self._follow_sign(sign, target)

    def _follow_sign(
        self, sign: unanswered.Sign | None, target: targets.Target
    ) -> None:
        match sign:
            case unanswered.Sign.RESTARTED:
                self._report_end(target.target_id, sign)
            case unanswered.Sign.REMOVED:
                self._start(self._judge_removed(target))
            case unanswered.Sign.RETURNED:
                for listener in self._return_listeners:
                    listener(target)

    async def _probe_silent(self, target: targets.Target) -> None:
        """Tests a target without an answer while it accepts no connection.

        For the time in which the store does not answer, so that its entry is
        not removed. It counts as ended if others in its availability zone are
        reached.
        """
        failed = 0
        began_s = self._timers.monotonic_s()
        try:
            while self._unanswered.pending(target, self._timers.elapsed_s()):
                if await self._accepts(target):
                    return
                failed += 1
                if failed >= _SILENCE_PROBES and not self._store_answers():
                    if await self._is_zone_reached(target, began_s):
                        self._report_end(
                            target.target_id, unanswered.Sign.SILENT
                        )
                    return
                await loop_timers.sleep(
                    self._timers, _SILENCE_PROBE_INTERVAL_S
                )
        finally:
            self._probed.discard(target.target_id)

    async def _judge_removed(self, target: targets.Target) -> None:
        """Reports the end of a removed target that accepts no connection.

        Some targets that leave go on for a while after their entry is gone.
        """
        began_s = self._timers.monotonic_s()
        if not self._has_successor(target):
            if await self._accepts(target):
                return
            if await self._reach.is_cut_off(began_s):
                return
        if self._directory.registered(target.target_id) == target:
            # It had lost the store, not its power.
            return
        self._report_end(target.target_id, unanswered.Sign.REMOVED)

    def _has_successor(self, target: targets.Target) -> bool:
        """Whether another target has registered at the same address."""
        return any(
            other.address == target.address
            for other in self._directory.targets.values()
            if other.target_id != target.target_id
        )

    async def _accepts(self, target: targets.Target) -> bool:
        return await self.accepts_connections(
            target.host, target.port, target_client.CONNECT_TIMEOUT_S
        )

    async def _is_zone_reached(
        self, target: targets.Target, since_s: float
    ) -> bool:
        """Whether another target of a target's zone accepts a connection."""
        if await self._reach.is_cut_off(since_s):
            return False
        others = [
            other
            for other in self._directory.targets.values()
            if other.zone == target.zone
            and other.target_id != target.target_id
        ]
        for other in others[:_SILENCE_PROBES]:
            if await self._accepts(other):
                return True
        return False

    def _report_end(self, target_id: str, sign: unanswered.Sign) -> None:
        """Reports the end of a target with requests without an answer."""
        now_s = self._timers.elapsed_s()
        taken = self._unanswered.take(target_id, now_s)
        if taken is None:
            return
        target, requests = taken
        age_s = max(0.0, now_s - unanswered.end_s(requests))
        in_flight = tuple(request.request for request in requests)
        self._notify(End(target, in_flight, age_s), sign)

    def _notify(self, end: End, sign: unanswered.Sign) -> None:
        # What is known by one sign is not reported again by another one.
        self._unanswered.discard(end.target, end.requests)
        self._statistics.end_signs.inc({'sign': sign.value})
        events.log(
            LOG,
            events.TARGET_END_DETECTED,
            target_id=end.target.target_id,
            sign=sign.value,
            requests=len(end.requests),
            age_s=round(end.age_s, 3),
        )
        for listener in self._listeners:
            listener(end)
