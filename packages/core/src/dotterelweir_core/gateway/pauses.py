"""Pauses that targets request.

An overloaded target states for how long it must not be sent any request. Each
request sent to it earlier delays its recovery.
"""

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import targets

# Maximum number of pauses that are kept; the oldest are evicted first. A large
# deployment has fewer targets.
_PAUSES_MAX = 4_096


class PauseRegistry:
    """Ends of the pauses that targets have requested from this instance.

    Only a restart of the target ends a pause early.
    """

    def __init__(self) -> None:
        # By id and start time of the target.
        self._until_s: bounded_map.BoundedMap[tuple[str, int], float] = (
            bounded_map.BoundedMap(_PAUSES_MAX)
        )

    def extend(self, target: targets.Target, until_s: float) -> None:
        """Records a pause; of several pauses the latest end applies.

        Args:
            target: The target that requested the pause.
            until_s: Monotonic time of the end of the pause, in seconds.
        """
        key = (target.target_id, target.started_ms)
        previous_s = self._until_s.get(key, until_s)
        self._until_s.put(key, max(until_s, previous_s))

    def pause_end_s(self, target: targets.Target) -> float:
        """Returns the monotonic time at which a target's pause ends.

        Args:
            target: The target.

        Returns:
            Time in seconds; minus infinity if no pause is known.
        """
        key = (target.target_id, target.started_ms)
        return self._until_s.get(key, float('-inf'))

    def is_paused(self, target: targets.Target, now_s: float) -> bool:
        """Whether a target must not be sent requests now."""
        return now_s < self.pause_end_s(target)
