"""Stand-in for the platform's rate-limited weight store."""

import attrs

from dotterelweir_core import timers


@attrs.frozen
class WeightsFaults:
    """Faults in force.

    Attributes:
        down: Every request gets 503.
    """

    down: bool = False


@attrs.frozen
class Grant:
    """The answer to one request.

    Attributes:
        size_bytes: Size of the weights.
        permitted_at_s: When the next load may start, in wall seconds.
    """

    size_bytes: int
    permitted_at_s: float


class MemoryWeights:
    """Spreads the starts of loads over time; each request takes one start."""

    def __init__(
        self,
        timer: timers.TimerService,
        loads_per_s: float = 1.0,
        size_bytes: int = 14_000_000_000,
    ) -> None:
        self._timer = timer
        self._interval_s = 1.0 / loads_per_s
        self._size_bytes = size_bytes
        self._next_start_s = 0.0
        self.faults = WeightsFaults()

    def grant(self) -> Grant:
        """Takes the next permitted start of a load."""
        permitted_s = max(self._timer.wall_s(), self._next_start_s)
        self._next_start_s = permitted_s + self._interval_s
        return Grant(self._size_bytes, permitted_s)
