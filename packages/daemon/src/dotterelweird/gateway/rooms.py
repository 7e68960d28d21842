"""Queues generations until an engine has capacity for them."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import admission
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
    queue = parts.request_queue(exchange)
    entry = _make_entry(exchange)
    has_capacity = _has_capacity(parts, exchange, entry)
    if queue or not has_capacity:
        _identify(parts, exchange, entry, now_s)
    if has_capacity and queue.may_send_at_once(entry, now_s):
        _record_use(parts, exchange, entry)
        return
    _identify(parts, exchange, entry, now_s)
    if queue.has_equal(entry):
        parts.waiting_reporter.record_repeat(exchange)
    parts.queues.add(queue, entry, now_s)
    _record_length(parts, exchange)
    try:
        result = await _poll_until_decided(
            parts, exchange, waiting.AdmissionPoll(entry, queue)
        )
        if result is waiting.PollResult.ADMITTED:
            queue.record_admission(entry, parts.timers.monotonic_s())
            _record_use(parts, exchange, entry)
    finally:
        parts.queues.remove(queue, entry, parts.timers.monotonic_s())
        _record_length(parts, exchange)
    waited_s = parts.timers.monotonic_s() - exchange.arrived_s
    admitted = result is waiting.PollResult.ADMITTED
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
        raise _refuse(parts, exchange, queue, entry, result)


def _refuse(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    queue: waiting.RequestQueue,
    entry: waiting.QueueEntry,
    result: waiting.PollResult,
) -> errors.DotterelweirError:
    """Returns the error of a request that gets no capacity in time.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        queue: The queue that held the request.
        entry: The request in the queue.
        result: Result of the last poll.
    """
    now_s = parts.timers.monotonic_s()
    retry_after_s = refusing.retry_after_s(
        parts, exchange, queue.accepted_in_s(entry, now_s)
    )
    if entry.key:
        parts.returning_callers.record_refusal(
            entry.key, entry.first_arrived_s, exchange.deadline_s
        )
    parts.waiting_reporter.record_refusal(
        exchange,
        result.name.lower(),
        queue.expected_wait_s(now_s),
        retry_after_s,
    )
    return errors.DotterelweirError(
        errors.ErrorKind.QUEUE_TIMEOUT, retry_after_s=retry_after_s
    )


def _record_length(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> None:
    service = exchange.service.name
    parts.waiting_reporter.record_length(
        service, parts.queues.count_waiting(service)
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
    )


def _identify(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    entry: waiting.QueueEntry,
    now_s: float,
) -> None:
    """Sets the key and the age of a request that may have to wait.

    The key is a digest of the whole body, which is not computed for requests
    that do not wait.
    """
    if entry.key or not exchange.ordered:
        return
    entry.key = exchange.key
    first_arrived_s = parts.returning_callers.take(entry.key, now_s)
    if first_arrived_s is not None:
        entry.first_arrived_s = first_arrived_s
        parts.waiting_reporter.record_return(exchange, now_s - first_arrived_s)


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


def _has_capacity(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    entry: waiting.QueueEntry,
) -> bool:
    """Whether a request may be sent now; updates ``entry.deferred``."""
    capacity = parts.find_capacity(exchange)
    entry.deferred = capacity is admission.Capacity.DEFERRED
    return capacity is admission.Capacity.FREE


async def _poll_until_decided(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    admission_poll: waiting.AdmissionPoll,
) -> waiting.PollResult:
    """Polls for capacity until the request is admitted, refused or expires.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        admission_poll: State of the polls for this request.

    Returns:
        The result of the last poll.

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
            parts.timers.monotonic_s(),
            lambda: _has_capacity(parts, exchange, admission_poll.entry),
        )
    return result
