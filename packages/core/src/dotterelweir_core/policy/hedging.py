"""When a request whose first token is late gets a second attempt."""

import heapq

import hdrh.histogram

_LATE_PERCENTILE = 95.0
_SAMPLES_MIN = 20
# After so many first tokens the wait is learned anew.
_SAMPLES_MAX = 2_000
_DELAY_DEFAULT_S = 1.0
_WAIT_MAX_MS = 60_000


def _histogram() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(1, _WAIT_MAX_MS, 2)


class HedgeTimer:
    """Learns how long first tokens take and tells which are late.

    Args:
        delay_min_s: Least wait before a first token is late.
    """

    def __init__(self, delay_min_s: float) -> None:
        self._delay_min_s = delay_min_s
        self._delay_s = max(_DELAY_DEFAULT_S, delay_min_s)
        self._waits_ms = _histogram()
        self._watched: list[tuple[float, str, str]] = []
        self._hedged: set[str] = set()

    def record_wait(self, waited_s: float) -> None:
        """Takes note of the wait for one first token."""
        waited_ms = int(waited_s * 1000)
        self._waits_ms.record_value(min(max(waited_ms, 1), _WAIT_MAX_MS))

    def update_delay(self) -> None:
        """Learns the wait after which a first token is late."""
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
        """Watches an attempt.

        Args:
            request_id: The request.
            target_id: Where its attempt runs.
            now_s: Now.
            delay_s: When to look; by default when its first token is late.
        """
        due_s = now_s + (self._delay_s if delay_s is None else delay_s)
        heapq.heappush(self._watched, (due_s, request_id, target_id))

    def take_due(self, now_s: float) -> list[tuple[str, str]]:
        """Removes and returns the watched attempts that are due."""
        due = []
        while self._watched and self._watched[0][0] <= now_s:
            _, request_id, target_id = heapq.heappop(self._watched)
            if request_id not in self._hedged:
                due.append((request_id, target_id))
        return due

    def record_hedged(self, request_id: str) -> None:
        """Takes note that a request has a second attempt."""
        self._hedged.add(request_id)

    def forget(self, request_id: str) -> None:
        """Takes note that an attempt of a request has ended."""
        self._hedged.discard(request_id)

    def next_due_s(self) -> float | None:
        """When the next watched attempt is due."""
        return self._watched[0][0] if self._watched else None
