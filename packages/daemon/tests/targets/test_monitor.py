"""Tests of the target monitor."""

import asyncio
import random

import attrs
import pytest

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model
from dotterelweir_core.targets import registry
from dotterelweir_logservice import api as platform_api
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import api as targets_api
from dotterelweird.targets import monitor

LIVE = model.TargetState.LIVE
LEAVING = model.TargetState.LEAVING


class FakeList(platform_api.InstanceList):
    """An instance list that is unreachable while ``rows`` is None."""

    def __init__(self):
        self.rows = ()

    async def fetch(self):
        if self.rows is None:
            raise errors.DotterelweirError(errors.ErrorKind.NOT_READY)
        return self.rows


class FakeLoad(targets_api.LoadClient):
    """Reports the targets in ``states``; all others are unreachable."""

    def __init__(self):
        self.states = {}
        self.polled = []

    async def load(self, target, timeout_s):
        self.polled.append(target.target_id)
        if target.target_id not in self.states:
            raise errors.DotterelweirError(errors.ErrorKind.TARGET_UNREACHABLE)
        incarnation, state = self.states[target.target_id]
        return model.LoadReport(target.target_id, incarnation, state)


class FakeDispatcher:
    """Records the targets of each pool and the load reports."""

    def __init__(self):
        self.pools = {}
        self.reports = []

    def set_targets(self, pool, targets):
        self.pools[pool] = [(t.target_id, t.incarnation) for t in targets]

    def record_report(self, report):
        self.reports.append(report)


@attrs.define
class MonitorSetup:
    """A target monitor in virtual time, with its registry and fakes."""

    timer: timers.VirtualTimerService
    listed: FakeList
    load: FakeLoad
    dispatcher: FakeDispatcher
    registry: registry.TargetRegistry
    monitor: monitor.TargetMonitor
    tables: list
    instance_rows: list

    async def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.timer.advance(0.1)
            for _ in range(5):
                await asyncio.sleep(0)

    def list_targets(self, *targets):
        self.listed.rows = tuple(
            platform_api.ListedInstance(
                model.Target(name, incarnation, service, 'a', '127.0.0.1', 1),
                state,
            )
            for name, incarnation, state, service in targets
        )


@pytest.fixture
async def make_setup():
    made = []

    def make(watchers_per_target=0, instances=('i1', 'i2', 'i3')):
        timer = timers.VirtualTimerService()
        target_registry = registry.TargetRegistry()
        pool = tables_model.Pool('llm', model.TargetKind.ENGINE, 'llm')
        tables = [tables_model.Tables(pools={'llm': pool})]
        fakes = (FakeList(), FakeLoad(), FakeDispatcher())
        rows = []
        settings = settings_model.Settings(
            'i1',
            'a',
            settings_model.Platform('http://log', 'http://list'),
            settings_model.Peers(keys=('k' * 16,)),
            targets=settings_model.Targets(
                watchers_per_target=watchers_per_target
            ),
        )
        target_monitor = monitor.TargetMonitor(
            timer,
            random.Random(1),
            settings,
            fakes[0],
            fakes[1],
            target_registry,
            fakes[2],
            lambda: tables[0],
            lambda zone: instances,
            on_list=rows.append,
        )
        setup = MonitorSetup(
            timer, *fakes, target_registry, target_monitor, tables, rows
        )
        made.append(setup)
        target_monitor.start()
        return setup

    yield make
    for setup in made:
        await setup.monitor.stop()


async def test_leaving_target_gets_no_work_within_three_seconds(make_setup):
    """Guards against work for a leaving target that a stale list has (P5)."""
    setup = make_setup()
    setup.list_targets(('e1', 7, LIVE, 'llm'), ('i1', 1, LIVE, 'dotterelweir'))
    setup.load.states['e1'] = (7, LIVE)
    await setup.run(3)
    assert setup.dispatcher.pools['llm'] == [('e1', 7)]
    assert len(setup.instance_rows[-1]) == 1
    setup.load.states['e1'] = (7, LEAVING)
    await setup.run(2)
    assert setup.dispatcher.pools['llm'] == []
    setup.load.states['e1'] = (8, LIVE)
    await setup.run(2)
    assert setup.dispatcher.pools['llm'] == [('e1', 8)]
    assert setup.dispatcher.reports[-1].incarnation == 8


async def test_list_outage_keeps_the_last_list(make_setup):
    """Guards against an outage of the instance list that empties pools."""
    setup = make_setup()
    setup.list_targets(('s1', 7, LIVE, 'llm'))
    await setup.run(2)
    setup.listed.rows = None
    await setup.run(60)
    assert setup.dispatcher.pools['llm'] == [('s1', 7)]


async def test_removed_pool_loses_its_targets(make_setup):
    """Guards against targets that remain in a deleted pool."""
    setup = make_setup()
    setup.list_targets(('e1', 7, LIVE, 'llm'))
    await setup.run(2)
    setup.tables[0] = tables_model.Tables()
    await setup.run(0.2)
    assert setup.dispatcher.pools['llm'] == []


@pytest.mark.parametrize(
    ('count', 'instances', 'least', 'most'),
    [
        (0, ('i1', 'i2', 'i3'), 30, 30),
        (1, ('i1', 'i2', 'i3'), 3, 17),
        (2, ('i1', 'i2', 'i3'), 13, 27),
        (2, (), 30, 30),
    ],
)
async def test_only_watchers_poll(make_setup, count, instances, least, most):
    """Guards against polls by instances that are not chosen watchers."""
    setup = make_setup(count, instances)
    setup.list_targets(*((f'e{n}', 7, LIVE, 'llm') for n in range(30)))
    await setup.run(3)
    assert least <= len(set(setup.load.polled)) <= most


async def test_peer_report_reaches_the_dispatcher(make_setup):
    """Guards against relayed load reports that are not used."""
    setup = make_setup(1, ('i2',))
    setup.list_targets(('e1', 7, LIVE, 'llm'))
    await setup.run(2)
    setup.monitor.record_peer_report(model.LoadReport('e1', 7, LEAVING))
    assert setup.dispatcher.pools['llm'] == []
    assert setup.dispatcher.reports[-1].target_id == 'e1'
