"""Closes the callers' port once the last answers have been sent."""

import asyncio

from aiohttp import web

from dotterelweir_core import timers
from dotterelweird.callers import inflight

_CHECK_PERIOD_S = 0.01


async def close(
    runner: web.AppRunner,
    in_flight: inflight.InFlight,
    timer: timers.TimerService,
    limit_s: float,
) -> None:
    """Waits until the callers have taken their answers, then closes.

    A closed connection sends the rest of its write buffer only while the
    event loop runs, so the end of the process would cut answers to callers
    that read slowly. Requests that arrive during the wait are handled.

    Args:
        runner: Runner of the callers' port.
        in_flight: Requests that are being answered.
        timer: Clock and timers.
        limit_s: Longest wait, in seconds.
    """
    if runner.server is not None:
        await _wait_sent(runner.server, in_flight, timer, limit_s)
    await runner.cleanup()


async def _wait_sent(
    server: web.Server,
    in_flight: inflight.InFlight,
    timer: timers.TimerService,
    limit_s: float,
) -> None:
    ended = asyncio.get_running_loop().create_future()
    end_s = timer.monotonic_s() + limit_s

    def check() -> None:
        all_sent = in_flight.count == 0 and _unsent_bytes(server) == 0
        if not ended.done() and (all_sent or timer.monotonic_s() >= end_s):
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
