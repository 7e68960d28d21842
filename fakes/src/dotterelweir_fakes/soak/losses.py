"""Judges requests whose connection ended without a complete answer."""

from collections.abc import Sequence
import enum

import attrs

from dotterelweir_fakes.soak import guarantees

GRACE_S = 8
# Times of the platform's rule LOST, in seconds: for how long a request that
# was not passed on may cross the close of its connection, and within which
# time after SIGTERM a request must be sent so that its engine's work in the
# last part of the grace time is an excuse.
_SLACK_S = 0.2
_EXCUSED_SENT_S = 3.0
_LAST_PART = 1.0 / 6.0
# Time after SIGHUP for which the rule covers requests that are sent, in
# seconds, and how many requests an instance may lose without planned work.
RELOAD_S = 2.0
UNPLANNED_MAX = 3


class Verdict(enum.Enum):
    """What an answer that is missing or incomplete counts as.

    ``Cut.judge`` returns none of the first four: a delay of the test itself
    disturbed the request, there was no planned work, the run was stopped for
    a move and did not go on, or its engine ended under it.
    """

    DISTURBED = 'disturbed'
    UNPLANNED = 'lost_unplanned'
    LOST_AFTER_STOP = 'lost_after_stop'
    ENGINE_ENDED = 'engine_ended'
    OVERDUE = 'overdue'
    CROSSED = 'crossed'
    EXCUSED = 'excused'
    LOST = 'lost'


@attrs.define
class Cut:
    """A request whose connection ended without a complete answer.

    Attributes:
        sent_s: Monotonic time at which its last byte was sent, in seconds.
        ended_s: Time at which its connection ended, in seconds.
        due_s: Time of its deadline or its route's timeout, whichever is
            earlier, in seconds.
        reset: Whether the connection ended with a reset, which a process
            that closes before it has read a request causes.
        stopped_s: Time of the SIGTERM to the process that the connection
            leads to, in seconds; None if there was none.
    """

    sent_s: float
    ended_s: float
    due_s: float
    reset: bool = False
    stopped_s: float | None = None

    def judge(self, runs: Sequence[guarantees.Run]) -> Verdict:
        """Judges the request by the platform's rule LOST.

        There must be no other disturbance.

        Args:
            runs: Runs of the request at engines.
        """
        if self.ended_s >= self.due_s:
            return Verdict.OVERDUE
        if not runs:
            if self.reset or self.ended_s - self.sent_s <= _SLACK_S:
                return Verdict.CROSSED
            return Verdict.LOST
        if self.stopped_s is None:
            return Verdict.LOST
        last_part_s = self.stopped_s + GRACE_S * (1.0 - _LAST_PART)
        at_work = any(
            run.ended_s is None or run.ended_s >= last_part_s for run in runs
        )
        if at_work and self.sent_s <= self.stopped_s + _EXCUSED_SENT_S:
            return Verdict.EXCUSED
        return Verdict.LOST
