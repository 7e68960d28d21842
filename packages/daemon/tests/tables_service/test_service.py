"""Tests of following the configuration log under faults."""

import pytest

from dotterelweir_core.tables import records
from dotterelweir_fakes.platform import log as fake_log

# Promises of the design: here, and at 370 nodes.
HERE_S = 1.0
EVERYWHERE_S = 18.0


async def test_an_edit_is_in_force_everywhere_within_a_second(make_world):
    """Guards against changes that wait for a poll."""
    world = make_world()
    for _ in range(6):
        world.start()
    await world.run(1.0)
    for _ in range(3):
        world.edit()
        await world.run(HERE_S)
        world.check()
        await world.run(7.0)
    for instance in world.instances:
        revisions = [tables.revision for tables in instance.seen]
        assert revisions == [-1, 0, 1, 2]


async def no_fault(world):
    pass


async def outage(world):
    world.log.set_faults(fake_log.LogFaults(down=True))


async def slow(world):
    world.log.set_faults(fake_log.LogFaults(delay_s=3.0))


async def cut(world):
    for instance in world.instances:
        instance.link.cut = True


async def junk(world):
    for data in (b'', b'{', b'{"version":2,"kind":"edit"}', b'\xff' * 9):
        world.append(data)


async def stale_checkpoint(world):
    data = world.checkpoint()
    world.edit('p')
    await world.run(5.0)
    world.append(data)
    world.append(data)


async def corrupt_checkpoint(world):
    world.append(world.checkpoint()[:-30] + b'"}')


async def racing_edits(world):
    read_offset = world.end - 1
    for name in 'ppq':
        world.edit(name, read_offset=read_offset)


async def repeated_edit(world):
    record = world.edit('p')
    world.edit('p')
    world.append(records.encode(record))


async def restart(world):
    world.start()
    await world.run(1.0)


FAULTS = [no_fault, outage, slow, cut, junk, stale_checkpoint]
FAULTS += [corrupt_checkpoint, racing_edits, repeated_edit, restart]


@pytest.mark.parametrize('second', FAULTS)
@pytest.mark.parametrize('first', FAULTS)
async def test_edits_are_in_force_soon_after_any_two_faults(
    make_world, first, second
):
    """Guards against tables that stay behind or revert after faults."""
    world = make_world()
    for _ in range(3):
        world.start()
    await world.run(1.0)
    world.edit('p')
    await world.run(1.0)
    for fault in (first, second):
        await fault(world)
        await world.run(4.0)
        world.edit('q')
        await world.run(40.0)
    world.log.set_faults(fake_log.LogFaults())
    for instance in world.instances:
        instance.link.cut = False
    world.edit('p')
    await world.run(EVERYWHERE_S)
    world.check()


async def test_the_tables_stay_in_force_while_the_log_is_down(
    make_world, event_names
):
    """Guards against an instance that stops serving with the log."""
    world = make_world()
    instance = world.start()
    assert instance.service.age_s is None
    await world.run(1.0)
    assert instance.service.ready
    world.edit('p')
    await world.run(1.0)
    before = instance.service.tables
    world.log.set_faults(fake_log.LogFaults(down=True))
    await world.run(100.0)
    assert instance.service.tables is before
    assert 99.0 <= instance.service.age_s <= 102.0
    assert not instance.service.log_reachable
    # One line for the outage, not one for each attempt.
    assert event_names().count('log-unreachable') == 1
    world.log.set_faults(fake_log.LogFaults())
    await world.run(5.0)
    assert event_names().count('log-reachable') == 1
    assert instance.service.log_reachable
    assert instance.service.age_s <= 5.0


@pytest.mark.parametrize('with_peer', [False, True])
async def test_start_while_the_log_is_down(make_world, with_peer):
    """Guards against an instance that waits for the log beside a peer."""
    world = make_world()
    old = world.start()
    world.edit('p')
    await world.run(1.0)
    world.log.set_faults(fake_log.LogFaults(down=True))
    new = world.start(peers=[old] if with_peer else [])
    await world.run(5.0)
    assert new.service.ready == with_peer
    if with_peer:
        world.check()
    world.log.set_faults(fake_log.LogFaults())
    world.edit('p')
    await world.run(EVERYWHERE_S)
    world.check()


async def test_an_instance_cut_off_takes_the_tables_of_its_peers(make_world):
    """Guards against a partition that keeps old tables beside a peer."""
    world = make_world()
    ahead = world.start()
    behind = world.start(peers=[ahead])
    world.edit('p')
    await world.run(1.0)
    behind.link.cut = True
    await world.run(10.0)
    world.edit('p')
    await world.run(10.0)
    assert behind.service.offset == 0
    assert behind.peers.asked == []
    behind.service.note_peer_offset(1)
    await world.run(5.0)
    assert behind.peers.asked == [1]
    world.check()
    world.edit('p')
    behind.link.cut = False
    await world.run(EVERYWHERE_S)
    world.check()


