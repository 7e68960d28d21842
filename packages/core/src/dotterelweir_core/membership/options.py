"""Parameters of the membership protocol, and the effects that it returns."""

import attrs

from dotterelweir_core.membership import messages
from dotterelweir_core.targets import model


@attrs.frozen
class Options:
    """Parameters of the protocol.

    Attributes:
        period_s: Time between two probes.
        ack_timeout_ratio: Part of the period after which a probe without
            an ACK is repeated through other members.
        indirect_probes: Number of members that repeat such a probe.
        suspicion_periods: Periods from suspicion to death, for up to 10
            members; multiplied by the decimal logarithm of their number if
            there are more, because a refutation takes that much longer to
            spread.
        retransmit_multiplier: Number of sends of each update, per decimal
            logarithm of the number of members.
        fanout: Number of members that urgent updates are sent to at once.
        urgent_delay_s: How long urgent updates are collected before they are
            sent.
        report_period_s: Time between two datagrams of load reports.
        report_bytes: Size limit of the load reports in one datagram, in
            bytes.
        report_age_s: Age up to which a load report is sent.
        sync_period_s: Time between requests for two pages of the full state.
        join_sync_period_s: The same time while joining.
        rejoin_period_s: Time between probes of dead members and of contacts
            that are not members yet.
        rate_bytes_per_s: Average rate of sending, without load reports,
            counted with the upper bounds of the sizes. Without loss,
            membership stays below 2 KB/s, half of the control traffic; the
            other half is for polls and the log.
        burst_bytes: Limit of what is sent above the average at once.
        retention_s: How long dead members and leaving notices are kept.
        leaving_max: Maximum number of leaving notices that are kept.
    """

    period_s: float = 0.5
    ack_timeout_ratio: float = 0.4
    indirect_probes: int = 3
    suspicion_periods: float = 6.0
    retransmit_multiplier: int = 4
    fanout: int = 4
    urgent_delay_s: float = 0.05
    report_period_s: float = 1.0
    report_bytes: int = 700
    report_age_s: float = 5.0
    sync_period_s: float = 10.0
    join_sync_period_s: float = 0.1
    rejoin_period_s: float = 2.5
    rate_bytes_per_s: float = 1700.0
    burst_bytes: float = 8000.0
    retention_s: float = 3600.0
    leaving_max: int = 2048


@attrs.frozen
class Contact:
    """An address at which a peer may be reached.

    Attributes:
        host: IP address.
        port: Port for datagrams.
        member_id: Name of the instance, if it is known.
    """

    host: str
    port: int
    member_id: str = ''


@attrs.frozen
class Send:
    """Effect: a datagram has to be sent.

    Attributes:
        host: IP address of the receiver.
        port: Port of the receiver.
        datagram: The datagram.
    """

    host: str
    port: int
    datagram: messages.Datagram


@attrs.frozen
class MemberChanged:
    """Effect: the record of a member has changed.

    Attributes:
        member: The new record.
    """

    member: messages.Member


@attrs.frozen
class TargetLeaving:
    """Effect: a peer has announced that a target is leaving.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation that is leaving.
    """

    target_id: str
    incarnation: int


@attrs.frozen
class ReportReceived:
    """Effect: a peer has sent a newer load report of a target.

    Attributes:
        report: The compact report.
    """

    report: model.LoadReport


@attrs.frozen
class PeerAhead:
    """Effect: a member has a higher configuration offset than this one.

    Attributes:
        member_id: Name of the member.
        offset: Its configuration offset.
    """

    member_id: str
    offset: int


Effect = Send | MemberChanged | TargetLeaving | ReportReceived | PeerAhead
