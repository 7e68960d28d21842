"""Forwards streamed generations and carries them over to other engines.

A generation of an engine that dies or leaves goes on at another one: from
the copy of its memory that the engine kept there, or from what a move of
the run left. It counts as the same run, so the old engine must have stopped
before the new one starts.
"""

import asyncio
import logging

import aiohttp
from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import events as gateway_events
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import evacuation
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import handover
from dotterelweird.gateway import refusing
from dotterelweird.gateway import rooms
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Targets that one request is sent to before it is given up, whether they
# ran it or not.
_TARGETS_MAX = 6
# Silence in the middle of a stream after which its engine is asked to stop
# it, in seconds: several times the pause of a preempted or slowed run.
_SILENCE_S = 1.0
# Share of the objective after which a resumable request that has no first
# event is sent to another engine, if its engine shows no sign of life.
_FIRST_EVENT_SHARE = 1.4
# Time since the last event of any stream within which an engine counts as
# alive, in seconds: a busy engine sends one every few tens of milliseconds.
_ALIVE_S = 1.0
# Usual time to the first event and for each token, in seconds, to estimate
# whether a generation ends before a stopping process does. Seen on a calm
# day: 0.65 s at the median, and about 10 ms a token.
_START_S = 0.7
_TOKEN_S = 0.01


@attrs.define
class _Run:
    """Where a generation runs, and where its copy is."""

    target: targets.Target
    backup: targets.Target | None = None
    copy: api.RunCopy | None = None


def expected_s(request: api.CallerRequest) -> float:
    """How long a generation is expected to take, in seconds."""
    return _START_S + _TOKEN_S * request.output_tokens_expected