async def test_an_instance_ahead_takes_nothing_from_a_peer_behind(
    make_world, event_names
):
    """Guards against a peer whose snapshot reverts accepted edits."""
    world = make_world()
    instance = world.start()
    world.edit('p')
    await world.run(1.0)
    old = instance.service.snapshot()
    world.edit('p')
    await world.run(1.0)
    instance.link.cut = True
    instance.peers.answer = old
    instance.service.note_peer_offset(9)
    await world.run(10.0)
    world.check()
    assert 'snapshot-rejected' in event_names()


@pytest.mark.parametrize('data', [b'', b'junk', None])
async def test_a_bad_snapshot_is_refused(make_world, data):
    """Guards against a peer that stops or empties an instance."""
    world = make_world()
    world.log.set_faults(fake_log.LogFaults(down=True))
    instance = world.start()
    instance.peers.answer = data
    await world.run(10.0)
    assert not instance.service.ready
    assert not instance.task.done()


@pytest.mark.parametrize('source', ['log', 'peer', 'none'])
async def test_gap(make_world, event_names, source):
    """Guards against a gap that is passed over or that empties the tables."""
    world = make_world(retention_records=5)
    other = world.start()
    instance = world.start(peers=[other] if source == 'peer' else [])
    world.edit('p')
    await world.run(1.0)
    before = instance.service.tables
    instance.link.cut = True
    await world.run(10.0)
    for _ in range(8):
        world.edit('p')
        await world.run(0.1)
    if source == 'log':
        world.append(world.checkpoint())
    instance.link.cut = False
    await world.run(EVERYWHERE_S)
    assert 'log-gap' in event_names()
    if source == 'none':
        # The newest known state stays, and its age tells of the gap.
        assert instance.service.tables is before
        assert instance.service.age_s > EVERYWHERE_S
        assert not instance.service.log_reachable
        world.check(instance)
        return
    world.edit('p')
    await world.run(HERE_S)
    world.check()


async def test_no_start_after_expiry_without_a_checkpoint(make_world):
    """Guards against a start with empty tables when records have expired."""
    world = make_world(retention_records=2)
    for _ in range(4):
        world.edit('p')
    instance = world.start()
    await world.run(20.0)
    assert not instance.service.ready
    world.append(world.checkpoint())
    await world.run(5.0)
    world.check()


async def test_a_jump_in_a_page_is_a_gap(make_world, event_names):
    """Guards against a log that leaves records out without saying so."""
    world = make_world()
    instance = world.start()
    world.edit('p')
    await world.run(1.0)
    read = instance.link.read

    async def jump(stream, from_offset, limit, wait_s):
        page = await read(stream, from_offset, limit, wait_s)
        kept = tuple(r for r in page.records if r.offset != 2)
        return fake_log.Page(
            page.first_available_offset, page.end_offset, kept
        )

    instance.link.read = jump
    for _ in range(3):
        world.edit('p')
        await world.run(10.0)
    assert instance.service.offset == 1
    assert 'log-gap' in event_names()
    instance.link.read = read
    await world.run(10.0)
    world.check()


async def test_a_log_that_ends_early_reverts_nothing(make_world, event_names):
    """Guards against a log that lost its newest records."""
    world = make_world()
    instance = world.start()
    world.edit('p')
    world.edit('p')
    await world.run(1.0)
    before = instance.service.tables
    instance.link.log = fake_log.LogService(
        world.timer, fake_log.MemoryLog(world.timer, fake_log.LogOptions())
    )
    await world.run(20.0)
    assert instance.service.tables is before
    assert event_names().count('log-behind') == 1


async def test_a_log_that_does_not_wait_is_not_flooded(make_world):
    """Guards against a busy loop when the log ignores wait_s."""
    world = make_world()
    instance = world.start()
    world.edit('p')
    read = instance.link.read
    calls = []

    async def at_once(stream, from_offset, limit, wait_s):
        calls.append(from_offset)
        return await read(stream, from_offset, limit, 0.0)

    instance.link.read = at_once
    await world.run(10.0)
    assert len(calls) < 60
    world.edit('p')
    await world.run(HERE_S)
    world.check()


async def test_a_failing_subscriber_stops_nothing(make_world, event_names):
    """Guards against one part of the instance that blocks all others."""
    world = make_world()
    instance = world.start()

    def fail(tables):
        raise RuntimeError

    end = instance.service.subscribe(fail)
    late = []
    instance.service.subscribe(late.append)
    world.edit('p')
    await world.run(1.0)
    assert 'tables-callback-failed' in event_names()
    end()
    world.edit('p')
    await world.run(1.0)
    assert event_names().count('tables-callback-failed') == 1
    assert late == instance.seen
    world.check()


async def test_skipped_records_are_always_logged(make_world, event_names):
    """Guards against skipped records that only followers tell of."""
    world = make_world()
    world.append(b'junk')
    world.start()
    await world.run(1.0)
    assert event_names().count('record-skipped') == 1
    world.append(b'junk')
    await world.run(1.0)
    assert event_names().count('record-skipped') == 2
