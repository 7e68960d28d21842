"""State that the parts of the membership protocol share in one instance."""

import random

import attrs

from dotterelweir_core.membership import dissemination
from dotterelweir_core.membership import members
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module

# An instance that has received no datagram for this long is considered to be
# cut off: it does not disseminate suspicions and deaths of others.
ISOLATED_PERIODS = 3.0

SUSPECT = messages.MemberState.SUSPECT
DEAD = messages.MemberState.DEAD
LEFT = messages.MemberState.LEFT


class ProtocolState:
    """Records, offsets and the outgoing effects of one instance.

    Args:
        own_member: The record of this instance.
        options: Parameters of the protocol.
        rng: Random source.
        now_s: The time.

    Attributes:
        own_member: The record of this instance.
        options: Parameters of the protocol.
        rng: Random source.
        table: Records of the other members.
        disseminator: Selects what datagrams to peers carry.
        last_received_s: When the last datagram was received.
        effects: Effects that the caller has yet to carry out.
        healed_s: When a dead member was last found alive, which indicates
            that a partition has healed; None if that never happened.
    """

    def __init__(
        self,
        own_member: messages.Member,
        options: options_module.Options,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.own_member = own_member
        self.options = options
        self.rng = rng
        self.table = members.MemberTable()
        self.disseminator = dissemination.Disseminator(options, rng)
        self.last_received_s = now_s
        self.effects: list[options_module.Effect] = []
        self.healed_s: float | None = None
        self._offset = -1
        # Highest known configuration offset and a member that has it.
        self._best = (-1, '')
        self._peer_offsets: dict[str, int] = {}
        self._probe_id = rng.getrandbits(31)

    def isolated(self, now_s: float) -> bool:
        """Whether this instance seems to be cut off from all others."""
        limit_s = ISOLATED_PERIODS * self.options.period_s
        return now_s - self.last_received_s > limit_s

    def merge(
        self, member: messages.Member, now_s: float, disseminate: bool
    ) -> None:
        """Merges a record, and refutes one about this instance.

        Args:
            member: The record.
            now_s: The time.
            disseminate: Whether a new record is queued for other members.
        """
        own = self.own_member
        if member.member_id == own.member_id:
            if member.precedence > own.precedence and own.state != LEFT:
                self.own_member = attrs.evolve(
                    own, incarnation=member.incarnation + 1
                )
                self.disseminator.updates.add(self.own_member, refutes=True)
            return
        known = self.table.get(member.member_id)
        if not self.table.merge(member, now_s):
            if known.incarnation > member.incarnation and member.state:
                # Some member still suspects an old incarnation.
                self.disseminator.updates.add(known, refutes=True)
            return
        if known is not None and known.state == DEAD and member.state < DEAD:
            self.healed_s = now_s
        if disseminate:
            refutes = known is not None and known.state == SUSPECT
            self.disseminator.updates.add(member, refutes)
        self.effects.append(options_module.MemberChanged(member))

    def set_offset(self, offset: int) -> None:
        """Sets the configuration offset that this instance has applied."""
        self._offset = offset
        if offset >= self._best[0]:
            self._best = (offset, self.own_member.member_id)

    def record_offsets(self, datagram: messages.Datagram) -> None:
        """Stores the configuration offsets of a received datagram."""
        self._peer_offsets[datagram.sender_id] = datagram.offset
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
        """Returns the live members with a higher offset, highest first.

        Args:
            offset: Configuration offset that the members exceed.
        """
        offsets = dict(self._peer_offsets)
        best_offset, best_holder = self._best
        offsets[best_holder] = max(best_offset, offsets.get(best_holder, -1))
        ahead = sorted(
            (-peer_offset, name)
            for name, peer_offset in offsets.items()
            if peer_offset > offset
        )
        found = [self.table.get(name) for _, name in ahead]
        return tuple(m for m in found if m is not None and m.state <= SUSPECT)

    def drop_expired(self, now_s: float) -> None:
        """Drops records, notices, reports and offsets that are too old."""
        self.disseminator.drop_expired(now_s)
        self.table.drop_expired(now_s - self.options.retention_s)
        for name in list(self._peer_offsets):
            if self.table.get(name) is None:
                del self._peer_offsets[name]

    def next_probe_id(self) -> int:
        """Returns a new number that matches an ACK to its probe."""
        self._probe_id = (self._probe_id + 1) % 2**32
        return self._probe_id

    def empty_datagram(
        self, kind: messages.Kind, **fields: object
    ) -> messages.Datagram:
        """Returns a datagram without records, notices and reports.

        Args:
            kind: Kind of the datagram.
            **fields: Other fields of the datagram.
        """
        return messages.Datagram(
            kind,
            self.own_member.member_id,
            self.own_member.incarnation,
            self._offset,
            best_offset=self._best[0],
            best_holder=self._best[1],
            leaving_digest=self.disseminator.leaving_digest,
            **fields,
        )

    def send(
        self,
        member: messages.Member,
        kind: messages.Kind,
        now_s: float,
        **fields: object,
    ) -> None:
        """Sends a datagram with queued updates to a member.

        Args:
            member: The receiver.
            kind: Kind of the datagram.
            now_s: The time.
            **fields: Other fields of the datagram.
        """
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
        include_own: bool = False,
        **fields: object,
    ) -> None:
        """Sends a datagram with queued updates to an address.

        Args:
            contact: Address of the receiver, and its name if it is known.
            incarnation: Incarnation that the receiver has at least; 0 if it
                is not known.
            kind: Kind of the datagram.
            now_s: The time.
            include_own: Whether the record of this instance is included.
            **fields: Other fields of the datagram.
        """
        known = self.table.get(contact.member_id)
        receiver_unknown = known is None or known.incarnation < incarnation
        required = []
        if not receiver_unknown and known.state in (SUSPECT, DEAD):
            # Lets the receiver refute its suspicion or death. It may have
            # dropped the record of this instance meanwhile.
            required.append(known)
            include_own = True
        if include_own or self.own_member.state == LEFT:
            required.append(self.own_member)
        outgoing = self.disseminator.with_updates(
            self.empty_datagram(
                kind, sender_unknown=receiver_unknown, **fields
            ),
            required,
            len(self.table.live()),
            now_s,
        )
        self.effects.append(
            options_module.Send(contact.host, contact.port, outgoing)
        )

    def take_effects(self) -> list[options_module.Effect]:
        """Returns the pending effects and clears them."""
        effects, self.effects = self.effects, []
        return effects
