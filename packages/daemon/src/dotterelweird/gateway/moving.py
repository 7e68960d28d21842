"""Moves a run to another engine.

Its engine leaves or falls silent, or the engine's zone is evacuated.

The run's memory is copied while the run goes on. The run is stopped only once
the copy is there and nothing that is known stands against the way on. It then
continues from the copy at the other engine, or at its own one.
"""

import asyncio
from collections.abc import Callable
import enum
import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import move_calls
from dotterelweird.gateway import pausing
from dotterelweird.gateway import run_record

LOG = logging.getLogger(__name__)

# Time for which an engine that refused a copy is not chosen again, in seconds.
# Short requests end within a few tenths of a second and free memory.
_REFUSAL_BACKOFF_S = 0.2
# Time that the last copy and the start at the destination may take, as a
# multiple of the time of the first copy, and in addition, in seconds.
_COPY_TIME_FACTOR = 2.0
_START_S = 0.3
# Time after a proper end of the stream within which an answer may say that
# the run was stopped, in seconds.
_STOP_ANSWER_TIMEOUT_S = 1.0


class Reason(enum.Enum):
    """Why a run is moved."""

    LEAVING = 'engine leaves'
    SILENT = 'no events'
    EVACUATED = 'zone evacuated'


# Delay before another call that copies a run, in seconds.
_RETRY_DELAY_S = {
    Reason.LEAVING: 0.1,
    Reason.EVACUATED: 0.1,
    Reason.SILENT: 1.0,
}
# Least delay after a call that was refused, in seconds; the first one, the
# longest one, and by how much each is longer than the one before. The first is
# short, as another engine may have room. The longest is a quarter of the time
# in which an engine that leaves may exit, as a run that was preempted can be
# copied once it runs again.
_REFUSAL_DELAY_S = 0.02
_REFUSAL_DELAY_MAX_S = 0.5
_REFUSAL_DELAY_FACTOR = 1.5
# Longest time after which the reason of a move is looked at again, in seconds.
_CHECK_DELAY_S = 0.1
# Retries that must be left before a run is stopped: one for the destination
# and, unless the source leaves, one for the way back.
_RETRIES = {Reason.LEAVING: 1, Reason.SILENT: 2, Reason.EVACUATED: 1}


class Obstacle(enum.Enum):
    """What stands against stopping a run."""

    SOURCE_PAUSED = 'source paused'
    DESTINATION_UNUSABLE = 'destination leaves or is paused'
    DESTINATION_LIMITED = 'no turn at the destination'
    REQUEST_BLOCKED = 'request blocked'
    DEADLINE = 'deadline too near'
    EXIT = 'process exits'
    NO_RETRY = 'no retry left'
    MOVED_BEFORE = 'moved because of silence before'
    SLOW_COPY = 'copy takes longer than the silence'


