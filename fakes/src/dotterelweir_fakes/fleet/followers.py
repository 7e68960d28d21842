"""Simulates instances that follow a store in turns, in virtual time."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import random
import types

import attrs

from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import reading
from dotterelweir_core.gateway import roster
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import digests
from dotterelweird.gateway import following
from dotterelweird.gateway import keepers
from dotterelweird.gateway import statistics
from dotterelweird.gateway import stream_api

STREAM = api.StoreStream.TARGETS
# Iterations of the event loop after which every woken task has run.
_EVENT_LOOP_TURNS = 6


class MemoryStore(api.Store):
    """A store in memory that can refuse the reads of some instances.

    Attributes:
        records: All records, in order.
        reads: Number of reads, including refused ones.
        era: Era of the store; each rewind increments it.
        refused_hosts: Hosts of the instances whose reads are refused.
    """

    def __init__(self, timer_service: core_timers.TimerService) -> None:
        self._timers = timer_service
        self.records: list[api.Record] = []
        self.reads = 0
        self.era = 0
        self.refused_hosts: set[str] = set()

    def view(self, host: str) -> types.SimpleNamespace:
        """Returns the store as one instance accesses it.

        Args:
            host: Host of the instance.
        """
        return types.SimpleNamespace(
            read_snapshot=lambda stream: self._call(host, 0),
            read=lambda stream, offset: self._call(host, offset),
            decode_target=self.decode_target,
        )

    def write(self, key: str, state: str | None) -> None:
        """Appends a record of a target.

        Args:
            key: Name of the target.
            state: State of the target; None to remove it.
        """
        value = state.encode() if state else None
        self.records.append(api.Record(key, value, len(self.records)))

    def rewind(self, end: int) -> None:
        """Restores a backup, which begins a new era.

        Args:
            end: Number of records in the backup.
        """
        self.era += 1
        del self.records[end:]

    async def _call(self, host: str, offset: int) -> api.Batch:
        self.reads += 1
        await timers.sleep(self._timers, 0.002)
        if host in self.refused_hosts:
            raise api.StoreUnavailable('the store refuses this host')
        if offset > len(self.records):
            raise api.RecordsExpired('the offset does not exist')
        remaining = tuple(self.records[offset:])
        return api.Batch(remaining, len(self.records), era=self.era)

    async def read_snapshot(self, stream: api.StoreStream) -> api.Batch:
        raise NotImplementedError

    async def read(self, stream: api.StoreStream, offset: int) -> api.Batch:
        raise NotImplementedError

    async def read_roster(self) -> tuple[roster.Entry, ...]:
        raise NotImplementedError

    async def write_roster_entry(self, entry: roster.Entry) -> None:
        raise NotImplementedError

    async def remove_roster_entry(self, instance_id: str) -> None:
        raise NotImplementedError

    def decode_tables(self, record: api.Record) -> None:
        raise NotImplementedError

    def evacuated_zone(self, record: api.Record) -> None:
        raise NotImplementedError

    def decode_evacuation(self, record: api.Record) -> bool:
        raise NotImplementedError

    def decode_target(self, record: api.Record) -> targets.Target | None:
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
class Instance(stream_api.Peers):
    """One instance of the fleet.

    Attributes:
        host: Host of the instance.
        fleet: The fleet, which connects it to the others.
        directory: Its directory of targets.
        view: The store as this instance accesses it.
        keeper: Applies records to the directory.
        follower: Reads the store in turns with the other instances.
        state_fetches: Number of times that it requested the state of
            another instance.
    """

    host: str
    fleet: 'Fleet'
    directory: targets.TargetDirectory = attrs.field(
        factory=targets.TargetDirectory
    )
    view: types.SimpleNamespace = attrs.field(init=False)
    keeper: keepers.TargetsKeeper = attrs.field(init=False)
    follower: following.StreamFollower = attrs.field(init=False)
    state_fetches: int = 0

    def __attrs_post_init__(self) -> None:
        fleet = self.fleet
        self.view = fleet.store.view(self.host)
        self.keeper = keepers.TargetsKeeper(
            self.view, self.directory, fleet.timers, fleet.settle_s
        )
        self.follower = following.StreamFollower(
            self.view,
            STREAM,
            fleet.timers,
            reading.ReadSchedule(0.15, 0.5, fleet.rng),
            self.keeper,
            self,
            statistics.Statistics(),
        )

    @property
    def instance_count(self) -> int:
        return len(self.fleet.instances)

    def send_reports(self) -> None:
        if self.follower.report is None:
            return
        reports = {STREAM: self.follower.report}
        decoded = digests.decode(
            digests.encode(
                digests.Digest('i', '10.0.0.1', 'z', 0, 0, {}, {}, reports)
            )
        )
        for other in self.others():
            other.follower.handle_report(self.host, decoded.reports[STREAM])

    def send_record_notice(
        self, stream: api.StoreStream, records: list[api.Record], era: int
    ) -> None:
        if not self.fleet.loses_notices:
            batch = api.Batch(tuple(records), 0, era=era)
            for other in self.others():
                self.fleet.timers.call_after(
                    self.fleet.notice_delay_s,
                    functools.partial(
                        other.follower.apply_record_notice, batch
                    ),
                )

    async def fetch_state(
        self, stream: api.StoreStream, host: str
    ) -> api.Batch:
        self.state_fetches += 1
        follower = self.fleet.by_host(host).follower
        if follower.report is None or not follower.report.fingerprint:
            raise api.StoreUnavailable('the instance has no complete state')
        return follower.state()

    def others(self) -> list['Instance']:
        """Returns all instances except this one."""
        return [
            instance
            for instance in self.fleet.instances
            if instance is not self
        ]


class Fleet:
    """Instances that follow one store.

    Attributes:
        settle_s: Settling time after an outage of the store, in seconds.
        timers: Source of virtual time.
        rng: Random source of the turns.
        store: The store.
        loses_notices: Whether record notices are lost.
        notice_delay_s: Delay of record notices, in seconds.
        instances: The instances.
    """

    def __init__(
        self, size: int, settle_s: float = 0.5, seed: int = 3
    ) -> None:
        self.settle_s = settle_s
        self.timers = core_timers.VirtualTimerService()
        self.rng = random.Random(seed)
        self.store = MemoryStore(self.timers)
        self.loses_notices = False
        self.notice_delay_s = 0.0
        self.instances: list[Instance] = []
        self.instances += [Instance(f'h{n}', self) for n in range(size)]
        self._tasks: list[asyncio.Task] = []

    def by_host(self, host: str) -> Instance:
        """Returns the instance with a host."""
        return next(
            instance for instance in self.instances if instance.host == host
        )

    async def start(self) -> None:
        """Starts all followers and waits until they have their state."""
        self._tasks = [
            asyncio.create_task(instance.follower.run())
            for instance in self.instances
        ]
        await self.wait_until(lambda instance: instance.follower.has_state)

    async def advance(self, seconds: float) -> None:
        """Advances the virtual time and runs every task that is due.

        Args:
            seconds: Time by which to advance, in seconds.
        """
        end_s = self.timers.monotonic_s() + seconds
        while True:
            for _ in range(_EVENT_LOOP_TURNS):
                await asyncio.sleep(0)
            due_s = self.timers.next_due_s()
            if due_s is None or due_s > end_s:
                break
            self.timers.advance_to(due_s)
        self.timers.advance_to(end_s)

    async def wait_until(
        self, condition: Callable[[Instance], bool], bound_s: float = 2.0
    ) -> None:
        """Advances the virtual time until every instance fulfils a condition.

        Args:
            condition: The condition.
            bound_s: Time within which it must hold, in seconds.

        Raises:
            AssertionError: The condition did not hold in time.
        """
        end_s = self.timers.monotonic_s() + bound_s
        while not all(condition(instance) for instance in self.instances):
            assert self.timers.monotonic_s() < end_s
            await self.advance(0.002)

    def stop(self) -> None:
        """Cancels the followers."""
        for task in self._tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def running(
    size: int, settle_s: float = 0.5, seed: int = 3
) -> AsyncIterator[Fleet]:
    """Runs instances that follow a store with the targets t1 and t2.

    Args:
        size: Number of instances.
        settle_s: Settling time after an outage of the store, in seconds.
        seed: Seed of the turns.
    """
    fleet = Fleet(size, settle_s, seed)
    fleet.store.write('t1', 'ready')
    fleet.store.write('t2', 'ready')
    await fleet.start()
    try:
        yield fleet
    finally:
        fleet.stop()
