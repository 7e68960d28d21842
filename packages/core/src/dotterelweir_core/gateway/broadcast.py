"""Broadcast of messages to all instances, over relays if there are many.

With many instances on slow links, an instance that sent each message to all
others itself would fill its link for tens of milliseconds and delay the
events of its streams. It sends the message to one member of each group
instead, the relay, which forwards it to the other members. All members of a
group are in the same availability zone, so that little traffic crosses zones.
"""

import random
import zlib

import attrs

# Nominal size of a group, and so the number of messages that a relay sends for
# one it gets; hashing makes some groups larger. Up to this many other
# instances get messages directly, without relays.
GROUP_SIZE = 12


@attrs.frozen
class Member:
    """An instance that receives messages.

    Attributes:
        instance_id: Id of the instance.
        host: IP address of the instance.
        zone: Availability zone of the instance.
    """

    instance_id: str
    host: str
    zone: str


@attrs.frozen
class Group:
    """Identifies a group within the availability zone of the receiver.

    Attributes:
        index: Number of the group, from 0.
        count: Number of groups in the zone.
    """

    index: int
    count: int

    def contains(self, instance_id: str) -> bool:
        """Whether an instance of the zone belongs to the group."""
        return _group_index(instance_id, self.count) == self.index


@attrs.frozen
class Hop:
    """First hop of a message.

    Attributes:
        host: IP address of the receiver.
        group: Group to which the receiver forwards the message; None if it
            does not forward it.
    """

    host: str
    group: Group | None


class BroadcastGroups:
    """All other instances, divided into groups within their zones.

    The groups are cached until an instance joins or leaves, because an
    instance of a large deployment sends and forwards a hundred messages per
    second.

    Attributes:
        hosts: IP addresses of the instances.
    """

    def __init__(self) -> None:
        self.hosts: set[str] = set()
        self._members: dict[str, Member] = {}
        self._groups: dict[str, dict[Group, list[Member]]] = {}
        self._by_group: dict[tuple[str, Group], list[Member]] = {}

    def add(self, member: Member) -> None:
        """Adds an instance or updates its address and zone."""
        if self._members.get(member.instance_id) != member:
            self._members[member.instance_id] = member
            self._clear_groups()

    def remove(self, instance_id: str) -> None:
        """Removes an instance."""
        if self._members.pop(instance_id, None) is not None:
            self._clear_groups()

    def _clear_groups(self) -> None:
        self.hosts = {member.host for member in self._members.values()}
        self._groups.clear()
        self._by_group.clear()

    def plan(self, rng: random.Random) -> list[Hop]:
        """Returns the first hops of a message to all members.

        The relays are drawn anew for each message, so that a dead relay
        loses single messages only.

        Args:
            rng: Random source.
        """
        if len(self._members) <= GROUP_SIZE:
            return [
                Hop(member.host, None) for member in self._members.values()
            ]
        if not self._groups:
            self._form_groups()
        return [
            Hop(rng.choice(members).host, group)
            for groups in self._groups.values()
            for group, members in groups.items()
        ]

    def _form_groups(self) -> None:
        by_zone: dict[str, list[Member]] = {}
        for member in self._members.values():
            by_zone.setdefault(member.zone, []).append(member)
        for zone, zone_members in by_zone.items():
            count = -(-len(zone_members) // GROUP_SIZE)
            groups = self._groups.setdefault(zone, {})
            for member in zone_members:
                group = Group(_group_index(member.instance_id, count), count)
                groups.setdefault(group, []).append(member)

    def group_members(self, zone: str, group: Group) -> list[Member]:
        """Returns the members to which a relay forwards a message.

        Args:
            zone: Availability zone of the relay.
            group: Group in the message.
        """
        members = self._by_group.get((zone, group))
        if members is None:
            members = self._by_group[zone, group] = [
                member
                for member in self._members.values()
                if member.zone == zone and group.contains(member.instance_id)
            ]
        return members


def _group_index(instance_id: str, count: int) -> int:
    return zlib.crc32(instance_id.encode()) % count
