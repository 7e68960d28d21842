"""Tests of the queue of updates and of the token bucket."""

import attrs

from dotterelweir_core.membership import broadcasts
from dotterelweir_core.membership import messages

MEMBER = messages.Member('i0', 'zone', '10.0.0.1', 7000, 5)
SIZE = messages.member_bytes(MEMBER)


def member(index, **fields):
    return attrs.evolve(MEMBER, member_id=f'i{index}', **fields)


def names(queue, max_bytes=10_000, max_sends=100):
    members, leaving, _ = queue.take(max_bytes, max_bytes, max_sends)
    return [m.member_id for m in members], [n.target_id for n in leaving]


def test_urgent_updates_come_first():
    """Guards against joins that delay failures, refutations and notices."""
    queue = broadcasts.UpdateQueue()
    queue.add(member(1))
    queue.add(member(2, state=messages.MemberState.SUSPECT))
    queue.add(member(3, incarnation=6), refutes=True)
    queue.add(messages.Leaving('e1', 5))
    assert names(queue) == (['i3', 'i2', 'i1'], ['e1'])
    assert names(queue, 0) == ([], [])


def test_updates_are_sent_a_bounded_number_of_times():
    """Guards against updates that are sent for ever."""
    queue = broadcasts.UpdateQueue()
    queue.add(member(1))
    queue.add(messages.Leaving('e1', 5))
    sent = [names(queue, max_sends=2) for _ in range(10)]
    assert [members for members, _ in sent].count(['i1']) == 2
    assert [leaving for _, leaving in sent].count(['e1']) == 6


def test_newer_update_replaces_the_older_one():
    """Guards against two records of one member in a datagram."""
    queue = broadcasts.UpdateQueue()
    queue.add(member(1))
    queue.add(member(1, incarnation=9))
    members, _, _ = queue.take(10_000, 10_000, 4)
    assert [m.incarnation for m in members] == [9]


def test_queued_joins_are_bounded_and_other_updates_kept():
    """Guards against a queue that grows with a group that starts at once.

    Other updates must not be dropped with the joins.
    """
    queue = broadcasts.UpdateQueue()
    for index in range(100):
        queue.add(member(index, state=messages.MemberState.DEAD))
    for index in range(1000, 2000):
        queue.add(member(index))
    found, _ = names(queue, 1_000_000)
    assert (
        len([n for n in found if len(n) == 5]) <= broadcasts.QUEUED_JOINS_MAX
    )
    assert len([n for n in found if len(n) < 5]) == 100


def test_token_bucket_limits_rate_and_debt():
    """Guards against bursts above the average, and against unbounded debt."""
    budget = broadcasts.TokenBucket(100.0, 1000.0)
    assert budget.available(0.0) == 1000
    budget.spend(5000)
    assert budget.available(0.0) == -1000
    assert budget.available(15.0) == 500
    assert budget.available(100.0) == 1000
