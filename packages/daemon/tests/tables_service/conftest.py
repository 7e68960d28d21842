"""Simulation of several instances with one in-memory log.

Everything runs in virtual time.
"""

import asyncio
import logging
import random

import attrs
import pytest

from dotterelweir_core import timers
from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.platform import client
from dotterelweir_fakes.platform import log as fake_log
from dotterelweird.peers import api as peers_api
from dotterelweird.tables_service import checkpoints
from dotterelweird.tables_service import service

STREAM = 'config'


class Peers(peers_api.SnapshotSource):
    """The peers that one instance can reach.

    Attributes:
        services: Tables services of the peers.
        fixed_snapshot: Returned in place of their snapshots unless None.
        requested_offsets: Least offset of each request.
    """

    def __init__(self):
        self.services = []
        self.fixed_snapshot = None
        self.requested_offsets = []

    async def fetch_snapshot(self, min_offset):
        self.requested_offsets.append(min_offset)
        if self.fixed_snapshot is not None:
            return self.fixed_snapshot
        for other in self.services:
            if other.ready and other.offset >= min_offset:
                return other.snapshot()
        return None


@attrs.define(eq=False)
class Instance:
    """One instance.

    Attributes:
        service: Its tables service.
        log_client: Its connection to the log.
        peers: The peers that it can reach.
        task: The task of the service.
        received: Tables that its subscriber was called with.
    """

    service: service.TablesService
    log_client: client.MemoryLogClient
    peers: Peers
    task: asyncio.Task
    received: list[model.Tables] = attrs.field(factory=list)


class Simulation:
    """The log, the instances that read it, and a reference fold.

    Attributes:
        timer: Source of virtual time.
        memory: The streams of the log, without faults.
        log: The log as the instances access it, with faults.
        retention_s: Retention of the log that instances assume, in seconds.
        check_period_s: Period of the checkpoint checks, in seconds.
        instances: Instances that were started.
        reference: State that is folded from all records.
        tables_by_revision: Tables of the reference by revision.
        edit_count: Number of edits that were appended.
    """

    def __init__(self, **options):
        self.timer = timers.VirtualTimerService()
        self.memory = fake_log.MemoryLog(
            self.timer, fake_log.LogOptions(appends_per_s=1e6, **options)
        )
        self.log = fake_log.LogService(self.timer, self.memory)
        self.retention_s = options.get('retention_s') or 1e6
        self.check_period_s = 20.0
        self.instances = []
        self.reference = fold.TablesState()
        self.tables_by_revision = {-1: model.Tables()}
        self.edit_count = 0

    def start(self, peers=()):
        """Starts an instance.

        Args:
            peers: The instances that it can reach.
        """
        log_client = client.MemoryLogClient(self.log)
        reachable = Peers()
        reachable.services = [peer.service for peer in peers]
        tables = service.TablesService(
            log_client,
            self.timer,
            random.Random(len(self.instances)),
            service.TablesOptions(
                STREAM,
                checkpoints.CheckpointOptions(
                    self.retention_s, check_period_s=self.check_period_s
                ),
            ),
            reachable,
        )
        task = asyncio.ensure_future(tables.run())
        instance = Instance(tables, log_client, reachable, task)
        tables.subscribe(instance.received.append)
        self.instances.append(instance)
        return instance

    def append(self, data):
        """Appends a record as another client, unaffected by faults."""
        faults = self.log.faults
        (offset, _) = self.memory.append(STREAM, (data,))
        self.log.set_faults(faults)
        self._catch_up(offset)
        return offset

    def edit(self, name='p', service=None, read_offset=None, edit_id=None):
        """Appends an edit that sets one pool."""
        self.edit_count += 1
        self._catch_up(self.log_end - 1)
        row = model.Pool(
            name,
            targets_model.TargetKind.SERVICE,
            service or f's{self.edit_count}',
        )
        record = records.EditRecord(
            edit_id or f'e{self.edit_count}',
            self.log_end - 1 if read_offset is None else read_offset,
            put_pools=(row,),
        )
        self.append(records.encode(record))
        return record

    @property
    def log_end(self):
        return self.memory.read(STREAM, 2**50, 1).end_offset

    def records(self):
        first = self.memory.read(STREAM, 2**50, 1).first_available_offset
        return self.memory.read(STREAM, first, 10**6).records

    def checkpoints(self):
        """Returns the checkpoint records in the log."""
        found = [records.decode(record.data) for record in self.records()]
        return [
            record
            for record in found
            if isinstance(record, records.CheckpointRecord)
        ]

    def checkpoint(self):
        """Returns an encoded checkpoint of the reference state."""
        self._catch_up(self.log_end - 1)
        return records.encode(checkpoint.make(self.reference))

    def _catch_up(self, last):
        for offset in range(self.reference.offset + 1, last + 1):
            (record,) = self.memory.read(STREAM, offset, 1).records
            fold.fold(self.reference, offset, record.data)
            tables = self.reference.tables
            self.tables_by_revision[tables.revision] = tables

    async def run(self, seconds):
        """Advances virtual time."""
        end_s = self.timer.monotonic_s() + seconds
        await self._settle()
        while True:
            due_s = self.timer.next_due_s()
            if due_s is None or due_s > end_s:
                break
            self.timer.advance_to(due_s)
            await self._settle()
            self._catch_up(self.log_end - 1)
        self.timer.advance_to(end_s)
        await self._settle()

    async def _settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    def check_tables(self, *lagging):
        """Checks that all instances are up to date and never reverted.

        Args:
            lagging: Instances that need not be up to date.
        """
        self._catch_up(self.log_end - 1)
        for instance in self.instances:
            assert not instance.task.done(), instance.task
            revisions = [tables.revision for tables in instance.received]
            assert revisions == sorted(set(revisions))
            for tables in instance.received:
                assert tables == self.tables_by_revision[tables.revision]
            if instance not in lagging:
                assert instance.service.offset == self.reference.offset
                assert instance.service.tables == self.reference.tables

    async def close(self):
        for instance in self.instances:
            instance.task.cancel()
        await asyncio.gather(
            *(instance.task for instance in self.instances),
            return_exceptions=True,
        )


@pytest.fixture
async def make_simulation():
    """Returns a function that creates a simulation without instances."""
    simulations = []

    def make(**options):
        simulations.append(Simulation(**options))
        return simulations[-1]

    yield make
    for simulation in simulations:
        await simulation.close()


@pytest.fixture
def event_names(caplog):
    """Returns a function that lists the names of the logged events."""
    caplog.set_level(logging.INFO)
    return lambda: [record.message for record in caplog.records]
