"""Tests of writing checkpoints."""

import asyncio

import pytest

from dotterelweir_core.tables import records
from dotterelweir_fakes.platform import log as fake_log


async def test_one_of_several_instances_writes(make_world):
    """Guards against a checkpoint of each instance."""
    world = make_world()
    for _ in range(6):
        world.start()
    await world.run(1.0)
    for _ in range(450):
        world.edit('p')
        await world.run(1.0)
    await world.run(30.0)
    assert len(world.checkpoints()) == 2
    world.check()
    late = world.start()
    await world.run(1.0)
    world.check()
    assert late.service.tables == world.reference.tables


async def test_the_tables_survive_the_expiry_of_every_record(make_world):
    """Guards against tables that expire with the records of their edits."""
    world = make_world(retention_s=400.0)
    world.edit('p')
    world.start()
    # Many retention periods without an edit.
    await world.run(4_000.0)
    assert world.records()
    assert len(world.checkpoints()) <= 5
    world.start()
    await world.run(1.0)
    world.check()
    assert set(world.reference.tables.pools) == {'p'}


async def test_an_empty_log_gets_no_checkpoint(make_world):
    """Guards against records without need."""
    world = make_world(retention_s=400.0)
    world.start()
    await world.run(2_000.0)
    assert world.end == 0


async def test_two_writers_at_once_do_no_harm(make_world):
    """Guards against checkpoints that contradict each other."""
    world = make_world()
    world.start()
    world.start()
    await world.run(1.0)
    for _ in range(200):
        world.edit('p')
    # Both have looked at the log before either append takes effect.
    world.log.set_faults(fake_log.LogFaults(delay_s=30.0))
    await world.run(200.0)
    world.edit('p')
    world.log.set_faults(fake_log.LogFaults())
    await world.run(60.0)
    assert len(world.checkpoints()) == 2
    world.start()
    await world.run(1.0)
    world.check()


async def test_a_paused_writer_reverts_nothing(make_world):
    """Guards against a writer that appends its old state late."""
    world = make_world()
    paused = world.start()
    await world.run(1.0)
    append = paused.link.append
    held = asyncio.Event()

    async def pause(stream, data, timeout_s):
        await held.wait()
        return await append(stream, data, timeout_s)

    paused.link.append = pause
    for _ in range(200):
        world.edit('p')
    await world.run(60.0)
    world.start()
    for _ in range(200):
        world.edit('p')
    await world.run(60.0)
    world.edit('p')
    before = len(world.checkpoints())
    assert before == 1
    held.set()
    await world.run(1.0)
    assert len(world.checkpoints()) == before + 1
    world.start()
    await world.run(1.0)
    world.check()


@pytest.mark.parametrize(
    'faults',
    [
        fake_log.LogFaults(appends_down=True),
        fake_log.LogFaults(lose_responses=1),
    ],
)
async def test_a_failed_append_is_tried_again(make_world, event_names, faults):
    """Guards against one failure that ends the writing of checkpoints."""
    world = make_world()
    instance = world.start()
    for _ in range(200):
        world.edit('p')
    world.log.set_faults(faults)
    await world.run(45.0)
    assert 'checkpoint-failed' in event_names()
    world.log.set_faults(fake_log.LogFaults())
    await world.run(45.0)
    assert len(world.checkpoints()) == 1
    assert instance.link.appends <= 4
    world.check()


async def test_a_checkpoint_of_another_state_is_reported(
    make_world, event_names
):
    """Guards against instances that diverge in silence."""
    world = make_world()
    other = make_world()
    instance = world.start()
    world.edit('p', service='here')
    other.edit('p', service='elsewhere')
    for _ in range(300):
        other.edit('q')
    await world.run(1.0)
    world.append(world.checkpoint())
    await world.run(1.0)
    assert 'checkpoint-mismatch' not in event_names()
    world.append(other.checkpoint())
    await world.run(1.0)
    assert 'checkpoint-mismatch' in event_names()
    assert instance.service.tables.pools['p'].service == 'here'
    # It does not count as one that was written here.
    for _ in range(200):
        world.edit('q')
    await world.run(60.0)
    assert instance.link.appends == 1
    world.check()


async def test_an_instance_that_is_behind_writes_no_checkpoint(make_world):
    """Guards against old checkpoints that push newer records out."""
    world = make_world()
    instance = world.start()
    await world.run(1.0)
    for _ in range(200):
        world.edit('p')
    await world.run(0.1)
    read = instance.link.read

    async def only_looks(stream, from_offset, limit, wait_s):
        if wait_s:
            await asyncio.Event().wait()
        return await read(stream, from_offset, limit, wait_s)

    instance.link.read = only_looks
    await world.run(6.0)
    world.edit('p')
    await world.run(60.0)
    assert instance.service.offset < world.end - 1
    assert instance.link.appends == 0
    data = instance.service.snapshot()
    assert isinstance(records.decode(data), records.CheckpointRecord)
