"""Tests of reading the configuration log under faults."""

import pytest

from dotterelweir_core.tables import records
from dotterelweir_fakes.platform import log as fake_log

# Bounds of the design on the propagation time of an edit, in seconds: on one
# machine, and with 370 instances.
PROPAGATION_MAX_S = 1.0
PROPAGATION_370_NODES_MAX_S = 18.0


async def test_an_edit_is_in_force_everywhere_within_a_second(make_simulation):
    """Guards against a propagation delay of a poll interval."""
    simulation = make_simulation()
    for _ in range(6):
        simulation.start()
    await simulation.run(1.0)
    for _ in range(3):
        simulation.edit()
        await simulation.run(PROPAGATION_MAX_S)
        simulation.check_tables()
        await simulation.run(7.0)
    for instance in simulation.instances:
        revisions = [tables.revision for tables in instance.received]
        assert revisions == [-1, 0, 1, 2]


async def no_fault(simulation):
    pass


async def outage(simulation):
    simulation.log.set_faults(fake_log.LogFaults(down=True))


async def slow(simulation):
    simulation.log.set_faults(fake_log.LogFaults(delay_s=3.0))


async def cut(simulation):
    for instance in simulation.instances:
        instance.log_client.disconnected = True


async def junk(simulation):
    for data in (b'', b'{', b'{"version":2,"kind":"edit"}', b'\xff' * 9):
        simulation.append(data)


async def stale_checkpoint(simulation):
    data = simulation.checkpoint()
    simulation.edit('p')
    await simulation.run(5.0)
    simulation.append(data)
    simulation.append(data)


async def corrupt_checkpoint(simulation):
    simulation.append(simulation.checkpoint()[:-30] + b'"}')


async def racing_edits(simulation):
    read_offset = simulation.log_end - 1
    for name in 'ppq':
        simulation.edit(name, read_offset=read_offset)


async def repeated_edit(simulation):
    record = simulation.edit('p')
    simulation.edit('p')
    simulation.append(records.encode(record))


async def restart(simulation):
    simulation.start()
    await simulation.run(1.0)


FAULTS = [no_fault, outage, slow, cut, junk, stale_checkpoint]
FAULTS += [corrupt_checkpoint, racing_edits, repeated_edit, restart]


@pytest.mark.parametrize('second', FAULTS)
@pytest.mark.parametrize('first', FAULTS)
async def test_edits_are_in_force_soon_after_any_two_faults(
    make_simulation, first, second
):
    """Guards against tables that stay stale or revert after faults."""
    simulation = make_simulation()
    for _ in range(3):
        simulation.start()
    await simulation.run(1.0)
    simulation.edit('p')
    await simulation.run(1.0)
    for fault in (first, second):
        await fault(simulation)
        await simulation.run(4.0)
        simulation.edit('q')
        await simulation.run(40.0)
    simulation.log.set_faults(fake_log.LogFaults())
    for instance in simulation.instances:
        instance.log_client.disconnected = False
    simulation.edit('p')
    await simulation.run(PROPAGATION_370_NODES_MAX_S)
    simulation.check_tables()


async def test_the_tables_stay_in_force_while_the_log_is_down(
    make_simulation, event_names
):
    """Guards against an instance that drops its tables in a log outage."""
    simulation = make_simulation()
    instance = simulation.start()
    assert instance.service.age_s is None
    await simulation.run(1.0)
    assert instance.service.ready
    simulation.edit('p')
    await simulation.run(1.0)
    before = instance.service.tables
    simulation.log.set_faults(fake_log.LogFaults(down=True))
    await simulation.run(100.0)
    assert instance.service.tables is before
    assert 99.0 <= instance.service.age_s <= 102.0
    assert not instance.service.log_reachable
    # The outage is logged once, not for each attempt.
    assert event_names().count('log-unreachable') == 1
    simulation.log.set_faults(fake_log.LogFaults())
    await simulation.run(5.0)
    assert event_names().count('log-reachable') == 1
    assert instance.service.log_reachable
    assert instance.service.age_s <= 5.0


@pytest.mark.parametrize('with_peer', [False, True])
async def test_start_while_the_log_is_down(make_simulation, with_peer):
    """Guards against waiting for the log although a peer has the tables."""
    simulation = make_simulation()
    old = simulation.start()
    simulation.edit('p')
    await simulation.run(1.0)
    simulation.log.set_faults(fake_log.LogFaults(down=True))
    new = simulation.start(peers=[old] if with_peer else [])
    await simulation.run(5.0)
    assert new.service.ready == with_peer
    if with_peer:
        simulation.check_tables()
    simulation.log.set_faults(fake_log.LogFaults())
    simulation.edit('p')
    await simulation.run(PROPAGATION_370_NODES_MAX_S)
    simulation.check_tables()


async def test_a_partitioned_instance_takes_the_tables_of_its_peers(
    make_simulation,
):
    """Guards against stale tables although a reachable peer is ahead."""
    simulation = make_simulation()
    ahead = simulation.start()
    behind = simulation.start(peers=[ahead])
    simulation.edit('p')
    await simulation.run(1.0)
    behind.log_client.disconnected = True
    await simulation.run(10.0)
    simulation.edit('p')
    await simulation.run(10.0)
    assert behind.service.offset == 0
    assert behind.peers.requested_offsets == []
    behind.service.note_peer_offset(1)
    await simulation.run(5.0)
    assert behind.peers.requested_offsets == [1]
    simulation.check_tables()
    simulation.edit('p')
    behind.log_client.disconnected = False
    await simulation.run(PROPAGATION_370_NODES_MAX_S)
    simulation.check_tables()


