"""Holds generations back until an engine admits them."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import waiting
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import refusing

LOG = logging.getLogger(__name__)


async def wait_for_room(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> None:
    """Waits until a generation may be sent.

    Resumable generations do not wait: another engine can start them anew.

    Raises:
        DotterelweirError: No engine has room for it in time, or the process
            stops.
    """
    if exchange.route.resumable or parts.has_capacity(exchange):
        return
    ticket = waiting.QueueEntry(exchange.arrived_s, exchange.route.objective_s)
    line = parts.request_queue(exchange)
    line.add(ticket)
    try:
        found = await _search(
            parts, exchange, waiting.AdmissionPoll(ticket, line)
        )
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


async def _search(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    search: waiting.AdmissionPoll,
) -> bool:
    """Looks for room, and gives whether it was found in time."""
    look = waiting.PollResult.WAIT
    while look is waiting.PollResult.WAIT:
        instances = parts.budgets.instance_counts.reachable
        delay_s = search.delay_s(
            parts.timers.monotonic_s(), instances, parts.rng
        )
        await timers.sleep(parts.timers, delay_s)
        parts.check_stop(exchange)
        look = search.poll(
            parts.timers.monotonic_s(), lambda: parts.has_capacity(exchange)
        )
    return look is waiting.PollResult.ADMITTED
