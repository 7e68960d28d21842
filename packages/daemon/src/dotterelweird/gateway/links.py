"""Link of a generation: its connection to one engine."""

import asyncio

import aiohttp
from aiohttp import hdrs
import attrs

from dotterelweir_core.gateway import event_stream
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import caller_stream
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import evacuation
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import handover
from dotterelweird.gateway import target_client

# Silence within a stream after which its engine is called to stop the run, in
# seconds: several times the pause of a preempted or slowed run.
_SILENCE_TIMEOUT_S = 1.0
# Delay of a timer, in seconds, above which this process was paused or starved.
# What arrived meanwhile is read after the timer fires.
_LATE_TIMER_S = 0.1
# Time without a first event, as a multiple of the objective, after which a
# resumable request is sent to another engine unless its engine is alive.
_FIRST_EVENT_TIMEOUT_FACTOR = 1.4
# Time since the last event of any stream within which an engine counts as
# alive, in seconds. A busy engine sends one every few tens of milliseconds.
_ALIVE_S = 1.0


@attrs.define
class RunPlacement:
    """Placement of a run on engines.

    Attributes:
        target: The engine that runs it.
        backup: The engine that keeps a backup of its memory, if any.
        copy: The copy from which it continues; None if it starts from the
            beginning.
        source: The engine that made the copy and stopped the run, if it
            keeps its memory; the run may also continue there.
    """

    target: targets.Target
    backup: targets.Target | None = None
    copy: api.RunCopy | None = None
    source: targets.Target | None = None


