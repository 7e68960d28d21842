"""Queues generations until an engine has capacity for them."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import waiting
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import refusing

LOG = logging.getLogger(__name__)


async def wait_for_admission(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> None:
    """Waits until a generation may be sent to an engine.

    Resumable generations do not wait, because another engine can restart
    them.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.

    Raises:
        DotterelweirError: No engine had capacity in time, or the process is
            stopping.
    """
    if exchange.route.resumable:
        return
    now_s = parts.timers.monotonic_s()
    entry = _make_entry(exchange)
    queue = parts.request_queue(exchange)
    if parts.has_capacity(exchange) and queue.may_send_at_once(entry, now_s):
        _record_use(parts, exchange, entry)
        return
    parts.queues.add(queue, entry, now_s)
    try:
        admitted = await _poll_until_admitted(
            parts, exchange, waiting.AdmissionPoll(entry, queue)
        )
        if admitted:
            queue.record_admission(entry, parts.timers.monotonic_s())
            _record_use(parts, exchange, entry)
    finally:
        parts.queues.remove(queue, entry, parts.timers.monotonic_s())
    waited_s = parts.timers.monotonic_s() - exchange.arrived_s
    events.log(
        LOG,
        events.WAITED_FOR_ROOM,
        request_id=exchange.request.request_id,
        service=exchange.service.name,
        waiting=len(queue),
        found=admitted,
        waited_s=round(waited_s, 3),
    )
    if not admitted:
        raise errors.DotterelweirError(
            errors.ErrorKind.QUEUE_TIMEOUT,
            retry_after_s=refusing.retry_after_s(parts, exchange),
        )


def _make_entry(exchange: exchanges.Exchange) -> waiting.QueueEntry:
    """Returns the queue entry of a request."""
    route = exchange.route
    if not exchange.ordered:
        return waiting.QueueEntry(exchange.arrived_s, route.objective_s)
    return waiting.QueueEntry(
        exchange.arrived_s,
        route.objective_s,
        tables.urgency(route, exchange.organisation),
        service_order.hash_name(exchange.organisation_name or ''),
        exchange.key,
    )


def _record_use(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    entry: waiting.QueueEntry,
) -> None:
    if exchange.ordered:
        now_s = parts.timers.monotonic_s()
        parts.queues.order.record_use(
            entry.organisation, exchange.tokens, now_s
        )


async def _poll_until_admitted(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    admission_poll: waiting.AdmissionPoll,
) -> bool:
    """Polls for capacity until the request is admitted or expires.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        admission_poll: State of the polls for this request.

    Returns:
        Whether the request was admitted.

    Raises:
        DotterelweirError: The process is stopping and would cut the request
            off.
    """
    result = waiting.PollResult.WAIT
    while result is waiting.PollResult.WAIT:
        instances = parts.budgets.instance_counts.reachable
        delay_s = admission_poll.delay_s(
            parts.timers.monotonic_s(), instances, parts.rng
        )
        await timers.sleep(parts.timers, delay_s)
        parts.check_stop(exchange)
        result = admission_poll.poll(
            parts.timers.monotonic_s(), lambda: parts.has_capacity(exchange)
        )
    return result is waiting.PollResult.ADMITTED
