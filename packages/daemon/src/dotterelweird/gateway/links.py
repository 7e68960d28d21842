"""Link of a generation: its connection to one engine."""

import asyncio
import logging

import aiohttp
from aiohttp import hdrs
import attrs

from dotterelweir_core import events
from dotterelweir_core.gateway import event_stream
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import caller_stream
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import handover
from dotterelweird.gateway import move_calls
from dotterelweird.gateway import moving
from dotterelweird.gateway import run_record
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Silence within a stream after which its engine is called to stop the run, in
# seconds: several times the pause of a preempted or slowed run.
_SILENCE_TIMEOUT_S = 1.0
# Delay of a timer, in seconds, above which this process was paused or starved.
# What arrived meanwhile is read after the timer fires.
_LATE_TIMER_S = 0.1
# Time without a first event, as a multiple of the objective, after which a
# resumable request is sent to another engine unless its engine is alive.
_FIRST_EVENT_TIMEOUT_FACTOR = 1.4
# Time of a write to the caller above which the time of the next event is not
# that of the engine, in seconds.
_SLOW_WRITE_S = 0.005
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
        others: Where the run may continue instead, in order of preference.
        calls: Calls about an earlier run of the request at the engine, some
            of them open; None without open ones.
    """

    target: targets.Target
    backup: targets.Target | None = None
    copy: api.RunCopy | None = None
    others: tuple[run_record.Way, ...] = ()
    calls: move_calls.MoveCalls | None = None


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
        heard_s: Time of the send or of the newest event, in seconds, by a
            clock that counts suspensions.
        calls: Calls to the engine about the run.
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
        self._record = run_record.RunRecord(
            run.target, exchange.request.request_id
        )
        self.calls = run.calls or move_calls.MoveCalls(
            parts, exchange, self._record
        )
        if run.calls is not None:
            run.calls.continue_with(self._record)
        self._move: moving.RunMove | None = None
        # Whether the newest move was started to leave an evacuated zone.
        self._evacuating = False
        # Monotonic time of the send; None if other prompts were queued for
        # their prefill, as the rate cannot be measured then.
        self._prefill_start_s: float | None = None
        # Whether the engine is silent and accepts no connection.
        self._source_lost = False
        # Timeout of the read in progress, which that ends at once.
        self._read_timeout: asyncio.Timeout | None = None
        self._progress_s = parts.timers.monotonic_s()
        self._handover: handover.Handover | None = None
        self._sent_s = parts.timers.monotonic_s()
        self._delivered_before = stream.cursor.delivered
        self.head_s: float | None = None
        self.heard_s = parts.timers.elapsed_s()
        # Prompt tokens that were pending at the engine before the send.
        self._pending_tokens = 0.0
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
    def end_expected(self) -> bool:
        """Whether the end of the link is no failure of its engine.

        The engine leaves, or was called to stop the run.
        """
        return self._record.leaving or self._record.stop_called

    @property
    def may_have_stopped(self) -> bool:
        """Whether the run may have stopped at its engine."""
        state = self._record.state
        return state is not run_record.SourceState.RUNNING

    async def follow(self) -> exchanges.StreamOutcome:
        """Sends the request and passes its events to the caller."""
        parts, exchange, run = self._parts, self._exchange, self._run
        prefill_tokens = exchange.demand.prompt_tokens
        self._pending_tokens = self._load.pending_prefill_tokens
        if run.copy is not None:
            prefill_tokens = 0
        elif not self._load.pending_prefill_tokens:
            self._prefill_start_s = self._parts.timers.monotonic_s()
        prefill = attempts.PendingPrefill(self._load, prefill_tokens)
        if run.backup is not None and not parts.gate.may_keep(
            run.target, run.backup
        ):
            run.backup = None
        watched = [run.target.target_id]
        if run.backup is not None:
            watched.append(run.backup.target_id)
        with (
            attempts.track_load(parts, run.target, exchange.tokens),
            attempts.track_backup_load(parts, run.backup, exchange.tokens),
            parts.watch.watching(watched, self._handle_target_change),
            parts.evacuator.following(self),
            prefill,
        ):
            return await self._send_and_pass_events(prefill)

    async def find_handover(self) -> handover.Handover | None:
        """Finds where the interrupted run continues.

        The run must have stopped at its engine first.

        Returns:
            The handover, or None without a copy to continue from.
        """
        record = self._record
        if self._run.backup is not None:
            record.backup = self._backup_way(self._run.backup)
        record.link_ended.set()
        if self._move is not None:
            await self._move.settle()
        else:
            # Calls about an earlier run may have stopped this one.
            await self.calls.wait_for_open_stops()
            if record.destination is not None:
                await self.calls.stop(record.destination)
        self._handover = handover.find(record)
        if self._handover is None and record.destination is not None:
            move_calls.report_unsettled(self._parts, record)
        return self._handover

    def _backup_way(self, backup: targets.Target) -> run_record.Way:
        request_id = self._exchange.request.request_id
        return run_record.Way(backup, api.RunCopy(backup.address, request_id))

    def close(self) -> None:
        """Ends a move in progress and frees copies that are not used."""
        if self._move is not None:
            self._move.close()
        self.calls.close(self._handover.ways if self._handover else ())

    def _handle_target_change(self, change: targets.TargetChange) -> None:
        """Reacts if the engine of the run or its backup drains or is lost.

        Also if the zone of one of them is evacuated.
        """
        after = change.after
        kept = after is not None and self._parts.gate.may_keep(
            self._run.target, after
        )
        if kept and after.state is not targets.TargetState.DRAINING:
            return
        backup = self._run.backup
        if backup is not None and change.target_id == backup.target_id:
            self._run.backup = None
            if after is not None and not kept:
                self._record.backup = None
        if self._find_move_reason() is not None:
            self._start_move()

    def _find_move_reason(self) -> tuple[moving.Reason, float] | None:
        """Returns why the run is to be moved, if it is.

        Returns:
            The reason, and the time since the last event, in seconds. A run
            whose memory another engine keeps is not moved off an engine that
            leaves.
        """
        if self._exchange.route.resumable or not self._stream.started:
            return None
        silent_s = self._parts.timers.monotonic_s() - self._progress_s
        body = self._answer_body
        if body is not None and target_client.unread(body):
            silent_s = 0.0
        leaves = not self._parts.directory.takes_work(
            self._run.target.target_id
        )
        engine = self._exchange.service.engine
        movable = engine is not None and engine.can_move
        if leaves and self._run.backup is None and movable:
            return moving.Reason.LEAVING, silent_s
        if silent_s >= _SILENCE_TIMEOUT_S:
            return moving.Reason.SILENT, silent_s
        if (
            self.is_evacuating
            and self._run.backup is None
            and self._parts.gate.is_evacuated(self._run.target)
        ):
            return moving.Reason.EVACUATED, silent_s
        return None

    @property
    def zone(self) -> str:
        """Availability zone of the engine."""
        return self._run.target.zone

    @property
    def is_evacuating(self) -> bool:
        """Whether the run is being moved off its zone."""
        in_progress = self._move is not None and not self._move.ended
        return self._evacuating and in_progress

    def work_left_s(self) -> float:
        """Returns the time until the expected end, in seconds.

        Returns:
            The time; 0 for a run that does not move off its zone: another
            engine keeps its memory, it starts again if it is lost, or it has
            not begun.
        """
        parts, exchange = self._parts, self._exchange
        engine = exchange.service.engine
        movable = engine is not None and engine.can_move
        if exchange.route.resumable or not (self._stream.started and movable):
            return 0.0
        if self._run.backup is not None:
            return 0.0
        factor = parts.duration_factors.for_service(exchange.service.name)
        duration_s = factor.value * exchange.expected_duration_s
        end_s = min(exchange.arrived_s + duration_s, exchange.deadline_s)
        return max(0.0, end_s - parts.timers.monotonic_s())

    def evacuate(self) -> None:
        """Starts to move the run off its zone."""
        self._start_move(evacuates=True)

    def _start_move(self, evacuates: bool = False) -> None:
        """Starts to move the run, unless a move is in progress.

        Args:
            evacuates: Whether to move it because its zone is evacuated.
        """
        if self._exchange.service.engine is None:
            return
        if self._move is not None and not self._move.ended:
            return
        self._evacuating = evacuates
        self._record.backup = None
        if self._run.backup is not None:
            self._record.backup = self._backup_way(self._run.backup)
        self._move = moving.RunMove(
            self._parts,
            self._exchange,
            self._record,
            self.calls,
            self._find_move_reason,
            self._handle_lost_source,
        )

    def _handle_lost_source(self) -> None:
        """Ends the link if another engine has a copy and is alive."""
        destination = self._record.destination
        now_s = self._parts.timers.monotonic_s()
        if destination is None or not self._is_alive(destination):
            # The connection to a partitioned zone may recover.
            return
        if now_s - self._load.last_event_s <= move_calls.HEARD_S:
            return
        self._source_lost = True
        if self._read_timeout is not None:
            self._read_timeout.reschedule(0.0)

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
                    body = await parts.memory.read(answer, exchange.holding)
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
            if self._source_lost:
                return self._give_up_source()
            if left_s <= silence_timeout_s:
                return exchanges.TimedOut()
            if self._was_paused(due_s):
                continue
            interrupted = self._handle_silence()
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
        window = target_speeds.EventWindow(
            self._parts.loads.speeds, self._run.target
        )
        # Bytes that complete no event are no progress: an engine that sends
        # a byte now and then has stalled as much as a silent one.
        self._progress_s = checked_s = self._parts.timers.monotonic_s()
        while True:
            now_s = self._parts.timers.monotonic_s()
            left_s = self._time_left_s()
            wait_s = checked_s + silence_timeout_s - now_s
            due_s = now_s + min(left_s, wait_s)
            try:
                async with asyncio.timeout(due_s - now_s) as read_timeout:
                    self._read_timeout = read_timeout
                    chunk = await answer.content.readany()
            except TimeoutError:
                if self._source_lost:
                    return self._give_up_source()
                if left_s <= wait_s:
                    return exchanges.TimedOut()
                checked_s = self._parts.timers.monotonic_s()
                if self._was_paused(due_s):
                    self._progress_s = checked_s
                    continue
                interrupted = self._handle_silence()
                if interrupted is not None:
                    return interrupted
                continue
            finally:
                self._read_timeout = None
            if not chunk:
                break
            delivered = cursor.delivered
            event_bytes = cursor.feed(chunk)
            if not event_bytes:
                continue
            event_s = self._parts.timers.monotonic_s()
            self._load.last_event_s = event_s
            self.heard_s = self._parts.timers.elapsed_s()
            self._source_lost = False
            await self._stream.begin(facts.headers)
            if waiting_for_first:
                waiting_for_first = False
                silence_timeout_s = _SILENCE_TIMEOUT_S
                self._handle_first_event(prefill)
            window.add(
                cursor.delivered - delivered,
                self._load.pending_prefill_tokens > 0,
                event_s,
            )
            await self._stream.write(event_bytes)
            # Time spent on a slow caller is no silence of the engine.
            self._progress_s = checked_s = self._parts.timers.monotonic_s()
            if checked_s - event_s > _SLOW_WRITE_S:
                window.restart()
        return await self._classify_end(answer, facts)

    def _record_version(self) -> None:
        """Records the software version whose events the stream holds."""
        exchange, target = self._exchange, self._run.target
        if exchange.stream_version is None:
            exchange.stream_version = target.software_version
        self._parts.origins.record_begin(exchange, target)
        if exchange.stream_version == target.software_version:
            return
        self._parts.statistics.mixed_streams.inc({'service': target.service})
        events.log(
            LOG,
            events.STREAM_VERSION_CHANGED,
            request_id=exchange.request.request_id,
            target_id=target.target_id,
            software_version=target.software_version,
            stream_version=exchange.stream_version,
            has_copy=self._run.copy is not None,
        )

    def _handle_first_event(self, prefill: attempts.PendingPrefill) -> None:
        self._record_version()
        prefill.end()
        self._parts.loads.notify()
        self._parts.prompt_guard.report_sound(self._exchange)
        self._record_prefill_rate()
        if self._run.copy is None:
            self._parts.pace.record_first_event(
                self._exchange,
                self._run.target,
                self._pending_tokens,
                self._parts.admission.prefill_rate(
                    self._exchange.service
                ).tokens_per_s,
                self._parts.timers.monotonic_s() - self._sent_s,
            )
        self._release_other_copies()
        self._progress_s = self._parts.timers.monotonic_s()
        # The engine may have started to drain before the first event.
        if self._find_move_reason() is not None:
            self._start_move()

    def _release_other_copies(self) -> None:
        """Frees the copies of a run that has continued from another one."""
        for way in self._run.others:
            if way.source is None or way.copy == self._run.copy:
                continue
            self._parts.releaser.release(way.source, way.target, way.copy)

    def _give_up_source(self) -> exchanges.Interrupted:
        """Ends the link to an engine that is silent and not reached."""
        self._record.report_source_lost()
        return exchanges.Interrupted('silence', silent=True)

    async def _classify_end(
        self, answer: aiohttp.ClientResponse, facts: api.AnswerFacts
    ) -> exchanges.StreamOutcome:
        """Returns the outcome of a stream that ended without an error."""
        if not self._stream.cursor.at_boundary:
            return exchanges.Interrupted('ended within an event')
        unframed = _ends_with_connection(answer)
        if not self._stream.started and unframed:
            return exchanges.Interrupted('closed before the first event')
        if self._move is not None:
            if self._record.stop_called and unframed:
                return exchanges.Interrupted('closed after a call to stop')
            if await self._move.has_stopped_source():
                return exchanges.Interrupted('moved')
        await self._stream.begin(facts.headers)
        return exchanges.Complete()

    def _record_prefill_rate(self) -> None:
        """Records how fast the engine prefilled the prompt."""
        if self._prefill_start_s is None:
            return
        now_s = self._parts.timers.monotonic_s()
        self._parts.admission.record_prefill(
            self._run.target,
            self._exchange.service,
            self._exchange.demand.prompt_tokens,
            now_s - self._prefill_start_s,
            now_s,
        )

    def _handle_silence(self) -> exchanges.Interrupted | None:
        """Decides whether a silent link ends.

        A run that may not be repeated is only moved, which leaves it at its
        engine until the way on is certain.

        Returns:
            Why the generation must continue elsewhere; None to keep waiting.
        """
        if not self._may_continue_elsewhere():
            return None
        if self._exchange.route.resumable:
            if self._is_alive(self._run.target):
                return None
            return exchanges.Interrupted('silence', silent=True)
        if self._find_move_reason() is not None:
            self._start_move()
        return None

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
