"""Tests of many instances that share reads of the store, in virtual time."""

import asyncio

import pytest

from dotterelweir_core.gateway import targets
from dotterelweir_fakes.fleet import followers
from dotterelweird.gateway import api


async def test_one_read_serves_all(fleet):
    """Guards against reads that grow with the number of instances."""
    before = fleet.store.reads
    await fleet.advance(1.5)
    # Without sharing, each instance would read about three times a second.
    assert fleet.store.reads - before < 25


async def test_a_change_reaches_all_before_their_scheduled_reads(fleet):
    """Guards against an instance that keeps using a draining target."""
    fleet.store.write('t1', 'draining')
    await fleet.wait_until(
        lambda instance: not instance.directory.takes_work('t1'), 0.9
    )


async def test_a_lost_change_is_read_from_the_store(fleet):
    """Guards against an instance that stays stale after a lost datagram."""
    fleet.loses_notices = True
    fleet.store.write('t1', 'draining')
    await fleet.wait_until(
        lambda instance: not instance.directory.takes_work('t1'), 0.9
    )


async def test_a_lost_change_is_read_soon_after_the_first_read(fleet):
    """Guards against a change that waits for every instance's own read."""
    fleet.loses_notices = True
    fleet.store.write('t1', 'draining')

    def knows(instance):
        return not instance.directory.takes_work('t1')

    await fleet.wait_until(lambda _: any(map(knows, fleet.instances)))
    await fleet.wait_until(knows, 0.15)


async def test_changes_that_arrive_after_the_report_cause_no_reads():
    """Guards against reads that grow with the number of instances.

    Reports and changes take different relays, so that the report of a read
    may arrive before the change that it found. Seen in a large deployment: 13
    of 195 instances read after each change.
    """
    async with followers.running(60) as fleet:
        fleet.notice_delay_s = 0.03
        before = fleet.store.reads
        for state in ('draining', 'ready') * 5:
            fleet.store.write('t1', state)
            await fleet.advance(0.5)
        # The scheduled reads alone are about four a second.
        assert fleet.store.reads - before < 2 * 4 * 5


async def test_an_instance_rejected_by_the_store_learns_from_peers(fleet):
    """Guards against stale instances when the store serves only some."""
    fleet.loses_notices = True
    fleet.store.refused_hosts = {'h0', 'h1'}
    fleet.store.write('t1', 'draining')
    await fleet.wait_until(
        lambda instance: not instance.directory.takes_work('t1')
    )
    assert fleet.by_host('h0').state_fetches > 0


async def test_an_instance_starts_without_the_store_from_its_peers(fleet):
    """Guards against an instance that cannot start without the store."""
    late = followers.Instance('late', fleet)
    fleet.store.refused_hosts = {'late'}
    fleet.instances.append(late)
    task = asyncio.create_task(late.follower.run())
    await fleet.wait_until(lambda instance: instance.follower.has_state)
    task.cancel()
    assert late.directory.takes_work('t1')


async def test_state_from_a_peer_is_not_reported_as_a_read(fleet):
    """Guards against a report without an age, which cannot be encoded.

    The instance had started while answers of the store were lost. Such a
    report of one stream ended the follower of its other stream, so that it
    kept old tables.
    """
    late = followers.Instance('late', fleet)
    fleet.store.refused_hosts = {'late'}
    fleet.instances.append(late)
    task = asyncio.create_task(late.follower.run())
    await fleet.wait_until(lambda instance: instance.follower.has_state)
    assert late.follower.report is None
    await fleet.wait_until(
        lambda instance: instance.follower.report is not None
    )
    task.cancel()


async def test_two_different_views_do_not_overload_the_store(fleet):
    """Guards against instances that cause each other to read repeatedly.

    After an outage, instances that noticed it defer removals until entries
    are restored, and the other instances do not.
    """
    for host in ('h0', 'h1', 'h2', 'h3'):
        keeper = fleet.by_host(host).keeper
        keeper.on_store_recovered(fleet.timers.monotonic_s())
    fleet.loses_notices = True
    before = fleet.store.reads
    fleet.store.write('t1', None)
    for _ in range(10):
        fleet.store.write('t2', 'ready')
        await fleet.advance(0.05)
    assert fleet.store.reads - before < 80
    await fleet.wait_until(
        lambda instance: not instance.directory.takes_work('t1')
    )


async def test_a_lasting_difference_does_not_overload_the_store(fleet):
    """Guards against repeated reads for a difference that no read resolves.

    One instance cannot decode an entry that the others can decode, as during
    a rolling update of the program.
    """
    differing = fleet.by_host('h0')
    original = fleet.store.decode_target

    def decode(record):
        if record.key == 't3':
            raise api.RecordInvalid('of a newer form')
        return original(record)

    differing.view.decode_target = decode
    fleet.store.write('t3', 'ready')
    await fleet.wait_until(
        lambda instance: (
            instance is differing or instance.directory.takes_work('t3')
        )
    )
    before = fleet.store.reads
    for _ in range(20):
        fleet.store.write('t2', 'ready')
        await fleet.advance(0.1)
    # Two groups of instances, each with at most one read in 0.15 s.
    assert fleet.store.reads - before <= 2 * 2.0 / 0.15


async def test_an_outage_costs_few_calls_and_ends_at_once():
    """Guards against many instances that all poll an unavailable store."""
    async with followers.running(60) as fleet:
        fleet.store.refused_hosts = {
            instance.host for instance in fleet.instances
        }
        before = fleet.store.reads
        await fleet.advance(2.2)
        # With delays of up to 0.8 s each would read about six times.
        assert fleet.store.reads - before < 4 * 60
        fleet.store.refused_hosts = set()
        fleet.store.write('t1', 'draining')
        await fleet.wait_until(
            lambda instance: not instance.directory.takes_work('t1'), 1.5
        )


