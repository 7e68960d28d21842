"""Reports evacuations of zones and starts the moves of runs off them."""

from collections.abc import Iterator
import contextlib
import logging
import random
from typing import Protocol

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import evacuation_moves
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Maximum number of rejected zones that are remembered, so that each is logged
# once although peers send their findings again.
_REJECTED_MAX = 64
# Longest random delay of the first moves after an evacuation, in seconds. All
# instances learn of it at the same moment; what one moves is known to the
# others a few milliseconds later.
_FIRST_DELAY_MAX_S = 1.0
# Time between two looks at the runs in evacuated zones, in seconds.
_CHECK_INTERVAL_S = 0.25


class Run(Protocol):
    """A run that may be moved off its zone.

    Attributes:
        zone: Availability zone of its engine.
        is_evacuating: Whether it is being moved off the zone.
    """

    @property
    def zone(self) -> str: ...

    @property
    def is_evacuating(self) -> bool: ...

    def work_left_s(self) -> float:
        """Returns the time until the expected end, in seconds.

        0 for a run that does not move off its zone.
        """

    def evacuate(self) -> None:
        """Starts to move the run off its zone."""


@attrs.define
class RunEvacuator:
    """Starts the moves of this instance's runs off evacuated zones.

    Attributes:
        registry: The evacuated zones.
        timers: The timer service.
        rng: Random source.
    """

    registry: evacuations.EvacuationRegistry
    timers: timers.TimerService
    rng: random.Random
    # The runs, with the monotonic time of the last try to move each, in
    # seconds.
    _tried_s: dict[Run, float] = attrs.field(factory=dict)
    _timer: timers.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        self.registry.subscribe(self._handle_change)

    @contextlib.contextmanager
    def following(self, run: Run) -> Iterator[None]:
        """Moves a run off its zone if that is evacuated meanwhile.

        Args:
            run: The run.
        """
        self._tried_s[run] = float('-inf')
        if self.registry.zones:
            self._schedule(_CHECK_INTERVAL_S)
        try:
            yield
        finally:
            del self._tried_s[run]

    def _handle_change(
        self, evacuation: evacuations.Evacuation, change: evacuations.Change
    ) -> None:
        if change is evacuations.Change.EVACUATED:
            self._schedule(self.rng.uniform(0.0, _FIRST_DELAY_MAX_S))

    def _schedule(self, delay_s: float) -> None:
        if self._timer is None:
            self._timer = self.timers.call_after(delay_s, self._check)

    def _check(self) -> None:
        self._timer = None
        runs = [
            run
            for run in self._tried_s
            if self.registry.is_evacuated(run.zone)
        ]
        if not runs:
            return
        self._schedule(_CHECK_INTERVAL_S)
        now_s = self.timers.monotonic_s()
        candidates = [
            evacuation_moves.Candidate(
                run, run.work_left_s(), self._tried_s[run]
            )
            for run in runs
            if not run.is_evacuating
        ]
        moving = len(runs) - len(candidates)
        for run in evacuation_moves.choose(candidates, moving, now_s):
            self._tried_s[run] = now_s
            run.evacuate()


@attrs.define
class EvacuationReporter:
    """Logs and counts evacuations.

    Attributes:
        registry: The evacuated zones.
        directory: The registered targets.
        statistics: Metrics of the process.
    """

    registry: evacuations.EvacuationRegistry
    directory: targets.TargetDirectory
    statistics: statistics.Statistics
    _rejected: bounded_map.BoundedMap[str, None] = attrs.field(
        factory=lambda: bounded_map.BoundedMap(_REJECTED_MAX)
    )

    def report(
        self, evacuation: evacuations.Evacuation, change: evacuations.Change
    ) -> None:
        """Logs and counts a change of a zone.

        Args:
            evacuation: The new state of the zone.
            change: The change.
        """
        zone = evacuation.zone
        fields = {
            'zone': zone,
            'offset': evacuation.offset,
            'era': evacuation.era,
        }
        if change is evacuations.Change.REJECTED:
            if zone not in self._rejected:
                self._rejected.put(zone, None)
                events.log(LOG, events.EVACUATION_REJECTED, **fields)
            return
        self.statistics.evacuations.inc({'change': change.value})
        self.statistics.evacuated_zones.set({}, len(self.registry.zones))
        registered = self.directory.targets.values()
        count = sum(target.zone == zone for target in registered)
        match change:
            case evacuations.Change.EVACUATED:
                events.log(LOG, events.ZONE_EVACUATED, **fields, targets=count)
                # Without any target, none may have been read yet.
                if registered and not count:
                    events.log(LOG, events.EVACUATED_ZONE_UNKNOWN, zone=zone)
            case evacuations.Change.RESTORED:
                events.log(LOG, events.ZONE_RESTORED, **fields, targets=count)
