"""Divides the time between SIGTERM and the end of the process."""

import attrs

# Time from the handover to the end, in seconds; at most half of the whole
# time. It must cover answering, one append to the log and closing the ports.
_LEAD_S = 2.0
# Limits without a deadline. A log or a caller that does not answer would
# otherwise keep the process running.
_APPEND_LIMIT_S = 2.0
_SEND_LIMIT_S = 60.0


@attrs.frozen
class DrainTimes:
    """When the steps of a drain begin or end.

    Times are seconds since SIGTERM.

    Attributes:
        grace_s: Until when new requests are accepted.
        handover_s: When the running requests are handed over; None lets
            them run to their end.
        calls_end_s: When calls that could not be handed over are given up,
            so that their outcomes can still be appended to the log; None
            for never.
        append_limit_s: Longest duration of these appends, in seconds.
        exit_s: When the ports are closed, even if callers have not read
            their answers; None for never.
    """

    grace_s: float
    handover_s: float | None = None
    calls_end_s: float | None = None
    append_limit_s: float = _APPEND_LIMIT_S
    exit_s: float | None = None

    def send_limit_s(self, elapsed_s: float) -> float:
        """Returns how long callers may still read, in seconds.

        Args:
            elapsed_s: Time since SIGTERM, in seconds.
        """
        if self.exit_s is None:
            return _SEND_LIMIT_S
        return max(0.0, self.exit_s - elapsed_s)


def plan(grace_s: float, deadline_s: float | None) -> DrainTimes:
    """Returns the times of a drain.

    Args:
        grace_s: Configured grace period, in seconds.
        deadline_s: When the platform kills the process, in seconds after
            SIGTERM; None for never.
    """
    if deadline_s is None:
        return DrainTimes(grace_s)
    lead_s = min(_LEAD_S, deadline_s / 2)
    return DrainTimes(
        min(grace_s, deadline_s / 2),
        deadline_s - lead_s,
        deadline_s - lead_s / 2,
        lead_s / 4,
        deadline_s - lead_s / 4,
    )
