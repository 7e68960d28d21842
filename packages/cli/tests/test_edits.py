"""Tests of the reader and editor of the tables."""

import random

import pytest

from dotterelweir_cli import edits
from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.platform import client
from dotterelweir_fakes.platform import log as fake_log


@pytest.mark.parametrize('has_checkpoint', [True, False])
async def test_the_client_reads_a_log_whose_first_records_expired(
    has_checkpoint,
):
    """Guards against a client that works only until records expire.

    The log keeps its last three of five records. The tables can be read only
    if a checkpoint covers the expired records.
    """
    timer = timers.VirtualTimerService()
    log = fake_log.MemoryLog(timer, fake_log.LogOptions(300.0, 3))
    state = fold.TablesState()
    for offset in range(5):
        pool = model.Pool('p', targets_model.TargetKind.SERVICE, f's{offset}')
        data = records.encode(
            records.EditRecord(f'e{offset}', offset - 1, put_pools=(pool,))
        )
        if offset == 4 and has_checkpoint:
            data = records.encode(checkpoint.make(state))
        log.append('config', (data,))
        fold.fold(state, offset, data)
    log_client = client.MemoryLogClient(fake_log.LogService(timer, log))
    editor = edits.TablesEditor(log_client, 'config', 5.0, random.Random(1))
    if has_checkpoint:
        assert await editor.read() == state
        return
    with pytest.raises(errors.DotterelweirError) as caught:
        await editor.read()
    assert caught.value.kind is errors.ErrorKind.LOG_GAP
