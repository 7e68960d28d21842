"""What other parts need from the peers, as narrow base classes."""

import abc


class SnapshotSource(abc.ABC):
    """Gets the state of the tables from another instance."""

    @abc.abstractmethod
    async def fetch_snapshot(self, min_offset: int) -> bytes | None:
        """Asks peers for a snapshot.

        A snapshot is what ``TablesService.snapshot`` of a peer returns. The
        time that this takes is bounded, and failures of peers are no error.

        Args:
            min_offset: Least offset of the last record that the snapshot
                includes.

        Returns:
            The snapshot, or None if no peer could give one.
        """
