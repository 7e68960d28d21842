"""Moves a run away from an engine that leaves.

The run's memory is copied while it goes on; then it is stopped and only
what is new is copied, so that the pause is short.
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

# Calls that are made before a run is left where it is.
_CALLS_MAX = 8
# Pause before a call is repeated, in seconds: the engine has preempted the
# run, which it will take up again, or is busy with another call.
_PAUSE_S = 0.1
# Bound on a copy while the run goes on, in seconds. Copies queue on the links
# of an engine that leaves; it stays for up to about this time.
_COPY_TIMEOUT_S = 2.5
# Time after the notice in which the first copies of all runs of an engine are
# usually made, in seconds. A last copy made before waits in the queue behind
# them, and its stream pauses.
_FIRST_COPIES_S = 0.7
# Bound on the last copy, in seconds: it holds what was generated since.
_LAST_COPY_TIMEOUT_S = 1.0


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
        self._began_s = parts.timers.monotonic_s()
        self._result: handover.Handover | None = None
        self._confirmed = False
        self._link_ended = False
        self.stopping = False
        self._task = asyncio.create_task(self._run())

    async def result(self) -> handover.Handover | None:
        """Where the run goes on, now that its link has ended."""
        await self._settle()
        return self._result

    async def has_stopped_source(self) -> bool:
        """Whether the source confirms that it stopped the run.

        Without that a stream that ends properly has reached its end.
        """
        await self._settle()
        return self._confirmed

    async def _settle(self) -> None:
        """Waits for a call that stops the run, and ends everything else."""
        self._link_ended = True
        if not self.stopping:
            self._task.cancel()
        await asyncio.wait({self._task})

    def cancel(self) -> None:
        """Ends the move."""
        self._task.cancel()

    async def _run(self) -> None:
        refused: set[str] = set()
        for _ in range(_CALLS_MAX):
            destination = self._parts.choose_refuge(
                self._exchange, self._source, refused
            )
            if destination is None:
                break
            # Other instances must not fill the room meanwhile.
            with attempts.counted_backup(
                self._parts, destination, self._exchange.tokens
            ):
                result = await self._move_to(destination)
            match result:
                case api.MoveResult.MOVED:
                    return
                case api.MoveResult.NO_RUN | api.MoveResult.BUSY:
                    await timers.sleep(self._parts.timers, _PAUSE_S)
                case _:
                    refused.add(destination.target_id)
        events.log(
            LOG,
            events.EVACUATION_FAILED,
            request_id=self._exchange.request.request_id,
            source=self._source.target_id,
            refused=len(refused),
        )

    async def _move_to(self, destination: targets.Target) -> api.MoveResult:
        """Copies the run and then stops it."""
        move = await self._move(destination, False)
        if move.result is not api.MoveResult.MOVED:
            return move.result
        self._set_result(destination, move.handle)
        taken_s = self._parts.timers.monotonic_s() - self._began_s
        if taken_s < _FIRST_COPIES_S:
            await timers.sleep(self._parts.timers, _FIRST_COPIES_S - taken_s)
        if await self._stop(destination) or self._link_ended:
            return api.MoveResult.MOVED
        return api.MoveResult.FAILED

    async def _stop(self, destination: targets.Target) -> bool:
        """Stops the run and copies what is new.

        Returns:
            Whether the run has stopped or ended.
        """
        self.stopping = True
        move = await self._move(destination, True)
        match move.result:
            case api.MoveResult.MOVED:
                self._confirmed = True
                self._set_result(destination, move.handle)
            case api.MoveResult.STOPPED:
                self._confirmed = True
                self._set_result(self._source, move.handle)
            case api.MoveResult.NO_RUN:
                # It ended before it could be stopped.
                self._result = None
            case _:
                # The first copy is of use if the link breaks off.
                self.stopping = False
                return False
        return True

    def _set_result(self, target: targets.Target, handle: str) -> None:
        copy = api.RunCopy(self._source.address, handle)
        self._result = handover.Handover(
            target, copy, handover.HandoverWay.EVACUATED
        )

    async def _move(
        self, destination: targets.Target, final: bool
    ) -> api.Move:
        return await self._parts.runs.move(
            self._exchange.request.request_id,
            self._source,
            destination,
            final,
            _LAST_COPY_TIMEOUT_S if final else _COPY_TIMEOUT_S,
        )
