"""The timer service of the fakes on the event loop's clock."""

import asyncio
import time

from dotterelweir_core import timers


class _LoopHandle(timers.TimerHandle):
    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class LoopTimerService(timers.TimerService):
    """Real time, on the running event loop.

    The fakes depend on the core package only, so they have their own.
    """

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
