"""Stand-in for the platform's rate-limited weight store."""

import attrs

from dotterelweir_core import timers


@attrs.frozen
class WeightsFaults:
    """Active faults of the weight store.

    Attributes:
        down: Whether every request fails with status 503.
    """

    down: bool = False


@attrs.frozen
class Grant:
    """Permission to load weights.

    Attributes:
        size_bytes: Size of the weights.
        permitted_at_s: Wall time from which the load may start, in seconds.
    """

    size_bytes: int
    permitted_at_s: float


class MemoryWeights:
    """The weight store, which limits the rate at which loads start.

    Args:
        timer: Source of time.
        loads_per_s: Starts of loads permitted per second.
        size_bytes: Size of the weights of every model.

    Attributes:
        faults: The active faults.
    """

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
        """Grants the next permitted start of a load."""
        permitted_s = max(self._timer.wall_s(), self._next_start_s)
        self._next_start_s = permitted_s + self._interval_s
        return Grant(self._size_bytes, permitted_s)
