"""Fetches the state of the tables from a peer."""

import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import records
from dotterelweird.peers import api as peers_api

LOG = logging.getLogger(__name__)


async def fetch_state(
    snapshot_source: peers_api.SnapshotSource, min_offset: int
) -> fold.TablesState | None:
    """Fetches the state of the tables from a peer.

    An unusable snapshot is logged.

    Args:
        snapshot_source: Fetches snapshots from peers.
        min_offset: Lowest offset of the last record that the state includes.

    Returns:
        The state, or None if there is no usable snapshot.
    """
    try:
        data = await snapshot_source.fetch_snapshot(min_offset)
        if data is None:
            return None
        state = checkpoint.restore_snapshot(data)
    except (errors.DotterelweirError, records.UnreadableRecordError) as error:
        events.log(LOG, events.SNAPSHOT_REJECTED, error=str(error))
        return None
    if state.offset < min_offset:
        events.log(
            LOG,
            events.SNAPSHOT_REJECTED,
            error=f'offset {state.offset} is below {min_offset}',
        )
        return None
    return state
