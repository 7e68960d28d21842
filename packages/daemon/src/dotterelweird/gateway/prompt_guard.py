"""Keeps requests whose prompt crashes engines away from the engines."""

from collections.abc import Callable
import logging
import random

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import quarantine
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
# Longest delay before sound parts are stated to the other instances, in
# seconds. All instances may know them; the first one that states them saves
# the others the message.
_STATEMENT_DELAY_MAX_S = 0.3
# Length of a request's id in findings; callers choose their ids.
_ID_LENGTH_MAX = 64


class PromptGuard:
    """Records findings about prompts and checks requests against them.

    Args:
        timer_service: The timer service.
        stats: Metrics of the process.
        rng: Random source.
        turns: Decides when this instance may try a blocked prompt.
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
        self._quarantine = quarantine.PromptQuarantine()
        self._listeners: list[Callable[[quarantine.Finding], None]] = []
        self._statement_due = False

    def subscribe(
        self, listener: Callable[[quarantine.Finding], None]
    ) -> None:
        """Registers a function to call with each finding of this instance."""
        self._listeners.append(listener)

    def crashes(self, count: int) -> tuple[quarantine.PromptCrash, ...]:
        """Returns the newest crashes, at most the given number."""
        return self._quarantine.crashes(count, self._timers.elapsed_s())

    def report_end(self, end: end_detection.End) -> None:
        """Records the end of a target.

        Args:
            end: The end.
        """
        for request in end.requests:
            if request.begun:
                continue
            crash = quarantine.PromptCrash(
                _printable_id(request.request_id),
                end.target.target_id,
                self._quarantine.suspected_parts(request.shared_parts),
                end.age_s,
            )
            if self._apply(crash, _OWN):
                self._notify(crash)

    def retract_end(self, target: targets.Target) -> None:
        """Forgets the end of a target that turns out not to have ended."""
        self._quarantine.retract_end(
            target.target_id, self._timers.elapsed_s()
        )

    def report_sound(self, exchange: exchanges.Exchange) -> None:
        """Records that an engine has written an event for a request."""
        self._quarantine.record_written(
            exchange.request.shared_parts, self._timers.elapsed_s()
        )
        self._schedule_statement()

    def _schedule_statement(self) -> None:
        """States sound parts to the other instances soon, if it matters."""
        if self._statement_due:
            return
        if self._quarantine.unstated(self._timers.elapsed_s()) is None:
            return
        self._statement_due = True
        self._timers.call_after(
            self._rng.uniform(0.0, _STATEMENT_DELAY_MAX_S), self._state_sound
        )

    def _state_sound(self) -> None:
        self._statement_due = False
        sound = self._quarantine.unstated(self._timers.elapsed_s())
        if sound is not None and self._apply(sound, _OWN):
            self._notify(sound)

    def _notify(self, finding: quarantine.Finding) -> None:
        for listener in self._listeners:
            listener(finding)

    def apply_finding(self, finding: quarantine.Finding, host: str) -> None:
        """Applies a finding of another instance.

        Args:
            finding: The finding.
            host: IP address of the instance.
        """
        self._apply(finding, host)

    def _apply(self, finding: quarantine.Finding, origin: str) -> bool:
        if not self._quarantine.apply(finding, self._timers.elapsed_s()):
            return False
        match finding:
            case quarantine.PromptCrash(request_id, target_id, parts):
                self._statistics.prompt_crashes.inc({'origin': origin})
                events.log(
                    LOG,
                    events.PROMPT_SUSPECTED,
                    request_id=request_id,
                    target_id=target_id,
                    parts=sorted(parts)[: exchanges.LOGGED_PARTS_MAX],
                    age_s=round(finding.age_s, 3),
                    origin=origin,
                )
                self._schedule_statement()
            case quarantine.SoundParts(ages_s):
                events.log(
                    LOG,
                    events.PROMPT_CLEARED,
                    parts=sorted(ages_s)[: exchanges.LOGGED_PARTS_MAX],
                    age_s=round(max(ages_s.values()), 3),
                    origin=origin,
                )
        return True

    def find_error(
        self, exchange: exchanges.Exchange
    ) -> errors.DotterelweirError | None:
        """Returns the error of a request that must not reach an engine.

        Args:
            exchange: The request.

        Returns:
            The error, which states whether the request may have run; None if
            it may be sent.
        """
        now_s = self._timers.elapsed_s()
        blocks = self._quarantine.find_blocks(
            exchange.request.shared_parts, now_s
        )
        if not blocks or self._may_try(exchange, blocks):
            return None
        block = max(blocks, key=lambda block: block.trial_s)
        self._statistics.blocked_requests.inc({})
        events.log(
            LOG,
            events.PROMPT_BLOCKED,
            request_id=exchange.request.request_id,
            parts=sorted(block.parts)[: exchanges.LOGGED_PARTS_MAX],
            engines=block.engines,
            left_s=round(block.until_s - now_s, 1),
        )
        if exchange.may_have_run:
            return errors.DotterelweirError(
                errors.ErrorKind.TARGET_FAILED,
                execution=errors.Execution.UNKNOWN,
            )
        open_s = min(block.trial_s, block.until_s)
        return errors.DotterelweirError(
            errors.ErrorKind.PROMPT_BLOCKED,
            retry_after_s=max(_RETRY_AFTER_MIN_S, open_s - now_s),
        )

    def _may_try(
        self,
        exchange: exchanges.Exchange,
        blocks: tuple[quarantine.Block, ...],
    ) -> bool:
        """Whether this instance sends a request with a blocked prompt once."""
        if exchange.prompt_trial:
            # It is not repeated within the attempt.
            return not exchange.may_have_run
        if exchange.may_have_run:
            return False
        subjects = [' '.join(sorted(block.parts)) for block in blocks]
        if not all(
            self._turns.is_due(subject, block.trial_s)
            for subject, block in zip(subjects, blocks, strict=True)
        ):
            return False
        for subject in subjects:
            self._turns.record(subject)
        exchange.prompt_trial = True
        self._statistics.prompt_trials.inc({})
        events.log(
            LOG,
            events.PROMPT_TRIED,
            request_id=exchange.request.request_id,
            parts=sorted(
                max(blocks, key=lambda block: len(block.parts)).parts
            )[: exchanges.LOGGED_PARTS_MAX],
            blocks=len(blocks),
        )
        return True


def _printable_id(request_id: str) -> str:
    """Returns a caller's id in a form that datagrams can carry."""
    return request_id[:_ID_LENGTH_MAX].encode('ascii', 'replace').decode()
