"""Request rates that are learned from the answers of targets.

The load is the one that reaches a target that has started or recovered, for
which no figure is stated: it bears less than the others, by an unknown factor.
"""

import attrs

# First and lowest learned pace, in requests per second. An engine of the usual
# size serves the first one while it is cold; the lowest one lets a target that
# fails everything show that it has recovered.
_FIRST_PER_S = 2.0
_LOWEST_PER_S = 0.5
# Learned pace from which on a target counts as not paced, in requests per
# second.
_HIGHEST_PER_S = 1_000.0
# Requests per second that one answer in time adds, before and after the first
# back-off: a pace that is used in full grows by a third in a second, later by
# a sixth. With a gain of 1.0, the model of docs/design/pace.md loses as many
# requests as without a pace.
_FIRST_GAIN_PER_S = 0.3
_LATER_GAIN_PER_S = 0.15
# Factor of a back-off, and the time after it in which outcomes are not
# counted, in seconds: they are those of requests that were sent before.
_BACK_OFF = 0.5
_HOLD_S = 1.0
# Share of failed and late attempts above which the pace falls, and their
# smallest number. Some requests fail at every target.
_BAD_SHARE = 0.25
_BAD_MIN = 2.0
# Longest time over which outcomes are collected for one decision, in seconds.
_WINDOW_S = 1.0
# A target bears its load if the pace exceeds its attempts by this factor for
# this long, in seconds, without a back-off and with this many answers in time.
_SPARE_FACTOR = 2.0
_IN_TIME_MIN = 8.0
_CALM_S = 3.0
# Time without any outcome after which a learned pace ends, in seconds.
_IDLE_S = 60.0
# An answer is late if it takes this many times the usual duration and a margin
# for the network, in seconds.
_LATE_FACTOR = 3.0
_LATE_MARGIN_S = 0.02
# The same for a first event, compared with the prefill of all pending prompts.
_LATE_PREFILL_FACTOR = 2.0
_LATE_PREFILL_MARGIN_S = 0.2
# Samples of a usual duration before it is used, and the factor by which a
# sample changes it.
_SAMPLES_MIN = 8
_SAMPLE_FACTOR = 1.05


@attrs.frozen
class AttemptCounts:
    """Attempts at a target that all instances have counted.

    Attributes:
        served: Number of attempts that were served.
        failed: Number of attempts that failed.
        late: Number of attempts that were served later than expected.
    """

    served: float = 0.0
    failed: float = 0.0
    late: float = 0.0


class LearnedPace:
    """Finds from its answers how many requests a target bears.

    It begins low, grows with each answer in time, halves when answers are late
    or missing, and ends when the target bears what it is sent. Growth counts
    answers and not time, so that a pace that is not used does not grow.

    Args:
        now_s: Monotonic time, in seconds.
        rate_per_s: First pace, in requests per second.

    Attributes:
        rate_per_s: The pace, in requests per second.
        ended: Whether the target bears what it is sent.
    """

    def __init__(self, now_s: float, rate_per_s: float = _FIRST_PER_S) -> None:
        self.rate_per_s = rate_per_s
        self.ended = False
        self._counts: AttemptCounts | None = None
        self._gain_per_s = _FIRST_GAIN_PER_S
        self._hold_until_s = float('-inf')
        self._calm_since_s = self._outcome_s = self._updated_s = now_s
        self._window_s = now_s
        self._in_time = self._bad = 0.0
        self._in_time_total = 0.0
        # Attempts per second, averaged over about a second, and the time from
        # which they have been far fewer than the pace.
        self._attempts_per_s = 0.0
        self._spare_since_s = now_s

    def update(self, counts: AttemptCounts, now_s: float) -> bool:
        """Applies the outcomes since the last call.

        Args:
            counts: Counts of all instances; they only grow.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the pace has fallen.
        """
        known, self._counts = self._counts or counts, counts
        served = max(0.0, counts.served - known.served)
        failed = max(0.0, counts.failed - known.failed)
        late = max(0.0, counts.late - known.late)
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        if passed_s > 0:
            weight = min(1.0, passed_s / _WINDOW_S)
            self._attempts_per_s += weight * (
                (served + failed) / passed_s - self._attempts_per_s
            )
        if self.rate_per_s < _SPARE_FACTOR * self._attempts_per_s:
            self._spare_since_s = now_s
        if served or failed or late:
            self._outcome_s = now_s
        if now_s < self._hold_until_s:
            return False
        in_time = max(0.0, served - late)
        self._in_time += in_time
        self._in_time_total += in_time
        self._bad += failed + late
        if self._must_back_off(now_s):
            self.rate_per_s = max(_LOWEST_PER_S, _BACK_OFF * self.rate_per_s)
            # A target that serves nothing says nothing of what it bears.
            self._gain_per_s = (
                _LATER_GAIN_PER_S if self._in_time else _FIRST_GAIN_PER_S
            )
            self._hold_until_s = now_s + _HOLD_S
            self._calm_since_s = self._hold_until_s
            self._begin_window(self._hold_until_s)
            return True
        if not self._bad:
            self.rate_per_s += self._gain_per_s * in_time
        if now_s - self._window_s >= _WINDOW_S:
            self._begin_window(now_s)
        self.ended = self._is_borne(now_s)
        return False

    def _must_back_off(self, now_s: float) -> bool:
        if self._bad <= _BAD_SHARE * (self._bad + self._in_time):
            return False
        # At a low pace, a window may hold a single outcome.
        window_ends = now_s - self._window_s >= _WINDOW_S
        return self._bad >= _BAD_MIN or window_ends

    def _begin_window(self, now_s: float) -> None:
        self._window_s = now_s
        self._in_time = self._bad = 0.0

    def _is_borne(self, now_s: float) -> bool:
        if self.rate_per_s >= _HIGHEST_PER_S:
            return True
        if now_s - self._outcome_s >= _IDLE_S:
            return True
        return (
            now_s - self._calm_since_s >= _CALM_S
            and now_s - self._spare_since_s >= _CALM_S
            and self._in_time_total >= _IN_TIME_MIN
        )


class UsualDurations:
    """Usual durations of plain calls, as medians, by route."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}
        self._samples: dict[str, int] = {}

    def record(self, route: str, taken_s: float) -> bool:
        """Adds the duration of a call that was served.

        Args:
            route: Name of the route.
            taken_s: Time that the call took, in seconds.

        Returns:
            Whether the call was late.
        """
        usual_s = self._usual_s.setdefault(route, taken_s)
        samples = self._samples[route] = self._samples.get(route, 0) + 1
        rises = taken_s > usual_s
        self._usual_s[route] *= _SAMPLE_FACTOR if rises else 1 / _SAMPLE_FACTOR
        return (
            samples > _SAMPLES_MIN
            and taken_s > _LATE_FACTOR * usual_s + _LATE_MARGIN_S
        )


def is_late_first_event(
    tokens: int, tokens_per_s: float, taken_s: float
) -> bool:
    """Whether the first event of a generation has come late.

    Args:
        tokens: Size of its prompt and of those that were pending when it was
            sent, in tokens.
        tokens_per_s: Usual prefill rate of the service, in tokens per second.
        taken_s: Time from the send to the first event, in seconds.
    """
    prefill_s = tokens / tokens_per_s
    return taken_s > _LATE_PREFILL_FACTOR * prefill_s + _LATE_PREFILL_MARGIN_S
