"""Reads one log stream from its first available record on."""

import asyncio
from collections.abc import Callable
import logging
import random
import typing

from dotterelweir_core import backoff
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_logservice import api as platform_api
from dotterelweird import timers as daemon_timers

LOG = logging.getLogger(__name__)

READ_LIMIT_RECORDS = 500
# Greater than every offset and exact as a JSON number: a read from here
# returns no records, but the first available offset.
_BEYOND_END = 2**53 - 1
# Prevents a busy loop on a log that ignores wait_s.
_IDLE_DELAY_S = 0.01

RecordDecoder = Callable[[bytes], typing.Any]
RecordCallback = Callable[[platform_api.LogRecord, typing.Any], None]


class LogFollower:
    """Delivers each record of a stream once, in offset order.

    Records that expired before they were read are skipped: no record of the
    streams that are read with this class matters for longer than the log's
    retention. Any other gap counts as an outage, because another instance may
    have read the missing record.
    """

    def __init__(
        self,
        log: platform_api.LogClient,
        stream: str,
        timer: timers.TimerService,
        rng: random.Random,
        wait_s: float,
        decode: RecordDecoder,
        on_record: RecordCallback,
    ) -> None:
        """Creates a follower without starting it.

        Args:
            log: The log service.
            stream: Name of the stream.
            timer: Clock and timers.
            rng: Random source of the backoff.
            wait_s: How long one read may wait for records, in seconds.
            decode: Decodes a record. If it raises ValueError, the record is
                logged and skipped.
            on_record: Called with each record and its decoded value; must
                not raise.
        """
        self._log = log
        self._stream = stream
        self._timer = timer
        self._wait_s = wait_s
        self._decode = decode
        self._on_record = on_record
        self._backoff = backoff.Backoff(rng, first_s=0.05, cap_s=1.0)
        self._next_offset = 0
        self._has_read = False
        self._caught_up = False
        self._failing_since_s: float | None = None
        self._task: asyncio.Task | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self._next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the end of the stream has been reached once."""
        return self._caught_up

    def failing_for_s(self) -> float:
        """Returns the time since reads began to fail, in seconds, or 0."""
        if self._failing_since_s is None:
            return 0.0
        return self._timer.monotonic_s() - self._failing_since_s

    def start(self) -> None:
        """Starts reading."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        while True:
            try:
                page = await self._read()
            except errors.DotterelweirError as error:
                self._note_failure(error)
                delay_s = self._backoff.next_delay_s() or 0.0
                await daemon_timers.sleep(self._timer, delay_s)
                continue
            self._note_success()
            for record in page.records:
                self._next_offset = record.offset + 1
                self._deliver(record)
            if self._next_offset >= page.end_offset:
                self._caught_up = True
            if not page.records:
                await daemon_timers.sleep(self._timer, _IDLE_DELAY_S)

    async def _read(self) -> platform_api.LogPage:
        """Reads the next page.

        Raises:
            DotterelweirError: LOG_UNAVAILABLE; LOG_GAP if a record is missing
                that has not expired.
        """
        # After a failure the read does not wait for a record, so that the
        # recovery of the log is detected at once.
        wait_s = self._wait_s if self._failing_since_s is None else 0.0
        try:
            page = await self._log.read(
                self._stream, self._next_offset, READ_LIMIT_RECORDS, wait_s
            )
        except errors.DotterelweirError as error:
            if error.kind is not errors.ErrorKind.LOG_GAP:
                raise
            return await self._skip_expired()
        expected = self._next_offset
        for record in page.records:
            if record.offset != expected:
                raise errors.DotterelweirError(
                    errors.ErrorKind.LOG_GAP,
                    f'{self._stream} has offset {record.offset} in place of '
                    f'{expected}',
                )
            expected += 1
        if page.end_offset < expected:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                f'{self._stream} ends at {page.end_offset}, before {expected}',
            )
        return page

    async def _skip_expired(self) -> platform_api.LogPage:
        """Moves to the first available record; returns an empty page."""
        page = await self._log.read(self._stream, _BEYOND_END, 1, 0.0)
        if page.first_available_offset <= self._next_offset:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                f'{self._stream} lacks offset {self._next_offset}',
            )
        if self._has_read:
            events.log(
                LOG,
                events.LOG_GAP,
                stream=self._stream,
                expected_offset=self._next_offset,
                first_available_offset=page.first_available_offset,
            )
        self._next_offset = page.first_available_offset
        return platform_api.LogPage(
            page.first_available_offset, page.end_offset, ()
        )

    def _note_failure(self, error: errors.DotterelweirError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._timer.monotonic_s()
            events.log(
                LOG,
                events.STREAM_UNREACHABLE,
                stream=self._stream,
                code=error.kind.value,
                detail=error.detail,
            )

    def _note_success(self) -> None:
        self._has_read = True
        self._backoff.reset()
        if self._failing_since_s is not None:
            self._failing_since_s = None
            events.log(LOG, events.STREAM_REACHABLE, stream=self._stream)

    def _deliver(self, record: platform_api.LogRecord) -> None:
        try:
            decoded = self._decode(record.data)
        except ValueError as error:
            events.log(
                LOG,
                events.RECORD_SKIPPED,
                stream=self._stream,
                offset=record.offset,
                detail=str(error),
            )
            return
        self._on_record(record, decoded)
