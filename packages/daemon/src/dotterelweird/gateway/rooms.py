"""Holds generations back until an engine admits them."""

import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import waiting
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges

LOG = logging.getLogger(__name__)

# Between two looks for room, in seconds; digests of other instances arrive
# within about this time.
_CHECK_S = 0.04


async def wait_for_room(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> None:
    """Waits until a generation may be sent.

    Resumable generations do not wait: another engine can start them anew.
    """
    if exchange.route.resumable or _has_room(parts, exchange):
        return
    ticket = waiting.Ticket(exchange.arrived_s, exchange.route.objective_s)
    line = parts.line(exchange)
    line.add(ticket)
    try:
        now_s = await _wait(parts, exchange, line, ticket)
    finally:
        line.remove(ticket)
    events.log(
        LOG,
        events.WAITED_FOR_ROOM,
        request_id=exchange.request.request_id,
        service=exchange.service.name,
        waiting=len(line),
        waited_s=round(now_s - exchange.arrived_s, 3),
    )


async def _wait(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    line: waiting.WaitingLine,
    ticket: waiting.Ticket,
) -> float:
    """Waits for the turn of a ticket and gives the time then."""
    while True:
        # The jitter keeps instances from taking the same room at once.
        await timers.sleep(
            parts.timers, _CHECK_S * parts.rng.uniform(0.5, 1.5)
        )
        now_s = parts.timers.monotonic_s()
        if ticket.has_waited_out(now_s):
            return now_s
        if line.is_next(ticket, now_s) and _has_room(parts, exchange):
            return now_s


def _has_room(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> bool:
    """Whether some engine has room; true if none takes work at all."""
    ready = [
        target
        for target in parts.directory.of_service(exchange.service.name)
        if target.state is targets.TargetState.READY
        and not parts.is_paused(target)
    ]
    return not ready or any(parts.admits(exchange, target) for target in ready)
