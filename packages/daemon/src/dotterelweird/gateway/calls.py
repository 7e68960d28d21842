"""Forwards plain calls, with retries of those that are repeatable."""

import asyncio
import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import attempts
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import pausing
from dotterelweird.gateway import refusing

LOG = logging.getLogger(__name__)

# Share of the remaining time that an attempt of a repeatable call gets while
# a further attempt is allowed. The rest lets another target answer.
_EARLY_ATTEMPT_SHARE = 0.5
# Maximum number of targets that are tried for one call, including targets that
# refuse it or cannot be reached.
_TARGETS_MAX = 4


class CallForwarder:
    """Forwards plain calls and retries only those of repeatable routes.

    Args:
        parts: Dependencies shared by all requests.
    """

    def __init__(self, parts: dependencies.Forwarding) -> None:
        self._parts = parts

    async def forward(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Answered:
        """Forwards one call.

        Args:
            exchange: The request.

        Returns:
            The answer of a target, which may be an error of its own.

        Raises:
            DotterelweirError: No target answered the call.
        """
        answered = await self._forward_to_peer(exchange)
        if answered is None:
            answered = await self._call_targets(exchange)
        return answered

    async def _forward_to_peer(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Answered | None:
        """Passes a call to an instance that reaches targets, if need be."""
        if not self._parts.forwarder.is_needed(exchange):
            return None
        return await self._parts.forwarder.call(exchange)

    async def _call_targets(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Answered:
        """Sends a call to targets, one after the other.

        Raises:
            DotterelweirError: No target answered the call.
        """
        budgets, service = self._parts.budgets, exchange.service.name
        budgets.for_service(service).record_request(
            self._parts.timers.monotonic_s()
        )
        failed_answer: exchanges.Answered | None = None
        last_outcome: exchanges.Outcome | None = None
        reached_target = False
        while len(exchange.tried) < _TARGETS_MAX:
            now_s = self._parts.timers.monotonic_s()
            if now_s >= exchange.deadline_s:
                break
            if reached_target and not budgets.take(service, now_s):
                break
            answered = await self._forward_to_peer(exchange)
            if answered is not None:
                return answered
            error = self._parts.request_guard.find_error(exchange)
            if error is not None:
                if failed_answer is not None:
                    return failed_answer
                raise error
            outcome = await self._attempt(exchange)
            if outcome is None:
                break
            last_outcome = outcome
            match outcome:
                case exchanges.Answered(status=status):
                    if status < 500 or not exchange.route.repeatable:
                        return outcome
                    failed_answer = outcome
                    exchange.record_run()
                case exchanges.Broken() | exchanges.TimedOut():
                    exchange.record_run()
                    if not exchange.route.repeatable:
                        break
                case (
                    exchanges.NotRun()
                    | exchanges.NeverSent()
                    | exchanges.Withheld()
                ):
                    pass
            reached_target = reached_target or not isinstance(
                outcome, exchanges.NeverSent | exchanges.Withheld
            )
            if exchange.runs_started >= exchange.route.attempts_max:
                break
        if failed_answer is not None:
            return failed_answer
        if isinstance(last_outcome, exchanges.NeverSent):
            await self._parts.reach.settle(exchange.deadline_s)
            answered = await self._forward_to_peer(exchange)
            if answered is not None:
                return answered
        raise refusing.error_for_outcome(self._parts, exchange, last_outcome)

    async def _attempt(
        self, exchange: exchanges.Exchange
    ) -> exchanges.Outcome | None:
        parts = self._parts
        choice = await pausing.choose_target(parts, exchange)
        if choice is None:
            return None
        # The choice may have taken a while.
        error = parts.request_guard.find_error(exchange)
        if error is not None:
            raise error
        target = choice.target
        now_s = parts.timers.monotonic_s()
        attempt_deadline_s = exchange.deadline_s
        may_retry = exchange.runs_started + 1 < exchange.route.attempts_max
        if exchange.route.repeatable and may_retry:
            attempt_deadline_s = now_s + _EARLY_ATTEMPT_SHARE * (
                exchange.deadline_s - now_s
            )
        parts.speed_reporter.report_choice(exchange, choice)
        events.log(
            LOG,
            events.GATEWAY_TARGET_CHOSEN,
            request_id=exchange.request.request_id,
            target_id=target.target_id,
            cost=round(choice.cost, 2),
            candidates=choice.candidates,
            tables_version=exchange.tables_version,
        )
        load = parts.loads.get(target.target_id)
        in_slot = load.running + load.peer_running < max(1, target.slots)
        sent_s = parts.timers.elapsed_s()
        try:
            with attempts.track_load(parts, target):
                outcome = await attempts.call(
                    parts, exchange, target, attempt_deadline_s
                )
        except asyncio.CancelledError:
            # The caller has left.
            attempts.record_abandoned(parts, exchange, target, sent_s)
            raise
        ended_s = parts.timers.monotonic_s()
        attempts.record_end(parts, exchange, target, outcome, ended_s - now_s)
        if isinstance(outcome, exchanges.Broken) and outcome.connection_lost:
            # No part of a prompt is suspected of the end of a plain service.
            parts.end_detector.report_lost_connection(
                exchange, target, begun=True
            )
        attempts.record_silence(parts, exchange, target, outcome, sent_s, True)
        if isinstance(outcome, exchanges.Answered):
            if in_slot and outcome.status < 400:
                parts.loads.speeds.record_call(
                    target, ended_s - now_s, ended_s
                )
            parts.request_guard.report_answer(exchange)
        self._record_outcome(target, outcome, ended_s)
        parts.pace.record_call(exchange, target, outcome, ended_s - now_s)
        return outcome

    def _record_outcome(
        self,
        target: targets.Target,
        outcome: exchanges.Outcome,
        now_s: float,
    ) -> None:
        load = self._parts.loads.get(target.target_id)
        match outcome:
            case exchanges.Answered(status=status) if status < 500:
                load.record_success(now_s)
            case exchanges.Answered():
                # Some requests fail at every target, so an error status alone
                # does not count as a failure of the target.
                pass
            case exchanges.NotRun():
                load.record_refusal(now_s)
                self._parts.placer.brittle.record_refusal(target, now_s)
            case exchanges.NeverSent() | exchanges.TimedOut():
                load.record_unreachable(now_s)
            case exchanges.Broken():
                load.record_failure(now_s)
