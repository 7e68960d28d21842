"""Targets that asked to be left alone for some time.

Answers the load of a target that cannot take more: it says for how long it
wants no request at all, and each one sent to it before delays its recovery.
"""

from dotterelweir_core import newest
from dotterelweir_core.gateway import targets

# Pauses that are remembered; the oldest are forgotten. More than the targets
# of a large deployment.
_PAUSES_MAX = 4_096


class PauseRegistry:
    """Until when targets want nothing from this instance.

    A pause ends early only when the target starts anew.
    """

    def __init__(self) -> None:
        # By name and start of the target.
        self._until_s: newest.NewestMap[tuple[str, int], float] = (
            newest.NewestMap(_PAUSES_MAX)
        )

    def extend(self, target: targets.Target, until_s: float) -> None:
        """Takes note of a pause; the latest end counts.

        Args:
            target: The target that asked for it.
            until_s: Monotonic time of its end.
        """
        key = (target.target_id, target.started_ms)
        previous_s = self._until_s.get(key, until_s)
        self._until_s.put(key, max(until_s, previous_s))

    def pause_end_s(self, target: targets.Target) -> float:
        """Monotonic time until which a target wants nothing."""
        key = (target.target_id, target.started_ms)
        return self._until_s.get(key, float('-inf'))

    def is_paused(self, target: targets.Target, now_s: float) -> bool:
        """Whether a target wants nothing now."""
        return now_s < self.pause_end_s(target)
