"""Tests of the order in which waiting generations get capacity."""

import random

from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import service_queues
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import waiting

URGENT = service_order.Urgency(0)
LESS_URGENT = service_order.Urgency(1)


def ordered_queue():
    queues = service_queues.ServiceQueues(service_order.ServiceOrder())
    return queues.get('model', False, True)


def entry(arrived_s=0.0, urgency=URGENT, organisation=1, key='', **fields):
    return waiting.QueueEntry(
        arrived_s, 4.0, urgency, organisation, key, **fields
    )


def drain(queue, now_s):
    """Removes all requests; returns them in the order of service."""
    served = []
    while queue:
        served.append(queue.find_head(now_s))
        queue.remove(served[-1])
    return served


def test_priority_goes_before_time():
    """Guards against urgent requests behind many less urgent ones.

    An urgent request that is late still goes before a less urgent one.
    """
    queue = ordered_queue()
    late_urgent = entry(0.0)
    less_urgent = entry(0.5, LESS_URGENT)
    urgent = entry(3.0)
    for item in (less_urgent, late_urgent, urgent):
        queue.add(item)
    assert drain(queue, 3.05) == [urgent, late_urgent, less_urgent]


def test_equal_priorities_keep_the_order_by_due_time():
    """Guards against another order where no priorities are configured."""
    rng = random.Random(4)
    queue, plain = ordered_queue(), waiting.RequestQueue()
    items = [entry(rng.uniform(0.0, 5.0)) for _ in range(40)]
    for item in items:
        queue.add(item)
        plain.add(item)
    expected = sorted(
        items, key=lambda item: (not item.is_on_time(5.0), item.due_s)
    )
    assert drain(queue, 5.0) == drain(plain, 5.0) == expected


def test_the_organisation_that_used_least_goes_first():
    """Guards against an organisation that takes all capacity."""
    queue = ordered_queue()
    heavy, light = entry(0.0, organisation=1), entry(1.0, organisation=2)
    queue.order.record_use(1, 9_000.0, 1.0)
    queue.order.record_use(2, 3_000.0, 1.0)
    for item in (heavy, light):
        queue.add(item)
    assert queue.is_next(light, 1.5)
    # What was admitted long ago no longer counts.
    queue.order.record_use(2, 3_000.0, 40.0)
    assert 2 in queue.order.over_share(40.0)
    assert 1 not in queue.order.over_share(40.0)


def test_use_at_other_instances_counts_while_they_tell_it():
    """Guards against shares that an organisation gets at each instance."""
    queue = ordered_queue()
    queue.add(entry(organisation=1))
    queue.order.set_peer(
        'peer', service_order.WaitingState((), {1: 500.0, 2: 10.0}), 0.0
    )
    assert 1 in queue.order.over_share(0.1)
    queue.order.set_peer('peer', None, 0.2)
    assert 1 not in queue.order.over_share(0.5)


def test_a_digest_has_few_organisations():
    """Guards against digests that grow with the number of organisations."""
    order = service_order.ServiceOrder()
    for number in range(20):
        order.add_waiting(number)
        order.record_use(number, 100.0 + number, 0.0)
    order.record_use(99, 1e6, 0.0)
    assert sorted(order.own_uses(0.0)) == list(range(12, 20))


def test_a_request_behind_another_head_waits_longer():
    """Guards against capacity that a less urgent request takes first.

    The other instance polls within 0.06 s, and its load is known 8 ms after
    it has sent its request.
    """
    rng = random.Random(1)
    behind_s = [waiting.backoff_s(7, True, rng, 1) for _ in range(200)]
    assert min(behind_s) >= 0.068
    last_s = [waiting.backoff_s(370, False, rng, 369) for _ in range(200)]
    assert max(last_s) < 0.7


def test_an_arrival_does_not_pass_those_that_wait():
    """Guards against large requests that small ones starve."""
    queue = ordered_queue()
    first = entry(0.0)
    assert queue.may_send_at_once(first, 0.0)
    queue.add(first)
    assert not queue.may_send_at_once(entry(0.1), 0.1)
    urgent = entry(0.1, service_order.Urgency(-1))
    assert queue.may_send_at_once(urgent, 0.1)
    # A queue without an order is as before.
    plain = waiting.RequestQueue()
    plain.add(first)
    assert plain.may_send_at_once(entry(0.1), 0.1)


def test_repeats_share_one_place():
    """Guards against callers that gain by sending a request many times."""
    queue = ordered_queue()
    copies = [entry(0.1 * number, key='same') for number in range(3)]
    other = entry(1.0, key='other')
    for item in (*copies, other):
        queue.add(item)
    queue.remove(copies[0])
    queue.record_admission(copies[0], 1.5)
    # The next copy gets its place when the first one has left the queue.
    assert drain(queue, 1.6) == [other, copies[1], copies[2]]