class Link:
    """Follows a run at one engine, from the send to the end of its link.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        stream: The stream to the caller.
        run: Placement of the run.

    Attributes:
        head_s: Time from the send to the head of a generation, in seconds;
            None before it.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        stream: caller_stream.CallerStream,
        run: RunPlacement,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._stream = stream
        self._run = run
        self._load = parts.loads.get(run.target.target_id)
        self._evacuation: evacuation.Evacuation | None = None
        # Monotonic time of the send; None if other prompts were queued for
        # their prefill, as the rate cannot be measured then.
        self._prefill_start_s: float | None = None
        # Where the generation continues, once its source was stopped because
        # of silence.
        self._handover: handover.Handover | None = None
        # Whether the engine may have stopped the run on a call that it did
        # not confirm.
        self._stop_unconfirmed = False
        self._sent_s = parts.timers.monotonic_s()
        self._delivered_before = stream.cursor.delivered
        self.head_s: float | None = None
        self._answer_body: aiohttp.StreamReader | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the engine wrote an event on this link.

        Whether it sent the head of its answer shows nothing: an engine may
        write it before, while or after it reads the prompt. Bytes that an
        error of the connection left unread may hold events.
        """
        if self.events:
            return True
        body = self._answer_body
        if body is None:
            return False
        return self._stream.cursor.is_event_end(target_client.unread(body))

    @property
    def events(self) -> int:
        """Number of new events that the engine sent on this link."""
        return self._stream.cursor.delivered - self._delivered_before

    @property
    def evacuated(self) -> bool:
        """Whether a move of the run off a draining engine was started."""
        return self._evacuation is not None

    async def follow(self) -> exchanges.StreamOutcome:
        """Sends the request and passes its events to the caller."""
        parts, exchange, run = self._parts, self._exchange, self._run
        prefill_tokens = exchange.demand.prompt_tokens
        if run.copy is not None:
            prefill_tokens = 0
        elif not self._load.pending_prefill_tokens:
            self._prefill_start_s = self._parts.timers.monotonic_s()
        prefill = attempts.PendingPrefill(self._load, prefill_tokens)
        watched = [run.target.target_id]
        if run.backup is not None:
            watched.append(run.backup.target_id)
        with (
            attempts.track_load(parts, run.target, exchange.tokens),
            attempts.track_backup_load(parts, run.backup, exchange.tokens),
            parts.watch.watching(watched, self._handle_target_change),
            prefill,
        ):
            return await self._send_and_pass_events(prefill)

    async def find_handover(self) -> handover.Handover | None:
        """Finds where the interrupted run continues.

        Stops the run at its engine first, unless a move or a silent link has
        led to a handover already.

        Returns:
            The handover, or None without a copy to continue from.
        """
        if self._handover is not None:
            return self._handover
        if self._evacuation is not None:
            # A run has no backup while it is moved.
            return await self._evacuation.result()
        if self._run.backup is None:
            return None
        return await handover.stop_source(
            self._parts, self._exchange, self._run.target, self._run.backup
        )

    def close(self) -> None:
        """Ends a move in progress."""
        if self._evacuation is not None:
            self._evacuation.close()

    def _handle_target_change(self, change: targets.TargetChange) -> None:
        """Reacts if the engine of the run or its backup drains or is lost."""
        unusable = change.after is None or (
            change.after.state is targets.TargetState.DRAINING
        )
        if not unusable:
            return
        backup = self._run.backup
        if backup is not None and change.target_id == backup.target_id:
            self._run.backup = None
        self._evacuate_if_needed()

    def _evacuate_if_needed(self) -> None:
        """Starts to move a run off a draining engine if it has no backup."""
        engine = self._exchange.service.engine
        if engine is None or not engine.can_move:
            return
        if self._evacuation is not None or self._run.backup is not None:
            return
        if self._exchange.route.resumable or not self._stream.started:
            return
        if self._parts.directory.takes_work(self._run.target.target_id):
            return
        self._evacuation = evacuation.Evacuation(
            self._parts, self._exchange, self._run.target
        )

    async def _send_and_pass_events(
        self, prefill: attempts.PendingPrefill
    ) -> exchanges.StreamOutcome:
        parts, exchange, run = self._parts, self._exchange, self._run
        cursor = self._stream.cursor
        cursor.discard_partial_event()
        options = api.AttemptOptions(
            run.target,
            self._time_left_s(),
            exchange.organisation_name,
            backup=run.backup,
            copy=run.copy,
            last_event_id=cursor.last_id,
        )
        send_state = target_client.SendState()
        sending = asyncio.create_task(
            attempts.send(parts, exchange, options, send_state)
        )
        answer: aiohttp.ClientResponse | None = None
        try:
            interrupted = await self._wait_for_head(sending)
            if interrupted is not None and not send_state.sent:
                return exchanges.NeverSent('no connection in time')
            if interrupted is not None:
                return interrupted
            answer = sending.result()
            facts = attempts.decode_answer(
                parts, exchange, run.target, answer, send_state
            )
            if answer.status != 200 or not facts.is_authentic:
                async with asyncio.timeout(self._time_left_s()):
                    body = await parts.memory.read(answer)
                return attempts.classify(answer.status, facts, body)
            now_s = parts.timers.monotonic_s()
            self.head_s = round(now_s - self._sent_s, 4)
            self._answer_body = answer.content
            return await self._pass_events(answer, facts, prefill)
        except caller_stream.CallerLostError as exc:
            return exchanges.CallerLost(str(exc))
        except event_stream.EventStreamError as exc:
            return exchanges.Interrupted(str(exc), silent=True)
        except (aiohttp.ClientError, TimeoutError) as exc:
            outcome = attempts.outcome_of_error(exc, send_state)
            if isinstance(outcome, exchanges.Broken):
                return exchanges.Interrupted(outcome.reason)
            return outcome
        finally:
            sending.cancel()
            if answer is not None:
                answer.close()

    def _time_left_s(self) -> float:
        now_s = self._parts.timers.monotonic_s()
        return self._exchange.deadline_s - now_s

    async def _wait_for_head(
        self, sending: asyncio.Task
    ) -> exchanges.StreamOutcome | None:
        """Waits for the head of an answer.

        Returns:
            None once the request has an answer or an error; otherwise the
            outcome that ends the wait.
        """
        silence_timeout_s = self._initial_silence_timeout_s()
        while True:
            left_s = self._time_left_s()
            wait_s = min(left_s, silence_timeout_s)
            due_s = self._parts.timers.monotonic_s() + wait_s
            done, _ = await asyncio.wait({sending}, timeout=wait_s)
            if done:
                return None
            if left_s <= silence_timeout_s:
                return exchanges.TimedOut()
            if self._was_paused(due_s):
                continue
            interrupted = await self._handle_silence()
            if interrupted is not None:
                return interrupted

    def _initial_silence_timeout_s(self) -> float:
        if self._stream.started:
            return _SILENCE_TIMEOUT_S
        return _FIRST_EVENT_TIMEOUT_FACTOR * self._exchange.route.objective_s

    async def _pass_events(
        self,
        answer: aiohttp.ClientResponse,
        facts: api.AnswerFacts,
        prefill: attempts.PendingPrefill,
    ) -> exchanges.StreamOutcome:
        """Passes events to the caller until the link ends."""
        cursor = self._stream.cursor
        silence_timeout_s = self._initial_silence_timeout_s()
        waiting_for_first = True
        # Bytes that complete no event are no progress: an engine that sends
        # a byte now and then has stalled as much as a silent one.
        last_progress_s = self._parts.timers.monotonic_s()
        while True:
            now_s = self._parts.timers.monotonic_s()
            left_s = self._time_left_s()
            wait_s = last_progress_s + silence_timeout_s - now_s
            due_s = now_s + min(left_s, wait_s)
            try:
                async with asyncio.timeout(due_s - now_s):
                    chunk = await answer.content.readany()
            except TimeoutError:
                if left_s <= wait_s:
                    return exchanges.TimedOut()
                if not self._was_paused(due_s):
                    interrupted = await self._handle_silence()
                    if interrupted is not None:
                        return interrupted
                last_progress_s = self._parts.timers.monotonic_s()
                continue
            if not chunk:
                break
            event_bytes = cursor.feed(chunk)
            if not event_bytes:
                continue
            self._load.last_event_s = self._parts.timers.monotonic_s()
            await self._stream.begin(facts.headers)
            if waiting_for_first:
                waiting_for_first = False
                silence_timeout_s = _SILENCE_TIMEOUT_S
                prefill.end()
                self._parts.loads.notify()
                self._parts.prompt_guard.report_sound(self._exchange)
                self._record_prefill_rate()
                # The engine may have started to drain before the first event.
                self._evacuate_if_needed()
            await self._stream.write(event_bytes)
            # Time spent on a slow caller is no silence of the engine.
            last_progress_s = self._parts.timers.monotonic_s()
        if not cursor.at_boundary:
            return exchanges.Interrupted('ended within an event')
        if not self._stream.started and _ends_with_connection(answer):
            return exchanges.Interrupted('closed before the first event')
        if self._stop_unconfirmed and _ends_with_connection(answer):
            return exchanges.Interrupted('closed after a call to stop')
        if self._evacuation is not None:
            if await self._evacuation.has_stopped_source():
                return exchanges.Interrupted('moved')
            if self._evacuation.stop_called and _ends_with_connection(answer):
                return exchanges.Interrupted('closed after a call to stop')
        await self._stream.begin(facts.headers)
        return exchanges.Complete()

    def _record_prefill_rate(self) -> None:
        """Records how fast the engine prefilled the prompt."""
        if self._prefill_start_s is None:
            return
        now_s = self._parts.timers.monotonic_s()
        self._parts.admission.prefill_rate(self._exchange.service).record(
            self._exchange.demand.prompt_tokens, now_s - self._prefill_start_s
        )

    async def _handle_silence(self) -> exchanges.Interrupted | None:
        """Decides whether a silent link ends.

        Stops the run at its engine if it can continue at another one.

        Returns:
            Why the generation must continue elsewhere; None to keep waiting.
        """
        parts, exchange, run = self._parts, self._exchange, self._run
        if not self._may_continue_elsewhere():
            return None
        if exchange.route.resumable:
            if self._is_alive(run.target):
                return None
            return exchanges.Interrupted('silence', silent=True)
        if not self._stream.started or self._evacuation is not None:
            return None
        if parts.is_paused(run.target):
            # Events may follow while the stop would wait for the pause.
            return None
        destination = run.backup or parts.choose_takeover_target(
            exchange, run.target
        )
        if destination is None:
            return None
        found = await handover.stop_source(
            parts, exchange, run.target, destination, link_ended=False
        )
        if found is None:
            self._stop_unconfirmed = True
            return None
        match found.way:
            case handover.HandoverWay.BACKUP:
                # The engine may resume the run, see ``MoveResult.NO_RUN``.
                return None
            case handover.HandoverWay.BACKUP_UNREACHED:
                # The connection to a partitioned zone may recover.
                if run.backup is None or not self._is_alive(found.target):
                    self._stop_unconfirmed = True
                    return None
        self._handover = found
        return exchanges.Interrupted('silence', silent=True)

    def _was_paused(self, due_s: float) -> bool:
        """Whether this process was paused while it waited for an engine.

        Args:
            due_s: Monotonic time at which the wait was to end, in seconds.
        """
        return self._parts.timers.monotonic_s() - due_s > _LATE_TIMER_S

    def _may_continue_elsewhere(self) -> bool:
        """Whether another attempt is allowed if this link is given up.

        A silent engine may still be at work, so a link that nothing can
        replace is kept.
        """
        parts, exchange = self._parts, self._exchange
        resumable = exchange.route.resumable
        if resumable and (
            exchange.runs_started + 1 >= exchange.route.attempts_max
            or parts.choose(exchange, exchange.tried) is None
        ):
            return False
        budget = parts.budgets.for_service(exchange.service.name)
        return budget.has_retry(
            parts.timers.monotonic_s(), urgent=not resumable
        )

    def _is_alive(self, target: targets.Target) -> bool:
        """Whether this instance recently received an event of a target."""
        load = self._parts.loads.get(target.target_id)
        now_s = self._parts.timers.monotonic_s()
        return now_s - load.last_event_s < _ALIVE_S


def _ends_with_connection(answer: aiohttp.ClientResponse) -> bool:
    """Whether only the close of the connection marks the end of an answer."""
    headers = answer.headers
    return not (
        hdrs.CONTENT_LENGTH in headers or hdrs.TRANSFER_ENCODING in headers
    )
