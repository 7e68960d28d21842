"""Decides when a request whose first token is late may be hedged."""

import heapq

import hdrh.histogram

_LATE_PERCENTILE = 95.0
_SAMPLES_MIN = 20
# After this many first tokens the histogram is cleared, so that the delay
# follows changes of the load.
_SAMPLES_MAX = 2_000
_DELAY_DEFAULT_S = 1.0
_WAIT_MAX_MS = 60_000


def _histogram() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(1, _WAIT_MAX_MS, 2)


class HedgeTimer:
    """Estimates the usual wait for a first token and finds late attempts.

    Args:
        delay_min_s: Minimum wait in seconds before a first token is late.
    """

    def __init__(self, delay_min_s: float) -> None:
        self._delay_min_s = delay_min_s
        self._delay_s = max(_DELAY_DEFAULT_S, delay_min_s)
        self._waits_ms = _histogram()
        self._watched: list[tuple[float, str, str]] = []
        self._hedged: set[str] = set()

    def record_wait(self, waited_s: float) -> None:
        """Records the wait for one first token, in seconds."""
        waited_ms = int(waited_s * 1000)
        self._waits_ms.record_value(min(max(waited_ms, 1), _WAIT_MAX_MS))

    def update_delay(self) -> None:
        """Updates the wait after which a first token is late."""
        samples = self._waits_ms.get_total_count()
        if samples >= _SAMPLES_MIN:
            late_ms = self._waits_ms.get_value_at_percentile(_LATE_PERCENTILE)
            self._delay_s = max(late_ms / 1000, self._delay_min_s)
        if samples >= _SAMPLES_MAX:
            self._waits_ms = _histogram()

    def watch(
        self,
        request_id: str,
        target_id: str,
        now_s: float,
        delay_s: float | None = None,
    ) -> None:
        """Schedules a check of an attempt.

        Args:
            request_id: Identifier of the request.
            target_id: Name of the target that runs the attempt.
            now_s: Current monotonic time in seconds.
            delay_s: Time until the check, in seconds. By default the check
                is when the first token becomes late.
        """
        due_s = now_s + (self._delay_s if delay_s is None else delay_s)
        heapq.heappush(self._watched, (due_s, request_id, target_id))

    def take_due(self, now_s: float) -> list[tuple[str, str]]:
        """Removes and returns the attempts whose check is due.

        Attempts of requests that already have a hedge are left out.
        """
        due = []
        while self._watched and self._watched[0][0] <= now_s:
            _, request_id, target_id = heapq.heappop(self._watched)
            if request_id not in self._hedged:
                due.append((request_id, target_id))
        return due

    def record_hedged(self, request_id: str) -> None:
        """Records that a request has a second attempt."""
        self._hedged.add(request_id)

    def forget(self, request_id: str) -> None:
        """Forgets whether a request was hedged, after an attempt has ended."""
        self._hedged.discard(request_id)

    def next_due_s(self) -> float | None:
        """Returns the monotonic time of the next check, or None."""
        return self._watched[0][0] if self._watched else None
