"""What the parts of the membership protocol share in one instance."""

import random

import attrs

from dotterelweir_core.membership import dissemination
from dotterelweir_core.membership import members
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module

# Without any datagram for this long an instance takes itself to be cut off
# and tells nobody that others are suspected or dead.
ISOLATED_PERIODS = 3.0

SUSPECT = messages.MemberState.SUSPECT
DEAD = messages.MemberState.DEAD
LEFT = messages.MemberState.LEFT


class Node:
    """Records, offsets and the outgoing effects of one instance.

    Attributes:
        own: The record of this instance.
        options: Numbers of the protocol.
        rng: Random source.
        table: The other members.
        told: What is told to peers.
        received_s: When the last datagram came.
        effects: What the caller is to carry out.
        healed_s: When a dead member was last found alive.
    """

    def __init__(
        self,
        own: messages.Member,
        options: options_module.Options,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.own = own
        self.options = options
        self.rng = rng
        self.table = members.MemberTable()
        self.told = dissemination.Dissemination(options, rng)
        self.received_s = now_s
        self.effects: list[options_module.Effect] = []
        self.healed_s: float | None = None
        self._offset = -1
        self._best = (-1, '')
        self._offsets: dict[str, int] = {}
        self._probe_id = rng.getrandbits(31)

    def isolated(self, now_s: float) -> bool:
        """Whether this instance seems to be cut off from all others."""
        limit_s = ISOLATED_PERIODS * self.options.period_s
        return now_s - self.received_s > limit_s

    def merge(
        self, member: messages.Member, now_s: float, spread: bool
    ) -> None:
        """Takes a record and refutes one about this instance itself.

        Args:
            member: The record.
            now_s: The time.
            spread: Whether others are told of it.
        """
        own = self.own
        if member.member_id == own.member_id:
            if member.precedence > own.precedence and own.state != LEFT:
                self.own = attrs.evolve(
                    own, incarnation=member.incarnation + 1
                )
                self.told.updates.add(self.own, refutes=True)
            return
        known = self.table.get(member.member_id)
        if not self.table.merge(member, now_s):
            if known.incarnation > member.incarnation and member.state:
                # Somebody still suspects an old incarnation.
                self.told.updates.add(known, refutes=True)
            return
        if known is not None and known.state == DEAD and member.state < DEAD:
            self.healed_s = now_s
        if spread:
            refutes = known is not None and known.state == SUSPECT
            self.told.updates.add(member, refutes)
        self.effects.append(options_module.MemberChanged(member))

    def set_offset(self, offset: int) -> None:
        """Sets the configuration offset that this instance has folded."""
        self._offset = offset
        if offset >= self._best[0]:
            self._best = (offset, self.own.member_id)

    def note_offsets(self, datagram: messages.Datagram) -> None:
        """Takes the offsets that a datagram tells of."""
        self._offsets[datagram.sender_id] = datagram.offset
        for offset, holder in (
            (datagram.offset, datagram.sender_id),
            (datagram.best_offset, datagram.best_holder),
        ):
            if holder and offset > self._best[0]:
                self._best = (offset, holder)
                if offset > self._offset:
                    self.effects.append(
                        options_module.PeerAhead(holder, offset)
                    )

    def peers_ahead(self, offset: int) -> tuple[messages.Member, ...]:
        """Live members with a higher configuration offset, highest first."""
        offsets = dict(self._offsets)
        best_offset, best_holder = self._best
        offsets[best_holder] = max(best_offset, offsets.get(best_holder, -1))
        ahead = sorted(
            (-at, name) for name, at in offsets.items() if at > offset
        )
        found = [self.table.get(name) for _, name in ahead]
        return tuple(m for m in found if m is not None and m.state <= SUSPECT)

    def forget(self, now_s: float) -> None:
        """Drops what is past its retention."""
        self.told.forget(now_s)
        self.table.forget(now_s - self.options.retention_s)
        for name in list(self._offsets):
            if self.table.get(name) is None:
                del self._offsets[name]

    def next_probe_id(self) -> int:
        """A number that ties an ACK to its probe."""
        self._probe_id = (self._probe_id + 1) % 2**32
        return self._probe_id

    def header(
        self, kind: messages.Kind, **fields: object
    ) -> messages.Datagram:
        """A datagram without payload."""
        return messages.Datagram(
            kind,
            self.own.member_id,
            self.own.incarnation,
            self._offset,
            best_offset=self._best[0],
            best_holder=self._best[1],
            leaving_digest=self.told.leaving_digest,
            **fields,
        )

    def send(
        self,
        member: messages.Member,
        kind: messages.Kind,
        now_s: float,
        **fields: object,
    ) -> None:
        """Sends a datagram with payload to a member."""
        self.send_to(
            options_module.Contact(member.host, member.port, member.member_id),
            member.incarnation,
            kind,
            now_s,
            **fields,
        )

    def send_to(
        self,
        contact: options_module.Contact,
        incarnation: int,
        kind: messages.Kind,
        now_s: float,
        introduce: bool = False,
        **fields: object,
    ) -> None:
        """Sends a datagram with payload to an address.

        Args:
            contact: Address, and name if it is known.
            incarnation: Incarnation that the receiver is known to have.
            kind: What the datagram asks for.
            now_s: The time.
            introduce: Whether the record of this instance goes along.
            **fields: Other fields of the datagram.
        """
        known = self.table.get(contact.member_id)
        unknown = known is None or known.incarnation < incarnation
        first = []
        if not unknown and known.state in (SUSPECT, DEAD):
            # Lets the receiver refute; it may not know this instance any
            # more either.
            first.append(known)
            introduce = True
        if introduce or self.own.state == LEFT:
            first.append(self.own)
        filled = self.told.fill(
            self.header(kind, sender_unknown=unknown, **fields),
            first,
            len(self.table.usable()),
            now_s,
        )
        self.effects.append(
            options_module.Send(contact.host, contact.port, filled)
        )

    def drain(self) -> list[options_module.Effect]:
        """Hands the effects over."""
        effects, self.effects = self.effects, []
        return effects
