"""Releases copies of runs that are no longer needed."""

import asyncio
import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import limiting
from dotterelweird.gateway.sending import gate

LOG = logging.getLogger(__name__)

# Timeout of one call that releases a copy, in seconds. An engine that is
# leaving answers late. A copy that was not released expires at its engine.
_RELEASE_TIMEOUT_S = 0.5


class CopyReleaser:
    """Releases copies in the background.

    A copy that is not released occupies memory and a slot, which other runs
    may need, until it expires at its engine after some seconds.

    Args:
        runs: Control of runs at model engines.
        send_gate: Tells whether an engine may be called.
        limiter: Keeps requests within the limits of engines.
    """

    def __init__(
        self,
        runs: api.RunControl,
        send_gate: gate.SendGate,
        limiter: limiting.TargetLimiter,
    ) -> None:
        self._runs = runs
        self._gate = send_gate
        self._limiter = limiter
        # The event loop itself keeps only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def release(
        self,
        source: targets.Target,
        destination: targets.Target,
        copy: api.RunCopy,
    ) -> None:
        """Starts to release a copy and returns at once.

        Args:
            source: The engine that made the copy.
            destination: The engine that stores the copy.
            copy: The copy.
        """
        task = asyncio.create_task(
            self._release_copy(source, destination, copy)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release_copy(
        self,
        source: targets.Target,
        destination: targets.Target,
        copy: api.RunCopy,
    ) -> None:
        # The source releases the copy at both engines, but may have left.
        freed_by = None
        for engine in (source, destination):
            if self._gate.is_paused(engine):
                continue
            if not await self._limiter.acquire(engine, copy.handle):
                continue
            if self._gate.is_paused(engine):
                continue
            if await self._runs.release(engine, copy, _RELEASE_TIMEOUT_S):
                freed_by = engine.target_id
                break
        events.log(
            LOG,
            events.COPY_RELEASED,
            source=source.target_id,
            destination=destination.target_id,
            handle=copy.handle,
            freed_by=freed_by,
        )
