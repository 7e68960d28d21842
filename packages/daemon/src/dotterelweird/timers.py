"""Timers on the clock of the asyncio event loop."""

import asyncio
import time

from dotterelweir_core import timers


class _LoopHandle(timers.TimerHandle):
    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class LoopTimerService(timers.TimerService):
    """Provides real time and timers of an event loop.

    Args:
        loop: The running event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic_s(self) -> float:
        return self._loop.time()

    def wall_s(self) -> float:
        return time.time()

    def elapsed_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_after(
        self, delay_s: float, callback: timers.Callback
    ) -> timers.TimerHandle:
        return _LoopHandle(self._loop.call_later(delay_s, callback))


async def sleep(service: timers.TimerService, delay_s: float) -> None:
    """Sleeps on a timer service, so that tests can use virtual time.

    Args:
        service: Clock and timers.
        delay_s: Time to sleep, in seconds.
    """
    future = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not future.done():
            future.set_result(None)

    handle = service.call_after(delay_s, wake)
    try:
        await future
    finally:
        handle.cancel()
