"""Closes the callers' port once the last answers have been sent."""

import asyncio

from aiohttp import web

from dotterelweir_core import timers

_CHECK_PERIOD_S = 0.01


async def close(
    runner: web.AppRunner, timer: timers.TimerService, limit_s: float
) -> None:
    """Waits until the callers have taken their answers, then closes.

    A closed connection sends the rest of its write buffer only while the
    event loop runs, so the end of the process would cut answers to callers
    that read slowly. Requests that arrive during the wait are handled.

    Args:
        runner: Runner of the callers' port.
        timer: Clock and timers.
        limit_s: Longest wait, in seconds.
    """
    if runner.server is not None:
        await _wait_sent(runner.server, timer, limit_s)
    await runner.cleanup()


async def _wait_sent(
    server: web.Server, timer: timers.TimerService, limit_s: float
) -> None:
    ended = asyncio.get_running_loop().create_future()
    end_s = timer.monotonic_s() + limit_s

    def check() -> None:
        if not ended.done() and (
            timer.monotonic_s() >= end_s or not _unsent_bytes(server)
        ):
            ended.set_result(None)

    check()
    handle = timer.call_every(_CHECK_PERIOD_S, check)
    try:
        await ended
    finally:
        handle.cancel()


def _unsent_bytes(server: web.Server) -> int:
    return sum(
        connection.transport.get_write_buffer_size()
        for connection in server.connections
        if connection.transport is not None
    )
