"""The table of members and the rule that merges their records."""

import random

from dotterelweir_core.membership import messages

ALIVE = messages.MemberState.ALIVE
SUSPECT = messages.MemberState.SUSPECT
DEAD = messages.MemberState.DEAD


class MemberTable:
    """Records of all other instances that this one knows of.

    Attributes:
        suspected_since_s: When the current suspicion of each suspected member
            began, by its name.
    """

    def __init__(self) -> None:
        self._members: dict[str, messages.Member] = {}
        self._changed_s: dict[str, float] = {}
        # Cached lists of names; None if they have to be rebuilt.
        self._live: list[str] | None = None
        self._dead: list[str] | None = None
        self._probe_order: list[str] = []
        self.suspected_since_s: dict[str, float] = {}

    def get(self, member_id: str) -> messages.Member | None:
        """Returns the record of a member, or None if it is not known."""
        return self._members.get(member_id)

    def all(self) -> tuple[messages.Member, ...]:
        """Returns all records, whatever their state."""
        return tuple(self._members.values())

    def live(self) -> list[str]:
        """Returns the names of all members that are alive or suspected."""
        if self._live is None:
            self._live = [
                member.member_id
                for member in self._members.values()
                if member.state <= SUSPECT
            ]
        return self._live

    def dead(self) -> list[str]:
        """Returns the names of members that are dead and did not leave."""
        if self._dead is None:
            self._dead = [
                member.member_id
                for member in self._members.values()
                if member.state == DEAD
            ]
        return self._dead

    def merge(self, member: messages.Member, now_s: float) -> bool:
        """Stores a record, unless the known one has precedence.

        Returns:
            Whether the record was stored.
        """
        known = self._members.get(member.member_id)
        if known is not None and known.precedence >= member.precedence:
            return False
        name = member.member_id
        self._members[name] = member
        self._changed_s[name] = now_s
        if member.state == SUSPECT:
            self.suspected_since_s.setdefault(name, now_s)
            if known is not None and known.incarnation < member.incarnation:
                self.suspected_since_s[name] = now_s
        else:
            self.suspected_since_s.pop(name, None)
        if known is None or (known.state <= SUSPECT) != (
            member.state <= SUSPECT
        ):
            self._live = None
        self._dead = None
        return True

    def next_to_probe(self, rng: random.Random) -> messages.Member | None:
        """Returns the next member to probe, or None if none is live.

        Each round probes all live members in a random order, so that the time
        until a member is probed again is bounded.
        """
        for _ in range(2):
            while self._probe_order:
                member = self._members.get(self._probe_order.pop())
                if member is not None and member.state <= SUSPECT:
                    return member
            self._probe_order = list(self.live())
            rng.shuffle(self._probe_order)
        return None

    def sample(
        self,
        rng: random.Random,
        count: int,
        excluded_id: str = '',
        zone: str = '',
    ) -> list[messages.Member]:
        """Chooses random live members.

        Args:
            rng: Random source.
            count: Maximum number of members.
            excluded_id: Name of a member that is not chosen.
            zone: Zone of the members; any if empty.
        """
        names = self.live()
        if zone:
            names = [n for n in names if self._members[n].zone == zone]
        chosen = rng.sample(names, min(count + 1, len(names)))
        return [self._members[n] for n in chosen if n != excluded_id][:count]

    def drop_expired(self, before_s: float) -> None:
        """Drops dead and left members whose record is too old.

        Args:
            before_s: Time before which the record must have changed last.
        """
        for name, member in list(self._members.items()):
            if member.state > SUSPECT and self._changed_s[name] < before_s:
                del self._members[name]
                del self._changed_s[name]
                self._dead = None
