"""Tracks whether the log can be read."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers

LOG = logging.getLogger(__name__)


class LogCondition:
    """Health of the log as seen by one reader; logs each change once."""

    def __init__(self, timer: timers.TimerService) -> None:
        """Creates the state before the first read.

        Args:
            timer: Clock and timers.
        """
        self._timer = timer
        self._last_read_s: float | None = None
        self._fault: errors.ErrorKind | None = None
        self._behind = False

    @property
    def faulty(self) -> bool:
        """Whether the last read failed or found a gap."""
        return self._fault is not None

    @property
    def reachable(self) -> bool:
        """Whether the last read succeeded."""
        return self._last_read_s is not None and self._fault is None

    @property
    def age_s(self) -> float | None:
        """Seconds since the last successful read; None if there was none."""
        if self._last_read_s is None:
            return None
        return self._timer.monotonic_s() - self._last_read_s

    def note_success(self, offset: int, end_offset: int) -> None:
        """Records a successful read.

        Args:
            offset: Offset of the last record that was folded.
            end_offset: Offset that the next record of the log will get.
        """
        self._last_read_s = self._timer.monotonic_s()
        if self._fault is not None:
            self._fault = None
            events.log(LOG, events.LOG_REACHABLE, offset=offset)
        behind = end_offset <= offset
        if behind and not self._behind:
            events.log(
                LOG, events.LOG_BEHIND, offset=offset, end_offset=end_offset
            )
        self._behind = behind

    def note_fault(self, offset: int, error: errors.DotterelweirError) -> None:
        """Records a read that failed or found a gap.

        Args:
            offset: Offset of the last record that was folded.
            error: The error of the read.
        """
        if error.kind is self._fault:
            return
        self._fault = error.kind
        gap = error.kind is errors.ErrorKind.LOG_GAP
        events.log(
            LOG,
            events.LOG_GAP if gap else events.LOG_UNREACHABLE,
            offset=offset,
            error=error.detail,
        )
