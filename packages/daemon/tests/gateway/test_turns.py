"""Many instances that follow the store in turns."""

import asyncio
import random
import types

import attrs
import pytest

from dotterelweir_core.gateway import reading
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import digests
from dotterelweird.gateway import following
from dotterelweird.gateway import keepers

STREAM = api.StoreStream.TARGETS


class MemoryStore(api.Store):
    """A store in memory that counts reads and may turn some callers away."""

    def __init__(self):
        self.records = []
        self.reads = 0
        self.turned_away = set()

    def view(self, host):
        """The store as one instance sees it."""
        return types.SimpleNamespace(
            newest=lambda stream: self._call(host, 0),
            read=lambda stream, offset: self._call(host, offset),
            decode_target=self.decode_target,
        )

    def write(self, key, state):
        value = state.encode() if state else None
        self.records.append(api.Record(key, value, len(self.records)))

    async def _call(self, host, offset):
        self.reads += 1
        await asyncio.sleep(0.002)
        if host in self.turned_away:
            raise api.StoreUnavailable('turned away')
        return api.Batch(tuple(self.records[offset:]), len(self.records))

    async def newest(self, stream):
        raise NotImplementedError

    async def read(self, stream, offset):
        raise NotImplementedError

    def decode_tables(self, record):
        raise NotImplementedError

    def decode_target(self, record):
        if record.value is None:
            return None
        return targets.Target(
            record.key,
            'model',
            '10.0.0.1',
            80,
            'a',
            6,
            targets.TargetState(record.value.decode()),
        )


@attrs.define(eq=False)
class Instance(following.Peers):
    """One instance; news and reports of others may be lost."""

    host: str
    fleet: 'Fleet'
    directory: targets.TargetDirectory = attrs.field(
        factory=targets.TargetDirectory
    )
    keeper: keepers.TargetsKeeper = attrs.field(init=False)
    follower: following.StreamFollower = attrs.field(init=False)
    asked: int = 0

    def __attrs_post_init__(self):
        fleet = self.fleet
        view = fleet.store.view(self.host)
        self.keeper = keepers.TargetsKeeper(
            view, self.directory, fleet.timers, 0.5
        )
        self.follower = following.StreamFollower(
            view,
            STREAM,
            fleet.timers,
            reading.ReadTurn(0.15, 0.5, fleet.rng),
            self.keeper,
            self,
        )

    @property
    def instances(self):
        return len(self.fleet.instances)

    def send_reports(self):
        reports = {STREAM: self.follower.report}
        sent = digests.decode(
            digests.encode(
                digests.Digest('i', 'h', 'z', 0, 0, {}, {}, reports)
            )
        )
        for other in self.others():
            other.follower.take_report(self.host, sent.reports[STREAM])

    def send_news(self, stream, records):
        if not self.fleet.loses_news:
            for other in self.others():
                other.keeper.apply(api.Batch(tuple(records), 0))

    async def newest(self, stream, host):
        self.asked += 1
        return self.fleet.by_host(host).follower.state()

    def others(self):
        return [one for one in self.fleet.instances if one is not self]


class Fleet:
    """Instances before one store."""

    def __init__(self, size):
        self.timers = timers.LoopTimerService(asyncio.get_running_loop())
        self.rng = random.Random(3)
        self.store = MemoryStore()
        self.loses_news = False
        self.instances = []
        self.instances += [Instance(f'h{n}', self) for n in range(size)]
        self._tasks = []

    def by_host(self, host):
        return next(one for one in self.instances if one.host == host)

    async def start(self):
        self._tasks = [
            asyncio.create_task(one.follower.run()) for one in self.instances
        ]
        await self.until(lambda one: one.follower.known)

    async def until(self, condition, bound_s=2.0):
        """Waits until a condition holds at every instance."""
        async with asyncio.timeout(bound_s):
            while not all(condition(one) for one in self.instances):
                await asyncio.sleep(0.005)

    def stop(self):
        for task in self._tasks:
            task.cancel()


@pytest.fixture
async def fleet():
    made = Fleet(20)
    made.store.write('t1', 'ready')
    made.store.write('t2', 'ready')
    await made.start()
    yield made
    made.stop()


