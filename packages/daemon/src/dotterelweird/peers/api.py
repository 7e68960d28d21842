"""Interfaces of the peers package for the rest of the daemon."""

import abc


class SnapshotSource(abc.ABC):
    """Fetches snapshots of the tables from other instances."""

    @abc.abstractmethod
    async def fetch_snapshot(self, min_offset: int) -> bytes | None:
        """Fetches a snapshot from one of the peers.

        A snapshot is the return value of ``TablesService.snapshot`` at a
        peer. The duration of the call is bounded, and failures of peers
        raise no exception.

        Args:
            min_offset: Lowest acceptable offset of the last record that the
                snapshot includes.

        Returns:
            The snapshot, or None if no peer provided a valid one.
        """
