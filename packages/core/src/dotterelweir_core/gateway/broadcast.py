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

    def contains(self, instance_id: str) -> bool:
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


class Roster:
    """All other instances, and the groups that they form in their zones.

    Groups are kept until an instance joins or leaves: a large deployment
    sends and passes on a hundred messages a second.

    Attributes:
        hosts: Addresses of the instances.
    """

    def __init__(self) -> None:
        self.hosts: set[str] = set()
        self._members: dict[str, Member] = {}
        self._groups: dict[str, dict[Group, list[Member]]] = {}
        self._by_group: dict[tuple[str, Group], list[Member]] = {}

    def add(self, member: Member) -> None:
        """Adds an instance, or changes where it is."""
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
        """Plans a message to all members.

        Args:
            rng: Random source of the relays; another one each time, so that
                a dead relay loses single messages only.
        """
        if len(self._members) <= GROUP_SIZE:
            return [Hop(one.host, None) for one in self._members.values()]
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
        """To whom a relay passes a message on.

        Args:
            zone: The relay's zone.
            group: The group that the message names.
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
