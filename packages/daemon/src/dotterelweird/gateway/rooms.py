"""Holds generations back until an engine admits them."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import waiting
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import refusing

LOG = logging.getLogger(__name__)

# Between two looks for room, in seconds; digests of other instances arrive
# within about this time.
_CHECK_S = 0.04


async def wait_for_room(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> None:
    """Waits until a generation may be sent.

    Resumable generations do not wait: another engine can start them anew.

    Raises:
        DotterelweirError: No engine has room for it in time.
    """
    if exchange.route.resumable or _has_room(parts, exchange):
        return
    ticket = waiting.Ticket(exchange.arrived_s, exchange.route.objective_s)
    line = parts.line(exchange)
    line.add(ticket)
    try:
        found = await _wait(parts, exchange, line, ticket)
    finally:
        line.remove(ticket)
    waited_s = parts.timers.monotonic_s() - exchange.arrived_s
    events.log(
        LOG,
        events.WAITED_FOR_ROOM,
        request_id=exchange.request.request_id,
        service=exchange.service.name,
        waiting=len(line),
        found=found,
        waited_s=round(waited_s, 3),
    )
    if not found:
        raise errors.DotterelweirError(
            errors.ErrorKind.QUEUE_TIMEOUT,
            retry_after_s=refusing.retry_after_s(parts, exchange),
        )


async def _wait(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    line: waiting.WaitingLine,
    ticket: waiting.Ticket,
) -> bool:
    """Waits for the turn of a ticket, and gives whether it came in time."""
    claims = False
    while True:
        delay_s = _CHECK_S * parts.rng.uniform(0.5, 1.5)
        if claims:
            instances = parts.budgets.pool.visible
            delay_s = waiting.claim_delay_s(instances, parts.rng)
        await timers.sleep(parts.timers, delay_s)
        now_s = parts.timers.monotonic_s()
        if line.is_next(ticket, now_s) and _has_room(parts, exchange):
            if claims:
                return True
            claims = True
        else:
            claims = False
        if ticket.has_waited_out(now_s):
            return False


def _has_room(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> bool:
    """Whether some engine has room.

    It is true if none takes work at all, or if all that do are avoided: then
    there is nothing to wait for, and one of them may serve the request.
    """
    ready = [
        target
        for target in parts.directory.of_service(exchange.service.name)
        if target.state is targets.TargetState.READY
        and not parts.is_paused(target)
    ]
    now_s = parts.timers.monotonic_s()
    if all(
        parts.loads.get(target.target_id).is_avoided(now_s) for target in ready
    ):
        return True
    return any(parts.admits(exchange, target) for target in ready)
