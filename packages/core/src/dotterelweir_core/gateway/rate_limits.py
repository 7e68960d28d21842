"""Request rates to which targets limit all instances together.

An overloaded target states in its answers how many requests per second it
accepts. Answers overtake each other and other instances report theirs, so
each statement has an interval: it was made after its request was sent and
before its answer arrived.
"""

import math
import zlib

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import targets

# Maximum number of targets whose limits are kept; the oldest are evicted
# first. A large deployment has fewer targets.
_LIMITS_MAX = 4_096

# Rate of a target without a limit, in requests per second.
UNLIMITED = math.inf
# Limit from which on a target counts as unlimited, in requests per second.
# All instances together send a single target less.
_RATE_MAX_PER_S = 10_000.0


@attrs.frozen
class LimitStatement:
    """A target's statement about its limit, in an answer to any instance.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall time of the target's start, in milliseconds.
        rate_per_s: Requests per second that it accepts from all instances
            together; infinite if the answer names no limit.
        sent_age_s: Time since the request was sent, in seconds; infinite if
            unknown.
        received_age_s: Time since the head of the answer arrived, in seconds.
    """

    target_id: str
    started_ms: int
    rate_per_s: float
    sent_age_s: float
    received_age_s: float = 0.0


@attrs.define
class _KnownLimit:
    """The limit in force for a target.

    Attributes:
        rate_per_s: The rate, in requests per second; infinite after the end
            of a limit.
        sent_s: Time at which the request of the statement was sent, in
            seconds.
        received_s: Time at which its answer arrived, in seconds.
    """

    rate_per_s: float
    sent_s: float
    received_s: float


class LimitRegistry:
    """Limits of all targets, merged from the statements of all instances.

    Of two statements, the one whose request was sent after the other's answer
    had arrived is the newer one. If neither is newer, the lower rate applies.
    Times are those of a clock that counts the time for which the machine is
    suspended: an answer that was read after a suspension is old.
    """

    def __init__(self) -> None:
        self._limits: bounded_map.BoundedMap[tuple[str, int], _KnownLimit] = (
            bounded_map.BoundedMap(_LIMITS_MAX)
        )

    def rate_per_s(self, target: targets.Target) -> float:
        """Returns the limit of a target, in requests per second.

        Args:
            target: The target.

        Returns:
            The rate; infinite without a limit.
        """
        known = self._limits.get((target.target_id, target.started_ms))
        return UNLIMITED if known is None else known.rate_per_s

    def is_limited(self, target: targets.Target) -> bool:
        """Whether a target limits the rate of its requests."""
        return self.rate_per_s(target) < UNLIMITED

    def apply(self, statement: LimitStatement, now_s: float) -> bool:
        """Applies a statement that this or another instance received.

        Args:
            statement: The statement.
            now_s: Time of the clock that counts suspensions, in seconds.

        Returns:
            Whether it changes the limit of the target.
        """
        key = (statement.target_id, statement.started_ms)
        known = self._limits.get(key)
        rate_per_s = statement.rate_per_s
        if rate_per_s >= _RATE_MAX_PER_S:
            rate_per_s = UNLIMITED
        new = _KnownLimit(
            rate_per_s,
            now_s - statement.sent_age_s,
            now_s - statement.received_age_s,
        )
        if known is None:
            if rate_per_s < UNLIMITED:
                self._limits.put(key, new)
            return rate_per_s < UNLIMITED
        if new.received_s <= known.sent_s:
            return False
        if new.sent_s >= known.received_s:
            self._limits.put(key, new)
            return rate_per_s != known.rate_per_s
        if known.rate_per_s < rate_per_s < UNLIMITED:
            # A still later answer must confirm the higher rate.
            known.received_s = max(known.received_s, new.received_s)
        if rate_per_s >= known.rate_per_s:
            return False
        new.received_s = max(known.received_s, new.received_s)
        self._limits.put(key, new)
        return True

    def statements(
        self, count: int, now_s: float
    ) -> tuple[LimitStatement, ...]:
        """Returns the newest statements, also those that ended limits.

        Args:
            count: Maximum number of statements.
            now_s: Time of the clock that counts suspensions, in seconds.
        """
        newest = list(self._limits.items())[-count:]
        return tuple(
            self._statement(key, known, now_s) for key, known in newest
        )

    @property
    def fingerprint(self) -> int:
        """Checksum of the limits in force; 0 for none."""
        in_force = sorted(
            (*key, known.rate_per_s)
            for key, known in self._limits.items()
            if known.rate_per_s < UNLIMITED
        )
        return zlib.crc32(repr(in_force).encode()) if in_force else 0

    def statement(
        self, target_id: str, started_ms: int, now_s: float
    ) -> LimitStatement | None:
        """Returns the newest statement of a target; None without one.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of the target's start, in milliseconds.
            now_s: Time of the clock that counts suspensions, in seconds.
        """
        key = (target_id, started_ms)
        known = self._limits.get(key)
        return None if known is None else self._statement(key, known, now_s)

    def _statement(
        self, key: tuple[str, int], known: _KnownLimit, now_s: float
    ) -> LimitStatement:
        return LimitStatement(
            *key,
            known.rate_per_s,
            now_s - known.sent_s,
            max(0.0, now_s - known.received_s),
        )