class RunMove:
    """Moves one run to another engine, in a task of its own.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        record: Record of the run.
        calls: Calls to its engine.
        find_reason: Returns why the run is to be moved, and since when it has
            been silent, in seconds; None once there is no reason any more.
        on_source_lost: Called if the source accepts no connection while the
            run is silent.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        record: run_record.RunRecord,
        calls: move_calls.MoveCalls,
        find_reason: Callable[[], tuple[Reason, float] | None],
        on_source_lost: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._record = record
        self._find_reason = find_reason
        self._on_source_lost = on_source_lost
        self._calls = calls
        self._reason: Reason | None = None
        self._refused_at_s: dict[str, float] = {}
        self._obstacle: Obstacle | None = None
        self._stopping = False
        self._refusal_delay_s = _REFUSAL_DELAY_S
        # Whether the silence moves of the request include this one.
        self._counted = False
        self._task = asyncio.create_task(self._run())

    @property
    def ended(self) -> bool:
        """Whether the move ended and left the run at its engine."""
        return self._task.done() and not self._stopping

    async def settle(self) -> None:
        """Settles what became of the run, now that its link has ended.

        An answer that tells of a copy, or of the stop, is waited for until
        the deadline of the request.
        """
        record = self._record
        record.link_ended.set()
        if self._stopping or (not record.destination and self._calls.copying):
            await asyncio.wait({self._task})
        else:
            self._task.cancel()
        destination = record.destination
        if destination is None and self._reason is Reason.LEAVING:
            events.log(
                LOG,
                events.EVACUATION_FAILED,
                request_id=record.request_id,
                source=record.source.target_id,
                calls=len(record.results),
            )
        elif destination is not None:
            await self._calls.stop(destination)

    async def has_stopped_source(self) -> bool:
        """Whether the source says that it stopped the run.

        Without its answer, a stream that ends properly is complete.
        """
        await self._calls.wait_for_stop(_STOP_ANSWER_TIMEOUT_S)
        return self._record.stop_answered

    def close(self) -> None:
        """Ends the move; calls in progress go on until their answers."""
        self._task.cancel()

    async def _run(self) -> None:
        while not self._record.link_ended.is_set():
            found = self._find_reason()
            if found is None:
                break
            self._reason, _ = found
            self._record.leaving |= self._reason is Reason.LEAVING
            delay_s = await self._try_destination(self._reason)
            if delay_s is None:
                return
            if self._reason is Reason.EVACUATED:
                found = self._find_reason()
                if found is None or found[0] is Reason.EVACUATED:
                    # Other runs of the zone are tried before it again.
                    break
                continue
            await self._wait_to_retry(self._reason, delay_s)
        goes_on = self._record.state is run_record.SourceState.RUNNING
        if goes_on and not self._record.link_ended.is_set():
            self._calls.discard_copies()

    async def _wait_to_retry(self, reason: Reason, delay_s: float) -> None:
        """Waits before another copy, while the reason of the move lasts."""
        retry_s = self._now_s() + delay_s
        while (left_s := retry_s - self._now_s()) > 0:
            await timers.sleep(self._parts.timers, min(left_s, _CHECK_DELAY_S))
            found = self._find_reason()
            if found is None or found[0] is not reason:
                return

    async def _try_destination(self, reason: Reason) -> float | None:
        """Tries one engine, which may take the run over.

        Args:
            reason: Why the run is moved.

        Returns:
            Time until the next try, in seconds; None if the move has ended.
        """
        retry_delay_s = _RETRY_DELAY_S[reason]
        if self._has_obstacle(reason):
            return retry_delay_s
        destination = self._choose_destination(reason)
        if destination is None:
            return retry_delay_s
        began_s = self._now_s()
        # Counted, so that other instances do not fill the memory meanwhile.
        with attempts.track_backup_load(
            self._parts, destination, self._exchange.tokens
        ):
            result = await self._calls.copy(destination)
            if self._record.link_ended.is_set():
                return None
            if result is api.MoveResult.MOVED:
                copy_s = self._now_s() - began_s
                if await self._stop(destination, copy_s):
                    return None
        match result:
            case api.MoveResult.MOVED:
                if self._is_usable(destination):
                    self._refusal_delay_s = _REFUSAL_DELAY_S
                    return retry_delay_s
            case api.MoveResult.NO_RUN | api.MoveResult.BUSY:
                return max(retry_delay_s, self._next_refusal_delay_s())
            case api.MoveResult.REFUSED | api.MoveResult.UNREACHABLE:
                self._exclude(destination)
                if reason is Reason.SILENT:
                    self._on_source_lost()
                return max(retry_delay_s, self._next_refusal_delay_s())
            case _:
                self._exclude(destination)
        # Another engine may take the run over.
        return self._next_refusal_delay_s()

    def _next_refusal_delay_s(self) -> float:
        """Returns the delay after a refused call; the next one is longer."""
        delay_s = self._refusal_delay_s
        self._refusal_delay_s = min(
            _REFUSAL_DELAY_MAX_S, _REFUSAL_DELAY_FACTOR * delay_s
        )
        return delay_s

    def _exclude(self, destination: targets.Target) -> None:
        self._refused_at_s[destination.target_id] = self._now_s()

    def _is_usable(self, destination: targets.Target) -> bool:
        return destination.target_id not in self._refused()

    def _refused(self) -> set[str]:
        now_s = self._now_s()
        return {
            target_id
            for target_id, at_s in self._refused_at_s.items()
            if now_s - at_s < _REFUSAL_BACKOFF_S
        }

    async def _stop(self, destination: targets.Target, copy_s: float) -> bool:
        """Stops the run, unless anything stands against it.

        Args:
            destination: The engine that has the copy.
            copy_s: Time that the copy took, in seconds.

        Returns:
            Whether the run has stopped or its link has ended.
        """
        found = self._find_reason()
        if found is None:
            return False
        reason, silent_s = found
        if self._has_obstacle(reason, destination, copy_s, silent_s):
            return False
        if not self._parts.take_retry_ahead(self._exchange):
            return False
        events.log(
            LOG,
            events.RUN_STOPPING,
            request_id=self._record.request_id,
            source=self._record.source.target_id,
            destination=destination.target_id,
            reason=reason.value,
            copy_s=round(copy_s, 3),
            left_s=round(self._exchange.deadline_s - self._now_s(), 3),
            stopping=self._parts.stop_plan.stopping,
        )
        self._record.leaving |= reason is not Reason.SILENT
        if reason is Reason.SILENT and not self._counted:
            self._exchange.silence_moves += 1
            self._counted = True
        self._stopping = True
        await self._calls.stop(
            destination, lambda: self._is_stop_wanted(reason)
        )
        if self._record.is_settled or self._record.link_ended.is_set():
            return True
        self._stopping = False
        if self._record.state is run_record.SourceState.RUNNING:
            # The engine has answered without stopping the run.
            self._exchange.silence_moves -= self._counted
            self._counted = False
        self._exclude(destination)
        if reason is Reason.SILENT and self._record.results[-1:] in (
            [api.MoveResult.REFUSED],
            [api.MoveResult.UNREACHABLE],
        ):
            self._on_source_lost()
        return False

    def _is_stop_wanted(self, reason: Reason) -> bool:
        """Whether a run that was called to stop is to be called once more.

        Args:
            reason: Why it was called to stop.
        """
        found = self._find_reason()
        if found is None:
            return False
        if found[0] is Reason.SILENT and reason is not Reason.SILENT:
            # A run is stopped for silence under conditions that were not
            # checked.
            return False
        return not self._has_obstacle(found[0])

    def _choose_destination(self, reason: Reason) -> targets.Target | None:
        refused = self._refused()
        if reason is Reason.EVACUATED:
            # Only where memory is free that no other run is about to need.
            return self._parts.choose_backup(
                self._exchange, self._record.source, refused
            )
        backup = self._record.backup
        if (
            reason is Reason.SILENT
            and backup is not None
            and backup.target.target_id not in refused
            and self._parts.gate.accepts_copy(
                self._record.source, backup.target
            )
        ):
            return backup.target
        return self._parts.choose_takeover_target(
            self._exchange, self._record.source, refused
        )

    def _has_obstacle(
        self,
        reason: Reason,
        destination: targets.Target | None = None,
        copy_s: float = 0.0,
        silent_s: float = 0.0,
    ) -> bool:
        """Whether anything stands against stopping the run; logs changes."""
        obstacle = self._find_obstacle(reason, destination, copy_s, silent_s)
        if obstacle is not None and obstacle is not self._obstacle:
            self._parts.statistics.kept_runs.inc({'reason': obstacle.value})
            events.log(
                LOG,
                events.RUN_KEPT,
                request_id=self._record.request_id,
                source=self._record.source.target_id,
                destination=destination.target_id if destination else None,
                reason=obstacle.value,
                copy_s=round(copy_s, 3),
            )
        self._obstacle = obstacle
        return obstacle is not None

    def _find_obstacle(
        self,
        reason: Reason,
        destination: targets.Target | None,
        copy_s: float,
        silent_s: float,
    ) -> Obstacle | None:
        """Returns what stands against stopping the run.

        Args:
            reason: Why the run is to be moved.
            destination: The engine that has the copy; None before the copy.
            copy_s: Time that the copy took, in seconds.
            silent_s: Time since the last event, in seconds.
        """
        parts, exchange = self._parts, self._exchange
        now_s = self._now_s()
        needed_s = _COPY_TIME_FACTOR * copy_s + _START_S
        earlier_moves = exchange.silence_moves - self._counted
        if parts.gate.is_paused(self._record.source):
            return Obstacle.SOURCE_PAUSED
        if parts.request_guard.is_blocked(exchange):
            return Obstacle.REQUEST_BLOCKED
        if now_s + needed_s >= exchange.deadline_s:
            return Obstacle.DEADLINE
        if now_s + needed_s >= parts.stop_plan.answers_due_s:
            return Obstacle.EXIT
        # A run that could end where it is leaves a reserve to lost ones.
        urgent = reason is not Reason.EVACUATED
        if not parts.has_retries(exchange, _RETRIES[reason], urgent):
            return Obstacle.NO_RETRY
        if destination is None:
            # Only a call tells whether the source is reached, which matters
            # if another engine keeps a backup.
            probes = self._record.backup is not None
            probes = probes and self._record.newest is None
            if earlier_moves and not probes:
                if reason is Reason.SILENT:
                    return Obstacle.MOVED_BEFORE
            return None
        if not parts.gate.accepts_copy(self._record.source, destination):
            events.log(
                LOG,
                events.DESTINATION_LEFT,
                request_id=self._record.request_id,
                source=self._record.source.target_id,
                destination=destination.target_id,
            )
            self._exclude(destination)
            return Obstacle.DESTINATION_UNUSABLE
        turn_s = parts.limiter.next_turn_s(destination)
        if turn_s > now_s + pausing.STREAM_WAIT_MAX_S:
            self._exclude(destination)
            return Obstacle.DESTINATION_LIMITED
        if reason is not Reason.SILENT:
            return None
        if earlier_moves:
            return Obstacle.MOVED_BEFORE
        if _COPY_TIME_FACTOR * copy_s > silent_s:
            return Obstacle.SLOW_COPY
        return None

    def _now_s(self) -> float:
        return self._parts.timers.monotonic_s()
