"""Tracks the requests that are being answered, for a graceful shutdown."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib

from dotterelweir_core import errors
from dotterelweird import scopes


class InFlight:
    """Counts requests in flight and ends them before the drain deadline.

    Attributes:
        count: Number of requests that are being answered.
        handing_over: Whether ``hand_over`` was called.
    """

    def __init__(self) -> None:
        self._scopes: set[scopes.Scope] = set()
        self._calls: set[asyncio.Task] = set()
        self._cleanup_tasks: set[asyncio.Task] = set()
        self._empty = asyncio.Event()
        self._empty.set()
        self.count = 0
        self.handing_over = False

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Counts a request as in flight while the block runs."""
        self.count += 1
        self._empty.clear()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._empty.set()

    @contextlib.contextmanager
    def track_call(self) -> Iterator[None]:
        """Counts the current task as a call that outlives its caller."""
        task = asyncio.current_task()
        self._calls.add(task)
        try:
            with self.track():
                yield
        finally:
            self._calls.discard(task)

    @contextlib.contextmanager
    def interruptible(self) -> Iterator[scopes.Scope]:
        """Lets ``hand_over``, or who gets the scope, interrupt the block.

        Raises:
            DotterelweirError: SHUTTING_DOWN if ``hand_over`` was called
                before or while the block ran. The code that uses the block
                must set the error's ``execution``.
        """
        if self.handing_over:
            raise _shutdown_error()
        with scopes.Scope() as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def run_in_background(self, coroutine: Coroutine) -> None:
        """Runs the clean-up of a request without delaying its answer.

        Args:
            coroutine: The clean-up; ``wait_cleanup`` waits for it.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._cleanup_tasks.add(task)
        task.add_done_callback(self._cleanup_tasks.discard)

    def hand_over(self) -> None:
        """Ends every request; called shortly before the drain deadline.

        A stream ends with a ``handover`` event. A request without a stream
        is refused, with what is known about its execution.
        """
        self.handing_over = True
        for scope in tuple(self._scopes):
            scope.interrupt(_shutdown_error())

    async def abort_calls(self) -> None:
        """Cancels the calls that ``hand_over`` left running.

        Their callers have been answered; they run on only to record their
        outcomes, which are unknown once they are cancelled.
        """
        calls = tuple(self._calls)
        for task in calls:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def wait_empty(self) -> None:
        """Waits until no request is being answered."""
        await self._empty.wait()

    async def wait_cleanup(self) -> None:
        """Waits until the clean-up of ended requests is complete."""
        await asyncio.gather(*self._cleanup_tasks, return_exceptions=True)


def _shutdown_error() -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.SHUTTING_DOWN,
        'the instance stops before the answer is complete',
        retry_after_s=0.0,
    )
