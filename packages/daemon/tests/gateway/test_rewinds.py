"""Tests of rewinds of the store to an older copy, in virtual time."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import followers
from dotterelweird.gateway import api
from dotterelweird.gateway import stream_api


@pytest.fixture
async def rewound(fleet):
    """A fleet that observed the removal of t1, which the store has lost."""
    fleet.store.write('t1', None)
    await fleet.wait_until(lambda one: 't1' not in one.directory.targets)
    for _ in range(5):
        fleet.store.write('t2', 'ready')
    await fleet.advance(1.0)
    fleet.store.rewind(2)
    return fleet


async def test_a_rewind_is_noticed_by_all(rewound):
    """Guards against unread records while offsets are below the old ones."""
    rewound.store.write('t2', 'draining')
    await rewound.wait_until(lambda one: not one.directory.takes_work('t2'))


async def test_a_rewind_is_noticed_when_its_offsets_are_reached_again(fleet):
    """Guards against skipped records after a rewind.

    They are skipped if reading continues at the offset from before it.
    """
    fleet.store.write('t2', 'ready')
    await fleet.advance(1.0)
    fleet.store.rewind(2)
    fleet.store.write('t2', 'draining')
    fleet.store.write('t1', 'ready')
    await fleet.wait_until(lambda one: not one.directory.takes_work('t2'))
    assert all(one.directory.takes_work('t1') for one in fleet.instances)


async def test_targets_removed_before_a_rewind_stay_removed(rewound):
    """Guards against use of a departed target that the copy contains."""
    for _ in range(30):
        await rewound.advance(0.1)
        assert not any(
            one.directory.takes_work('t1') for one in rewound.instances
        )


async def test_targets_missing_from_a_copy_may_register_again(fleet):
    """Guards against removal of targets that registered after the copy."""
    fleet.store.write('t3', 'ready')
    await fleet.wait_until(lambda one: one.directory.takes_work('t3'))
    await fleet.advance(1.0)
    fleet.store.rewind(2)
    await fleet.advance(0.4)
    assert all(one.directory.takes_work('t3') for one in fleet.instances)
    fleet.store.write('t3', 'ready')
    await fleet.advance(2.0)
    assert all(one.directory.takes_work('t3') for one in fleet.instances)


async def test_targets_that_do_not_register_again_are_removed(fleet):
    """Guards against departed targets that stay in use for ever."""
    fleet.store.write('t3', 'ready')
    await fleet.wait_until(lambda one: one.directory.takes_work('t3'))
    await fleet.advance(1.0)
    fleet.store.rewind(2)
    await fleet.wait_until(lambda one: 't3' not in one.directory.targets, 3.0)


async def test_two_rewinds_in_a_row(rewound):
    """Guards against deferred changes of the first rewind's era."""
    await rewound.advance(0.2)
    rewound.store.rewind(1)
    rewound.store.write('t2', 'draining')
    await rewound.wait_until(lambda one: not one.directory.takes_work('t2'))
    await rewound.advance(1.5)
    assert not any(one.directory.takes_work('t1') for one in rewound.instances)
    rewound.store.write('t1', 'ready')
    await rewound.wait_until(lambda one: one.directory.takes_work('t1'))


async def test_a_cut_off_instance_catches_up_with_two_rewinds(fleet):
    """Guards against a stale instance that missed an era."""
    fleet.loses_notices = True
    fleet.store.refused_hosts = {'h0'}
    fleet.store.rewind(1)
    await fleet.advance(1.0)
    fleet.store.rewind(1)
    fleet.store.write('t2', 'ready')
    fleet.store.write('t1', 'draining')
    await fleet.advance(1.0)
    fleet.store.refused_hosts = set()
    await fleet.wait_until(lambda one: not one.directory.takes_work('t1'), 3.0)
    # The next heartbeat of t2; the previous one may be part of the copy.
    fleet.store.write('t2', 'ready')
    await fleet.wait_until(lambda one: one.directory.takes_work('t2'))


async def test_a_late_answer_of_an_earlier_era_changes_nothing(rewound):
    """Guards against stale answers that make the era fall."""
    await rewound.advance(1.0)
    rewound.store.era = 0
    rewound.store.write('t1', 'ready')
    await rewound.advance(2.0)
    assert not any(one.directory.takes_work('t1') for one in rewound.instances)
    rewound.store.era = 1
    rewound.store.write('t2', 'draining')
    await rewound.wait_until(
        lambda one: not one.directory.takes_work('t2'), 3.0
    )


async def test_a_store_that_stays_at_a_lower_era_is_accepted(rewound):
    """Guards against instances that ignore a replaced store for ever."""
    await rewound.advance(1.0)
    rewound.store.era = 0
    rewound.store.write('t2', 'draining')
    await rewound.wait_until(
        lambda one: not one.directory.takes_work('t2'), 9.0
    )


async def test_a_peer_with_a_higher_era_costs_few_reads(fleet):
    """Guards against a peer whose false era causes reads without end."""
    before = fleet.store.reads
    false_report = stream_api.ReadReport(99, 'other', 0.0, era=7)
    record = api.Record('t1', b'draining', 99)
    for _ in range(30):
        for one in fleet.instances:
            one.follower.handle_report('h0', false_report)
            one.follower.apply_record_notice(api.Batch((record,), 0, era=7))
        await fleet.advance(0.05)
    assert fleet.store.reads - before < 80
    assert all(one.directory.takes_work('t1') for one in fleet.instances)
    fleet.store.write('t2', 'draining')
    await fleet.wait_until(lambda one: not one.directory.takes_work('t2'))


async def test_record_notices_of_an_earlier_era_change_nothing(rewound):
    """Guards against notices of a peer that has not observed the rewind."""
    await rewound.advance(1.0)
    record = api.Record('t2', None, 900)
    for one in rewound.instances:
        one.follower.apply_record_notice(api.Batch((record,), 0, era=0))
    assert all(one.directory.takes_work('t2') for one in rewound.instances)


async def test_an_instance_started_after_a_rewind_gets_state_from_peers(
    rewound,
):
    """Guards against ignored records after state was taken from a peer.

    They are ignored if the peer's offsets of an earlier era stay in force.
    """
    await rewound.advance(1.5)
    new_instance = followers.Instance('late', rewound)
    rewound.store.refused_hosts = {'late'}
    rewound.instances.append(new_instance)
    task = asyncio.create_task(new_instance.follower.run())
    await rewound.wait_until(lambda one: one.follower.has_state)
    rewound.store.refused_hosts = set()
    rewound.store.write('t2', 'draining')
    await rewound.wait_until(lambda one: not one.directory.takes_work('t2'))
    task.cancel()
