"""Decides whether a target may be sent a request, a copy or a backup now."""

import enum

import attrs

from dotterelweir_core import timers
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import watching

# Time after the news of an engine's departure within which a run may continue
# there from its only copy, in seconds. It then moves on from there.
_RESUME_AFTER_DEPARTURE_S = 1.0


class Obstacle(enum.Enum):
    """Why a target must not be sent anything new."""

    PAUSED = 'paused'
    LEAVING = 'leaving'
    ZONE_EVACUATED = 'zone evacuated'


@attrs.frozen
class SendGate:
    """Tells what stands against a send; the same for every kind of send.

    It is asked right before each send, as what the choice of the target rested
    on may change during any wait after it.

    Attributes:
        directory: The registered targets.
        pause_registry: Pauses that targets requested from this instance.
        departure_times: When targets began to leave.
        timers: The timer service.
        evacuations: The evacuated zones.
    """

    directory: targets.TargetDirectory
    pause_registry: pauses.PauseRegistry
    departure_times: watching.DepartureTimes
    timers: timers.TimerService
    evacuations: evacuations.EvacuationRegistry

    def find_obstacle(
        self, target: targets.Target, resumes: bool = False
    ) -> Obstacle | None:
        """Returns why a target must not be sent anything new.

        Args:
            target: The target.
            resumes: Whether the target has the only copy of a run, which may
                continue there shortly after the target began to leave.

        Returns:
            The obstacle; None if the target may be sent something.
        """
        if self.is_paused(target):
            return Obstacle.PAUSED
        return self.find_lasting_obstacle(target, resumes)

    def find_lasting_obstacle(
        self, target: targets.Target, resumes: bool = False
    ) -> Obstacle | None:
        """Returns an obstacle that a wait for the end of a pause leaves.

        Args:
            target: The target.
            resumes: Whether the target has the only copy of a run.

        Returns:
            The obstacle; None if there is none, or only a pause.
        """
        if self.is_evacuated(target):
            # Also if it has the only copy of a run.
            return Obstacle.ZONE_EVACUATED
        if self._has_left(target, resumes):
            return Obstacle.LEAVING
        return None

    def accepts(self, target: targets.Target) -> bool:
        """Whether a target may be sent something new now."""
        return self.find_obstacle(target) is None

    def is_evacuated(self, target: targets.Target) -> bool:
        """Whether the zone of a target is evacuated.

        Calls about the runs that are there remain allowed.
        """
        return self.evacuations.is_evacuated(target.zone)

    def is_paused(self, target: targets.Target) -> bool:
        """Whether a target must not be sent anything at all now.

        Not even calls about the runs that are there, which are allowed in
        spite of all other obstacles.
        """
        return self.pause_registry.is_paused(target, self.timers.monotonic_s())

    def _has_left(self, target: targets.Target, resumes: bool) -> bool:
        if self.directory.takes_work(target.target_id):
            return False
        left_s = self.departure_times.elapsed_s(target.target_id)
        return not (resumes and left_s <= _RESUME_AFTER_DEPARTURE_S)
