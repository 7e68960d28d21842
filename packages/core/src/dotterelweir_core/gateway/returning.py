"""Requests that were refused and whose callers may come back with them.

Needed when more generations arrive than can be served: a caller that retries
after a refusal would otherwise begin again behind all that came meanwhile.
"""

import collections

import attrs

# Maximum number of refused requests that are kept; the oldest are dropped. An
# instance that refuses 50 a second keeps them for the 39 s of the longest
# deadline.
_REQUESTS_MAX = 2048


@attrs.frozen
class _Refused:
    first_arrived_s: float
    expires_s: float


class ReturningCallers:
    """Arrival times of the first attempts of refused requests, by key."""

    def __init__(self) -> None:
        self._refused: collections.OrderedDict[str, _Refused] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._refused)

    def record_refusal(
        self, key: str, first_arrived_s: float, expires_s: float
    ) -> None:
        """Records a request that was refused.

        Args:
            key: Key of the request; equal for all its attempts.
            first_arrived_s: Monotonic time of its first attempt, in seconds.
            expires_s: Monotonic time after which the caller no longer waits
                for this request, in seconds.
        """
        self._refused.pop(key, None)
        self._refused[key] = _Refused(first_arrived_s, expires_s)
        if len(self._refused) > _REQUESTS_MAX:
            self._refused.popitem(last=False)

    def take(self, key: str, now_s: float) -> float | None:
        """Returns the time of the first attempt and forgets the request.

        Several equal requests at once thereby get the age only once.

        Args:
            key: Key of the request.
            now_s: Monotonic time, in seconds.

        Returns:
            The monotonic time in seconds; None if the request is not known.
        """
        refused = self._refused.pop(key, None)
        if refused is None or refused.expires_s <= now_s:
            return None
        return refused.first_arrived_s
