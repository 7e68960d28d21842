"""Tests of the queue of a pool."""

import pytest

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths
from dotterelweir_core.policy import queue

PROFILE = lengths.default_profile(100.0)


def add(
    entry_queue,
    request_id,
    org='a',
    band=2,
    priority=5,
    cost=100.0,
    until=30.0,
):
    item = api.WorkItem(
        request_id, 'r', 'p', org, priority, 10, None, (), 0.0, 600.0, True
    )
    entry_queue.add(queue.Entry(item, PROFILE, band, until, cost))


def drain(entry_queue):
    order = []
    while entry_queue.heads():
        entry = entry_queue.heads()[0]
        entry_queue.dequeue(entry)
        order.append(entry.item.request_id)
    return order


@pytest.mark.parametrize(
    ('entries', 'order'),
    [
        # Priority takes precedence over the band.
        (
            [('long', {'priority': 1}), ('short', {'band': 0})],
            ['long', 'short'],
        ),
        # Requests with short expected output come before long ones.
        ([('long', {}), ('short', {'band': 0})], ['short', 'long']),
        # An organisation with many waiting requests does not delay another.
        (
            [('a1', {}), ('a2', {}), ('a3', {}), ('b1', {'org': 'b'})],
            ['a1', 'b1', 'a2', 'a3'],
        ),
        # Within a band, the cheaper request of two organisations is first.
        (
            [('a1', {'cost': 900.0}), ('b1', {'org': 'b', 'cost': 50.0})],
            ['b1', 'a1'],
        ),
    ],
)
def test_queue_order(entries, order):
    """Guards against an order that starves urgent or short requests.

    Neither may an organisation with few requests starve.
    """
    entry_queue = queue.EntryQueue()
    for request_id, changes in entries:
        add(entry_queue, request_id, **changes)
    assert drain(entry_queue) == order


def test_an_organisation_is_charged_for_its_actual_use():
    """Guards against a larger share for outputs longer than expected."""
    entry_queue = queue.EntryQueue()
    add(entry_queue, 'a1')
    add(entry_queue, 'b1', org='b')
    drain(entry_queue)
    entry_queue.correct_usage(
        2, 'a', expected_tokens=100.0, used_tokens=5_000.0
    )
    add(entry_queue, 'a2')
    add(entry_queue, 'b2', org='b')
    assert drain(entry_queue) == ['b2', 'a2']


def test_expired_and_discarded_requests_leave_the_queue():
    """Guards against placing a request that timed out or was cancelled."""
    entry_queue = queue.EntryQueue()
    add(entry_queue, 'r1', until=1.0)
    add(entry_queue, 'r2', until=2.0)
    add(entry_queue, 'r3', until=3.0)
    entry_queue.discard('r2')
    assert [
        entry.item.request_id for entry in entry_queue.pop_expired(1.0)
    ] == ['r1']
    assert entry_queue.next_timeout_s() == 3.0
    assert drain(entry_queue) == ['r3']
    assert len(entry_queue) == 0
