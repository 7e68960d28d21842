"""Waits and sleeps on a timer service, in real or virtual time."""

import asyncio

from dotterelweir_core import timers


async def wait_for(
    service: timers.TimerService, future: asyncio.Future, timeout_s: float
) -> bool:
    """Waits until a future is done or the timeout has passed.

    Args:
        service: Timer service that measures the time.
        future: Future to wait for; the timeout does not cancel it.
        timeout_s: Longest time to wait, in seconds.

    Returns:
        Whether the future is done.
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
    """Waits for a time on a timer service.

    Args:
        service: Timer service that measures the time.
        delay_s: Time to wait, in seconds; returns at once if not positive.
    """
    if delay_s > 0:
        never = asyncio.get_running_loop().create_future()
        await wait_for(service, never, delay_s)
