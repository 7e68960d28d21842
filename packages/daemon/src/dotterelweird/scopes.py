"""Scopes in a task that other code can interrupt with an error."""

import asyncio
from collections.abc import Iterator
import contextlib
import types
import typing

from dotterelweir_core import errors
from dotterelweir_core import timers


class Scope:
    """A context manager whose block can be ended by ``interrupt``.

    The interruption cancels the current task, and on leaving the block the
    cancellation is replaced by the given error. If the task itself was also
    cancelled, the cancellation takes precedence.
    """

    def __init__(self) -> None:
        self._task: asyncio.Task | None = None
        self._error: errors.DotterelweirError | None = None
        self._cancelling = 0

    def interrupt(self, error: errors.DotterelweirError) -> None:
        """Ends the block with an error; only the first call has an effect.

        Args:
            error: The error that the block raises.
        """
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
    """Raises an error in the block when it exceeds its time limit.

    Args:
        timer: Clock and timers.
        delay_s: Longest time that the block may take, in seconds.
        error: The error to raise.
    """
    with Scope() as scope:
        handle = timer.call_after(delay_s, lambda: scope.interrupt(error))
        try:
            yield
        finally:
            handle.cancel()
