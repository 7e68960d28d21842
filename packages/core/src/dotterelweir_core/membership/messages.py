"""Messages between instances and bounds on their encoded size.

The sizes bound the packed Cap'n Proto form: a word takes a tag byte and its
bytes that are not zero, and one byte more if none of them is zero.
"""

import enum

import attrs

from dotterelweir_core.targets import model

# Fits one frame of the smallest path MTU that IPv6 guarantees (1,280 bytes)
# with its headers.
DATAGRAM_MAX_BYTES = 1200
# Version byte and digest.
PREFIX_BYTES = 17
NAME_MAX_BYTES = 64

_POINTER_BYTES = 5
_WORD_BYTES = 10


class MemberState(enum.IntEnum):
    """State of a member; with equal incarnations the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """What a datagram asks for."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    GOSSIP = 3
    SYNC_REQUEST = 4
    SYNC = 5


@attrs.frozen
class Member:
    """One instance as others know it.

    Attributes:
        member_id: Name of the instance.
        zone: Availability zone.
        host: IP address.
        port: Port of the datagrams and of the peer HTTP endpoint.
        incarnation: Rises at each start and at each refutation.
        state: State in that incarnation.
    """

    member_id: str
    zone: str
    host: str
    port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int]:
        """The record with the greater precedence is the valid one."""
        return (self.incarnation, int(self.state))


@attrs.frozen
class Leaving:
    """An incarnation of a target that is leaving.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation that is leaving.
        age_s: Time since the first instance learned it, rounded up, so that
            all forget it at about the same time and none learns it again.
    """

    target_id: str
    incarnation: int
    age_s: int = attrs.field(default=0, eq=False)


@attrs.frozen
class Datagram:
    """One message to one peer.

    Attributes:
        kind: What it asks for.
        sender_id: Name of the sender.
        incarnation: Incarnation of the sender.
        offset: Configuration offset of the sender; -1 for none.
        probe_id: Ties an ACK to its PING or PING_REQUEST.
        sender_unknown: The sender has no record of the receiver and wants
            it.
        subject: The member that a PING_REQUEST is about.
        cursor: Where a SYNC_REQUEST starts or a SYNC goes on; empty for
            the start and for the end.
        best_offset: Highest configuration offset the sender knows of.
        best_holder: Name of a member that has it.
        leaving_digest: Digest of the leaving targets the sender knows of.
        members: Records of members.
        leaving: Leaving targets.
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
    """The part of a load report that instances pass on to each other."""
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
    """Upper bound of the encoded size of a record."""
    return (
        2 * _WORD_BYTES
        + 3 * _POINTER_BYTES
        + _text_bytes(member.member_id)
        + _text_bytes(member.zone)
        + _text_bytes(member.host)
    )


def leaving_bytes(leaving: Leaving) -> int:
    """Upper bound of the encoded size of news of a leaving target."""
    return 2 * _WORD_BYTES + _POINTER_BYTES + _text_bytes(leaving.target_id)


def report_bytes(report: model.LoadReport) -> int:
    """Upper bound of the encoded size of a compact load report."""
    # Six data words, of which four hold small numbers.
    return 4 * _WORD_BYTES + _POINTER_BYTES + _text_bytes(report.target_id)


def header_bytes(datagram: Datagram) -> int:
    """Upper bound of the size of a datagram without its lists."""
    size = PREFIX_BYTES + 9 * _WORD_BYTES + 11 * _POINTER_BYTES
    size += _text_bytes(datagram.sender_id)
    size += _text_bytes(datagram.cursor)
    size += _text_bytes(datagram.best_holder)
    if datagram.subject is not None:
        size += member_bytes(datagram.subject)
    return size
