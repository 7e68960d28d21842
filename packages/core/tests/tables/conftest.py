"""Fixtures with a log that is folded while records are appended."""

import pytest

from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model


class Log:
    """Holds the records of a log, their folded state and checkpoints."""

    def __init__(self):
        self.state = fold.TablesState()
        self.data = []
        self.checkpoints = {}

    @staticmethod
    def pool(name, service='s'):
        return model.Pool(name, targets_model.TargetKind.SERVICE, service)

    def put(self, edit_id, read_offset, name='p', service='s'):
        """Creates an edit that puts one pool."""
        row = self.pool(name, service)
        return records.EditRecord(edit_id, read_offset, put_pools=(row,))

    def delete(self, edit_id, read_offset, *names):
        """Creates an edit that deletes pools."""
        return records.EditRecord(edit_id, read_offset, delete_pools=names)

    def append(self, *items):
        """Appends records or bytes; returns the outcome of the last one."""
        for item in items:
            data = item if isinstance(item, bytes) else records.encode(item)
            result = fold.fold(self.state, len(self.data), data)
            self.data.append(data)
        return result

    def fill(self, count, rows=1, service='s'):
        """Appends accepted edits of other rows in round-robin order.

        With more than one row, a checkpoint is kept after each edit.
        """
        for _ in range(count):
            offset = self.state.offset
            name = f'other{offset % rows}'
            self.append(self.put(f'fill{offset}', offset, name, service))
            if rows > 1:
                record = checkpoint.make(self.state)
                self.checkpoints[record.covers_offset] = record

    def replay(self, first_available):
        """Returns the state that a replay of the log gives."""
        log_replay = checkpoint.LogReplay(first_available)
        for offset in range(first_available, len(self.data)):
            log_replay.add(offset, self.data[offset])
        return log_replay.finish()


@pytest.fixture
def make_log():
    """Returns a function that creates an empty log."""
    return Log


@pytest.fixture
def log():
    """Returns an empty log."""
    return Log()
