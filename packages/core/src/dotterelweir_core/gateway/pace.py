"""Request rates of targets that have started or recovered.

The load is the one that reaches a target that all instances see as idle at the
same moment: a cold engine ends if it gets many more requests than it states,
and a target that is slow at first collects a queue that it cannot serve in
time. A target for which a figure is stated is paced by it while it is cold;
other targets are paced by a rate that is learned from their answers.
"""

from collections.abc import Collection
from collections.abc import Iterator
import enum
import math

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import learned_pace
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

# Share of the stated rate that a cold target gets at most. The rest is a
# margin for requests that reach the target closer together than they were
# sent.
_AIM_SHARE = 0.8
# Requests that urgent turns may add to a second, and the factor by which the
# turns of all coordinators may exceed the rate in a second. A division of the
# network is the worst case: one part of three has not noticed it and gives
# turns at the whole rate, two others at a third each, and the lower ranks at
# an eighth; turns may be ahead of the rate by a tenth of a second.
_URGENT_REQUESTS = 4.0
_COORDINATORS_FACTOR = 2.25
# Lowest aim, in requests per second.
_AIM_MIN_PER_S = 0.1
# Difference from which on a longer remaining time of a peer is adopted, in
# seconds. Without it, the delays of datagrams would add up.
_COLD_CHANGE_MIN_S = 0.5
# Share of the targets of a service that must have been in use for this long
# without a learned pace, in seconds, before one more is paced by a learned
# rate. All targets of a service that start or fail together are needed.
_ESTABLISHED_SHARE_MIN = 0.5
_ESTABLISHED_S = 5.0
# Time after the end of a learned pace in which none is adopted from a peer, in
# seconds; the peer is about to end it, too.
_ADOPT_AFTER_S = 10.0
# Maximum number of starts that are kept; the oldest are evicted first. A large
# deployment replaces some hundred targets on an ordinary day.
_STARTS_MAX = 4_096


