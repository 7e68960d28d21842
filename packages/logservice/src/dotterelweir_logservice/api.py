"""Base classes of the adapters to the platform."""

import abc

import attrs

from dotterelweir_core.targets import model


@attrs.frozen
class LogRecord:
    """One record of a log stream.

    Attributes:
        offset: Position in the stream; rises by one.
        time_s: When the log took the record, in wall seconds of the log.
        data: The bytes that were appended.
    """

    offset: int
    time_s: float
    data: bytes


@attrs.frozen
class LogPage:
    """The answer to one read of a log stream.

    Attributes:
        first_available_offset: Oldest offset that the log still has.
        end_offset: Offset that the next record will get.
        records: Records in ascending order of offset.
    """

    first_available_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]


class LogClient(abc.ABC):
    """The append-only log service.

    Every method raises ``DotterelweirError`` of kind LOG_UNAVAILABLE when
    the log cannot be reached, is in an outage or refuses for its rate.
    """

    @abc.abstractmethod
    async def append(
        self, stream: str, records: tuple[bytes, ...], timeout_s: float
    ) -> tuple[int, int]:
        """Appends records in one step.

        When this raises, the records may have been appended all the same.

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
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            from_offset: First offset wanted.
            limit: Most records in the answer.
            wait_s: How long the log may wait for a first record.

        Raises:
            DotterelweirError: LOG_GAP if from_offset has expired.
        """


@attrs.frozen
class ListedInstance:
    """One row of the instance list.

    Attributes:
        target: Name, incarnation, service, zone and address.
        state: Whether it is live or leaving, as the list knows it.
    """

    target: model.Target
    state: model.TargetState


class InstanceList(abc.ABC):
    """The lagging list of live and leaving instances."""

    @abc.abstractmethod
    async def fetch(self) -> tuple[ListedInstance, ...]:
        """Reads the list; raises ``DotterelweirError`` when it cannot."""


@attrs.frozen
class WeightGrant:
    """The answer of the weight store.

    Attributes:
        size_bytes: Size of the weights.
        permitted_at_s: When the next load may start, in wall seconds.
    """

    size_bytes: int
    permitted_at_s: float


class WeightStore(abc.ABC):
    """The rate-limited store of model weights."""

    @abc.abstractmethod
    async def grant(self, model_name: str) -> WeightGrant:
        """Asks when a model may be loaded."""
