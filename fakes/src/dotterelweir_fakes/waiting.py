"""Waiting on a timer service, in real or virtual time."""

import asyncio

from dotterelweir_core import timers


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
