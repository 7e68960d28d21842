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
    OTHER_VERSION = 'another software version'


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
        self,
        target: targets.Target,
        resumes: bool = False,
        stream_version: str | None = None,
    ) -> Obstacle | None:
        """Returns why a target must not be sent anything new.

        Args:
            target: The target.
            resumes: Whether the target has the only copy of a run, which may
                continue there shortly after the target began to leave.
            stream_version: Software version whose events the stream holds;
                None for what has no event yet.

        Returns:
            The obstacle; None if the target may be sent something.
        """
        if self.is_paused(target):
            return Obstacle.PAUSED
        return self.find_lasting_obstacle(target, resumes, stream_version)

    def find_lasting_obstacle(
        self,
        target: targets.Target,
        resumes: bool = False,
        stream_version: str | None = None,
    ) -> Obstacle | None:
        """Returns an obstacle that a wait for the end of a pause leaves.

        Args:
            target: The target.
            resumes: Whether the target has the only copy of a run.
            stream_version: Software version whose events the stream holds;
                None for what has no event yet.

        Returns:
            The obstacle; None if there is none, or only a pause.
        """
        if not self._has_version(target, stream_version):
            return Obstacle.OTHER_VERSION
        if self.is_evacuated(target):
            # Also if it has the only copy of a run.
            return Obstacle.ZONE_EVACUATED
        if self._has_left(target, resumes):
            return Obstacle.LEAVING
        return None

    def accepts(self, target: targets.Target) -> bool:
        """Whether a target may be sent something new now."""
        return self.find_obstacle(target) is None

    def accepts_copy(
        self, source: targets.Target, holder: targets.Target
    ) -> bool:
        """Whether an engine may be sent a copy of a run at another one.

        Args:
            source: The engine that runs it, as it was when the run was sent.
            holder: The engine that gets the copy, and may continue the run.
        """
        obstacle = self.find_obstacle(
            holder, stream_version=source.software_version
        )
        return obstacle is None

    def may_keep(self, source: targets.Target, holder: targets.Target) -> bool:
        """Whether an engine may keep the backup of a run at another one.

        A pause or a departure that was announced after the choice of the
        engine does not stand against a backup: no request is sent there.

        Args:
            source: The engine that runs it.
            holder: The engine that keeps the backup.
        """
        return not self.is_evacuated(holder) and self._has_version(
            holder, source.software_version
        )

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

    def _has_version(
        self, target: targets.Target, stream_version: str | None
    ) -> bool:
        """Whether a target may continue a stream of a software version.

        By its newest record: it may have returned at another version.
        """
        if stream_version is None:
            return True
        registered = self.directory.targets.get(target.target_id, target)
        return registered.software_version == stream_version

    def _has_left(self, target: targets.Target, resumes: bool) -> bool:
        if self.directory.takes_work(target.target_id):
            return False
        left_s = self.departure_times.elapsed_s(target.target_id)
        return not (resumes and left_s <= _RESUME_AFTER_DEPARTURE_S)
