"""Turns of requests at targets that limit their request rate.

The instances share the limit of a target: one of them, its coordinator, gives
every request of any instance its turn. Equal shares would not do, as a limit
may allow fewer requests than there are instances. All instances rank the
coordinators of a target in the same order; a lower rank serves while a higher
one does not answer, at a small share of the rate, so that all ranks together
stay close to the limit.
"""

from collections.abc import Iterable
import hashlib

import attrs

from dotterelweir_core.gateway import pace as gateway_pace
from dotterelweir_core.gateway import rate_limits

# Lowest rate of turns, in requests per second. A target whose limit is lower
# still gets a request now and then, as only an answer shows that its limit
# has risen or ended.
_RATE_MIN_PER_S = 0.1
# Time whose turns may be used at once after a pause, in seconds; one turn at
# least.
BURST_S = 0.5
# The same at a paced target, whose requests are counted in each second.
PACED_BURST_S = 0.1
# Share of the limit at which each rank of coordinators gives turns.
_RANK_SHARES = (1.0, 0.125, 0.015625)
# Number of coordinators of a target.
COORDINATORS = len(_RANK_SHARES)
# Turns that urgent requests may use at once ahead of others, and the share of
# the rate at which such turns are regained.
_URGENT_TURNS = 2.0
_URGENT_SHARE = 0.125


@attrs.frozen
class TurnRequest:
    """Asks a coordinator for a turn at a target.

    Attributes:
        number: Number of the request at the instance that sends it.
        statement: What the instance knows of the target's limit.
        wait_max_s: Longest wait that the turn may require, in seconds.
        urgent: Whether work that has begun is lost without the turn.
        pace: What the instance knows of the target's pace; None if the
            target is not paced.
    """

    number: int
    statement: rate_limits.LimitStatement
    wait_max_s: float
    urgent: bool = False
    pace: gateway_pace.PaceNotice | None = None


@attrs.frozen
class TurnAnswer:
    """A coordinator's answer to a request for a turn.

    Attributes:
        number: Number of the request.
        granted: Whether there is a turn.
        wait_s: Time until the turn, in seconds; for a refusal, until the
            next turn that is free.
        statement: What the coordinator knows of the target's limit.
    """

    number: int
    granted: bool
    wait_s: float
    statement: rate_limits.LimitStatement


def rank_coordinators(
    instance_ids: Iterable[str], target_id: str
) -> tuple[str, ...]:
    """Returns the coordinators of a target, the first rank first.

    Args:
        instance_ids: Ids of all instances.
        target_id: Id of the target.
    """
    ranked = sorted(
        instance_ids,
        key=lambda instance_id: _weight(instance_id, target_id),
    )
    return tuple(ranked[:COORDINATORS])


def rank_of(instance_id: str, others: Iterable[str], subject: str) -> int:
    """Returns the rank of an instance among all, from 0.

    Args:
        instance_id: Id of the instance.
        others: Ids of the other instances.
        subject: What the instances are ranked for.
    """
    weight = _weight(instance_id, subject)
    return sum(_weight(other, subject) < weight for other in others)


def phase_of(instance_id: str, target_id: str) -> float:
    """Returns when the first turn of an instance is due at a paced target.

    Instances that start at the same moment and do not reach each other must
    not give their first turns together.

    Args:
        instance_id: Id of the instance.
        target_id: Id of the target.

    Returns:
        A share of the time between two turns, from 0 to 1.
    """
    return int.from_bytes(_weight(instance_id, target_id)) / 2**64


def _weight(instance_id: str, subject: str) -> bytes:
    return hashlib.blake2b(
        f'{subject} {instance_id}'.encode(), digest_size=8
    ).digest()


def turn_rate_per_s(limit_per_s: float, rank: int | None) -> float:
    """Returns the rate at which a coordinator gives turns.

    Args:
        limit_per_s: The limit of the target, in requests per second.
        rank: Rank of the coordinator from 0; None if it is not among the
            coordinators.
    """
    share = _RANK_SHARES[COORDINATORS - 1 if rank is None else rank]
    return share * max(_RATE_MIN_PER_S, limit_per_s)


class TurnSchedule:
    """Gives turns at one target, evenly spaced.

    A new schedule has no turn left over: another coordinator may just have
    used them.

    Args:
        rate_per_s: Rate of the turns, in requests per second; above 0.
        now_s: Monotonic time, in seconds.
        burst_s: Time whose turns may be used at once after a pause, in
            seconds; one turn at least.
    """

    def __init__(
        self, rate_per_s: float, now_s: float, burst_s: float = BURST_S
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst_max_s = burst_s
        # Time at which all turns given so far are used up at the rate.
        self._used_until_s = now_s + self._burst_s + self._interval_s
        self._urgent_until_s = now_s

    @property
    def _interval_s(self) -> float:
        return 1.0 / self._rate_per_s

    @property
    def _burst_s(self) -> float:
        """Time by which turns may be ahead of the rate, in seconds."""
        return max(0.0, self._burst_max_s - self._interval_s)

    def set_rate(
        self, rate_per_s: float, now_s: float, burst_s: float = BURST_S
    ) -> None:
        """Changes the rate; turns that were given stay as they are.

        Args:
            rate_per_s: Rate of the turns, in requests per second; above 0.
            now_s: Monotonic time, in seconds.
            burst_s: Time whose turns may be used at once, in seconds.
        """
        self._burst_max_s = burst_s
        if rate_per_s == self._rate_per_s:
            return
        factor = self._rate_per_s / rate_per_s
        self._used_until_s = now_s + factor * max(
            0.0, self._used_until_s - now_s
        )
        self._urgent_until_s = now_s + factor * max(
            0.0, self._urgent_until_s - now_s
        )
        self._rate_per_s = rate_per_s

    def cancel_turns(self, now_s: float) -> None:
        """Takes back the turns that are not due yet.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._used_until_s = min(
            self._used_until_s, now_s + self._burst_s + self._interval_s
        )

    def wait_s(self, now_s: float) -> float:
        """Returns the time until the next free turn, in seconds."""
        return max(0.0, self._used_until_s - self._burst_s - now_s)

    def reserve(
        self, now_s: float, wait_max_s: float, urgent: bool = False
    ) -> float | None:
        """Reserves the next turn.

        Args:
            now_s: Monotonic time, in seconds.
            wait_max_s: Longest time until the turn, in seconds.
            urgent: Whether the turn may be taken ahead of those that others
                wait for.

        Returns:
            The time until the turn, in seconds; None if it comes too late.
        """
        wait_s = self.wait_s(now_s)
        if wait_s > wait_max_s:
            if not urgent or not self._take_urgent(now_s):
                return None
            wait_s = 0.0
        self._used_until_s = max(self._used_until_s, now_s) + self._interval_s
        return wait_s

    def _take_urgent(self, now_s: float) -> bool:
        interval_s = self._interval_s / _URGENT_SHARE
        used_until_s = max(self._urgent_until_s, now_s)
        if used_until_s - now_s > (_URGENT_TURNS - 1.0) * interval_s:
            return False
        self._urgent_until_s = used_until_s + interval_s
        return True
