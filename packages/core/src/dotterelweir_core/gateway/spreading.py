"""How a message reaches all instances of a large deployment.

Answers the load of many instances on slow links: one that sent each message
to all others by itself would fill its link for tens of milliseconds, and
the events of its streams would wait. It sends the message to one member of
each group instead, who passes it on within the group. Groups lie within an
availability zone, so that few bytes cross between zones.
"""

import random
import zlib

import attrs

# Members of a group; also the most messages that a relay sends for one.
GROUP_SIZE = 12


@attrs.frozen
class Member:
    """An instance that gets messages.

    Attributes:
        instance_id: Its name.
        host: Its IP address.
        zone: Its availability zone.
    """

    instance_id: str
    host: str
    zone: str


@attrs.frozen
class Group:
    """Names a group within the zone of whoever gets the message.

    Attributes:
        index: Its number.
        count: Groups in the zone.
    """

    index: int
    count: int

    def holds(self, instance_id: str) -> bool:
        """Whether an instance of the zone belongs to the group."""
        return _group_index(instance_id, self.count) == self.index


@attrs.frozen
class Hop:
    """One message to send.

    Attributes:
        host: Where it goes.
        group: Group to which the receiver passes it on; None for none.
    """

    host: str
    group: Group | None


def plan(members: list[Member], rng: random.Random) -> list[Hop]:
    """Plans a message to all members.

    Args:
        members: All other instances.
        rng: Random source of the relays; another one each time, so that a
            dead relay loses single messages only.
    """
    if len(members) <= GROUP_SIZE:
        return [Hop(member.host, None) for member in members]
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    hops = []
    for zone_members in by_zone.values():
        count = -(-len(zone_members) // GROUP_SIZE)
        held: dict[int, list[Member]] = {}
        for member in zone_members:
            index = _group_index(member.instance_id, count)
            held.setdefault(index, []).append(member)
        for index, group_members in held.items():
            relay = rng.choice(group_members)
            hops.append(Hop(relay.host, Group(index, count)))
    return hops


def passed_on(members: list[Member], zone: str, group: Group) -> list[Member]:
    """To whom a relay passes a message on.

    Args:
        members: All other instances that the relay knows.
        zone: The relay's zone.
        group: The group that the message names.
    """
    return [
        member
        for member in members
        if member.zone == zone and group.holds(member.instance_id)
    ]


def _group_index(instance_id: str, count: int) -> int:
    return zlib.crc32(instance_id.encode()) % count
