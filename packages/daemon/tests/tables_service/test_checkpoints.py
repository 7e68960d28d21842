"""Tests of the checkpoint writer."""

import asyncio

import pytest

from dotterelweir_core.tables import records
from dotterelweir_fakes.platform import log as fake_log


async def test_one_of_several_instances_writes(make_simulation):
    """Guards against one checkpoint from each instance."""
    simulation = make_simulation()
    for _ in range(6):
        simulation.start()
    await simulation.run(1.0)
    for _ in range(450):
        simulation.edit('p')
        await simulation.run(1.0)
    await simulation.run(30.0)
    assert len(simulation.checkpoints()) == 2
    simulation.check_tables()
    new_instance = simulation.start()
    await simulation.run(1.0)
    simulation.check_tables()
    assert new_instance.service.tables == simulation.reference.tables


async def test_the_tables_survive_the_expiry_of_every_record(make_simulation):
    """Guards against tables that expire with the records of their edits."""
    simulation = make_simulation(retention_s=400.0)
    simulation.edit('p')
    simulation.start()
    # Ten retention periods without an edit.
    await simulation.run(4_000.0)
    assert simulation.records()
    assert len(simulation.checkpoints()) <= 5
    simulation.start()
    await simulation.run(1.0)
    simulation.check_tables()
    assert set(simulation.reference.tables.pools) == {'p'}


async def test_an_empty_log_gets_no_checkpoint(make_simulation):
    """Guards against needless records in the log."""
    simulation = make_simulation(retention_s=400.0)
    simulation.start()
    await simulation.run(2_000.0)
    assert simulation.log_end == 0


async def test_concurrent_checkpoints_are_consistent(make_simulation):
    """Guards against checkpoints that contradict each other."""
    simulation = make_simulation()
    simulation.start()
    simulation.start()
    await simulation.run(1.0)
    for _ in range(200):
        simulation.edit('p')
    # Both instances read the log before either append takes effect.
    simulation.log.set_faults(fake_log.LogFaults(delay_s=30.0))
    await simulation.run(200.0)
    simulation.edit('p')
    simulation.log.set_faults(fake_log.LogFaults())
    await simulation.run(60.0)
    assert len(simulation.checkpoints()) == 2
    simulation.start()
    await simulation.run(1.0)
    simulation.check_tables()


async def test_a_paused_writer_reverts_nothing(make_simulation):
    """Guards against a revert by a late append of a stale checkpoint."""
    simulation = make_simulation()
    paused = simulation.start()
    await simulation.run(1.0)
    append = paused.log_client.append
    resumed = asyncio.Event()

    async def pause(stream, data, timeout_s):
        await resumed.wait()
        return await append(stream, data, timeout_s)

    paused.log_client.append = pause
    for _ in range(200):
        simulation.edit('p')
    await simulation.run(60.0)
    simulation.start()
    for _ in range(200):
        simulation.edit('p')
    await simulation.run(60.0)
    simulation.edit('p')
    before = len(simulation.checkpoints())
    assert before == 1
    resumed.set()
    await simulation.run(1.0)
    assert len(simulation.checkpoints()) == before + 1
    simulation.start()
    await simulation.run(1.0)
    simulation.check_tables()


@pytest.mark.parametrize(
    'faults',
    [
        fake_log.LogFaults(appends_down=True),
        fake_log.LogFaults(lose_responses=1),
    ],
)
async def test_a_failed_append_is_tried_again(
    make_simulation, event_names, faults
):
    """Guards against a failed append that stops all further checkpoints."""
    simulation = make_simulation()
    instance = simulation.start()
    for _ in range(200):
        simulation.edit('p')
    simulation.log.set_faults(faults)
    await simulation.run(45.0)
    assert 'checkpoint-failed' in event_names()
    simulation.log.set_faults(fake_log.LogFaults())
    await simulation.run(45.0)
    assert len(simulation.checkpoints()) == 1
    assert instance.log_client.appends <= 4
    simulation.check_tables()


async def test_a_checkpoint_of_another_state_is_reported(
    make_simulation, event_names
):
    """Guards against instances that diverge without a log event."""
    simulation = make_simulation()
    other = make_simulation()
    instance = simulation.start()
    simulation.edit('p', service='here')
    other.edit('p', service='elsewhere')
    for _ in range(300):
        other.edit('q')
    await simulation.run(1.0)
    simulation.append(simulation.checkpoint())
    await simulation.run(1.0)
    assert 'checkpoint-mismatch' not in event_names()
    simulation.append(other.checkpoint())
    await simulation.run(1.0)
    assert 'checkpoint-mismatch' in event_names()
    assert instance.service.tables.pools['p'].service == 'here'
    # The mismatching checkpoint does not postpone the next one.
    for _ in range(200):
        simulation.edit('q')
    await simulation.run(60.0)
    assert instance.log_client.appends == 1
    simulation.check_tables()


async def test_an_instance_that_is_behind_writes_no_checkpoint(
    make_simulation,
):
    """Guards against stale checkpoints that displace newer records."""
    simulation = make_simulation()
    instance = simulation.start()
    await simulation.run(1.0)
    for _ in range(200):
        simulation.edit('p')
    await simulation.run(0.1)
    read = instance.log_client.read

    async def read_without_waiting(stream, from_offset, limit, wait_s):
        if wait_s:
            await asyncio.Event().wait()
        return await read(stream, from_offset, limit, wait_s)

    instance.log_client.read = read_without_waiting
    await simulation.run(6.0)
    simulation.edit('p')
    await simulation.run(60.0)
    assert instance.service.offset < simulation.log_end - 1
    assert instance.log_client.appends == 0
    data = instance.service.snapshot()
    assert isinstance(records.decode(data), records.CheckpointRecord)
