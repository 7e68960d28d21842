"""The timer service of the stand-ins, on the event loop's clock."""

import asyncio
import time

from dotterelweir_core import timers


class _LoopHandle(timers.TimerHandle):
    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class LoopTimerService(timers.TimerService):
    """Real time, on the running event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic_s(self) -> float:
        return self._loop.time()

    def wall_s(self) -> float:
        return time.time()

    def call_after(
        self, delay_s: float, callback: timers.Callback
    ) -> timers.TimerHandle:
        return _LoopHandle(self._loop.call_later(delay_s, callback))


async def wait_for(
    service: timers.TimerService, future: asyncio.Future, timeout_s: float
) -> bool:
    """Waits until a future is done or the time has passed.

    Returns:
        Whether the future is done. It is not cancelled if it is not.
    """
    ended = asyncio.get_running_loop().create_future()

    def end(_: object = None) -> None:
        if not ended.done():
            ended.set_result(None)

    handle = service.call_after(timeout_s, end)
    future.add_done_callback(end)
    try:
        await ended
    finally:
        handle.cancel()
        future.remove_done_callback(end)
    return future.done()


async def sleep(service: timers.TimerService, delay_s: float) -> None:
    """Waits on a timer service."""
    if delay_s > 0:
        never = asyncio.get_running_loop().create_future()
        await wait_for(service, never, delay_s)
