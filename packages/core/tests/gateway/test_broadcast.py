"""Tests of the broadcast in deployments of several sizes."""

import random

import pytest

from dotterelweir_core.gateway import broadcast


def members_of(size):
    return [
        broadcast.Member(f'node-{n}', f'10.0.{n % 3}.{n}', f'zone-{n % 3}')
        for n in range(size)
    ]


def groups_of(members):
    groups = broadcast.BroadcastGroups()
    for member in members:
        groups.add(member)
    return groups


def send_message(all_members, origin, dead=frozenset(), seed=1):
    """Broadcasts one message.

    Returns:
        The names of the instances that received it, and the largest number
        of sends by one instance.
    """
    rng = random.Random(seed)
    by_host = {member.host: member for member in all_members}
    received_by, sends = [], {}
    others = [member for member in all_members if member != origin]
    hops = groups_of(others).plan(rng)
    sends[origin.host] = len(hops)
    for hop in hops:
        relay = by_host[hop.host]
        if relay.instance_id in dead:
            continue
        received_by.append(relay.instance_id)
        if hop.group is None:
            continue
        known = [m for m in all_members if m not in (relay, origin)]
        recipients = groups_of(known).group_members(relay.zone, hop.group)
        sends[relay.host] = len(recipients)
        received_by += [m.instance_id for m in recipients]
    return received_by, max(sends.values())


@pytest.mark.parametrize('size', [2, 6, 13, 14, 90, 300, 400])
def test_a_message_reaches_every_instance_once(size):
    """Guards against instances that get a message twice or not at all."""
    all_members = members_of(size)
    received_by, _ = send_message(all_members, all_members[0])
    expected = [member.instance_id for member in all_members[1:]]
    assert sorted(received_by) == sorted(expected)


@pytest.mark.parametrize('size', [90, 300])
def test_no_instance_sends_a_burst(size):
    """Guards against streams delayed by broadcasts on a slow link."""
    all_members = members_of(size)
    _, sends_max = send_message(all_members, all_members[0])
    assert sends_max <= 36


def test_few_messages_cross_zones():
    """Guards against traffic between zones that grows with each instance."""
    all_members = members_of(90)
    hops = groups_of(all_members[1:]).plan(random.Random(1))
    hosts = {m.host: m for m in all_members}
    crossing = [h for h in hops if hosts[h.host].zone != all_members[0].zone]
    assert len(crossing) <= 6


def test_dead_relays_lose_single_messages_only():
    """Guards against instances that a dead relay cuts off permanently."""
    all_members = members_of(90)
    dead = {f'node-{n}' for n in range(40, 55)}
    reached = set()
    for seed in range(8):
        reached |= set(
            send_message(all_members, all_members[0], dead, seed)[0]
        )
    alive = {m.instance_id for m in all_members[1:]} - dead
    assert alive <= reached


def test_groups_follow_joins_and_leaves():
    """Guards against messages to members that left or missed by new ones."""
    all_members = members_of(90)
    groups = groups_of(all_members[1:80])
    groups.plan(random.Random(1))
    for member in all_members[80:]:
        groups.add(member)
    for member in all_members[1:20]:
        groups.remove(member.instance_id)
    received_by = set()
    for hop in groups.plan(random.Random(1)):
        zone = next(m.zone for m in all_members if m.host == hop.host)
        received_by |= {
            m.instance_id for m in groups.group_members(zone, hop.group)
        }
    assert received_by == {member.instance_id for member in all_members[20:]}
