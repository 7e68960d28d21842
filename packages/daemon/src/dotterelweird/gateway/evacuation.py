"""Moves a run off a draining engine.

The run's memory is copied to another engine while the run continues. Then the
run is stopped and continues at the other engine, which prefills the few tokens
that the copy lacks.
"""

import asyncio
import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import attempts
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import handover

LOG = logging.getLogger(__name__)

# Delay before another call, in seconds. It follows calls that found no run or
# a busy engine, that did not reach the engine, or that could not be made.
_RETRY_DELAY_S = 0.1
# Time for which an engine that refused a copy is not chosen again, in seconds.
# Short requests end within a few tenths of a second and free memory.
_REFUSAL_BACKOFF_S = 0.2
# Timeout of a copy while the run continues, in seconds. Copies queue on the
# network links of a draining engine, which exits after about this time.
_COPY_TIMEOUT_S = 2.5
# Timeout of the call that stops the run, in seconds. The copy made by this
# call may queue behind others; the generation continues from the first copy.
_STOP_TIMEOUT_S = 1.0
# Time after the end of the link within which the answer to that call saves a
# further call, in seconds. Both may arrive at the same moment.
_ANSWER_GRACE_S = 0.02


class Evacuation:
    """Moves one run to another engine, in a task of its own.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        source: The engine that holds the run.

    Attributes:
        stopping: Whether the source was called to stop the run; False again
            after a failed call.
        stop_called: Whether any such call was made.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        source: targets.Target,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._source = source
        self._result: handover.Handover | None = None
        self._result_used = False
        self._source_stopped = False
        # Result of the last call that stops the run; None before it.
        self._stop_result: api.MoveResult | None = None
        self._link_ended = False
        self._call_in_progress = False
        self._calls = 0
        self.stopping = False
        self.stop_called = False
        self._task = asyncio.create_task(self._run())

    async def result(self) -> handover.Handover | None:
        """Returns where the run continues, now that its link has ended.

        A call that stops the run is not waited for, as the first copy is
        there already.

        Returns:
            The handover, or None if there is no copy to continue from or the
            source did not stop the run.
        """
        self._link_ended = True
        if not self.stopping:
            self._task.cancel()
            await asyncio.wait({self._task})
        self._result_used = self._result is not None
        if self._result is None:
            events.log(
                LOG,
                events.EVACUATION_FAILED,
                request_id=self._exchange.request.request_id,
                source=self._source.target_id,
                calls=self._calls,
            )
        if self._result is None or self._source_stopped:
            return self._result
        return await self._confirm_stop(self._result)

    async def _confirm_stop(
        self, found: handover.Handover
    ) -> handover.Handover | None:
        """Calls the source, which has not confirmed yet that it stopped.

        A call to stop the run that is in progress is no confirmation, and is
        answered late if its copy queues behind others. An engine that has
        stopped the run answers a further call at once: it has no such run.

        Args:
            found: The first copy.

        Returns:
            The newest copy, or None if the source did not stop the run.
        """
        if self.stopping:
            await asyncio.wait({self._task}, timeout=_ANSWER_GRACE_S)
        if self._source_stopped:
            return found
        stopped = await handover.stop_source(
            self._parts, self._exchange, self._source, found.target
        )
        match stopped:
            case handover.Handover(
                way=handover.HandoverWay.MOVED | handover.HandoverWay.STAYED
            ):
                return stopped
            case handover.Handover(
                way=handover.HandoverWay.BACKUP
                | handover.HandoverWay.BACKUP_UNREACHED
            ):
                return found
        if self.stopping:
            await asyncio.wait({self._task})
            match self._stop_result:
                case (
                    api.MoveResult.MOVED
                    | api.MoveResult.STOPPED
                    | api.MoveResult.NO_RUN
                ):
                    return found
        # Not answered in time, or answered without stopping the run.
        return None

    async def has_stopped_source(self) -> bool:
        """Whether the source confirms that it stopped the run.

        Without the confirmation, a stream that ends at the end of an event
        is complete.
        """
        self._link_ended = True
        if self.stopping:
            await asyncio.wait({self._task})
        return self._source_stopped

    def close(self) -> None:
        """Ends the move and frees a copy that will not be used.

        A call in progress is not cancelled: the engine may complete its
        copy, and the call that stops the run must reach the engine even if
        the link has broken off.
        """
        self._link_ended = True
        if not self._call_in_progress:
            self._task.cancel()
        if not self._result_used:
            self._task.add_done_callback(lambda _: self._release(self._result))

    async def _run(self) -> None:
        refused_at_s: dict[str, float] = {}
        while not self._link_ended:
            now_s = self._parts.timers.monotonic_s()
            refused = {
                target_id
                for target_id, at_s in refused_at_s.items()
                if now_s - at_s < _REFUSAL_BACKOFF_S
            }
            destination = self._parts.choose_takeover_target(
                self._exchange, self._source, refused
            )
            if destination is None or self._parts.is_paused(self._source):
                await timers.sleep(self._parts.timers, _RETRY_DELAY_S)
                continue
            match await self._copy_and_stop(destination):
                case api.MoveResult.MOVED:
                    return
                case api.MoveResult.NO_RUN | api.MoveResult.BUSY:
                    await timers.sleep(self._parts.timers, _RETRY_DELAY_S)
                case (
                    api.MoveResult.REFUSED
                    | api.MoveResult.UNREACHABLE
                    | api.MoveResult.BROKEN
                    | api.MoveResult.TIMED_OUT
                ):
                    refused_at_s[destination.target_id] = now_s
                    await timers.sleep(self._parts.timers, _RETRY_DELAY_S)
                case _:
                    refused_at_s[destination.target_id] = now_s

    async def _copy_and_stop(
        self, destination: targets.Target
    ) -> api.MoveResult:
        """Copies the run's memory and then stops the run."""
        # Counted, so that other instances do not fill the memory meanwhile.
        with attempts.track_backup_load(
            self._parts, destination, self._exchange.tokens
        ):
            move = await self._move(destination, False)
        if move.result is not api.MoveResult.MOVED:
            return move.result
        previous = self._result
        self._set_result(destination, move.handle)
        if previous is not None and previous.copy != self._result.copy:
            self._release(previous)
        if self._link_ended:
            return api.MoveResult.MOVED
        if not self._parts.accepts_work(destination):
            # It began to leave, or to pause, while the copy was made.
            events.log(
                LOG,
                events.DESTINATION_LEFT,
                request_id=self._exchange.request.request_id,
                source=self._source.target_id,
                destination=destination.target_id,
            )
            return api.MoveResult.FAILED
        return await self._stop_source(destination)

    async def _stop_source(
        self, destination: targets.Target
    ) -> api.MoveResult:
        """Stops the run; the source then copies the tokens added since.

        Returns:
            MOVED if the run has stopped or ended, or if its link has ended;
            otherwise the result of a call that may be retried.
        """
        if self._parts.is_paused(self._source):
            return api.MoveResult.BUSY
        self.stopping = self.stop_called = True
        move = await self._move(destination, True)
        self._stop_result = move.result
        match move.result:
            case api.MoveResult.MOVED:
                self._source_stopped = True
                self._set_result(destination, move.handle)
            case api.MoveResult.STOPPED:
                self._source_stopped = True
                self._set_result(self._source, move.handle)
            case api.MoveResult.NO_RUN if not self._result_used:
                # The run ended before it could be stopped.
                self._release(self._result)
                self._result = None
            case _ if self._link_ended:
                pass
            case _:
                # The first copy remains usable if the link breaks off.
                self.stopping = False
                return move.result
        return api.MoveResult.MOVED

    def _set_result(self, target: targets.Target, handle: str) -> None:
        copy = api.RunCopy(self._source.address, handle)
        new = handover.Handover(target, copy, handover.HandoverWay.EVACUATED)
        if not self._result_used:
            self._result = new
        elif self._result is None or copy != self._result.copy:
            # The run has already continued from an older copy.
            self._release(new)

    def _release(self, unused: handover.Handover | None) -> None:
        """Frees a copy that will not be used."""
        if unused is not None:
            self._parts.releaser.release(
                self._source, unused.target, unused.copy
            )

    async def _move(
        self, destination: targets.Target, final: bool
    ) -> api.MoveOutcome:
        if not await self._parts.limiter.acquire(
            self._source, self._exchange.request.request_id, urgent=True
        ):
            return api.MoveOutcome(api.MoveResult.BUSY)
        if self._parts.is_paused(self._source):
            return api.MoveOutcome(api.MoveResult.BUSY)
        self._calls += 1
        self._call_in_progress = True
        call = exchanges.RunCall(
            self._source.target_id, final, self._parts.timers.monotonic_s()
        )
        self._exchange.run_calls.append(call)
        try:
            move = await self._parts.run_control.move(
                self._exchange.request.request_id,
                self._source,
                destination,
                final,
                _STOP_TIMEOUT_S if final else _COPY_TIMEOUT_S,
            )
            call.result = move.result.value
            return move
        finally:
            self._call_in_progress = False
