"""Client of one instance for a log in the same process."""

from collections.abc import Iterator
import contextlib

from dotterelweir_core import errors
from dotterelweir_fakes.platform import log
from dotterelweir_logservice import api


class MemoryLogClient(api.LogClient):
    """Accesses a ``LogService`` without HTTP, for tests in virtual time.

    Attributes:
        log: The log; a test may replace it.
        disconnected: Whether the instance is disconnected from the log. An
            append that is in progress at the disconnection takes effect.
        appends: Number of calls of ``append``.
    """

    def __init__(self, service: log.LogService) -> None:
        self.log = service
        self.disconnected = False
        self.appends = 0

    async def append(
        self, stream: str, records: tuple[bytes, ...], timeout_s: float
    ) -> tuple[int, int]:
        """Appends records in one step.

        Args:
            stream: Name of the stream.
            records: The records.
            timeout_s: Ignored; the stand-in's delays are not limited.

        Returns:
            The offsets of the first and the last record.

        Raises:
            DotterelweirError: The log is unavailable, or the outcome of the
                append is unknown.
        """
        self.appends += 1
        with self._translate_errors():
            return await self.log.append(stream, records)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> api.LogPage:
        """Reads records and waits for the first one.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record.
            limit: Maximum number of records.
            wait_s: Maximum time to wait for a record, in seconds.

        Raises:
            DotterelweirError: The log is unavailable, or records from this
                offset have expired.
        """
        with self._translate_errors():
            page = await self.log.read(stream, from_offset, limit, wait_s)
        return api.LogPage(
            page.first_available_offset,
            page.end_offset,
            tuple(
                api.LogRecord(record.offset, record.time_s, record.data)
                for record in page.records
            ),
        )

    @contextlib.contextmanager
    def _translate_errors(self) -> Iterator[None]:
        self._check_connection()
        try:
            yield
        except log.LogRefusedError as error:
            kind = errors.ErrorKind.LOG_UNAVAILABLE
            if error.status == 410:
                kind = errors.ErrorKind.LOG_GAP
            raise errors.DotterelweirError(kind, str(error)) from error
        except log.ResponseLostError as error:
            raise _unavailable('the response was lost') from error
        self._check_connection()

    def _check_connection(self) -> None:
        if self.disconnected:
            raise _unavailable('the log is disconnected')


def _unavailable(text: str) -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.LOG_UNAVAILABLE, text, errors.Execution.UNKNOWN
    )
