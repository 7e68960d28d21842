"""Stand-in for the platform's append-only log."""

import asyncio
import collections

import attrs

from dotterelweir_core import timers
from dotterelweir_fakes import waiting


class LogRefusedError(Exception):
    """The log refused a request.

    Attributes:
        status: HTTP status of the refusal: 410, 429 or 503.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ResponseLostError(Exception):
    """An append took effect, but its response was lost."""


@attrs.frozen
class Record:
    """One record of a stream.

    Attributes:
        offset: Position in the stream.
        time_s: Wall time of the append, in seconds.
        data: Content of the record.
    """

    offset: int
    time_s: float
    data: bytes


@attrs.frozen
class Page:
    """Result of one read.

    Attributes:
        first_available_offset: Offset of the oldest retained record.
        end_offset: Offset of the next record to be appended.
        records: Records in ascending order of offset.
    """

    first_available_offset: int
    end_offset: int
    records: tuple[Record, ...]


@attrs.frozen
class LogOptions:
    """Limits of the log.

    Attributes:
        appends_per_s: Appends accepted per second, over all streams.
        retention_records: Maximum number of records retained per stream;
            None for no limit.
        retention_s: Age up to which records are retained, in seconds; None
            for no limit.
    """

    appends_per_s: float = 300.0
    retention_records: int | None = None
    retention_s: float | None = None


@attrs.frozen
class LogFaults:
    """Active faults of the log.

    Attributes:
        down: Whether every request fails with status 503; waiting reads fail
            without delay.
        appends_down: Whether every append fails with status 503.
        lose_responses: Number of next appends that take effect but whose
            responses are lost.
        delay_s: Delay before a request takes effect, in seconds.
        response_delay_s: Delay of the response after an append took effect,
            in seconds.
    """

    down: bool = False
    appends_down: bool = False
    lose_responses: int = 0
    delay_s: float = 0.0
    response_delay_s: float = 0.0


class MemoryLog:
    """The streams of the log, without faults and long polls.

    Args:
        timer: Source of time.
        options: Limits of the log.
    """

    def __init__(
        self, timer: timers.TimerService, options: LogOptions
    ) -> None:
        self._timer = timer
        self._options = options
        self._streams: dict[str, collections.deque[Record]] = {}
        self._end_offsets: collections.Counter[str] = collections.Counter()
        self._tokens = options.appends_per_s
        self._tokens_at_s = timer.monotonic_s()

    def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> tuple[int, int]:
        """Appends records in one step.

        Args:
            stream: Name of the stream.
            records: Content of the records.

        Returns:
            The offsets of the first and the last record.

        Raises:
            LogRefusedError: Status 429 above the append rate.
        """
        self._take_token()
        retained = self._streams.setdefault(stream, collections.deque())
        first = self._end_offsets[stream]
        now_s = self._timer.wall_s()
        for offset, data in enumerate(records, first):
            retained.append(Record(offset, now_s, data))
        self._end_offsets[stream] += len(records)
        return first, self._end_offsets[stream] - 1

    def read(self, stream: str, from_offset: int, limit: int) -> Page:
        """Reads records.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record. Beyond the end of the
                stream the page is empty.
            limit: Maximum number of records.

        Raises:
            LogRefusedError: Status 410 below the first available offset.
        """
        retained = self._retained_records(stream)
        end = self._end_offsets[stream]
        first = end - len(retained)
        if from_offset < first:
            raise LogRefusedError(410, f'offset {from_offset} has expired')
        start = from_offset - first
        records = [
            retained[i]
            for i in range(start, min(start + limit, len(retained)))
        ]
        return Page(first, end, tuple(records))

    def _retained_records(self, stream: str) -> collections.deque[Record]:
        retained = self._streams.setdefault(stream, collections.deque())
        max_records = self._options.retention_records
        while max_records is not None and len(retained) > max_records:
            retained.popleft()
        if self._options.retention_s is not None:
            oldest_s = self._timer.wall_s() - self._options.retention_s
            while retained and retained[0].time_s < oldest_s:
                retained.popleft()
        return retained

    def _take_token(self) -> None:
        rate = self._options.appends_per_s
        now_s = self._timer.monotonic_s()
        added = (now_s - self._tokens_at_s) * rate
        # The capacity of the token bucket allows bursts of the appends of one
        # second.
        self._tokens = min(max(1.0, rate), self._tokens + added)
        self._tokens_at_s = now_s
        if self._tokens < 1.0:
            raise LogRefusedError(429, 'above the append rate')
        self._tokens -= 1.0


class LogService:
    """The log with long polls and faults.

    Args:
        timer: Source of time.
        log: The streams.
    """

    def __init__(self, timer: timers.TimerService, log: MemoryLog) -> None:
        self._timer = timer
        self._log = log
        self._faults = LogFaults()
        self._waiters: set[asyncio.Future] = set()

    @property
    def faults(self) -> LogFaults:
        """The active faults."""
        return self._faults

    @property
    def waiting_reads(self) -> int:
        """Number of long polls that wait for a record."""
        return len(self._waiters)

    def set_faults(self, faults: LogFaults) -> None:
        """Replaces the active faults."""
        self._faults = faults
        self._wake()

    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> tuple[int, int]:
        """Appends records in one step.

        Args:
            stream: Name of the stream.
            records: Content of the records.

        Returns:
            The offsets of the first and the last record.

        Raises:
            LogRefusedError: Status 429 above the append rate, 503 in an
                outage.
            ResponseLostError: The records were appended, but the response
                was lost.
        """
        await waiting.sleep(self._timer, self._faults.delay_s)
        if self._faults.down or self._faults.appends_down:
            raise LogRefusedError(503, 'outage')
        offsets = self._log.append(stream, records)
        self._wake()
        remaining = self._faults.lose_responses
        if remaining > 0:
            self._faults = attrs.evolve(
                self._faults, lose_responses=remaining - 1
            )
            raise ResponseLostError
        await waiting.sleep(self._timer, self._faults.response_delay_s)
        return offsets

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> Page:
        """Reads records and waits for the first one.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record.
            limit: Maximum number of records.
            wait_s: Maximum time to wait for a record, in seconds.

        Raises:
            LogRefusedError: Status 410 below the first available offset, 503
                in an outage.
        """
        await waiting.sleep(self._timer, self._faults.delay_s)
        end_s = self._timer.monotonic_s() + wait_s
        while True:
            if self._faults.down:
                raise LogRefusedError(503, 'outage')
            page = self._log.read(stream, from_offset, limit)
            remaining_s = end_s - self._timer.monotonic_s()
            if page.records or remaining_s <= 0:
                return page
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                await waiting.wait_for(self._timer, waiter, remaining_s)
            finally:
                self._waiters.discard(waiter)

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