class Generation:
    """One streamed request.

    Args:
        parts: Shared parts.
        exchange: The request.
        caller: The caller's connection.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        caller: web.BaseRequest,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._caller = caller
        self._cursor = gateway_events.EventCursor(
            exchange.request.last_event_id
        )
        self._response: web.StreamResponse | None = None
        self._evacuation: evacuation.Evacuation | None = None
        # Where the generation goes on, if its source was stopped already.
        self._handover: handover.Handover | None = None

    @property
    def _started(self) -> bool:
        """Whether the caller got part of the answer."""
        return self._response is not None

    async def forward(self) -> web.StreamResponse | exchanges.Answered:
        """Forwards the generation.

        Returns:
            The finished response, or a target's answer that is no stream.

        Raises:
            DotterelweirError: Nothing was sent to the caller yet and no
                target gives an answer.
            GenerationLost: The answer cannot be completed.
        """
        exchange = self._exchange
        budget = self._parts.budget(exchange.service)
        budget.record_request(self._parts.timers.monotonic_s())
        await rooms.wait_for_room(self._parts, exchange)
        run = self._place()
        last: exchanges.StreamOutcome | None = None
        while run is not None:
            try:
                last = await self._attempt(run)
                match last:
                    case exchanges.Complete():
                        await self._response.write_eof()
                        return self._response
                    case exchanges.Answered() if self._is_final(last):
                        return last
                    case exchanges.Interrupted():
                        exchange.may_have_run = True
                run = await self._next_run(run, last)
            finally:
                self._end_evacuation()
            now_s = self._parts.timers.monotonic_s()
            if run is None or now_s >= exchange.deadline_s:
                break
            arrived = not isinstance(last, exchanges.NeverSent)
            if arrived and not budget.take(now_s, urgent=run.copy is not None):
                events.log(
                    LOG,
                    events.REPEAT_BUDGET_EMPTY,
                    request_id=exchange.request.request_id,
                    service=exchange.service.name,
                    instances=budget.instances,
                )
                break
        return self._give_up(last)

    def _is_final(self, answer: exchanges.Answered) -> bool:
        """Whether a target's answer that is no stream goes to the caller."""
        if self._started:
            return False
        if answer.status < 500 or not self._exchange.route.resumable:
            return True
        return self._exchange.runs + 1 >= self._exchange.route.attempts_max

    def _place(self) -> _Run | None:
        """Chooses a target that starts the generation anew."""
        exchange = self._exchange
        if len(exchange.tried) >= _TARGETS_MAX:
            return None
        now_s = self._parts.timers.monotonic_s()
        choice = self._parts.placer.choose(
            self._parts.directory.of_service(exchange.service.name),
            exchange.service,
            exchange.tokens,
            now_s,
            exchange.tried,
        )
        if choice is None:
            return None
        run = _Run(choice.target, self._choose_backup(choice.target))
        events.log(
            LOG,
            events.GATEWAY_TARGET_CHOSEN,
            request_id=exchange.request.request_id,
            target_id=choice.target.target_id,
            cost=round(choice.cost, 2),
            candidates=choice.candidates,
            backup_id=run.backup.target_id if run.backup else None,
            tables_version=exchange.tables_version,
        )
        return run

    def _choose_backup(self, target: targets.Target) -> targets.Target | None:
        exchange = self._exchange
        engine = exchange.service.engine
        if engine is None or not engine.can_back_up:
            return None
        if exchange.route.resumable:
            # Cheap to generate again.
            return None
        return self._parts.placer.choose_backup(
            self._parts.directory.of_service(exchange.service.name),
            exchange.service,
            exchange.tokens,
            self._parts.timers.monotonic_s(),
            {target.target_id},
        )

    async def _attempt(self, run: _Run) -> exchanges.StreamOutcome:
        parts, exchange = self._parts, self._exchange
        sent_s = parts.timers.monotonic_s()
        load = parts.loads.get(run.target.target_id)
        counted_prefill = exchange.request.prompt_tokens
        if run.copy is not None:
            counted_prefill = 0
        prefill = attempts.Prefill(load, counted_prefill)
        watched = [run.target.target_id]
        if run.backup is not None:
            watched.append(run.backup.target_id)

        def notice(change: targets.TargetChange) -> None:
            self._notice(run, change)

        with (
            attempts.counted(parts, run.target, exchange.tokens),
            attempts.counted_backup(parts, run.backup, exchange.tokens),
            parts.watch.watching(watched, notice),
            prefill,
        ):
            outcome = await self._exchange_stream(run, prefill)
        now_s = parts.timers.monotonic_s()
        match outcome:
            case exchanges.Complete():
                load.record_success(now_s - sent_s, now_s)
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
            ) if self._evacuation is None:
                load.record_failure(now_s)
        self._record_attempt(run, outcome, now_s - sent_s)
        return outcome

    def _notice(self, run: _Run, change: targets.TargetChange) -> None:
        """Acts on a change of the engine of the run or of its copy."""
        left = change.after is None or (
            change.after.state is targets.TargetState.DRAINING
        )
        if not left:
            return
        if run.backup is not None and (
            change.target_id == run.backup.target_id
        ):
            run.backup = None
        self._evacuate_if_needed(run)

    def _evacuate_if_needed(self, run: _Run) -> None:
        """Starts to move a run that its copy would not outlive."""
        engine = self._exchange.service.engine
        if engine is None or not engine.can_move:
            return
        if self._evacuation is not None or run.backup is not None:
            return
        if self._exchange.route.resumable or not self._started:
            return
        if self._parts.directory.takes_work(run.target.target_id):
            return
        self._evacuation = evacuation.Evacuation(
            self._parts, self._exchange, run.target
        )

    def _end_evacuation(self) -> None:
        if self._evacuation is not None:
            self._evacuation.cancel()
            self._evacuation = None

    def _record_attempt(
        self, run: _Run, outcome: exchanges.StreamOutcome, taken_s: float
    ) -> None:
        match outcome:
            case exchanges.Complete():
                end, detail = 'complete', ''
            case exchanges.Interrupted(reason=detail):
                end = 'interrupted'
            case _:
                attempts.record_end(
                    self._parts, self._exchange, run.target, outcome, taken_s
                )
                return
        self._parts.statistics.attempts.inc(
            {'target': run.target.target_id, 'end': end}
        )
        events.log(
            LOG,
            events.GATEWAY_ATTEMPT_ENDED,
            request_id=self._exchange.request.request_id,
            target_id=run.target.target_id,
            end=end,
            detail=detail,
            events=self._cursor.delivered,
            last_event_id=self._cursor.last_id,
            taken_s=round(taken_s, 4),
        )

    async def _exchange_stream(
        self, run: _Run, prefill: attempts.Prefill
    ) -> exchanges.StreamOutcome:
        parts, exchange = self._parts, self._exchange
        self._cursor.start_link()
        options = api.AttemptOptions(
            run.target,
            self._time_left_s(),
            exchange.organisation_name,
            backup=run.backup,
            copy=run.copy,
            last_event_id=self._cursor.last_id,
        )
        mark = target_client.SendMark()
        sending = asyncio.create_task(
            attempts.send(parts, exchange, options, mark)
        )
        answer: aiohttp.ClientResponse | None = None
        try:
            interrupted = await self._await_head(run, sending)
            if interrupted is not None and not mark.sent:
                return exchanges.NeverSent('no connection in time')
            if interrupted is not None:
                return interrupted
            answer = sending.result()
            facts = parts.dialect.decode_answer(
                exchange.request.request_id,
                answer.status,
                answer.raw_headers,
            )
            if answer.status != 200 or not (facts.own and facts.sealed):
                async with asyncio.timeout(self._time_left_s()):
                    body = await answer.read()
                return attempts.classify(answer.status, facts, body)
            return await self._relay(run, answer, facts, prefill)
        except gateway_events.EventStreamError as exc:
            return exchanges.Interrupted(str(exc), silent=True)
        except (aiohttp.ClientError, TimeoutError) as exc:
            if not mark.sent:
                return exchanges.NeverSent(type(exc).__name__)
            if isinstance(exc, TimeoutError):
                return exchanges.TimedOut()
            return exchanges.Interrupted(f'{type(exc).__name__}: {exc}'[:60])
        finally:
            sending.cancel()
            if answer is not None:
                answer.close()

    def _time_left_s(self) -> float:
        now_s = self._parts.timers.monotonic_s()
        return self._exchange.deadline_s - now_s

    async def _await_head(
        self, run: _Run, sending: asyncio.Task
    ) -> exchanges.StreamOutcome | None:
        """Waits for the head of an answer; gives why it waits no longer."""
        patience_s = self._first_patience_s()
        while True:
            left_s = self._time_left_s()
            done, _ = await asyncio.wait(
                {sending}, timeout=min(left_s, patience_s)
            )
            if done:
                return None
            if left_s <= patience_s:
                return exchanges.TimedOut()
            interrupted = await self._on_silence(run)
            if interrupted is not None:
                return interrupted

    def _first_patience_s(self) -> float:
        if self._started:
            return _SILENCE_S
        return _FIRST_EVENT_SHARE * self._exchange.route.objective_s

    async def _relay(
        self,
        run: _Run,
        answer: aiohttp.ClientResponse,
        facts: api.AnswerFacts,
        prefill: attempts.Prefill,
    ) -> exchanges.StreamOutcome:
        load = self._parts.loads.get(run.target.target_id)
        patience_s = self._first_patience_s()
        waiting_for_first = True
        while True:
            left_s = self._time_left_s()
            try:
                async with asyncio.timeout(min(left_s, patience_s)):
                    chunk = await answer.content.readany()
            except TimeoutError:
                if left_s <= patience_s:
                    return exchanges.TimedOut()
                interrupted = await self._on_silence(run)
                if interrupted is not None:
                    return interrupted
                continue
            if not chunk:
                break
            out = self._cursor.feed(chunk)
            if not out:
                continue
            load.last_event_s = self._parts.timers.monotonic_s()
            if self._response is None:
                await self._start_response(facts)
            if waiting_for_first:
                waiting_for_first = False
                patience_s = _SILENCE_S
                prefill.end()
                self._parts.loads.announce()
                # The engine may have begun to leave before the first event.
                self._evacuate_if_needed(run)
            await self._response.write(out)
        if not self._cursor.at_boundary:
            return exchanges.Interrupted('ended within an event')
        if self._evacuation is not None:
            if await self._evacuation.has_stopped_source():
                return exchanges.Interrupted('moved')
        if self._response is None:
            await self._start_response(facts)
        return exchanges.Complete()

    async def _on_silence(self, run: _Run) -> exchanges.Interrupted | None:
        """Finds out why a link is silent.

        Returns:
            Why the generation must go on elsewhere; None to wait on.
        """
        exchange = self._exchange
        if exchange.route.resumable:
            if self._is_alive(run.target):
                return None
            return exchanges.Interrupted('silence', silent=True)
        if not self._started or self._evacuation is not None:
            return None
        destination = run.backup or self._choose_refuge(run.target)
        if destination is None:
            return None
        found = await handover.stop_source(
            self._parts, exchange, run.target, destination
        )
        match found.way:
            case handover.HandoverWay.BACKUP:
                # The engine lives and has preempted the run; it will go on.
                return None
            case handover.HandoverWay.BACKUP_UNREACHED:
                # A link into a zone that is cut off may heal.
                if run.backup is None or not self._is_alive(found.target):
                    return None
        self._handover = found
        return exchanges.Interrupted('silence', silent=True)

    def _is_alive(self, target: targets.Target) -> bool:
        """Whether a target delivered something to this instance lately."""
        load = self._parts.loads.get(target.target_id)
        now_s = self._parts.timers.monotonic_s()
        return now_s - load.last_event_s < _ALIVE_S

    def _choose_refuge(self, source: targets.Target) -> targets.Target | None:
        """Chooses an engine that can take a run from its source."""
        exchange = self._exchange
        return self._parts.placer.choose_refuge(
            self._parts.directory.of_service(exchange.service.name),
            exchange.service,
            exchange.tokens,
            self._parts.timers.monotonic_s(),
            {source.target_id},
        )

    async def _start_response(self, facts: api.AnswerFacts) -> None:
        parts, exchange = self._parts, self._exchange
        self._response = web.StreamResponse(status=200)
        for name, value in facts.headers:
            self._response.headers.add(name, value)
        self._response.enable_chunked_encoding()
        await self._response.prepare(self._caller)
        parts.statistics.first_byte_s.observe(
            {'route': exchange.route.name},
            parts.timers.monotonic_s() - exchange.arrived_s,
        )

    async def _next_run(
        self, run: _Run, last: exchanges.StreamOutcome
    ) -> _Run | None:
        """Where the generation goes on after an attempt; None to give up."""
        match last:
            case exchanges.Interrupted():
                resumed = await self._carry_over(run, last)
                if resumed is not None:
                    return resumed
                self._exchange.record_run()
                return self._restart()
            case exchanges.NeverSent() | exchanges.NotRun():
                if run.copy is not None:
                    # Without the copy only a resumable route may go on.
                    return self._restart()
                return self._place()
            case _:
                self._exchange.record_run()
                return self._restart()

    async def _carry_over(
        self, run: _Run, last: exchanges.Interrupted
    ) -> _Run | None:
        """Where an interrupted run goes on from a copy, if there is one."""
        found = await self._find_handover(run)
        if found is None:
            return None
        self._parts.statistics.recoveries.inc({'way': found.way.name.lower()})
        events.log(
            LOG,
            events.GENERATION_CARRIED_OVER,
            request_id=self._exchange.request.request_id,
            source=run.target.target_id,
            target_id=found.target.target_id,
            way=found.way.value,
            reason=last.reason,
            last_event_id=self._cursor.last_id,
        )
        return _Run(
            found.target, self._choose_backup(found.target), found.copy
        )

    async def _find_handover(self, run: _Run) -> handover.Handover | None:
        if self._handover is not None:
            found, self._handover = self._handover, None
            return found
        if self._evacuation is not None:
            found = await self._evacuation.result()
            if found is not None:
                return found
        if run.backup is None:
            return None
        return await handover.stop_source(
            self._parts, self._exchange, run.target, run.backup
        )

    def _restart(self) -> _Run | None:
        exchange = self._exchange
        if not exchange.route.resumable:
            return None
        if exchange.runs >= exchange.route.attempts_max:
            return None
        return self._place()

    def _give_up(
        self, last: exchanges.StreamOutcome | None
    ) -> web.StreamResponse:
        if self._started:
            raise GenerationLost
        if isinstance(last, exchanges.Interrupted) and last.silent:
            last = exchanges.TimedOut()
        raise refusing.error_after(self._parts, self._exchange, last)


class GenerationLost(errors.DotterelweirError):
    """A generation ended after part of it reached the caller."""

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorKind.GENERATION_LOST,
            execution=errors.Execution.RAN,
        )
