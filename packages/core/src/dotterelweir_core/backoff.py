"""Exponential backoff with jitter, a budget and an end."""

import random

import attrs


@attrs.define
class Backoff:
    """Delays for the attempts of one retry loop.

    Attributes:
        rng: Random source of the jitter.
        first_s: Upper bound of the first delay, in seconds.
        cap_s: Upper bound of every delay, in seconds.
        attempts: How many delays are given before the end; None for no end.
    """

    rng: random.Random
    first_s: float = 0.05
    cap_s: float = 5.0
    attempts: int | None = None
    _delays_given: int = attrs.field(default=0, init=False)

    def next_delay_s(self) -> float | None:
        """The next delay in seconds, or None when the attempts are used up.

        The delay is uniform between half the bound and the bound, so that
        instances which failed together do not retry together.
        """
        if self.attempts is not None and self._delays_given >= self.attempts:
            return None
        exponent = min(self._delays_given, 32)
        bound_s = min(self.cap_s, self.first_s * 2.0**exponent)
        self._delays_given += 1
        return self.rng.uniform(bound_s / 2.0, bound_s)

    def reset(self) -> None:
        """Starts again at the first delay, after a success."""
        self._delays_given = 0