async def test_a_program_error_does_not_end_a_follower(fleet, caplog):
    """Guards against an instance that silently keeps a stale state."""
    broken = fleet.by_host('h0')
    original, failed = broken.keeper.apply, []

    def fail_once(batch):
        if not failed:
            failed.append(batch)
            raise RuntimeError('a fault')
        return original(batch)

    broken.keeper.apply = fail_once
    # A broadcast would raise the error at the instance that sends it.
    fleet.loses_notices = True
    fleet.store.write('t1', 'draining')
    await fleet.wait_until(
        lambda instance: not instance.directory.takes_work('t1'), 3.0
    )
    assert failed
    # The broken instance continues to read after its error.
    read_s = broken.follower.report.age_s
    await fleet.wait_until(
        lambda instance: (
            instance is not broken or instance.follower.report.age_s < read_s
        ),
        3.0,
    )
    assert 'follower-failed' in caplog.text


async def test_removals_after_a_partial_outage_are_applied_at_once():
    """Guards against work for a target that left after a partial outage.

    Seen in the benchmark (day trouble-1, third deployment, seed 1): an
    instance whose reads the store had refused followed its peers, made its
    own next read four seconds after the outage, and only then deferred
    removals for two seconds.
    """
    async with followers.running(20, settle_s=2.0) as fleet:
        fleet.loses_notices = True
        fleet.store.refused_hosts = {'h0'}
        rejected_follower = fleet.by_host('h0').follower
        while rejected_follower.store_available:
            await fleet.advance(0.05)
        await fleet.advance(2.5)
        fleet.store.refused_hosts = set()
        assert not rejected_follower.store_available
        fleet.store.write('t1', None)
        await fleet.wait_until(
            lambda instance: 't1' not in instance.directory.targets, 0.9
        )


async def test_removals_are_deferred_from_the_first_read_of_any_instance():
    """Guards against deferrals that restart with each instance's own read."""
    async with followers.running(20, settle_s=2.0) as fleet:
        fleet.store.refused_hosts = {
            instance.host for instance in fleet.instances
        }
        await fleet.advance(4.0)
        fleet.store.write('t1', None)
        fleet.store.refused_hosts = {'h0'}
        await fleet.advance(1.5)
        assert fleet.by_host('h0').directory.takes_work('t1')
        fleet.store.refused_hosts = set()
        await fleet.wait_until(
            lambda instance: 't1' not in instance.directory.targets, 2.0
        )


@pytest.mark.parametrize('seed', range(8))
async def test_an_entry_restored_in_time_cancels_its_removal(seed):
    """Guards against the removal of a target that registered again in time.

    When its deferred removal is due, its new entry is in the store but has
    not been read yet. Seen once in a test with real processes.
    """
    async with followers.running(1, settle_s=2.0, seed=seed) as fleet:
        single_instance = fleet.by_host('h0')
        fleet.store.refused_hosts = {'h0'}
        await fleet.advance(2.0)
        fleet.store.write('t1', None)
        fleet.store.write('t2', None)
        fleet.store.refused_hosts = set()
        await fleet.wait_until(
            lambda instance: instance.follower.store_available
        )
        returned_s = fleet.timers.monotonic_s()
        await fleet.advance(1.99)
        fleet.store.write('t1', 'ready')
        while 't2' in single_instance.directory.targets:
            assert fleet.timers.monotonic_s() < returned_s + 3.0
            assert single_instance.directory.takes_work('t1')
            await fleet.advance(0.002)
        assert single_instance.directory.takes_work('t1')


async def test_deferred_removals_are_applied_without_a_further_read():
    """Guards against a removed target that stays in use in a second outage."""
    async with followers.running(1, settle_s=2.0) as fleet:
        fleet.store.refused_hosts = {'h0'}
        await fleet.advance(2.0)
        fleet.store.write('t1', None)
        fleet.store.refused_hosts = set()
        await fleet.wait_until(
            lambda instance: instance.follower.store_available
        )
        await fleet.advance(1.0)
        fleet.store.refused_hosts = {'h0'}
        await fleet.wait_until(
            lambda instance: 't1' not in instance.directory.targets, 2.1
        )


async def test_a_store_record_of_an_announced_departure_is_passed_on(
    fleet,
):
    """Guards against a state for peers that differs from its report.

    The target announced its departure before the store recorded it, so that
    the record changes nothing for requests.
    """
    departure = targets.Departure('t1', 0, True)
    for instance in fleet.instances:
        assert instance.keeper.apply_departure(departure)
    before = fleet.by_host('h0').keeper.fingerprint
    fleet.store.write('t1', 'draining')
    await fleet.wait_until(
        lambda instance: instance.keeper.fingerprint != before
    )
    for instance in fleet.instances:
        states = {
            record.key: fleet.store.decode_target(record).state
            for record in instance.follower.state().records
        }
        assert states == {
            't1': targets.TargetState.DRAINING,
            't2': targets.TargetState.READY,
        }


async def test_a_record_of_an_announced_departure_causes_few_reads(fleet):
    """Guards against a read by every instance for a change found by one."""
    departure = targets.Departure('t1', 0, True)
    for instance in fleet.instances:
        instance.keeper.apply_departure(departure)
    contents = {instance.keeper.fingerprint for instance in fleet.instances}
    await fleet.advance(1.0)
    before = fleet.store.reads
    fleet.store.write('t1', 'draining')
    await fleet.wait_until(
        lambda instance: instance.keeper.fingerprint not in contents
    )
    # The read that found the change, and those already in progress.
    assert fleet.store.reads - before <= 4
