"""Keeps requests under which several targets have ended away from others."""

from collections.abc import Callable
import logging
import random

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import request_quarantine
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import end_detection
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import statistics
from dotterelweird.gateway import trials

LOG = logging.getLogger(__name__)

# Origin of a finding of this instance, in logs.
_OWN = 'own'
# Shortest time after which the caller of a blocked request may retry, in
# seconds.
_RETRY_AFTER_MIN_S = 1.0
# Longest delay before an answer to a suspected request is stated to the other
# instances, in seconds. All instances may know such an answer; the first one
# that states it saves the others the message.
_STATEMENT_DELAY_MAX_S = 0.3


class RequestGuard:
    """Records the ends of targets and checks requests against them.

    Args:
        timer_service: The timer service.
        stats: Metrics of the process.
        rng: Random source.
        turns: Decides when this instance may try a blocked request.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        stats: statistics.Statistics,
        rng: random.Random,
        turns: trials.TrialTurns,
    ) -> None:
        self._timers = timer_service
        self._statistics = stats
        self._rng = rng
        self._turns = turns
        self._quarantine = request_quarantine.RequestQuarantine()
        self._listeners: list[
            Callable[[request_quarantine.Finding], None]
        ] = []
        # Keys of requests whose answers are about to be stated.
        self._due_statements: set[str] = set()

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

    def is_blocked(self, exchange: exchanges.Exchange) -> bool:
        """Whether a request is blocked, without the trial that it may get."""
        now_s = self._timers.elapsed_s()
        return self._quarantine.find_block(exchange.key, now_s) is not None

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
        """Whether this instance sends a blocked request once."""
        if now_s < block.trial_s:
            return False
        if exchange.trial:
            # It is not repeated within the attempt.
            return not exchange.may_have_run
        if not self._turns.is_due(exchange.key, block.trial_s):
            return False
        self._turns.record(exchange.key)
        exchange.trial = True
        events.log(
            LOG,
            events.REQUEST_TRIED,
            request_id=exchange.request.request_id,
            key=exchange.key,
            ends=block.ends,
            rank=self._turns.rank(exchange.key),
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

    def report_end(self, end: end_detection.End) -> None:
        """Records the end of a target.

        Args:
            end: The end.
        """
        report = engine_ends.EndReport(
            end.target.target_id,
            end.target.started_ms,
            frozenset(request.key for request in end.requests),
            end.age_s,
        )
        for part in report.split():
            if self._apply(part, _OWN):
                self._notify(part)

    def retract_end(self, target: targets.Target) -> None:
        """Forgets the end of a target that turns out not to have ended."""
        self._quarantine.retract_end(
            target.target_id, target.started_ms, self._timers.elapsed_s()
        )

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
