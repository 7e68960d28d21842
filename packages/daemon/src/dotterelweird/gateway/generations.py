"""Forwards streamed generations and hands them over to other engines.

A generation whose engine fails or drains continues at another one: from the
backup of its memory that the engine kept there, or from the copy that a move
of the run made. It counts as the same run, so the old engine must have stopped
before the new one starts.
"""

import asyncio
from collections.abc import Sequence
import logging

import aiohttp
from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import event_stream
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import attempts
from dotterelweird.gateway import caller_stream
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import handover
from dotterelweird.gateway import links
from dotterelweird.gateway import move_calls
from dotterelweird.gateway import pausing
from dotterelweird.gateway import peer_forwarding
from dotterelweird.gateway import refusing
from dotterelweird.gateway import rooms
from dotterelweird.gateway import run_record

LOG = logging.getLogger(__name__)

# Maximum number of targets to which one request is sent before it is given up,
# whether they ran it or not.
_TARGETS_MAX = 6
# Statuses with which an engine refuses a request whose copy it does not have.
_NO_COPY_STATUSES = frozenset({421, 503})
# Maximum number of sends to an engine that has a copy and does not take it.
_UNSENT_MAX = 3
# Delay before such an engine is sent a run again, in seconds.
_RESEND_DELAY_S = 0.1
# Time between two looks at an empty retry budget, in seconds.
_RETRY_CHECK_S = 0.1
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
        # Sends that an engine with a copy did not take, by its id.
        self._unsent: dict[str, int] = {}
        # Calls about the last run at each engine, by its id.
        self._calls: dict[str, move_calls.MoveCalls] = {}

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
        result = await self._forward_to_peer()
        if result is None:
            result = await self._forward_to_engines()
        return result

    async def _forward_to_peer(
        self,
    ) -> web.StreamResponse | exchanges.Answered | None:
        """Passes the generation to an instance that reaches engines.

        Returns:
            The finished response, or an answer that is no stream; None if
            there is no need, or no instance that takes the generation.

        Raises:
            DotterelweirError: The other instance did not answer.
            GenerationLost: The answer has begun and cannot be completed, or
                the caller has disconnected.
        """
        parts, exchange, stream = self._parts, self._exchange, self._stream
        if not parts.forwarder.is_needed(exchange):
            return None
        began_s = parts.timers.monotonic_s()
        last_event_id = stream.cursor.last_id if stream.started else None
        opened = await parts.forwarder.open(exchange, last_event_id)
        if opened is None:
            return None
        try:
            if opened.is_stream:
                await self._pass_events(opened)
                return await stream.finish()
            if stream.started:
                return None
            return await parts.forwarder.read(exchange, opened)
        except caller_stream.CallerLostError as exc:
            raise GenerationLost from exc
        finally:
            parts.forwarder.close(exchange, opened, began_s)

    async def _pass_events(self, opened: peer_forwarding.PeerAnswer) -> None:
        """Passes the events of another instance on as they arrive.

        Raises:
            CallerLostError: The caller closed its connection.
            GenerationLost: The stream ended early.
        """
        cursor = self._stream.cursor
        cursor.discard_partial_event()
        left_s = self._exchange.deadline_s - self._parts.timers.monotonic_s()
        try:
            async with asyncio.timeout(left_s):
                await self._stream.begin(opened.headers)
                async for chunk in opened.answer.content.iter_any():
                    event_bytes = cursor.feed(chunk)
                    if event_bytes:
                        await self._stream.write(event_bytes)
        except (
            aiohttp.ClientError,
            TimeoutError,
            event_stream.EventStreamError,
        ) as exc:
            raise GenerationLost from exc
        if not cursor.at_boundary:
            raise GenerationLost

    async def _forward_to_engines(
        self,
    ) -> web.StreamResponse | exchanges.Answered:
        """Forwards the generation to engines, one after the other.

        Raises:
            DotterelweirError: No target gave an answer, and nothing was sent
                to the caller.
            GenerationLost: The answer has begun and cannot be completed, or
                the caller has disconnected.
        """
        exchange = self._exchange
        await self._find_origin()
        budget = self._parts.budgets.for_service(exchange.service.name)
        budget.record_request(self._parts.timers.monotonic_s())
        self._check_blocks()
        await rooms.wait_for_admission(self._parts, exchange)
        run = await self._place()
        last_outcome: exchanges.StreamOutcome | None = None
        while run is not None:
            self._check_blocks()
            link = links.Link(self._parts, exchange, self._stream, run)
            self._calls[run.target.target_id] = link.calls
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
                    case exchanges.NeverSent():
                        result = await self._forward_to_peer()
                        if result is not None:
                            return result
                run = await self._next_run(link, run, last_outcome)
            except caller_stream.CallerLostError as exc:
                raise GenerationLost from exc
            except asyncio.CancelledError:
                if self._parts.stop_plan.closing and link.may_have_stopped:
                    self._report_lost_run('process exits')
                raise
            finally:
                link.close()
            if self._parts.timers.monotonic_s() >= exchange.deadline_s:
                self._report_lost_run('deadline')
                break
            if run is None:
                self._report_lost_run('no engine continues it')
                break
            reached_target = not isinstance(
                last_outcome, exchanges.NeverSent | exchanges.Withheld
            )
            if run.copy is None and reached_target:
                if not self._parts.take_retry(exchange, urgent=False):
                    self._report_empty_budget()
                    break
        if isinstance(last_outcome, exchanges.NeverSent):
            await self._parts.reach.settle(self._exchange.deadline_s)
            result = await self._forward_to_peer()
            if result is not None:
                return result
        return self._give_up(last_outcome)

    async def _find_origin(self) -> None:
        """Finds the version at which a stream began that is taken up.

        Raises:
            DotterelweirError: The stream cannot go on at that version.
        """
        exchange = self._exchange
        if exchange.request.last_event_id is None:
            return
        origin = await self._parts.origins.find(exchange)
        for service in exchange.services:
            if service.name == origin.service:
                exchange.service = service
                exchange.stream_version = origin.software_version
                return
        # The tables have moved the route to other services.
        raise errors.DotterelweirError(errors.ErrorKind.POOL_EMPTY)

    async def _wait_for_retry(self) -> bool:
        """Takes a retry for a run that is lost without it, and waits for it.

        Returns:
            Whether there was one before the deadline.
        """
        parts, exchange = self._parts, self._exchange
        while not parts.take_retry(exchange, urgent=True):
            left_s = exchange.deadline_s - parts.timers.monotonic_s()
            if left_s <= _RETRY_CHECK_S:
                self._report_empty_budget()
                return False
            await timers.sleep(parts.timers, _RETRY_CHECK_S)
        return True

    def _report_empty_budget(self) -> None:
        budgets = self._parts.budgets
        events.log(
            LOG,
            events.REPEAT_BUDGET_EMPTY,
            request_id=self._exchange.request.request_id,
            service=self._exchange.service.name,
            instances=budgets.instance_counts.ever_seen,
            visible=budgets.instance_counts.reachable,
        )

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
            self._report_lost_run('request blocked')
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
        self._parts.speed_reporter.report_choice(exchange, choice)
        run = links.RunPlacement(
            choice.target, self._choose_backup(choice.target)
        )
        events.log(
            LOG,
            events.GATEWAY_TARGET_CHOSEN,
            request_id=exchange.request.request_id,
            target_id=choice.target.target_id,
            software_version=choice.target.software_version,
            cost=round(choice.cost, 2),
            candidates=choice.candidates,
            expected_pause_s=round(choice.pause_s, 4),
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
        return self._parts.choose_backup(self._exchange, target)

    async def _follow(
        self, link: links.Link, run: links.RunPlacement
    ) -> exchanges.StreamOutcome:
        """Follows one link and records the outcome for its engine."""
        sent_s = self._parts.timers.monotonic_s()
        try:
            outcome = await link.follow()
        except asyncio.CancelledError:
            # The caller has left.
            attempts.record_abandoned(
                self._parts,
                self._exchange,
                run.target,
                link.heard_s,
                self._stream.started or link.has_begun,
            )
            raise
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
        if not link.end_expected:
            attempts.record_silence(
                self._parts,
                self._exchange,
                run.target,
                outcome,
                link.heard_s,
                self._stream.started or link.has_begun,
            )
        match outcome:
            case exchanges.Complete():
                load.record_success(now_s)
                self._parts.request_guard.report_answer(self._exchange)
            case exchanges.Answered(status=status) if status >= 500:
                load.record_failure(now_s)
            case exchanges.NotRun() if run.copy is None:
                load.record_refusal(now_s)
                self._parts.placer.brittle.record_refusal(run.target, now_s)
            case exchanges.NeverSent():
                load.record_unreachable(now_s)
            case (
                exchanges.Broken()
                | exchanges.TimedOut()
                | exchanges.Interrupted()
            ) if not link.end_expected:
                load.record_failure(now_s)
        self._record_attempt(link, run, outcome, now_s - sent_s)
        return outcome

    def _has_lost_connection(
        self, link: links.Link, outcome: exchanges.StreamOutcome
    ) -> bool:
        """Whether the engine closed the connection within the answer."""
        match outcome:
            case exchanges.Interrupted(silent=False):
                return not link.end_expected
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
                    other = await self._choose_other_way(run, last_outcome)
                    if other is not None:
                        return other
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
                target_id=found.ways[0].target.target_id,
            )
            return None
        self._moved_before_start = not self._stream.started
        if not await self._wait_for_retry():
            return None
        way = await pausing.choose_way(self._parts, self._exchange, found.ways)
        if way is None:
            return None
        self._parts.statistics.recoveries.inc({'way': found.way.name.lower()})
        self._log_continuation(run, way, found.way.value, last_outcome.reason)
        return self._place_at(way, found.ways)

    async def _choose_other_way(
        self,
        run: links.RunPlacement,
        last_outcome: exchanges.NeverSent
        | exchanges.Withheld
        | exchanges.NotRun,
    ) -> links.RunPlacement | None:
        """Lets a run that an engine did not take continue elsewhere.

        Also at the engine that stopped it and keeps its memory. Statuses 421
        and 503 are final, as they show that the engine has no such copy.

        Returns:
            The run; None if no engine is left that accepts it in time.
        """
        ways = list(run.others)
        target_id = run.target.target_id
        refused = isinstance(last_outcome, exchanges.NotRun)
        if not (refused and last_outcome.status in _NO_COPY_STATUSES):
            self._unsent[target_id] = self._unsent.get(target_id, 0) + 1
            if self._unsent[target_id] < _UNSENT_MAX:
                ways.append(run_record.Way(run.target, run.copy))
        if not ways:
            return None
        if not self._has_untried_way(ways):
            await timers.sleep(self._parts.timers, _RESEND_DELAY_S)
        if refused and not await self._wait_for_retry():
            return None
        way = await pausing.choose_way(self._parts, self._exchange, ways)
        if way is None:
            return None
        self._parts.statistics.recoveries.inc({'way': 'returned'})
        self._log_continuation(
            run,
            way,
            'returned to its engine'
            if way.copy.address == way.target.address
            else 'another engine with a copy',
            f'not taken over by {target_id}',
        )
        return self._place_at(way, ways)

    def _has_untried_way(self, ways: Sequence[run_record.Way]) -> bool:
        """Whether an engine that was not sent the run accepts it now."""
        return any(
            way.target.target_id not in self._unsent
            and self._parts.gate.find_obstacle(
                way.target,
                resumes=True,
                stream_version=self._exchange.stream_version,
            )
            is None
            for way in ways
        )

    def _place_at(
        self,
        way: run_record.Way,
        ways: Sequence[run_record.Way],
    ) -> links.RunPlacement:
        """Returns the placement of a run that continues.

        Args:
            way: Where it continues.
            ways: All engines where it can continue.
        """
        calls = self._calls.get(way.target.target_id)
        return links.RunPlacement(
            way.target,
            self._choose_backup(way.target),
            way.copy,
            tuple(other for other in ways if other != way),
            calls if calls is not None and calls.stopping else None,
        )

    def _log_continuation(
        self,
        run: links.RunPlacement,
        way: run_record.Way,
        origin: str,
        reason: str,
    ) -> None:
        """Records that a run continues from a copy.

        Args:
            run: The placement before.
            way: Where it continues.
            origin: Origin of the copy.
            reason: Why it does not go on where it was.
        """
        events.log(
            LOG,
            events.GENERATION_CARRIED_OVER,
            request_id=self._exchange.request.request_id,
            source=run.target.target_id,
            target_id=way.target.target_id,
            software_version=way.target.software_version,
            way=origin,
            reason=reason,
            last_event_id=self._stream.cursor.last_id,
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
