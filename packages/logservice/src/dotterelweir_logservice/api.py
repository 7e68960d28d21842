"""Interfaces of the platform: log, instance list and weight store."""

import abc

import attrs

from dotterelweir_core.targets import model


@attrs.frozen
class LogRecord:
    """One record of a log stream.

    Attributes:
        offset: Position in the stream; increases by one per record.
        time_s: When the log accepted the record, in wall-clock seconds of
            the log.
        data: The appended bytes.
    """

    offset: int
    time_s: float
    data: bytes


@attrs.frozen
class LogPage:
    """The answer to one read of a log stream.

    Attributes:
        first_available_offset: Offset of the oldest record that has not
            expired.
        end_offset: Offset that the next appended record receives.
        records: Records in ascending order of offset.
    """

    first_available_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


class LogClient(abc.ABC):
    """The append-only log service.

    Every method raises ``DotterelweirError`` of kind LOG_UNAVAILABLE when
    the log is unreachable, has an outage or refuses for its rate limit.
    """

    @abc.abstractmethod
    async def append(
        self, stream: str, records: tuple[bytes, ...], timeout_s: float
    ) -> tuple[int, int]:
        """Appends records atomically.

        When this raises, the records may still have been appended.

        Args:
            stream: Name of the stream.
            records: Bytes of each record.
            timeout_s: Bound on the whole request, in seconds.

        Returns:
            The offsets of the first and the last record.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
    ) -> LogPage:
        """Reads the records from an offset onwards.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to read.
            limit: Maximum number of records in the answer.
            wait_s: How long the log may wait for a first record, in seconds.

        Raises:
            DotterelweirError: LOG_GAP if from_offset has expired.
        """


@attrs.frozen
class ListedInstance:
    """One row of the instance list.

    Attributes:
        target: Name, incarnation, service, zone and address.
        state: Whether the target is live or leaving, according to the list.
    """

    target: model.Target
    state: model.TargetState


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which may lag."""

    @abc.abstractmethod
    async def fetch(self) -> tuple[ListedInstance, ...]:
        """Reads the whole list.

        Raises:
            DotterelweirError: The list cannot be read.
        """


@attrs.frozen
class WeightGrant:
    """The permission of the weight store to load a model.

    Attributes:
        size_bytes: Size of the weights, in bytes.
        permitted_at_s: When the load may start, in wall-clock seconds.
    """

    size_bytes: int
    permitted_at_s: float


class WeightStore(abc.ABC):
    """The rate-limited store of model weights."""

    @abc.abstractmethod
    async def grant(self, model_name: str) -> WeightGrant:
        """Requests permission to load a model.

        Args:
            model_name: Name of the model.

        Raises:
            DotterelweirError: The weight store does not answer.
        """
