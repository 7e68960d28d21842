"""Forwards streamed generations and hands them over to other engines.

A generation whose engine fails or drains continues at another one: from the
backup of its memory that the engine kept there, or from the copy that a move
of the run made. It counts as the same run, so the old engine must have stopped
before the new one starts.
"""

import logging

from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import attempts
from dotterelweird.gateway import caller_stream
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import handover
from dotterelweird.gateway import links
from dotterelweird.gateway import pausing
from dotterelweird.gateway import refusing
from dotterelweird.gateway import rooms

LOG = logging.getLogger(__name__)

# Maximum number of targets to which one request is sent before it is given up,
# whether they ran it or not.
_TARGETS_MAX = 6
# Number of calls about a run in a line of the log; the newest are kept.
_CALLS_LOGGED_MAX = 12


class Generation:
    """Forwards one streamed request.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        http_request: The HTTP request of the caller, which the stream answers.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        http_request: web.BaseRequest,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._stream = caller_stream.CallerStream(
            parts, exchange, http_request
        )
        # Whether it continued elsewhere before its first event.
        self._moved_before_start = False

    async def forward(self) -> web.StreamResponse | exchanges.Answered:
        """Forwards the generation until it ends or is given up.

        Returns:
            The finished response, or a target's answer that is no stream.

        Raises:
            DotterelweirError: No target gave an answer, and nothing was sent
                to the caller.
            GenerationLost: The answer has begun and cannot be completed, or
                the caller has disconnected.
        """
        exchange = self._exchange
        budgets, service = self._parts.budgets, exchange.service.name
        budgets.for_service(service).record_request(
            self._parts.timers.monotonic_s()
        )
        self._check_blocks()
        await rooms.wait_for_admission(self._parts, exchange)
        run = await self._place()
        last_outcome: exchanges.StreamOutcome | None = None
        while run is not None:
            self._check_blocks()
            link = links.Link(self._parts, exchange, self._stream, run)
            try:
                last_outcome = await self._follow(link, run)
                match last_outcome:
                    case exchanges.Complete():
                        return await self._stream.finish()
                    case exchanges.CallerLost():
                        raise GenerationLost
                    case exchanges.Answered() if self._is_final(last_outcome):
                        return last_outcome
                    case exchanges.Interrupted():
                        exchange.may_have_run = True
                run = await self._next_run(link, run, last_outcome)
            except caller_stream.CallerLostError as exc:
                raise GenerationLost from exc
            finally:
                link.close()
            now_s = self._parts.timers.monotonic_s()
            if run is None:
                self._report_lost_run('no engine continues it')
                break
            if now_s >= exchange.deadline_s:
                self._report_lost_run('deadline')
                break
            reached_target = not isinstance(
                last_outcome, exchanges.NeverSent | exchanges.Withheld
            )
            urgent = run.copy is not None
            if reached_target and not budgets.take(service, now_s, urgent):
                events.log(
                    LOG,
                    events.REPEAT_BUDGET_EMPTY,
                    request_id=exchange.request.request_id,
                    service=service,
                    instances=budgets.instance_counts.ever_seen,
                    visible=budgets.instance_counts.reachable,
                )
                self._report_lost_run('no retry left')
                break
        return self._give_up(last_outcome)

    def _report_lost_run(self, reason: str) -> None:
        """Records a stream that is lost after a call to stop its run.

        Args:
            reason: The step that failed.
        """
        if not (self._stream.started and self._exchange.stop_called):
            return
        now_s = self._parts.timers.monotonic_s()
        self._parts.statistics.stopped_runs_lost.inc({'reason': reason})
        events.log(
            LOG,
            events.STOPPED_RUN_LOST,
            request_id=self._exchange.request.request_id,
            reason=reason,
            stopping=self._parts.stop_plan.stopping,
            calls=[
                {
                    'source': call.source_id,
                    'final': call.final,
                    'ago_s': round(now_s - call.began_s, 3),
                    'result': call.result or 'not answered yet',
                }
                for call in self._exchange.run_calls[-_CALLS_LOGGED_MAX:]
            ],
        )

    def _check_blocks(self) -> None:
        """Ends a generation that would end a further engine.

        A generation that has begun shows that its prompt is sound.

        Raises:
            DotterelweirError: The request or its prompt is blocked.
        """
        error = self._parts.request_guard.find_error(self._exchange)
        if error is not None:
            raise GenerationLost if self._stream.started else error
        if self._stream.started:
            return
        error = self._parts.prompt_guard.find_error(self._exchange)
        if error is not None:
            raise error

    def _is_final(self, answer: exchanges.Answered) -> bool:
        """Whether an answer that is no stream is returned to the caller."""
        if self._stream.started:
            return False
        if answer.status < 500 or not self._exchange.route.resumable:
            return True
        return (
            self._exchange.runs_started + 1
            >= self._exchange.route.attempts_max
        )

    async def _place(self) -> links.RunPlacement | None:
        """Chooses a target that starts the generation from the beginning.

        Returns:
            The run, or None if no target is left or accepts it in time.
        """
        exchange = self._exchange
        if len(exchange.tried) >= _TARGETS_MAX:
            return None
        choice = await pausing.choose_target(self._parts, exchange)
        if choice is None:
            return None
        run = links.RunPlacement(
            choice.target, self._choose_backup(choice.target)
        )
        events.log(
            LOG,
            events.GATEWAY_TARGET_CHOSEN,
            request_id=exchange.request.request_id,
            target_id=choice.target.target_id,
            cost=round(choice.cost, 2),
            candidates=choice.candidates,
            backup_id=run.backup.target_id if run.backup else None,
            route=exchange.route.name,
            tokens=exchange.tokens,
            shared_parts=exchange.request.shared_parts[
                : exchanges.LOGGED_PARTS_MAX
            ],
            tables_version=exchange.tables_version,
        )
        return run

    def _choose_backup(self, target: targets.Target) -> targets.Target | None:
        engine = self._exchange.service.engine
        if engine is None or not engine.can_back_up:
            return None
        if self._exchange.route.resumable:
            # A resumable generation is cheap to generate again.
            return None
        return self._parts.choose_backup(self._exchange, {target.target_id})

    async def _follow(
        self, link: links.Link, run: links.RunPlacement
    ) -> exchanges.StreamOutcome:
        """Follows one link and records the outcome for its engine."""
        sent_s = self._parts.timers.monotonic_s()
        outcome = await link.follow()
        now_s = self._parts.timers.monotonic_s()
        load = self._parts.loads.get(run.target.target_id)
        if link.has_begun and not link.events:
            self._parts.prompt_guard.report_sound(self._exchange)
        if self._has_lost_connection(link, outcome):
            self._parts.end_detector.report_lost_connection(
                self._exchange,
                run.target,
                begun=self._stream.started or link.has_begun,
            )
        match outcome:
            case exchanges.Complete():
                load.record_success(now_s)
                self._parts.request_guard.report_answer(self._exchange)
            case exchanges.Answered(status=status) if status >= 500:
                load.record_failure(now_s)
            case exchanges.NotRun() if run.copy is None:
                load.record_refusal(now_s)
            case exchanges.NeverSent():
                load.record_unreachable(now_s)
            case (
                exchanges.Broken()
                | exchanges.TimedOut()
                | exchanges.Interrupted()
            ) if not link.evacuated:
                load.record_failure(now_s)
        self._record_attempt(link, run, outcome, now_s - sent_s)
        return outcome

    def _has_lost_connection(
        self, link: links.Link, outcome: exchanges.StreamOutcome
    ) -> bool:
        """Whether the engine closed the connection within the answer."""
        match outcome:
            case exchanges.Interrupted(silent=False):
                return not link.evacuated
            case exchanges.Broken(connection_lost=lost):
                return lost
            case _:
                return False

    def _record_attempt(
        self,
        link: links.Link,
        run: links.RunPlacement,
        outcome: exchanges.StreamOutcome,
        taken_s: float,
    ) -> None:
        facts = {'head_s': link.head_s, 'link_events': link.events}
        if isinstance(
            outcome,
            exchanges.Complete | exchanges.Interrupted | exchanges.CallerLost,
        ):
            cursor = self._stream.cursor
            facts |= {
                'events': cursor.delivered,
                'last_event_id': cursor.last_id,
                **self._exchange.timing(),
            }
        attempts.record_end(
            self._parts,
            self._exchange,
            run.target,
            outcome,
            taken_s,
            **facts,
        )

    async def _next_run(
        self,
        link: links.Link,
        run: links.RunPlacement,
        last_outcome: exchanges.StreamOutcome,
    ) -> links.RunPlacement | None:
        """Chooses where the generation continues after an attempt.

        Returns:
            The next run, or None to give the generation up.
        """
        match last_outcome:
            case exchanges.Interrupted():
                resumed = await self._hand_over(link, run, last_outcome)
                if resumed is not None:
                    return resumed
                self._exchange.record_run()
                return await self._restart()
            case (
                exchanges.NeverSent()
                | exchanges.Withheld()
                | exchanges.NotRun()
            ):
                if run.copy is not None:
                    returned = await self._return_to_source(run)
                    if returned is not None:
                        return returned
                    # Without the copy, only a resumable route may start again.
                    return await self._restart()
                return await self._place()
            case _:
                self._exchange.record_run()
                return await self._restart()

    async def _hand_over(
        self,
        link: links.Link,
        run: links.RunPlacement,
        last_outcome: exchanges.Interrupted,
    ) -> links.RunPlacement | None:
        """Finds a copy from which an interrupted run can continue.

        Returns:
            The run, or None if there is no copy that it may continue from,
            or the engine of the copy does not accept it in time.
        """
        if self._moved_before_start and not self._stream.started:
            # A request without any event at two engines may crash a third.
            return None
        found = await link.find_handover()
        if found is None:
            return None
        if (
            found.way is handover.HandoverWay.BACKUP_UNREACHED
            and not self._stream.started
        ):
            # The request may have ended its engine. Before the first event a
            # copy may hold nothing, so that it would run once more.
            self._parts.statistics.unused_copies.inc({})
            events.log(
                LOG,
                events.COPY_NOT_USED,
                request_id=self._exchange.request.request_id,
                source=run.target.target_id,
                target_id=found.target.target_id,
            )
            return None
        self._moved_before_start = not self._stream.started
        if not await pausing.wait_for_target(
            self._parts, self._exchange, found.target
        ):
            return None
        self._parts.statistics.recoveries.inc({'way': found.way.name.lower()})
        events.log(
            LOG,
            events.GENERATION_CARRIED_OVER,
            request_id=self._exchange.request.request_id,
            source=run.target.target_id,
            target_id=found.target.target_id,
            way=found.way.value,
            reason=last_outcome.reason,
            last_event_id=self._stream.cursor.last_id,
        )
        return links.RunPlacement(
            found.target,
            self._choose_backup(found.target),
            found.copy,
            run.target if found.is_confirmed else None,
        )

    async def _return_to_source(
        self, run: links.RunPlacement
    ) -> links.RunPlacement | None:
        """Lets a run that no engine took over continue where it was stopped.

        Returns:
            The run; None if its engine does not keep its memory, or does not
            accept it in time.
        """
        source = run.source
        if source is None or source.target_id == run.target.target_id:
            return None
        if not await pausing.wait_for_target(
            self._parts, self._exchange, source
        ):
            return None
        self._parts.statistics.recoveries.inc({'way': 'returned'})
        events.log(
            LOG,
            events.GENERATION_CARRIED_OVER,
            request_id=self._exchange.request.request_id,
            source=source.target_id,
            target_id=source.target_id,
            way='returned to its engine',
            reason=f'not taken over by {run.target.target_id}',
            last_event_id=self._stream.cursor.last_id,
        )
        return links.RunPlacement(
            source, self._choose_backup(source), run.copy
        )

    async def _restart(self) -> links.RunPlacement | None:
        exchange = self._exchange
        if not exchange.route.resumable:
            return None
        if exchange.runs_started >= exchange.route.attempts_max:
            return None
        return await self._place()

    def _give_up(
        self, last_outcome: exchanges.StreamOutcome | None
    ) -> web.StreamResponse:
        if self._stream.started:
            raise GenerationLost
        if (
            isinstance(last_outcome, exchanges.Interrupted)
            and last_outcome.silent
        ):
            last_outcome = exchanges.TimedOut()
        raise refusing.error_for_outcome(
            self._parts, self._exchange, last_outcome
        )


class GenerationLost(errors.DotterelweirError):
    """A generation cannot be completed.

    Part of it reached the caller, or the caller disconnected.
    """

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorKind.GENERATION_LOST,
            execution=errors.Execution.RAN,
        )
