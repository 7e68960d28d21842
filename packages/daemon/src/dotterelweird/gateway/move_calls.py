"""Calls to an engine that copy or stop one of its runs."""

import asyncio
from collections.abc import Callable
import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import pausing
from dotterelweird.gateway import run_record

LOG = logging.getLogger(__name__)

# Time without an answer after which an engine is called again, in seconds.
# The answer may have been lost; an engine that still copies says so.
_REPEAT_DELAY_S = 2.5
# Longest time between two calls that copy a run while the first one is open
# and the engine says that it works on it, in seconds. A copy may be queued for
# several seconds; a lost answer is noticed within this time after the copy.
_REPEAT_DELAY_MAX_S = 5.0
# Time without an answer after which an engine is called again once the link
# has ended, in seconds: an engine that has stopped the run says that it has no
# such run, whatever its copy waits for.
_REPEAT_DELAY_ENDED_S = 0.4
# Time after the end of the link within which the answer to a call in progress
# saves a further call, in seconds. Both may arrive at the same moment.
_ANSWER_GRACE_S = 0.02
# Delay of a call after one that settled nothing, in seconds; the first one,
# the longest one, and by how much each is longer than the one before.
_RETRY_DELAY_S = 0.1
_RETRY_DELAY_MAX_S = 1.0
_RETRY_DELAY_FACTOR = 1.5
# Number of calls in a row that an engine answers with "works on an earlier
# one" before that is logged. With a first call that stays open, the third such
# answer comes 11 s after it.
_BUSY_LOGGED_FROM = 3
# Maximum number of calls about one run that are not answered yet.
_OPEN_CALLS_MAX = 3
# Time since the last event of any stream within which an engine that accepts
# no connection counts as working, in seconds; shorter than the timeout of a
# connection.
HEARD_S = 0.1


