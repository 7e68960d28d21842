"""Messages to all instances of deployments of several sizes."""

import random

import pytest

from dotterelweir_core.gateway import spreading


def members_of(size):
    return [
        spreading.Member(f'node-{n}', f'10.0.{n % 3}.{n}', f'zone-{n % 3}')
        for n in range(size)
    ]


def roster_of(members):
    roster = spreading.Roster()
    for member in members:
        roster.add(member)
    return roster


def spread(everyone, origin, dead=frozenset(), seed=1):
    """Sends one message; gives who got it and the most sends of one."""
    rng = random.Random(seed)
    by_host = {member.host: member for member in everyone}
    got, sends = [], {}
    others = [member for member in everyone if member != origin]
    hops = roster_of(others).plan(rng)
    sends[origin.host] = len(hops)
    for hop in hops:
        relay = by_host[hop.host]
        if relay.instance_id in dead:
            continue
        got.append(relay.instance_id)
        if hop.group is None:
            continue
        known = [m for m in everyone if m not in (relay, origin)]
        next_ones = roster_of(known).of_group(relay.zone, hop.group)
        sends[relay.host] = len(next_ones)
        got += [m.instance_id for m in next_ones]
    return got, max(sends.values())


@pytest.mark.parametrize('size', [2, 6, 13, 14, 90, 300, 400])
def test_a_message_reaches_everyone_once(size):
    """Guards against instances that are left out or told twice."""
    everyone = members_of(size)
    got, _ = spread(everyone, everyone[0])
    expected = [member.instance_id for member in everyone[1:]]
    assert sorted(got) == sorted(expected)


@pytest.mark.parametrize('size', [90, 300])
def test_nobody_sends_a_burst(size):
    """Guards against streams that wait behind messages on a slow link."""
    everyone = members_of(size)
    _, most = spread(everyone, everyone[0])
    assert most <= 36


def test_few_messages_cross_zones():
    """Guards against bytes between zones that grow with every instance."""
    everyone = members_of(90)
    hops = roster_of(everyone[1:]).plan(random.Random(1))
    hosts = {m.host: m for m in everyone}
    crossing = [h for h in hops if hosts[h.host].zone != everyone[0].zone]
    assert len(crossing) <= 6


def test_dead_relays_lose_single_messages_only():
    """Guards against instances that a dead relay cuts off for good."""
    everyone = members_of(90)
    dead = {f'node-{n}' for n in range(40, 55)}
    reached = set()
    for seed in range(8):
        reached |= set(spread(everyone, everyone[0], dead, seed)[0])
    alive = {m.instance_id for m in everyone[1:]} - dead
    assert alive <= reached


def test_groups_follow_who_is_there():
    """Guards against messages to members that left, or none to new ones."""
    everyone = members_of(90)
    roster = roster_of(everyone[1:80])
    roster.plan(random.Random(1))
    for member in everyone[80:]:
        roster.add(member)
    for member in everyone[1:20]:
        roster.remove(member.instance_id)
    got = set()
    for hop in roster.plan(random.Random(1)):
        zone = next(m.zone for m in everyone if m.host == hop.host)
        got |= {m.instance_id for m in roster.of_group(zone, hop.group)}
    assert got == {member.instance_id for member in everyone[20:]}
