"""Tunable numbers of the membership protocol and the effects it asks for."""

import attrs

from dotterelweir_core.membership import messages
from dotterelweir_core.targets import model


@attrs.frozen
class Options:
    """Numbers of the protocol.

    Attributes:
        period_s: Time between two probes.
        ack_timeout_ratio: Part of the period after which a probe without
            an answer is repeated through others.
        indirect_probes: How many others are asked.
        suspicion_periods: Periods of suspicion before death, for up to 10
            members; grows with the logarithm of their number, as the time
            does that a refutation needs to spread.
        retransmissions: Sends of each update, times the decimal logarithm
            of the number of members.
        fanout: Members that get urgent news at once.
        urgent_delay_s: How long urgent news is collected before that.
        report_period_s: Time between two datagrams of load reports.
        report_bytes: Most bytes of load reports in one of them.
        report_age_s: Oldest report that is passed on.
        sync_period_s: Time between two pages of full state.
        join_pace_s: Time between pages while joining.
        rejoin_period_s: Time between probes of a dead or unmet member.
        rate_bytes_per_s: Average of bytes sent without load reports, counted
            with the upper bounds of their sizes. Without loss membership
            then stays below 2 KB/s, which leaves the other half of the
            control traffic to polls and the log.
        burst_bytes: Most bytes sent above the average at once.
        retention_s: How long dead members and leaving targets are kept.
        leaving_max: Most leaving targets that are kept.
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
    """An address where a peer may be.

    Attributes:
        host: IP address.
        port: Port of its datagrams.
        member_id: Name of the instance, if it is known.
    """

    host: str
    port: int
    member_id: str = ''


@attrs.frozen
class Send:
    """A datagram to send."""

    host: str
    port: int
    datagram: messages.Datagram


@attrs.frozen
class MemberChanged:
    """A member whose record changed."""

    member: messages.Member


@attrs.frozen
class TargetLeaving:
    """News that an incarnation of a target is leaving."""

    target_id: str
    incarnation: int


@attrs.frozen
class ReportReceived:
    """A load report that a peer has read."""

    report: model.LoadReport


@attrs.frozen
class PeerAhead:
    """A member that has a higher configuration offset than this one."""

    member_id: str
    offset: int


Effect = Send | MemberChanged | TargetLeaving | ReportReceived | PeerAhead