class MoveCalls:
    """Calls the engine of one run and keeps each call until its answer.

    Whoever gives up a call first loses the handle in its answer. No call is
    cancelled, as it takes effect at the engine all the same: it ends with its
    answer or at the deadline of the request.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        record: Record of the run.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        record: run_record.RunRecord,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._record = record
        self._open_copies: set[asyncio.Task] = set()
        self._open_stops: set[asyncio.Task] = set()
        # Answers in a row that the engine works on an earlier call, and
        # whether they were logged.
        self._busy_answers = 0
        self._busy_logged = False
        self._first_call_s: float | None = None
        # Handles of copies that are not freed; None while all may be needed.
        self._used_handles: set[str] | None = None

    @property
    def stopping(self) -> bool:
        """Whether a call to stop the run is not answered yet."""
        return bool(self._open_stops)

    def continue_with(self, record: run_record.RunRecord) -> None:
        """Records open calls for the next run of the request at its engine.

        They name the request and take effect on whatever run of it they find.

        Args:
            record: Record of the next run.
        """
        self._record = record
        self._used_handles = None
        for _ in self._open_stops:
            record.begin_call(final=True)

    @property
    def copying(self) -> bool:
        """Whether a call that copies the run while it goes on is open."""
        return bool(self._open_copies)

    async def copy(self, destination: targets.Target) -> api.MoveResult:
        """Copies the run's memory while the run goes on.

        Args:
            destination: The engine that gets the copy.

        Returns:
            The result of the first call that tells what became of the copy;
            TIMED_OUT at the deadline of the request.
        """
        if len(self._open_copies) >= _OPEN_CALLS_MAX:
            return api.MoveResult.BUSY
        if not await self._may_call(destination):
            return api.MoveResult.BUSY
        pending = {self._start(destination, False)}
        repeat_delay_s = _REPEAT_DELAY_S
        next_call_s = self._now_s() + repeat_delay_s
        while self._time_left_s() > 0:
            wait_s = self._time_left_s()
            if len(pending) < _OPEN_CALLS_MAX:
                wait_s = min(wait_s, max(0.0, next_call_s - self._now_s()))
            done, pending = await asyncio.wait(
                pending,
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                result = task.result().result
                if result is not api.MoveResult.BUSY or not pending:
                    return result
            if done:
                # The engine works on a call that is still open.
                repeat_delay_s = min(
                    _REPEAT_DELAY_MAX_S, _RETRY_DELAY_FACTOR * repeat_delay_s
                )
                next_call_s = self._now_s() + repeat_delay_s
            elif self._now_s() >= next_call_s:
                if await self._may_call(destination):
                    pending.add(self._start(destination, False))
                next_call_s = self._now_s() + repeat_delay_s
        return api.MoveResult.TIMED_OUT

    async def stop(
        self,
        destination: targets.Target,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Stops the run; returns once the record is settled.

        While the link lasts, also returns once the engine has answered
        without stopping the run, or the stop is not wanted any more.

        Args:
            destination: The engine that gets what the copy there lacks.
            is_wanted: Whether the run is to be stopped; asked before each
                further call while the link lasts.
        """
        link_end = asyncio.create_task(self._record.link_ended.wait())
        try:
            await self._call_until_settled(destination, link_end, is_wanted)
        finally:
            link_end.cancel()

    async def _call_until_settled(
        self,
        destination: targets.Target,
        link_end: asyncio.Task,
        is_wanted: Callable[[], bool],
    ) -> None:
        record, open_stops = self._record, self._open_stops
        next_call_s = self._now_s()
        retry_delay_s = _RETRY_DELAY_S
        calls = 0
        while not record.is_settled and self._time_left_s() > 0:
            ended = record.link_ended.is_set()
            if calls and not ended:
                if record.state is run_record.SourceState.RUNNING:
                    return
                if not (open_stops or is_wanted()):
                    return
            if len(open_stops) < _OPEN_CALLS_MAX and (
                self._now_s() >= next_call_s
            ):
                may_call = await self._may_call()
                holder = self._redirect(destination)
                if may_call and holder is not None:
                    self._start(holder, True)
                    calls += 1
                elif not open_stops and (ended or not calls):
                    return
                delay_s = _REPEAT_DELAY_ENDED_S if ended else _REPEAT_DELAY_S
                next_call_s = self._now_s() + delay_s
            wait_s = self._time_left_s()
            if len(open_stops) < _OPEN_CALLS_MAX:
                wait_s = min(wait_s, next_call_s - self._now_s())
            waited = {*open_stops} if ended else {*open_stops, link_end}
            done = await _wait_for_any(waited, max(0.0, wait_s))
            if link_end in done:
                next_call_s = min(next_call_s, self._now_s() + _ANSWER_GRACE_S)
            elif done:
                if not open_stops:
                    retry_s = self._now_s() + retry_delay_s
                    next_call_s = min(next_call_s, retry_s)
                    retry_delay_s = min(
                        _RETRY_DELAY_MAX_S, _RETRY_DELAY_FACTOR * retry_delay_s
                    )
                # The time of the next call may have passed while the maximum
                # number of calls was open.
                earliest_s = self._now_s() + _RETRY_DELAY_S
                next_call_s = max(next_call_s, earliest_s)

    async def wait_for_open_stops(self) -> None:
        """Waits for the answers of open calls until the record is settled."""
        while self._open_stops and not self._record.is_settled:
            left_s = self._time_left_s()
            if left_s <= 0:
                return
            await _wait_for_any({*self._open_stops}, left_s)

    async def wait_for_stop(self, timeout_s: float) -> None:
        """Waits for the answers of open calls that stop the run.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        if self._open_stops:
            await asyncio.wait(self._open_stops, timeout=timeout_s)

    def discard_copies(self) -> None:
        """Frees the copies that were made, as the run goes on."""
        for way in self._record.copies.values():
            self._release(way)
        self._record.copies.clear()

    def close(self, ways: tuple[run_record.Way, ...] = ()) -> None:
        """Frees the copies that will not be used, also later ones.

        Args:
            ways: Where the run may continue.
        """
        self._used_handles = {way.copy.handle for way in ways}
        for way in self._record.known_copies:
            self._release(way)

    def _start(
        self, destination: targets.Target, final: bool
    ) -> asyncio.Task[api.MoveOutcome]:
        open_calls = self._open_stops if final else self._open_copies
        task = asyncio.create_task(self._call(destination, final))
        open_calls.add(task)
        task.add_done_callback(open_calls.discard)
        return task

    async def _call(
        self, destination: targets.Target, final: bool
    ) -> api.MoveOutcome:
        record = self._record
        entry = exchanges.RunCall(
            record.source.target_id, final, self._now_s()
        )
        self._exchange.run_calls.append(entry)
        if self._first_call_s is None:
            self._first_call_s = entry.began_s
        record.begin_call(final)
        link_had_ended = record.link_ended.is_set()
        outcome = await self._parts.run_control.move(
            record.request_id,
            record.source,
            destination,
            final=final,
            timeout_s=self._time_left_s(),
        )
        entry.result = outcome.result.value
        self._count_busy(outcome.result)
        if record is not self._record:
            # The run has returned to its engine; its link there is new.
            record, link_had_ended = self._record, False
        before = {way.copy: way for way in record.known_copies}
        load = self._parts.loads.get(record.source.target_id)
        record.end_call(
            destination,
            final,
            outcome,
            source_heard=self._now_s() - load.last_event_s <= HEARD_S,
            link_had_ended=link_had_ended,
        )
        after = {way.copy: way for way in record.known_copies}
        for copy, way in before.items():
            # A newer copy has replaced it.
            if copy not in after:
                self._release(way)
        if self._used_handles is not None:
            for copy, way in after.items():
                if copy not in before:
                    self._release(way)
        return outcome

    def _count_busy(self, result: api.MoveResult) -> None:
        """Counts and reports an engine that works on an earlier call."""
        if result is not api.MoveResult.BUSY:
            self._busy_answers = 0
            return
        source_id = self._record.source.target_id
        self._busy_answers += 1
        self._parts.statistics.busy_moves.inc({'target': source_id})
        if self._busy_answers < _BUSY_LOGGED_FROM or self._busy_logged:
            return
        self._busy_logged = True
        events.log(
            LOG,
            events.COPY_IN_PROGRESS,
            request_id=self._record.request_id,
            source=source_id,
            calls=self._busy_answers,
            since_s=round(self._now_s() - self._first_call_s, 3),
        )

    def _release(self, way: run_record.Way) -> None:
        if way.copy.handle in (self._used_handles or ()):
            return
        self._parts.releaser.release(self._record.source, way.target, way.copy)

    def _redirect(self, destination: targets.Target) -> targets.Target | None:
        """Returns the engine that gets the copy of a run that is stopped.

        An engine in an evacuated zone gets none, and the run cannot continue
        there.

        Args:
            destination: The engine that was chosen for the copy.

        Returns:
            The engine; None if there is none outside the evacuated zones.
        """
        parts, backup = self._parts, self._record.backup
        if not parts.gate.is_evacuated(destination):
            return destination
        if backup is not None and parts.gate.accepts_copy(
            self._record.source, backup.target
        ):
            return backup.target
        return parts.choose_takeover_target(
            self._exchange, self._record.source
        )

    async def _may_call(
        self, destination: targets.Target | None = None
    ) -> bool:
        """Whether the engine may be called now, after a wait if necessary.

        Args:
            destination: The engine that gets a copy while the run goes on;
                None for a call that stops the run.
        """
        if not await self._may_call_source():
            return False
        return destination is None or self._parts.gate.accepts_copy(
            self._record.source, destination
        )

    async def _may_call_source(self) -> bool:
        parts, source = self._parts, self._record.source
        if self._record.link_ended.is_set():
            may_call = await pausing.wait_for_target(
                parts, self._exchange, source, self._time_left_s()
            )
            return may_call and self._time_left_s() > 0
        granted = await parts.limiter.acquire(
            source, self._record.request_id, urgent=True
        )
        return (
            granted
            and not parts.gate.is_paused(source)
            and self._time_left_s() > 0
        )

    def _now_s(self) -> float:
        return self._parts.timers.monotonic_s()

    def _time_left_s(self) -> float:
        return self._exchange.deadline_s - self._now_s()


async def _wait_for_any(
    tasks: set[asyncio.Task], timeout_s: float
) -> set[asyncio.Task]:
    """Waits for the first of some tasks; returns those that are done."""
    if not tasks:
        await asyncio.sleep(timeout_s)
        return set()
    done, _ = await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    return done


def report_unsettled(
    parts: dependencies.Forwarding, record: run_record.RunRecord
) -> None:
    """Records that an engine did not confirm that it stopped a run.

    Args:
        parts: Dependencies shared by all requests.
        record: Record of the run.
    """
    parts.statistics.unstopped_runs.inc({})
    events.log(
        LOG,
        events.RUN_NOT_STOPPED,
        request_id=record.request_id,
        source=record.source.target_id,
        state=record.state.value,
        results=[result.value for result in record.results],
    )