def test_a_caller_that_comes_back_goes_before_new_ones():
    """Guards against refused callers that never get capacity."""
    queue = ordered_queue()
    new = entry(5.0)
    back = entry(5.5, first_arrived_s=1.0)
    for item in (new, back):
        queue.add(item)
    assert queue.is_next(back, 5.6)
    # It still may wait as long as a new one.
    assert not back.is_expired(17.0)


def test_the_last_is_refused_when_the_queue_is_too_long():
    """Guards against callers that wait for capacity that cannot come."""
    queue = ordered_queue()
    urgent, last = entry(0.2), entry(0.0, LESS_URGENT)
    for item in (last, urgent):
        queue.add(item)
    # One admission each 3 s: the wait is short enough for both.
    queue.record_admission(entry(), 3.0)
    assert not queue.is_hopeless(last, 3.0)
    for number in range(8):
        queue.add(entry(3.1 + number / 100))
    assert queue.is_hopeless(last, 3.3)
    assert not queue.is_hopeless(urgent, 3.3)
    poll = waiting.AdmissionPoll(last, queue)
    assert poll.poll(3.3, lambda: False) is waiting.PollResult.REFUSED
    queue.remove(last)
    for number in range(12):
        queue.record_admission(entry(), 3.3 + number / 10)
    assert queue.expected_wait_s(4.5) < 4.0


def defer(item):
    """Returns a check that finds only an engine which is passed over."""

    def has_capacity():
        item.deferred = True
        return False

    return has_capacity


def test_requests_that_pass_over_an_engine_do_not_block_others():
    """Guards against engines that stay idle beside waiting requests.

    The urgent request waits for a faster engine than the free one.
    """
    queue = ordered_queue()
    urgent, less_urgent = entry(1.0), entry(0.0, LESS_URGENT)
    for item in (less_urgent, urgent):
        queue.add(item)
    urgent_poll = waiting.AdmissionPoll(urgent, queue)
    poll = waiting.AdmissionPoll(less_urgent, queue)
    urgent_poll.poll(1.1, defer(urgent))
    assert poll.poll(1.11, lambda: True) is waiting.PollResult.WAIT
    assert poll.poll(1.2, lambda: True) is waiting.PollResult.ADMITTED
    # It goes first again as soon as it would use what there is.
    poll = waiting.AdmissionPoll(less_urgent, queue)
    urgent_poll.poll(1.21, lambda: True)
    poll.poll(1.22, lambda: True)
    assert not poll.capacity_seen
    # Without any capacity, it goes first as well.
    urgent_poll.poll(1.25, defer(urgent))
    urgent_poll.poll(1.3, lambda: False)
    assert not queue.is_next(less_urgent, 1.31)


def test_without_an_order_all_wait_for_the_first():
    """Guards against other outcomes where no priorities are configured."""
    queue = waiting.RequestQueue()
    first, second = entry(0.0), entry(0.5)
    for item in (first, second):
        queue.add(item)
    waiting.AdmissionPoll(first, queue).poll(0.6, defer(first))
    assert first.deferred
    assert not queue.is_next(second, 0.6)


def test_a_request_that_passes_over_an_engine_is_not_refused():
    """Guards against refusals for capacity while an engine has some.

    The queue has had no capacity for long, so that it counts as hopeless.
    """
    queue = ordered_queue()
    waiting_long = entry(0.0)
    queue.add(waiting_long)
    for _ in range(3):
        queue.add(entry(40.0))
    last = entry(40.0, LESS_URGENT)
    queue.add(last)
    for item in [item for item in queue._entries if item is not last]:
        item.deferred = True
    assert queue.is_hopeless(last, 40.1)
    poll = waiting.AdmissionPoll(last, queue)
    assert poll.poll(40.1, defer(last)) is waiting.PollResult.WAIT
    assert poll.poll(40.2, lambda: False) is waiting.PollResult.REFUSED


def test_the_priority_of_an_organisation_replaces_that_of_the_route():
    """Guards against a configured priority that has no effect."""
    routes = tuple(
        tables.Route(
            name,
            'host',
            f'/{name}/',
            tables.RequestKind.STREAM,
            10.0,
            1.0,
            priority,
            (tables.WeightedService('model', 1.0),),
            1,
            False,
            False,
            0.2,
        )
        for name, priority in (('one', 3), ('two', 3))
    )
    vip = tables.Organisation('vip', 0)
    usual = tables.Organisation('usual')
    assert tables.urgency(routes[0], vip) < tables.urgency(routes[0], usual)
    for organisations, ordered in (
        ({'a': vip}, False),
        ({'a': usual}, False),
        ({'a': vip, 'b': usual}, True),
        (None, False),
    ):
        current = tables.Tables(
            1, routes, {}, organisations, tables.CallerLimits()
        )
        assert current.is_ordered('model') is ordered
