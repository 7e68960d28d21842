"""The state machine of the membership protocol, without I/O."""

from collections.abc import Iterable
import math
import random

import attrs

from dotterelweir_core.membership import joining
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module
from dotterelweir_core.membership import probes
from dotterelweir_core.membership import protocol_state as state_module
from dotterelweir_core.targets import model

ALIVE = messages.MemberState.ALIVE
SUSPECT = messages.MemberState.SUSPECT
LEFT = messages.MemberState.LEFT
Kind = messages.Kind


class Membership:
    """Failure detection and dissemination of one instance.

    Times are in monotonic seconds. ``leave``, ``tick`` and ``receive`` return
    effects, which the caller carries out in order.
    """

    def __init__(
        self,
        own_member: messages.Member,
        options: options_module.Options,
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Creates a group of this instance alone.

        Args:
            own_member: Record of this instance; its incarnation must exceed
                that of earlier runs, so that their records do not take
                precedence.
            options: Parameters of the protocol.
            rng: Random source.
            now_s: The time.
        """
        self._protocol_state = state_module.ProtocolState(
            own_member, options, rng, now_s
        )
        self._prober = probes.Prober(self._protocol_state, now_s)
        self._joiner = joining.Joiner(self._protocol_state, now_s)
        self._options = options
        self._report_due_s = now_s + rng.uniform(0.0, options.report_period_s)
        self._urgent_due_s = math.inf

    # Queries.

    @property
    def own_member(self) -> messages.Member:
        """The record of this instance."""
        return self._protocol_state.own_member

    def members(self) -> tuple[messages.Member, ...]:
        """Returns the records of all other instances, whatever their state."""
        return self._protocol_state.table.all()

    def live_ids(self, zone: str = '') -> tuple[str, ...]:
        """Returns the names of live instances.

        This instance is included unless it has left.

        Args:
            zone: Zone of the instances; all zones if empty.
        """
        own = self._protocol_state.own_member
        table = self._protocol_state.table
        names = [
            name
            for name in table.live()
            if not zone or table.get(name).zone == zone
        ]
        if own.state == ALIVE and zone in ('', own.zone):
            names.append(own.member_id)
        return tuple(names)

    def leaving(self) -> tuple[messages.Leaving, ...]:
        """Returns all known leaving notices."""
        return self._protocol_state.disseminator.leaving

    def peers_ahead(self, offset: int) -> tuple[messages.Member, ...]:
        """Returns the live members with a higher offset, highest first.

        Args:
            offset: Configuration offset that the members exceed.
        """
        return self._protocol_state.peers_ahead(offset)

    def next_wakeup_s(self) -> float:
        """Returns when ``tick`` has to run next, in monotonic seconds."""
        return min(
            self._prober.due_s,
            self._joiner.due_s,
            self._report_due_s,
            self._urgent_due_s,
        )

    # Commands.

    def set_contacts(self, contacts: Iterable[options_module.Contact]) -> None:
        """Sets the addresses of possible peers: instance list and seeds."""
        self._joiner.set_contacts(contacts)

    def set_offset(self, offset: int) -> None:
        """Sets the configuration offset that this instance has applied."""
        self._protocol_state.set_offset(offset)

    def announce_leaving(
        self, target_id: str, incarnation: int, now_s: float
    ) -> None:
        """Announces to peers that an incarnation of a target is leaving."""
        notice = messages.Leaving(target_id, incarnation)
        if self._protocol_state.disseminator.add_leaving(notice, now_s):
            self._schedule_urgent(now_s)

    def announce_report(self, report: model.LoadReport, now_s: float) -> None:
        """Queues a load report for peers in the zone of this instance."""
        self._protocol_state.disseminator.add_own_report(report, now_s)

    def leave(self, now_s: float) -> list[options_module.Effect]:
        """Leaves the group and notifies peers at once."""
        protocol_state = self._protocol_state
        protocol_state.own_member = attrs.evolve(
            protocol_state.own_member, state=LEFT
        )
        self._joiner.stop()
        self._prober.stop()
        for member in protocol_state.table.sample(
            protocol_state.rng, 2 * self._options.fanout
        ):
            protocol_state.send(member, Kind.GOSSIP, now_s)
        return protocol_state.take_effects()

    def tick(self, now_s: float) -> list[options_module.Effect]:
        """Sends what is due and handles timeouts."""
        if self._urgent_due_s <= now_s:
            self._urgent_due_s = math.inf
            self._send_urgent(now_s)
        self._prober.advance(now_s)
        self._joiner.advance(now_s)
        if self._report_due_s <= now_s:
            self._report_due_s = now_s + self._options.report_period_s
            self._protocol_state.drop_expired(now_s)
            self._send_reports(now_s)
        return self._protocol_state.take_effects()

    def receive(
        self, datagram: messages.Datagram, host: str, port: int, now_s: float
    ) -> list[options_module.Effect]:
        """Handles a received datagram.

        Args:
            datagram: The datagram; its origin has been verified.
            host: IP address of the sender.
            port: Port of the sender.
            now_s: The time.
        """
        protocol_state = self._protocol_state
        if datagram.sender_id == protocol_state.own_member.member_id:
            return []
        protocol_state.last_received_s = now_s
        sender = protocol_state.table.get(datagram.sender_id)
        sender_trusted = sender is None or sender.state <= SUSPECT
        for member in datagram.members:
            # Unknown members that are dead or left are skipped; otherwise
            # instances would learn dropped records again from pages.
            if (
                datagram.kind is Kind.SYNC
                and member.state > SUSPECT
                and protocol_state.table.get(member.member_id) is None
            ):
                continue
            # A sender that is dead here may be cut off in one direction, so
            # its suspicions and deaths of others are not trusted. Records of
            # this instance are always merged, because they may have to be
            # refuted.
            if (
                sender_trusted
                or member.state in (ALIVE, LEFT)
                or member.member_id == protocol_state.own_member.member_id
            ):
                # Most members already have the records of a page.
                disseminate = datagram.kind is not Kind.SYNC
                protocol_state.merge(member, now_s, disseminate)
        for notice in datagram.leaving:
            if protocol_state.disseminator.add_leaving(notice, now_s):
                self._schedule_urgent(now_s)
                protocol_state.effects.append(
                    options_module.TargetLeaving(
                        notice.target_id, notice.incarnation
                    )
                )
        for report in datagram.reports:
            if protocol_state.disseminator.add_peer_report(report, now_s):
                protocol_state.effects.append(
                    options_module.ReportReceived(report)
                )
        protocol_state.record_offsets(datagram)
        self._respond(datagram, host, port, now_s)
        return protocol_state.take_effects()

    def _respond(
        self, datagram: messages.Datagram, host: str, port: int, now_s: float
    ) -> None:
        contact = options_module.Contact(host, port, datagram.sender_id)
        # A suspicion or death of this instance is refuted at once, without
        # waiting for the next probe between this instance and the sender.
        refutation_due = any(
            member.member_id == self._protocol_state.own_member.member_id
            and member.state != ALIVE
            for member in datagram.members
        )
        send_own = refutation_due or datagram.sender_unknown
        reply = Kind.GOSSIP if send_own else None
        match datagram.kind:
            case Kind.PING:
                reply = Kind.ACK
            case Kind.ACK:
                self._prober.handle_ack(datagram, now_s)
            case Kind.PING_REQUEST:
                self._prober.relay(datagram, contact, now_s)
            case Kind.SYNC_REQUEST:
                self._joiner.serve_page(datagram, contact, now_s)
            case Kind.SYNC:
                self._joiner.handle_page(datagram, contact, now_s)
        self._joiner.reconcile_leaving(datagram, contact, now_s)
        if reply is not None:
            self._protocol_state.send_to(
                contact,
                datagram.incarnation,
                reply,
                now_s,
                include_own=send_own,
                probe_id=datagram.probe_id,
            )

    def _schedule_urgent(self, now_s: float) -> None:
        due_s = now_s + self._options.urgent_delay_s
        self._urgent_due_s = min(self._urgent_due_s, due_s)

    def _send_urgent(self, now_s: float) -> None:
        protocol_state = self._protocol_state
        peers = protocol_state.table.sample(
            protocol_state.rng, self._options.fanout
        )
        for member in peers:
            protocol_state.send(member, Kind.GOSSIP, now_s)
        if peers and protocol_state.disseminator.updates.has_unsent_leaving:
            self._schedule_urgent(now_s)

    def _send_reports(self, now_s: float) -> None:
        protocol_state = self._protocol_state
        for member in protocol_state.table.sample(
            protocol_state.rng, 1, zone=protocol_state.own_member.zone
        ):
            datagram = protocol_state.disseminator.with_reports(
                protocol_state.empty_datagram(Kind.GOSSIP), now_s
            )
            if datagram is not None:
                protocol_state.effects.append(
                    options_module.Send(member.host, member.port, datagram)
                )
