"""Schedule of reads of a store's stream that all instances follow.

The schedule bounds the load of a large deployment on the store: instances
share what they read, so that the number of reads hardly depends on the number
of instances. Each instance waits for a random time. The one whose time ends
first reads and sends the result to the others, which then draw new times. Most
of the times are close to the upper bound, as in RFC 5401, section 3.1, so that
only few instances read at the same moment.
"""

import math
import random

import attrs

# Reports whose read times differ by no more than this are of the same read, in
# seconds.
_SAME_READ_S = 0.02


@attrs.define
class ReadSchedule:
    """Computes when this instance has to read.

    Attributes:
        interval_min_s: Shortest time between a read and the next one, in
            seconds.
        jitter_max_s: Upper bound of the random time that is added, in
            seconds.
        rng: Random source.
        last_read_s: Monotonic time, in seconds, of the newest read by any
            instance that found the state that this instance has.
        due_s: Monotonic time of the next read by this instance, in seconds.
    """

    interval_min_s: float
    jitter_max_s: float
    rng: random.Random
    last_read_s: float = float('-inf')
    due_s: float = 0.0

    def record_read(self, read_s: float, instances: int) -> None:
        """Records a read that found the state that this instance has.

        A report of a read that is already known or older has no effect.

        Args:
            read_s: Monotonic time of the read, in seconds.
            instances: Number of instances that share their reads.
        """
        if read_s <= self.last_read_s + _SAME_READ_S:
            return
        self.last_read_s = read_s
        self.due_s = read_s + self.interval_min_s + self._jitter_s(instances)

    def hasten(self, now_s: float, delay_s: float) -> None:
        """Moves the next read forward, as another instance has newer state.

        Args:
            now_s: Monotonic time, in seconds.
            delay_s: Longest time until the read, in seconds.
        """
        self.due_s = min(self.due_s, now_s + delay_s)

    def defer(self, now_s: float, delay_s: float) -> None:
        """Postpones the next read, as the store did not answer.

        Args:
            now_s: Monotonic time, in seconds.
            delay_s: Time until the read, in seconds.
        """
        self.due_s = now_s + delay_s

    def _jitter_s(self, instances: int) -> float:
        """Draws a random time, in seconds.

        It is weighted exponentially towards the upper bound, the more so the
        more instances there are.
        """
        steepness = math.log(max(1, instances)) + 1.0
        share = math.log1p(self.rng.random() * math.expm1(steepness))
        return self.jitter_max_s * share / steepness