async def test_one_read_serves_all(fleet):
    """Guards against reads that grow with the number of instances."""
    before = fleet.store.reads
    await asyncio.sleep(1.5)
    # Each instance by itself would read about three times a second.
    assert fleet.store.reads - before < 25


async def test_a_change_reaches_all_before_their_turn(fleet):
    """Guards against a leaving target that stays in use somewhere."""
    fleet.store.write('t1', 'draining')
    await fleet.until(lambda one: not one.directory.takes_work('t1'), 0.9)


async def test_lost_news_are_read(fleet):
    """Guards against an instance that misses a datagram."""
    fleet.loses_news = True
    fleet.store.write('t1', 'draining')
    await fleet.until(lambda one: not one.directory.takes_work('t1'), 0.9)


async def test_an_instance_that_is_turned_away_learns_from_others(fleet):
    """Guards against a store that serves only some instances."""
    fleet.loses_news = True
    fleet.store.turned_away = {'h0', 'h1'}
    fleet.store.write('t1', 'draining')
    await fleet.until(lambda one: not one.directory.takes_work('t1'))
    assert fleet.by_host('h0').asked > 0


async def test_instances_start_without_the_store_if_others_know(fleet):
    """Guards against an instance that waits for a store it cannot reach."""
    late = Instance('late', fleet)
    fleet.store.turned_away = {'late'}
    fleet.instances.append(late)
    task = asyncio.create_task(late.follower.run())
    await fleet.until(lambda one: one.follower.known)
    task.cancel()
    assert late.directory.takes_work('t1')


async def test_what_a_peer_told_is_no_report_of_a_read(fleet):
    """Guards against a report without an age, which cannot be sent.

    It ended the follower of the other stream of an instance that had started
    while the store lost answers: the instance stayed on old tables.
    """
    late = Instance('late', fleet)
    fleet.store.turned_away = {'late'}
    fleet.instances.append(late)
    task = asyncio.create_task(late.follower.run())
    while not late.follower.known:
        await asyncio.sleep(0.005)
    assert late.follower.report is None
    await fleet.until(lambda one: one.follower.report is not None)
    task.cancel()


async def test_two_beliefs_do_not_swamp_the_store(fleet):
    """Guards against instances that make each other read again and again.

    After an outage some instances wait for entries to come back, and others,
    which did not notice the outage, do not.
    """
    for host in ('h0', 'h1', 'h2', 'h3'):
        fleet.by_host(host).keeper.store_returned()
    fleet.loses_news = True
    before = fleet.store.reads
    fleet.store.write('t1', None)
    for _ in range(10):
        fleet.store.write('t2', 'ready')
        await asyncio.sleep(0.05)
    assert fleet.store.reads - before < 80
    await fleet.until(lambda one: not one.directory.takes_work('t1'))


async def test_an_outage_costs_few_calls_and_ends_at_once():
    """Guards against many instances that each keep asking a dead store."""
    fleet = Fleet(60)
    fleet.store.write('t1', 'ready')
    await fleet.start()
    try:
        fleet.store.turned_away = {one.host for one in fleet.instances}
        before = fleet.store.reads
        await asyncio.sleep(2.2)
        # With delays of up to 0.8 s each would ask about six times.
        assert fleet.store.reads - before < 4 * 60
        fleet.store.turned_away = set()
        fleet.store.write('t1', 'draining')
        await fleet.until(lambda one: not one.directory.takes_work('t1'), 1.5)
    finally:
        fleet.stop()


async def test_a_fault_of_the_program_does_not_end_the_following(
    fleet, caplog
):
    """Guards against an instance that silently stays on what it knew."""
    broken = fleet.by_host('h0')
    usual, failed = broken.keeper.apply, []

    def fail_once(batch):
        if not failed:
            failed.append(batch)
            raise RuntimeError('a fault')
        return usual(batch)

    broken.keeper.apply = fail_once
    fleet.store.write('t1', 'draining')
    await fleet.until(lambda one: not one.directory.takes_work('t1'), 3.0)
    async with asyncio.timeout(3.0):
        while not failed:
            await asyncio.sleep(0.01)
    # The broken instance reads on after its fault.
    read_s = broken.follower.report.age_s
    async with asyncio.timeout(3.0):
        while broken.follower.report.age_s >= read_s:
            await asyncio.sleep(0.01)
    assert 'follower-failed' in caplog.text