async def test_an_instance_ahead_takes_nothing_from_a_peer_behind(
    make_simulation, event_names
):
    """Guards against a stale snapshot that reverts accepted edits."""
    simulation = make_simulation()
    instance = simulation.start()
    simulation.edit('p')
    await simulation.run(1.0)
    old = instance.service.snapshot()
    simulation.edit('p')
    await simulation.run(1.0)
    instance.log_client.disconnected = True
    instance.peers.fixed_snapshot = old
    instance.service.note_peer_offset(9)
    await simulation.run(10.0)
    simulation.check_tables()
    assert 'snapshot-rejected' in event_names()


@pytest.mark.parametrize('data', [b'', b'junk', None])
async def test_a_bad_snapshot_is_refused(make_simulation, data):
    """Guards against a snapshot that stops the service or empties tables."""
    simulation = make_simulation()
    simulation.log.set_faults(fake_log.LogFaults(down=True))
    instance = simulation.start()
    instance.peers.fixed_snapshot = data
    await simulation.run(10.0)
    assert not instance.service.ready
    assert not instance.task.done()


@pytest.mark.parametrize('source', ['log', 'peer', 'none'])
async def test_recovery_from_a_gap(make_simulation, event_names, source):
    """Guards against a gap that is ignored or that empties the tables."""
    simulation = make_simulation(retention_records=5)
    other = simulation.start()
    instance = simulation.start(peers=[other] if source == 'peer' else [])
    simulation.edit('p')
    await simulation.run(1.0)
    before = instance.service.tables
    instance.log_client.disconnected = True
    await simulation.run(10.0)
    for _ in range(8):
        simulation.edit('p')
        await simulation.run(0.1)
    if source == 'log':
        simulation.append(simulation.checkpoint())
    instance.log_client.disconnected = False
    await simulation.run(PROPAGATION_370_NODES_MAX_S)
    assert 'log-gap' in event_names()
    if source == 'none':
        # The newest known tables stay in force, and their age increases.
        assert instance.service.tables is before
        assert instance.service.age_s > PROPAGATION_370_NODES_MAX_S
        assert not instance.service.log_reachable
        simulation.check_tables(instance)
        return
    simulation.edit('p')
    await simulation.run(PROPAGATION_MAX_S)
    simulation.check_tables()


async def test_no_start_after_expiry_without_a_checkpoint(make_simulation):
    """Guards against a start with empty tables when records have expired."""
    simulation = make_simulation(retention_records=2)
    for _ in range(4):
        simulation.edit('p')
    instance = simulation.start()
    await simulation.run(20.0)
    assert not instance.service.ready
    simulation.append(simulation.checkpoint())
    await simulation.run(5.0)
    simulation.check_tables()


async def test_a_missing_record_in_a_page_is_a_gap(
    make_simulation, event_names
):
    """Guards against a log that omits records without an error."""
    simulation = make_simulation()
    instance = simulation.start()
    simulation.edit('p')
    await simulation.run(1.0)
    read = instance.log_client.read

    async def read_with_gap(stream, from_offset, limit, wait_s):
        page = await read(stream, from_offset, limit, wait_s)
        kept = tuple(r for r in page.records if r.offset != 2)
        return fake_log.Page(
            page.first_available_offset, page.end_offset, kept
        )

    instance.log_client.read = read_with_gap
    for _ in range(3):
        simulation.edit('p')
        await simulation.run(10.0)
    assert instance.service.offset == 1
    assert 'log-gap' in event_names()
    instance.log_client.read = read
    await simulation.run(10.0)
    simulation.check_tables()


async def test_a_log_that_ends_early_reverts_nothing(
    make_simulation, event_names
):
    """Guards against reverting when the log lost its newest records."""
    simulation = make_simulation()
    instance = simulation.start()
    simulation.edit('p')
    simulation.edit('p')
    await simulation.run(1.0)
    before = instance.service.tables
    instance.log_client.log = fake_log.LogService(
        simulation.timer,
        fake_log.MemoryLog(simulation.timer, fake_log.LogOptions()),
    )
    await simulation.run(20.0)
    assert instance.service.tables is before
    assert event_names().count('log-behind') == 1


async def test_a_log_that_does_not_wait_is_not_flooded(make_simulation):
    """Guards against a busy loop when the log ignores wait_s."""
    simulation = make_simulation()
    instance = simulation.start()
    simulation.edit('p')
    read = instance.log_client.read
    calls = []

    async def read_without_waiting(stream, from_offset, limit, wait_s):
        calls.append(from_offset)
        return await read(stream, from_offset, limit, 0.0)

    instance.log_client.read = read_without_waiting
    await simulation.run(10.0)
    assert len(calls) < 60
    simulation.edit('p')
    await simulation.run(PROPAGATION_MAX_S)
    simulation.check_tables()


async def test_a_failing_subscriber_does_not_stop_the_service(
    make_simulation, event_names
):
    """Guards against an error in one subscriber that affects the others."""
    simulation = make_simulation()
    instance = simulation.start()

    def fail(tables):
        raise RuntimeError

    unsubscribe = instance.service.subscribe(fail)
    received_by_other = []
    instance.service.subscribe(received_by_other.append)
    simulation.edit('p')
    await simulation.run(1.0)
    assert 'tables-callback-failed' in event_names()
    unsubscribe()
    simulation.edit('p')
    await simulation.run(1.0)
    assert event_names().count('tables-callback-failed') == 1
    assert received_by_other == instance.received
    simulation.check_tables()


async def test_skipped_records_are_always_logged(make_simulation, event_names):
    """Guards against skipped records that are not logged during a replay."""
    simulation = make_simulation()
    simulation.append(b'junk')
    simulation.start()
    await simulation.run(1.0)
    assert event_names().count('record-skipped') == 1
    simulation.append(b'junk')
    await simulation.run(1.0)
    assert event_names().count('record-skipped') == 2
