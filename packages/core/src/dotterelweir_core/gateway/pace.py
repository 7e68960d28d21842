"""Request rates of targets that have started or recovered.

The load is the one that reaches a target that all instances see as idle at the
same moment: a cold engine ends if it gets many more requests than it states,
and a target that is slow at first collects a queue that it cannot serve in
time. A target for which a figure is stated is paced by it while it is cold;
other targets are paced by a rate that is learned from their answers.
"""

from collections.abc import Iterator
import enum
import math

import attrs

from dotterelweir_core import bounded_map
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
# Maximum number of starts that are kept; the oldest are evicted first. A large
# deployment replaces some hundred targets on an ordinary day.
_STARTS_MAX = 4_096


class PaceMode(enum.Enum):
    """Whether the pace of targets without a stated figure is learned."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


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
    """

    target_id: str
    started_ms: int
    cold_left_s: float
    cold_per_s: float


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
    """

    service: str = ''
    is_registered: bool = False
    began_s: float = float('-inf')
    cold_until_s: float = float('-inf')
    told_per_s: float = rate_limits.UNLIMITED


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
        self._starts: bounded_map.BoundedMap[tuple[str, int], _Start] = (
            bounded_map.BoundedMap(_STARTS_MAX)
        )

    def set_services(self, services: dict[str, tables.Service]) -> None:
        """Replaces the figures of the services.

        Args:
            services: All services by name.
        """
        self._services = services

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
            Whether the target is cold because of a start that was not known.
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
        return self.cold_left_s(target.target_id, target.started_ms, now_s) > 0

    def forget(self, target: targets.Target) -> None:
        """Forgets a target that is gone, if its starts cannot be told apart.

        Args:
            target: The target.
        """
        if not target.started_ms:
            self._starts.pop(_key(target), None)

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
        if not notice.cold_left_s:
            return False
        key = (notice.target_id, notice.started_ms)
        start = self._starts.get(key)
        if start is None:
            start = _Start()
            self._starts.put(key, start)
        start.told_per_s = notice.cold_per_s
        return self._extend(start, notice.cold_left_s, now_s)

    def _extend(self, start: _Start, left_s: float, now_s: float) -> bool:
        known_s = max(0.0, self._cold_until_s(start) - now_s)
        if left_s - known_s > _COLD_CHANGE_MIN_S:
            start.cold_until_s = now_s + left_s
        return not known_s and start.cold_until_s > now_s

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
        if now_s < self._cold_until_s(start):
            return self._cold_per_s(start)
        return rate_limits.UNLIMITED

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
        if not left_s:
            return None
        start = self._starts[target_id, started_ms]
        return PaceNotice(
            target_id, started_ms, left_s, self._cold_per_s(start)
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
