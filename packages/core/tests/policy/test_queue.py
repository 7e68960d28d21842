"""Tests of the entry queue."""

import pytest

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths
from dotterelweir_core.policy import queue

PROFILE = lengths.default_profile(100.0)


def add(
    waiting, request_id, org='a', band=2, priority=5, cost=100.0, until=30.0
):
    item = api.WorkItem(
        request_id, 'r', 'p', org, priority, 10, None, (), 0.0, 600.0, True
    )
    waiting.add(queue.Entry(item, PROFILE, band, until, cost))


def drain(waiting):
    order = []
    while waiting.heads():
        entry = waiting.heads()[0]
        waiting.take(entry)
        order.append(entry.item.request_id)
    return order


@pytest.mark.parametrize(
    ('entries', 'order'),
    [
        # Priority comes before everything else.
        (
            [('long', {'priority': 1}), ('short', {'band': 0})],
            ['long', 'short'],
        ),
        # Short expected work comes before long work.
        ([('long', {}), ('short', {'band': 0})], ['short', 'long']),
        # An organisation with much waiting work does not hold up another.
        (
            [('a1', {}), ('a2', {}), ('a3', {}), ('b1', {'org': 'b'})],
            ['a1', 'b1', 'a2', 'a3'],
        ),
        # Within a lane the cheaper request of two organisations is first.
        (
            [('a1', {'cost': 900.0}), ('b1', {'org': 'b', 'cost': 50.0})],
            ['b1', 'a1'],
        ),
    ],
)
def test_order(entries, order):
    """Guards against an order that starves urgent, short or small work."""
    waiting = queue.EntryQueue()
    for request_id, changes in entries:
        add(waiting, request_id, **changes)
    assert drain(waiting) == order


def test_an_organisation_pays_for_what_it_really_used():
    """Guards against an organisation that gains by long outputs."""
    waiting = queue.EntryQueue()
    add(waiting, 'a1')
    add(waiting, 'b1', org='b')
    drain(waiting)
    waiting.settle(2, 'a', expected=100.0, used=5_000.0)
    add(waiting, 'a2')
    add(waiting, 'b2', org='b')
    assert drain(waiting) == ['b2', 'a2']


def test_expired_and_dropped_requests_leave_every_lane():
    """Guards against a request that is placed after it was given up."""
    waiting = queue.EntryQueue()
    add(waiting, 'r1', until=1.0)
    add(waiting, 'r2', until=2.0)
    add(waiting, 'r3', until=3.0)
    waiting.drop('r2')
    assert [entry.item.request_id for entry in waiting.expired(1.0)] == ['r1']
    assert waiting.next_timeout_s() == 3.0
    assert drain(waiting) == ['r3']
    assert len(waiting) == 0