class PaceMode(enum.Enum):
    """Whether the pace of targets without a stated figure is learned."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


class PaceChange(enum.Enum):
    """What has become of a learned pace."""

    BEGUN = 'begun'
    LOWERED = 'lowered'
    ENDED = 'ended'


@attrs.frozen
class PaceSettings:
    """Settings of the pace.

    Attributes:
        cold_over: Factor of the stated rate that a cold target bears.
        cold_slack: Requests that it bears in any second beyond that.
        mode: Whether the pace of other targets is learned.
    """

    cold_over: float = 1.5
    cold_slack: float = 5.0
    mode: PaceMode = PaceMode.AUTO

    def requests_max(self, stated_per_s: float) -> float:
        """Returns how many requests a cold target bears in any second.

        Args:
            stated_per_s: Stated rate, in requests per second.
        """
        return stated_per_s * self.cold_over + self.cold_slack

    def aim_per_s(self, stated_per_s: float) -> float:
        """Returns the rate at which a cold target is sent requests.

        Args:
            stated_per_s: Stated rate, in requests per second.
        """
        bound = self.requests_max(stated_per_s) - _URGENT_REQUESTS
        return max(
            _AIM_MIN_PER_S,
            min(_AIM_SHARE * stated_per_s, bound / _COORDINATORS_FACTOR),
        )


@attrs.frozen
class PaceNotice:
    """What an instance knows of the pace of a target.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall time of the target's start, in milliseconds.
        cold_left_s: Time for which the target is still cold, in seconds.
        cold_per_s: Rate for this time, in requests per second.
        learned_per_s: Learned pace, in requests per second; 0 for none.
    """

    target_id: str
    started_ms: int
    cold_left_s: float = 0.0
    cold_per_s: float = 0.0
    learned_per_s: float = 0.0


@attrs.define
class _Start:
    """One start of a target.

    Attributes:
        service: Name of its service; empty if only peers know the target.
        is_registered: Whether this instance has read its registration.
        began_s: Monotonic time from which its warm-up counts, in seconds.
        cold_until_s: Monotonic time until which it stated that it is cold, or
            is taken to be, in seconds.
        told_per_s: Rate of a peer for a target that is not known here, in
            requests per second.
        learned: Learned pace; None without one.
        learned_until_s: Monotonic time at which the last learned pace ended,
            in seconds.
    """

    service: str = ''
    is_registered: bool = False
    began_s: float = float('-inf')
    cold_until_s: float = float('-inf')
    told_per_s: float = rate_limits.UNLIMITED
    learned: learned_pace.LearnedPace | None = None
    learned_until_s: float = float('-inf')


class PaceRegistry:
    """Paces of all targets, computed in the same way by all instances.

    Args:
        settings: Settings of the pace.

    Attributes:
        settings: Settings of the pace; may be replaced.
    """

    def __init__(self, settings: PaceSettings | None = None) -> None:
        self.settings = settings or PaceSettings()
        self._services: dict[str, tables.Service] = {}
        self._learning: dict[tuple[str, int], _Start] = {}
        self._starts: bounded_map.BoundedMap[tuple[str, int], _Start] = (
            bounded_map.BoundedMap(_STARTS_MAX)
        )

    def set_services(self, services: dict[str, tables.Service]) -> None:
        """Replaces the figures of the services.

        Args:
            services: All services by name.
        """
        self._services = services

    @property
    def learns(self) -> bool:
        """Whether the pace of targets is learned."""
        match self.settings.mode:
            case PaceMode.ON:
                return True
            case PaceMode.OFF:
                return False
            case PaceMode.AUTO:
                return any(s.warm_up_s for s in self._services.values())

    # What is known of targets.

    def record_start(
        self,
        target: targets.Target,
        now_s: float,
        age_s: float | None = None,
    ) -> bool:
        """Records a registration of a target.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
            age_s: Time since its start by the wall clock, in seconds, if it
                was in the first state that this instance has read. A target
                that registers later has just started, whatever the wall
                clocks say.

        Returns:
            Whether the start was not known before.
        """
        start = self._starts.get(_key(target))
        if start is not None and start.is_registered:
            return False
        if start is None:
            start = _Start()
            self._starts.put(_key(target), start)
        start.service = target.service
        start.is_registered = True
        start.began_s = now_s
        if age_s is not None:
            is_known = target.started_ms > 0
            start.began_s -= max(0.0, age_s) if is_known else math.inf
        return True

    def forget(self, target: targets.Target) -> None:
        """Forgets a target that is gone, if its starts cannot be told apart.

        Args:
            target: The target.
        """
        if not target.started_ms:
            self._starts.pop(_key(target), None)
            self._learning.pop(_key(target), None)

    def begin_cold(
        self,
        target: targets.Target,
        now_s: float,
        left_s: float | None = None,
    ) -> bool:
        """Records that a target is cold, possibly again.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
            left_s: Time for which it is cold, in seconds; None for the time
                that its service states.

        Returns:
            Whether it was not cold before.
        """
        service = self._services.get(target.service)
        if service is None or not service.warm_up_per_s:
            return False
        if left_s is None:
            left_s = service.warm_up_s
        start = self._starts.get(_key(target))
        if start is None:
            start = _Start(target.service)
            self._starts.put(_key(target), start)
        return self._extend(start, left_s, now_s)

    def apply(self, notice: PaceNotice, now_s: float) -> bool:
        """Applies what another instance knows of a target.

        Args:
            notice: The notice.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the target was not cold before.
        """
        key = (notice.target_id, notice.started_ms)
        start = self._starts.get(key)
        if start is None:
            start = _Start()
            self._starts.put(key, start)
        if (
            notice.learned_per_s
            and self.learns
            and start.learned is None
            and now_s - start.learned_until_s > _ADOPT_AFTER_S
        ):
            start.learned = learned_pace.LearnedPace(
                now_s, notice.learned_per_s
            )
            self._learning[key] = start
        if not notice.cold_left_s:
            return False
        start.told_per_s = notice.cold_per_s
        return self._extend(start, notice.cold_left_s, now_s)

    def _extend(self, start: _Start, left_s: float, now_s: float) -> bool:
        known_s = max(0.0, self._cold_until_s(start) - now_s)
        if left_s - known_s > _COLD_CHANGE_MIN_S:
            start.cold_until_s = now_s + left_s
        return not known_s and start.cold_until_s > now_s

    def has_stated_pace(self, service: str) -> bool:
        """Whether a service states how many requests a cold target bears.

        Args:
            service: Name of the service.
        """
        known = self._services.get(service)
        return known is not None and known.warm_up_per_s > 0

    # Learned paces.

    def begin_learning(self, target: targets.Target, now_s: float) -> bool:
        """Begins to learn the pace of a target, unless that is switched off.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether a learned pace has begun.
        """
        if not self.learns or _key(target) in self._learning:
            return False
        start = self._starts.get(_key(target))
        if start is None:
            start = _Start(target.service)
            self._starts.put(_key(target), start)
        start.learned = learned_pace.LearnedPace(now_s)
        self._learning[_key(target)] = start
        return True

    def may_learn(
        self,
        target: targets.Target,
        registered: Collection[targets.Target],
        now_s: float,
    ) -> bool:
        """Whether the others of a service suffice while a target is paced.

        Args:
            target: The target.
            registered: All targets of the service.
            now_s: Monotonic time, in seconds.
        """
        established = sum(
            _key(other) not in self._learning
            and self._has_been_used(other, now_s)
            for other in registered
            if other.target_id != target.target_id
        )
        return established >= _ESTABLISHED_SHARE_MIN * len(registered)

    def _has_been_used(self, target: targets.Target, now_s: float) -> bool:
        start = self._starts.get(_key(target))
        return start is None or now_s - start.began_s >= _ESTABLISHED_S

    def is_only_learned(
        self, target_id: str, started_ms: int, now_s: float
    ) -> bool:
        """Whether nothing but a learned rate paces a target.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Monotonic time, in seconds.
        """
        start = self._starts.get((target_id, started_ms))
        return (
            start is not None
            and start.learned is not None
            and now_s >= self._cold_until_s(start)
        )

    def learning(self) -> tuple[tuple[str, int], ...]:
        """Returns id and start of the targets whose pace is learned."""
        return tuple(self._learning)

    def learn(
        self,
        target_id: str,
        started_ms: int,
        counts: learned_pace.AttemptCounts,
        now_s: float,
    ) -> PaceChange | None:
        """Applies the outcomes of attempts to a learned pace.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            counts: Attempts at the target that all instances have counted.
            now_s: Monotonic time, in seconds.

        Returns:
            What has changed; None for nothing of note.
        """
        start = self._learning.get((target_id, started_ms))
        if start is None:
            return None
        if start.learned.update(counts, now_s):
            return PaceChange.LOWERED
        if start.learned.ended or not self.learns:
            self.end_learning(target_id, started_ms, now_s)
            return PaceChange.ENDED
        return None

    def end_learning(
        self, target_id: str, started_ms: int, now_s: float
    ) -> None:
        """Ends a learned pace.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Monotonic time, in seconds.
        """
        start = self._learning.pop((target_id, started_ms), None)
        if start is not None:
            start.learned = None
            start.learned_until_s = now_s

    # The paces.

    def rate_per_s(
        self, target_id: str, started_ms: int, now_s: float
    ) -> float:
        """Returns the pace of a target, in requests per second.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Monotonic time, in seconds.

        Returns:
            The rate; infinite for a target that is not paced.
        """
        start = self._starts.get((target_id, started_ms))
        if start is None:
            return rate_limits.UNLIMITED
        rate_per_s = rate_limits.UNLIMITED
        if now_s < self._cold_until_s(start):
            rate_per_s = self._cold_per_s(start)
        if start.learned is not None:
            rate_per_s = min(rate_per_s, start.learned.rate_per_s)
        return rate_per_s

    def is_paced(self, target_id: str, started_ms: int, now_s: float) -> bool:
        """Whether a target is paced.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Monotonic time, in seconds.
        """
        rate_per_s = self.rate_per_s(target_id, started_ms, now_s)
        return rate_per_s < rate_limits.UNLIMITED

    def cold_left_s(
        self, target_id: str, started_ms: int, now_s: float
    ) -> float:
        """Returns the time for which a target is still cold, in seconds.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Monotonic time, in seconds.
        """
        start = self._starts.get((target_id, started_ms))
        if start is None:
            return 0.0
        return max(0.0, self._cold_until_s(start) - now_s)

    def notice(
        self, target_id: str, started_ms: int, now_s: float
    ) -> PaceNotice | None:
        """Returns what is known of a target; None if it is not paced.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            now_s: Monotonic time, in seconds.
        """
        left_s = self.cold_left_s(target_id, started_ms, now_s)
        start = self._starts.get((target_id, started_ms))
        if start is None or not (left_s or start.learned):
            return None
        return PaceNotice(
            target_id,
            started_ms,
            left_s,
            self._cold_per_s(start) if left_s else 0.0,
            start.learned.rate_per_s if start.learned else 0.0,
        )

    def notices(self, count: int, now_s: float) -> Iterator[PaceNotice]:
        """Yields what is known of the targets that are paced.

        Args:
            count: Maximum number of notices, of the newest starts.
            now_s: Monotonic time, in seconds.
        """
        for key in reversed(self._starts):
            notice = self.notice(*key, now_s)
            if notice is not None:
                if not count:
                    return
                count -= 1
                yield notice

    def _cold_until_s(self, start: _Start) -> float:
        service = self._services.get(start.service)
        if service is None:
            # Only a peer knows the target, which counts as cold as it says.
            return start.cold_until_s
        if not service.warm_up_per_s:
            return float('-inf')
        return max(start.cold_until_s, start.began_s + service.warm_up_s)

    def _cold_per_s(self, start: _Start) -> float:
        service = self._services.get(start.service)
        if service is None:
            return start.told_per_s
        return self.settings.aim_per_s(service.warm_up_per_s)


def _key(target: targets.Target) -> tuple[str, int]:
    return target.target_id, target.started_ms
