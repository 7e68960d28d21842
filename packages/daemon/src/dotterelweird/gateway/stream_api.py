"""What following a stream of the store needs of other parts."""

import abc

import attrs

from dotterelweird.gateway import api


@attrs.frozen
class ReadReport:
    """What an instance knows of a stream.

    Attributes:
        position: Grows with what is known: a version or an offset.
        content: Names what is known; equal for instances that know the same.
            Empty for one that waits for entries to come back: it only tells
            that the store answers.
        age_s: Time since a read of the store found it, in seconds.
        era: Era of the store that an offset belongs to.
    """

    position: int
    fingerprint: str
    age_s: float
    era: int = 0


class Keeper(abc.ABC):
    """Keeps what a stream says.

    Attributes:
        position: Grows with what is known; None if the offset does.
        content: Names what is known; empty while that is not the state of
            the store.
        records: The records that hold what is known.
    """

    position: int | None
    fingerprint: str
    records: tuple[api.Record, ...]

    @abc.abstractmethod
    def apply_snapshot(self, batch: api.Batch) -> None:
        """Takes the newest record of every key."""

    @abc.abstractmethod
    def apply(self, batch: api.Batch) -> list[api.Record]:
        """Takes further records in order.

        Returns:
            The records that changed something and are small enough to be
            told to other instances.
        """

    @abc.abstractmethod
    def on_store_recovered(self, since_s: float) -> None:
        """Takes note that the store answers again after an outage.

        Args:
            since_s: Monotonic time since when it has answered somebody; long
                ago if it was away for this instance only.
        """

    @abc.abstractmethod
    def on_read_completed(self, began_s: float) -> None:
        """Takes note that a read of the store found all that it held.

        Args:
            began_s: Monotonic time when the read began.
        """

    @abc.abstractmethod
    def on_store_rewound(self) -> None:
        """Takes note that the store came back from an older copy.

        Its offsets are given out again.
        """


class Peers(abc.ABC):
    """The other instances, as far as following the store needs them.

    Attributes:
        instances: Instances that are known, this one included.
    """

    instance_count: int

    @abc.abstractmethod
    def send_reports(self) -> None:
        """Tells them what this instance knows now."""

    @abc.abstractmethod
    def send_record_notice(
        self, stream: api.StoreStream, records: list[api.Record], era: int
    ) -> None:
        """Tells them of records that were just read.

        Args:
            stream: The stream.
            records: The records.
            era: Era of the store that their offsets belong to.
        """

    @abc.abstractmethod
    async def fetch_state(
        self, stream: api.StoreStream, host: str
    ) -> api.Batch:
        """The records that hold what one of them knows.

        Raises:
            StoreUnavailable: It did not answer.
        """
