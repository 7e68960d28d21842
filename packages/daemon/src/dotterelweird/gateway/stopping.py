"""Decides which requests a stopping process accepts and when it may exit."""

import math

import attrs

# Shortest time from the request to stop to the exit, in seconds. The load
# balancer probes readiness each second and needs two failures.
_DRAIN_DELAY_S = 3.0
# Time after which a caller may retry when a stopping process refuses it, in
# seconds. Its next connection goes to another instance.
RETRY_AFTER_S = 0.05
# Time for which a stopping process accepts requests by their expected
# duration, in seconds. Later requests come on kept connections only; their
# callers can connect to another instance. It is shorter than the drain delay,
# as a busy process may handle the signal late.
_ESTIMATES_USED_S = 2.5
# Time before the end of the grace time by which the process must exit, in
# seconds; it is left for closing.
_RESERVE_S = 0.5
# Time before the exit by which each request must have its answer, as a share
# of the grace time. The rest of the grace time is left for writing answers.
_ANSWER_SHARE = 0.05
# Share of the remaining time that a request may be expected to take. The rest
# is a margin, because lengths of generations are estimates.
_EXPECTED_SHARE_MAX = 0.6


@attrs.define
class StopPlan:
    """State of a graceful stop.

    Attributes:
        grace_s: Time from the request to stop to the forced end, in seconds.
        stop_requested_s: Monotonic time of the request to stop, in seconds;
            None if there was none.
        closing: Whether connections are being closed before the exit.
    """

    grace_s: float
    stop_requested_s: float | None = None
    closing: bool = False

    @property
    def stopping(self) -> bool:
        """Whether a stop of the process was requested."""
        return self.stop_requested_s is not None

    def stopping_for_s(self, now_s: float) -> float:
        """Returns the time since the request to stop, in seconds.

        Args:
            now_s: Monotonic time, in seconds.

        Returns:
            The time; not positive before the request, or without one.
        """
        if self.stop_requested_s is None:
            return 0.0
        return now_s - self.stop_requested_s

    @property
    def answers_due_s(self) -> float:
        """Monotonic time by which requests have their answers, in seconds.

        Infinite without a request to stop.
        """
        if self.stop_requested_s is None:
            return math.inf
        lead_s = _RESERVE_S + _ANSWER_SHARE * self.grace_s
        return self.stop_requested_s + self.grace_s - lead_s

    def may_begin(
        self, now_s: float, deadline_s: float, expected_s: float
    ) -> bool:
        """Whether a request may be sent to a target now.

        Its own deadline bounds a request for certain. An expected duration
        can be wrong, and counts only while other callers may still be sent
        to this instance.

        Args:
            now_s: Monotonic time, in seconds.
            deadline_s: Monotonic time at which the request is given up, in
                seconds.
            expected_s: Time that the request is expected to take, in seconds.
        """
        if deadline_s <= self.answers_due_s:
            return True
        if self.stopping_for_s(now_s) >= min(
            _ESTIMATES_USED_S, self.grace_s / 2
        ):
            return False
        remaining_s = self.answers_due_s - now_s
        return expected_s <= _EXPECTED_SHARE_MAX * remaining_s

    def may_exit(self, now_s: float, unfinished: int) -> bool:
        """Whether the process may exit now.

        Args:
            now_s: Monotonic time, in seconds.
            unfinished: Number of requests whose answers have not left the
                process.
        """
        if self.stop_requested_s is None:
            return False
        if self.must_exit(now_s):
            return True
        drain_delay_s = min(_DRAIN_DELAY_S, self.grace_s / 2)
        return unfinished == 0 and self.stopping_for_s(now_s) >= drain_delay_s

    def must_exit(self, now_s: float) -> bool:
        """Whether the process must exit now, even if requests are running.

        Without a request to stop this is always so: a process that closes for
        another reason does not wait for its requests.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self.stop_requested_s is None:
            return True
        return now_s - self.stop_requested_s >= self.grace_s - _RESERVE_S
