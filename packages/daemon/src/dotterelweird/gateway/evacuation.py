"""Moves a run away from an engine that leaves.

The run's memory is copied while it goes on; then it is stopped, and it goes
on at the other engine, which reads anew the little that the copy lacks.
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

# Pause before a call is repeated, in seconds: the engine has preempted the
# run, which it will take up again, or is busy with another call.
_RETRY_DELAY_S = 0.1
# Time for which an engine that refused a copy is not asked again, in seconds.
# Short requests end within a few tenths of a second and leave room.
_REFUSAL_BACKOFF_S = 0.2
# Bound on a copy while the run goes on, in seconds. Copies queue on the links
# of an engine that leaves; it stays for up to about this time.
_COPY_TIMEOUT_S = 2.5
# Bound on the call that stops the run, in seconds. The copy that it makes is
# not waited for: it would queue behind the first copies of other runs.
_STOP_TIMEOUT_S = 1.0


class Evacuation:
    """Moves one run to another engine.

    Args:
        parts: Shared parts.
        exchange: The request.
        source: Where it runs.

    Attributes:
        stopping: Whether the source was told to stop the run.
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
        self._link_ended = False
        self._call_in_progress = False
        self._calls = 0
        self.stopping = False
        self._task = asyncio.create_task(self._run())

    async def result(self) -> handover.Handover | None:
        """Where the run goes on, now that its link has ended.

        The call that stops the run is not waited for: the link has ended,
        and there is a copy.
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
        return self._result

    async def has_stopped_source(self) -> bool:
        """Whether the source confirms that it stopped the run.

        Without that a stream that ends properly has reached its end.
        """
        self._link_ended = True
        if self.stopping:
            await asyncio.wait({self._task})
        return self._source_stopped

    def close(self) -> None:
        """Ends the move; a copy that nobody uses is freed.

        A call that is under way goes on: the engine may complete its copy,
        and must get the order to stop even if the link broke off before.
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
                case api.MoveResult.UNREACHABLE:
                    refused_at_s[destination.target_id] = now_s
                    await timers.sleep(self._parts.timers, _RETRY_DELAY_S)
                case _:
                    refused_at_s[destination.target_id] = now_s

    async def _copy_and_stop(
        self, destination: targets.Target
    ) -> api.MoveResult:
        """Copies the run and then stops it."""
        # Other instances must not fill the room meanwhile.
        with attempts.counted_backup(
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
        return await self._stop_source(destination)

    async def _stop_source(
        self, destination: targets.Target
    ) -> api.MoveResult:
        """Stops the run, which also copies what is new.

        Returns:
            Moved if the run has stopped or ended.
        """
        if self._parts.is_paused(self._source):
            return api.MoveResult.BUSY
        self.stopping = True
        move = await self._move(destination, True)
        match move.result:
            case api.MoveResult.MOVED:
                self._source_stopped = True
                self._set_result(destination, move.handle)
            case api.MoveResult.STOPPED:
                self._source_stopped = True
                self._set_result(self._source, move.handle)
            case api.MoveResult.NO_RUN if not self._result_used:
                # It ended before it could be stopped.
                self._release(self._result)
                self._result = None
            case _ if self._link_ended:
                pass
            case _:
                # The first copy is of use if the link breaks off.
                self.stopping = False
                return move.result
        return api.MoveResult.MOVED

    def _set_result(self, target: targets.Target, handle: str) -> None:
        copy = api.RunCopy(self._source.address, handle)
        new = handover.Handover(target, copy, handover.HandoverWay.EVACUATED)
        if not self._result_used:
            self._result = new
        elif self._result is None or copy != self._result.copy:
            # The run went on already, from an older copy.
            self._release(new)

    def _release(self, unused: handover.Handover | None) -> None:
        """Frees a copy that nobody will use."""
        if unused is not None:
            self._parts.releaser.release(
                self._source, unused.target, unused.copy
            )

    async def _move(
        self, destination: targets.Target, final: bool
    ) -> api.Move:
        self._calls += 1
        self._call_in_progress = True
        try:
            return await self._parts.run_control.move(
                self._exchange.request.request_id,
                self._source,
                destination,
                final,
                _STOP_TIMEOUT_S if final else _COPY_TIMEOUT_S,
            )
        finally:
            self._call_in_progress = False
