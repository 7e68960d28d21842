"""When an instance reads a stream of the store that others read too.

Answers the load of a large deployment on the store: what one instance read
is known to all of them, so that the number of reads hardly depends on the
number of instances. Each of them waits for a random time, and the one whose
time is up first reads and tells the others, who then wait anew. Most of the
times are drawn near the bound, as in RFC 5401, section 3.1, so that only few
instances read at the same moment.
"""

import math
import random

import attrs

# Differences of the time of two reads that count as the same read, in seconds.
_SAME_READ_S = 0.02


@attrs.define
class ReadTurn:
    """Tells when it is this instance's turn.

    Attributes:
        quiet_s: Least time between a read and the next one.
        spread_s: Bound on the random time after that.
        rng: Random source.
        fresh_s: Monotonic time of the newest read, by whomever, that found
            what this instance knows.
        due_s: Monotonic time of its own next read.
    """

    interval_min_s: float
    jitter_max_s: float
    rng: random.Random
    last_read_s: float = float('-inf')
    due_s: float = 0.0

    def record_read(self, read_s: float, instances: int) -> None:
        """Takes note of a read that found what this instance knows.

        Args:
            read_s: Monotonic time of the read.
            instances: Instances that take turns.
        """
        if read_s <= self.last_read_s + _SAME_READ_S:
            return
        self.last_read_s = read_s
        self.due_s = read_s + self.interval_min_s + self._jitter_s(instances)

    def hasten(self, now_s: float, delay_s: float) -> None:
        """Reads soon: another instance knows something newer."""
        self.due_s = min(self.due_s, now_s + delay_s)

    def defer(self, now_s: float, delay_s: float) -> None:
        """Reads later: the store did not answer."""
        self.due_s = now_s + delay_s

    def _jitter_s(self, instances: int) -> float:
        steepness = math.log(max(1, instances)) + 1.0
        share = math.log1p(self.rng.random() * math.expm1(steepness))
        return self.jitter_max_s * share / steepness
