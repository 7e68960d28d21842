"""Exponential backoff with jitter and an optional limit of attempts."""

import random

import attrs


@attrs.define
class Backoff:
    """Computes the delays between the attempts of one retry loop.

    Attributes:
        rng: Random source of the jitter.
        first_s: Upper bound of the first delay, in seconds.
        cap_s: Upper bound of every delay, in seconds.
        attempts: Number of delays before the loop ends; None for no limit.
    """

    rng: random.Random
    first_s: float = 0.05
    cap_s: float = 5.0
    attempts: int | None = None
    _delays_given: int = attrs.field(default=0, init=False)

    def next_delay_s(self) -> float | None:
        """Returns the next delay, or None when no attempt is left.

        The delay in seconds is uniform between half the bound and the
        bound, so that instances that failed together do not retry together.
        """
        if self.attempts is not None and self._delays_given >= self.attempts:
            return None
        exponent = min(self._delays_given, 32)
        bound_s = min(self.cap_s, self.first_s * 2.0**exponent)
        self._delays_given += 1
        return self.rng.uniform(bound_s / 2.0, bound_s)

    def reset(self) -> None:
        """Restarts with the first delay, after a successful attempt."""
        self._delays_given = 0
