"""Appends records to one log stream in batches."""

import asyncio
import collections
from collections.abc import Callable
import logging
import random

import attrs

from dotterelweir_core import backoff
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_logservice import api as platform_api
from dotterelweird import scopes
from dotterelweird import timers as daemon_timers

LOG = logging.getLogger(__name__)

BATCH_MAX_RECORDS = 500
BATCH_MAX_BYTES = 524_288


@attrs.define(eq=False)
class Append:
    """A record in the queue of a batcher.

    Attributes:
        data: The encoded record.
        is_needed: Called before each attempt; the record is dropped if it
            returns false.
        first_sent_at: When the first attempt to append it began; None before
            that.
    """

    data: bytes
    is_needed: Callable[[], bool] = lambda: True
    first_sent_at: 'Instant | None' = None


@attrs.frozen
class Instant:
    """A point in time on the monotonic and the wall clock.

    Attributes:
        monotonic_s: Time of the monotonic clock, in seconds.
        wall_s: Time of the wall clock, in seconds since the Unix epoch.
    """

    monotonic_s: float
    wall_s: float

    def elapsed_s(self, timer: timers.TimerService) -> float:
        """Returns the elapsed time in seconds, the larger of both clocks.

        The monotonic clock may stop while a machine is suspended, and the
        wall clock may be set back.

        Args:
            timer: Source of both clocks.
        """
        return max(
            timer.monotonic_s() - self.monotonic_s,
            timer.wall_s() - self.wall_s,
        )


class LogBatcher:
    """Queues records and appends them in batches.

    A record that finds the queue empty is appended at once, but appends begin
    at least an interval apart, and further apart while they fail. A failed
    append is repeated, so a record may be in the log several times, and may
    appear there after its append was abandoned.
    """

    def __init__(
        self,
        log: platform_api.LogClient,
        stream: str,
        timer: timers.TimerService,
        rng: random.Random,
        interval_s: float,
        timeout_s: float,
    ) -> None:
        """Creates a batcher without starting it.

        Args:
            log: The log service.
            stream: Name of the stream.
            timer: Clock and timers.
            rng: Random source of the backoff.
            interval_s: Minimum time between two appends, in seconds.
            timeout_s: Timeout of one append, in seconds.
        """
        self._log = log
        self._stream = stream
        self._timer = timer
        self._interval_s = interval_s
        self._timeout_s = timeout_s
        self._backoff = backoff.Backoff(
            rng, first_s=4.0 * interval_s, cap_s=2.0
        )
        self._queue: collections.deque[Append] = collections.deque()
        self._not_empty = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._next_append_s = 0.0
        self._task: asyncio.Task | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, append: Append) -> None:
        """Queues a record for the next append."""
        self._queue.append(append)
        self._not_empty.set()
        self._drained.clear()

    def start(self) -> None:
        """Starts appending."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self, drain_s: float) -> None:
        """Appends the queued records, then stops.

        Args:
            drain_s: Longest wait for the queue to drain, in seconds; the
                records that remain are dropped.
        """
        if self._task is None:
            return
        if drain_s > 0.0:
            await self._drain(drain_s)
        if self._queue:
            events.log(
                LOG,
                events.RECORDS_NOT_APPENDED,
                stream=self._stream,
                records=len(self._queue),
            )
        self._task.cancel()
        await asyncio.wait([self._task])

    async def _drain(self, drain_s: float) -> None:
        timeout_error = errors.DotterelweirError(
            errors.ErrorKind.LOG_UNAVAILABLE
        )
        try:
            with scopes.deadline(self._timer, drain_s, timeout_error):
                await self._drained.wait()
        except errors.DotterelweirError:
            return

    async def _run(self) -> None:
        while True:
            await self._not_empty.wait()
            delay_s = self._next_append_s - self._timer.monotonic_s()
            if delay_s > 0.0:
                await daemon_timers.sleep(self._timer, delay_s)
            batch = self._take_batch()
            if batch:
                await self._append(batch)
            if not self._queue:
                self._not_empty.clear()
                self._drained.set()

    def _take_batch(self) -> list[Append]:
        """Removes the records of the next append from the queue."""
        batch: list[Append] = []
        size_bytes = 0
        now = Instant(self._timer.monotonic_s(), self._timer.wall_s())
        while self._queue and len(batch) < BATCH_MAX_RECORDS:
            append = self._queue[0]
            if not append.is_needed():
                self._queue.popleft()
                continue
            size_bytes += len(append.data)
            if batch and size_bytes > BATCH_MAX_BYTES:
                break
            batch.append(self._queue.popleft())
            if append.first_sent_at is None:
                append.first_sent_at = now
        return batch

    async def _append(self, batch: list[Append]) -> None:
        """Appends a batch; on an error the batch goes back to the queue."""
        self._next_append_s = self._timer.monotonic_s() + self._interval_s
        try:
            await self._log.append(
                self._stream,
                tuple(append.data for append in batch),
                self._timeout_s,
            )
        except errors.DotterelweirError as error:
            self._queue.extendleft(reversed(batch))
            delay_s = max(
                self._backoff.next_delay_s() or 0.0,
                error.retry_after_s or 0.0,
            )
            self._next_append_s = self._timer.monotonic_s() + delay_s
            events.log(
                LOG,
                events.APPEND_FAILED,
                stream=self._stream,
                records=len(batch),
                code=error.kind.value,
                detail=error.detail,
                delay_s=delay_s,
            )
        else:
            self._backoff.reset()
