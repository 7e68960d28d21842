"""Interfaces that a follower of a stream of the store depends on."""

import abc

import attrs

from dotterelweird.gateway import api


@attrs.frozen
class ReadReport:
    """Report of an instance about its state of a stream.

    Attributes:
        position: Version or offset of the state; a newer state has a higher
            one.
        fingerprint: Identifies the state; equal for instances with the same
            state. Empty while removals are deferred after an outage: the
            report then only shows that the store answers.
        age_s: Time since the read of the store that confirmed the state, in
            seconds.
        era: Era of the store that an offset belongs to.
    """

    position: int
    fingerprint: str
    age_s: float
    era: int = 0


class Keeper(abc.ABC):
    """Holds the state that the records of a stream describe.

    Attributes:
        position: Version of the state; None if the state has no version and
            the offset in the stream is its position.
        fingerprint: Identifies the state; empty while it differs from the
            store because removals are deferred.
        records: Records from which another instance can build the state.
    """

    position: int | None
    fingerprint: str
    records: tuple[api.Record, ...]

    @abc.abstractmethod
    def apply_snapshot(self, batch: api.Batch) -> None:
        """Applies a snapshot.

        Args:
            batch: The newest record of every key.
        """

    @abc.abstractmethod
    def apply(self, batch: api.Batch) -> list[api.Record]:
        """Applies further records.

        Args:
            batch: The records, in the order of their offsets.

        Returns:
            The records that changed the state and are small enough to be
            sent to other instances in a datagram.
        """

    @abc.abstractmethod
    def on_store_recovered(self, since_s: float) -> None:
        """Called when the store answers again after an outage.

        Args:
            since_s: Monotonic time, in seconds, since which the store has
                answered at least one instance; far in the past if only this
                instance could not reach it.
        """

    @abc.abstractmethod
    def on_read_completed(self, began_s: float) -> None:
        """Called after a read that reached the end of the stream.

        Args:
            began_s: Monotonic time at which the read began, in seconds.
        """

    @abc.abstractmethod
    def is_settled(self, began_s: float) -> bool:
        """Whether a read shows all that is there.

        After an outage or a restore from an older copy, entries of targets
        that are alive may be missing for a while.

        Args:
            began_s: Monotonic time at which the read began, in seconds.
        """

    @abc.abstractmethod
    def on_store_rewound(self) -> None:
        """Called when the store was restored from an older copy.

        The store then assigns offsets again that it had assigned before.
        """


class Peers(abc.ABC):
    """Communication with the other instances.

    Attributes:
        instance_count: Number of reachable instances, including this one.
    """

    instance_count: int

    @abc.abstractmethod
    def send_reports(self) -> None:
        """Sends the reports of this instance to all other instances."""

    @abc.abstractmethod
    def send_record_notice(
        self, stream: api.StoreStream, records: list[api.Record], era: int
    ) -> None:
        """Sends records that were just read to all other instances.

        Args:
            stream: The stream.
            records: The records.
            era: Era of the store that the offsets belong to.
        """

    @abc.abstractmethod
    async def fetch_state(
        self, stream: api.StoreStream, host: str
    ) -> api.Batch:
        """Fetches the state of a stream from another instance.

        Args:
            stream: The stream.
            host: IP address of the instance.

        Returns:
            The records from which the state can be built.

        Raises:
            StoreUnavailable: The instance did not answer or has no state.
        """
