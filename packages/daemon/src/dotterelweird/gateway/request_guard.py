"""Keeps requests under which several targets have ended away from others."""

import asyncio
from collections.abc import Callable
import logging
import math
import random

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import request_quarantine
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import turns
from dotterelweird import probing
from dotterelweird import timers as loop_timers
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import peer_view
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
# Time by which the trials of a blocked request at two instances are apart, in
# seconds: longer than a target needs to end, and the news of it to arrive.
_TRIAL_STAGGER_S = 2.0
# Time after which an instance tries a blocked request again if its trial was
# neither answered nor ended a target, in seconds.
_TRIAL_INTERVAL_S = 30.0
# Maximum number of trials that are remembered; the oldest are evicted first.
_TRIED_MAX = 1_024
# Shortest time after which the caller of a blocked request may retry, in
# seconds.
_RETRY_AFTER_MIN_S = 1.0
# Longest delay before an answer to a suspected request is stated to the other
# instances, in seconds. All instances may know such an answer; the first one
# that states it saves the others the message.
_STATEMENT_DELAY_MAX_S = 0.3


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
    """Detects the ends of targets and checks requests against them.

    Args:
        instance_id: Id of this instance.
        timer_service: The timer service.
        stats: Metrics of the process.
        rng: Random source.
        view: Returns the other instances.
    """

    def __init__(
        self,
        instance_id: str,
        timer_service: timers.TimerService,
        stats: statistics.Statistics,
        rng: random.Random,
        view: Callable[[], peer_view.PeerView],
    ) -> None:
        self._timers = timer_service
        self._statistics = stats
        self._rng = rng
        self._instance_id = instance_id
        self._view = view
        # Times at which this instance tried blocked requests, by key.
        self._tried_s: bounded_map.BoundedMap[str, float] = (
            bounded_map.BoundedMap(_TRIED_MAX)
        )
        self._quarantine = request_quarantine.RequestQuarantine()
        self._listeners: list[
            Callable[[request_quarantine.Finding], None]
        ] = []
        # Keys of requests whose answers are about to be stated.
        self._due_statements: set[str] = set()
        self._suspicions: dict[str, _Suspicion] = {}
        # The event loop itself keeps only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def subscribe(
        self, listener: Callable[[request_quarantine.Finding], None]
    ) -> None:
        """Registers a function to call with each finding of this instance."""
        self._listeners.append(listener)

    def findings(self, count: int) -> tuple[request_quarantine.Finding, ...]:
        """Returns what an instance that has started must know.

        Args:
            count: Maximum number of findings.
        """
        return self._quarantine.findings(count, self._timers.elapsed_s())

    @property
    def fingerprint(self) -> int:
        """Checksum of the blocked requests; 0 for none."""
        return self._quarantine.fingerprint

    def find_error(
        self, exchange: exchanges.Exchange
    ) -> errors.DotterelweirError | None:
        """Returns the error of a request that must not reach a target.

        Args:
            exchange: The request.

        Returns:
            The error, which states whether the request may have run; None if
            it may be sent.
        """
        now_s = self._timers.elapsed_s()
        block = self._quarantine.find_block(exchange.key, now_s)
        if block is None or self._may_try(exchange, block, now_s):
            return None
        self._statistics.blocked_repeats.inc({})
        events.log(
            LOG,
            events.REQUEST_BLOCKED,
            request_id=exchange.request.request_id,
            key=exchange.key,
            ends=block.ends,
            left_s=round(block.until_s - now_s, 1),
        )
        if exchange.may_have_run:
            return errors.DotterelweirError(
                errors.ErrorKind.TARGET_FAILED,
                execution=errors.Execution.UNKNOWN,
            )
        open_s = min(block.trial_s, block.until_s)
        return errors.DotterelweirError(
            errors.ErrorKind.REQUEST_BLOCKED,
            retry_after_s=max(_RETRY_AFTER_MIN_S, open_s - now_s),
        )

    def _may_try(
        self,
        exchange: exchanges.Exchange,
        block: request_quarantine.Block,
        now_s: float,
    ) -> bool:
        """Whether this instance sends a blocked request once.

        One instance after the other may do so, in an order that all agree on.
        """
        if now_s < block.trial_s:
            return False
        if exchange.trial:
            # It is not repeated within the attempt.
            return not exchange.may_have_run
        peers = self._view().peers
        rank = turns.rank_of(
            self._instance_id,
            [peer.instance_id for peer in peers],
            exchange.key,
        )
        if now_s < block.trial_s + rank * _TRIAL_STAGGER_S:
            return False
        tried_s = self._tried_s.get(exchange.key, -math.inf)
        if now_s - tried_s < _TRIAL_INTERVAL_S:
            return False
        self._tried_s.put(exchange.key, now_s)
        exchange.trial = True
        events.log(
            LOG,
            events.REQUEST_TRIED,
            request_id=exchange.request.request_id,
            key=exchange.key,
            ends=block.ends,
            rank=rank,
        )
        return True

    def report_answer(self, exchange: exchanges.Exchange) -> None:
        """Records that a target has answered a request."""
        self._quarantine.record_answer(exchange.key, self._timers.elapsed_s())
        self._schedule_statement(exchange.key)

    def _schedule_statement(self, key: str) -> None:
        """States an answer to the other instances soon, if it matters."""
        answer = self._quarantine.unstated_answer(
            key, self._timers.elapsed_s()
        )
        if answer is not None and key not in self._due_statements:
            self._due_statements.add(key)
            self._timers.call_after(
                self._rng.uniform(0.0, _STATEMENT_DELAY_MAX_S),
                lambda: self._state_answer(key),
            )

    def _state_answer(self, key: str) -> None:
        self._due_statements.discard(key)
        answer = self._quarantine.unstated_answer(
            key, self._timers.elapsed_s()
        )
        if answer is not None and self._apply(answer, _OWN):
            self._notify(answer)

    def _notify(self, finding: request_quarantine.Finding) -> None:
        for listener in self._listeners:
            listener(finding)

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
            if await probing.refuses_connections(
                target.host, target.port, target_client.CONNECT_TIMEOUT_S
            ):
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
        for part in report.split():
            if self._apply(part, _OWN):
                self._notify(part)

    def apply_finding(
        self, finding: request_quarantine.Finding, host: str
    ) -> None:
        """Applies a finding of another instance.

        Args:
            finding: The finding.
            host: IP address of the instance.
        """
        self._apply(finding, host)

    def _apply(self, finding: request_quarantine.Finding, origin: str) -> bool:
        if not self._quarantine.apply(finding, self._timers.elapsed_s()):
            return False
        match finding:
            case engine_ends.EndReport():
                self._statistics.target_ends.inc({'origin': origin})
                events.log(
                    LOG,
                    events.TARGET_ENDED,
                    target_id=finding.target_id,
                    keys=sorted(finding.keys),
                    age_s=round(finding.age_s, 3),
                    origin=origin,
                )
                for key in finding.keys:
                    self._schedule_statement(key)
            case request_quarantine.SoundRequest():
                events.log(
                    LOG,
                    events.REQUEST_CLEARED,
                    key=finding.key,
                    age_s=round(finding.age_s, 3),
                    origin=origin,
                )
        return True
