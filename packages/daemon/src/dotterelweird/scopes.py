"""Scopes that can be ended from outside with an error."""

import asyncio
from collections.abc import Iterator
import contextlib
import types
import typing

from dotterelweir_core import errors
from dotterelweir_core import timers


class Scope:
    """Runs a block of the current task that ``interrupt`` can end.

    The block is cancelled, and the cancellation leaves the scope as the
    error that was given, unless the task itself was cancelled too.
    """

    def __init__(self) -> None:
        self._task: asyncio.Task | None = None
        self._error: errors.DotterelweirError | None = None
        self._cancelling = 0

    def interrupt(self, error: errors.DotterelweirError) -> None:
        """Ends the block; only the first call has an effect."""
        if self._task is not None and self._error is None:
            self._error = error
            self._task.cancel()

    def __enter__(self) -> typing.Self:
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        task, self._task = self._task, None
        if self._error is None:
            return
        if task.uncancel() <= self._cancelling and (
            exc_type is asyncio.CancelledError
        ):
            raise self._error from exc


@contextlib.contextmanager
def deadline(
    timer: timers.TimerService,
    delay_s: float,
    error: errors.DotterelweirError,
) -> Iterator[None]:
    """Raises an error in the block when it takes too long.

    Args:
        timer: Source of time.
        delay_s: Most time that the block may take.
        error: The error to raise.
    """
    with Scope() as scope:
        handle = timer.call_after(delay_s, lambda: scope.interrupt(error))
        try:
            yield
        finally:
            handle.cancel()
