"""Messages between instances and upper bounds of their encoded size.

The bounds apply to the packed form of Cap'n Proto: a word takes a tag byte
and its bytes that are not zero, and one byte more if none of them is zero.
"""

import enum

import attrs

from dotterelweir_core.targets import model

# Fits one frame of the smallest path MTU that IPv6 guarantees (1,280 bytes)
# with its headers.
DATAGRAM_MAX_BYTES = 1200
# Version byte and digest, which precede the packed body.
PREFIX_BYTES = 17
NAME_MAX_BYTES = 64

# Bounds of the packed size of a pointer and of a data word.
_POINTER_BYTES = 5
_WORD_BYTES = 10


class MemberState(enum.IntEnum):
    """State of a member; of equal incarnations the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """Kind of a datagram.

    PING is answered by ACK. PING_REQUEST asks the receiver to probe a third
    member. SYNC_REQUEST asks for a page of the full state, which SYNC
    carries. GOSSIP carries updates only.
    """

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    GOSSIP = 3
    SYNC_REQUEST = 4
    SYNC = 5


@attrs.frozen
class Member:
    """The record of an instance that members exchange.

    Attributes:
        member_id: Name of the instance.
        zone: Availability zone.
        host: IP address.
        port: Port of the datagrams and of the peer HTTP endpoint.
        incarnation: Number that rises at each start and each refutation.
        state: State in this incarnation.
    """

    member_id: str
    zone: str
    host: str
    port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key; of two records the one with the greater key is valid."""
        return (self.incarnation, int(self.state))


@attrs.frozen
class Leaving:
    """A leaving notice: an incarnation of a target is leaving.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation that is leaving.
        age_s: Time since the first instance learned of it, rounded up, so
            that all instances drop it at about the same time and none learns
            it again from another one.
    """

    target_id: str
    incarnation: int
    age_s: int = attrs.field(default=0, eq=False)


@attrs.frozen
class Datagram:
    """One message to one peer.

    Attributes:
        kind: Kind of the datagram.
        sender_id: Name of the sender.
        incarnation: Incarnation of the sender.
        offset: Configuration offset of the sender; -1 for none.
        probe_id: Matches an ACK to its PING or PING_REQUEST, and a SYNC to
            its SYNC_REQUEST.
        sender_unknown: Whether the sender has no current record of the
            receiver and requests it.
        subject: The member that a PING_REQUEST asks to probe.
        cursor: In a SYNC_REQUEST the item after which the page starts, in a
            SYNC the cursor of the next page; empty for the start and the
            end.
        best_offset: Highest configuration offset that the sender knows of.
        best_holder: Name of a member that has this offset.
        leaving_digest: Digest of the leaving notices that the sender has.
        members: Records of members.
        leaving: Leaving notices.
        reports: Compact load reports.
    """

    kind: Kind
    sender_id: str
    incarnation: int
    offset: int = -1
    probe_id: int = 0
    sender_unknown: bool = False
    subject: Member | None = None
    cursor: str = ''
    best_offset: int = -1
    best_holder: str = ''
    leaving_digest: int = 0
    members: tuple[Member, ...] = ()
    leaving: tuple[Leaving, ...] = ()
    reports: tuple[model.LoadReport, ...] = ()


def compact_report(report: model.LoadReport) -> model.LoadReport:
    """Returns the part of a load report that instances exchange."""
    return model.LoadReport(
        report.target_id,
        report.incarnation,
        report.state,
        report.running,
        report.waiting,
        report.memory_used_tokens,
        report.memory_total_tokens,
        round(report.measured_at_s, 3),
    )


def _text_bytes(text: str) -> int:
    length = len(text.encode())
    return length + 2 * (length // 8 + 1)


def member_bytes(member: Member) -> int:
    """Returns an upper bound of the encoded size of a member record."""
    return (
        2 * _WORD_BYTES
        + 3 * _POINTER_BYTES
        + _text_bytes(member.member_id)
        + _text_bytes(member.zone)
        + _text_bytes(member.host)
    )


def leaving_bytes(leaving: Leaving) -> int:
    """Returns an upper bound of the encoded size of a leaving notice."""
    return 2 * _WORD_BYTES + _POINTER_BYTES + _text_bytes(leaving.target_id)


def report_bytes(report: model.LoadReport) -> int:
    """Returns an upper bound of the encoded size of a compact load report."""
    # Six data words, of which four hold small numbers.
    return 4 * _WORD_BYTES + _POINTER_BYTES + _text_bytes(report.target_id)


def header_bytes(datagram: Datagram) -> int:
    """Returns an upper bound of the encoded size without the lists."""
    size = PREFIX_BYTES + 9 * _WORD_BYTES + 11 * _POINTER_BYTES
    size += _text_bytes(datagram.sender_id)
    size += _text_bytes(datagram.cursor)
    size += _text_bytes(datagram.best_holder)
    if datagram.subject is not None:
        size += member_bytes(datagram.subject)
    return size
