"""Tests that no instance sends new work to a leaving target (P5)."""

import asyncio
import random

import pytest

from dotterelweir_core import errors
from dotterelweir_core.membership import options
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model
from dotterelweir_core.targets import registry
from dotterelweir_fakes import datagrams
from dotterelweir_logservice import api as platform_api
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import api as targets_api
from dotterelweird.targets import monitor

LIVE = model.TargetState.LIVE
TABLES = tables_model.Tables(
    pools={'llm': tables_model.Pool('llm', model.TargetKind.ENGINE, 'llm')}
)


class FakeTargets(targets_api.LoadClient, platform_api.InstanceList):
    """Targets, and an instance list that keeps listing them as live."""

    def __init__(self, count):
        self.targets = {
            f'e{n}': model.Target(f'e{n}', 1, 'llm', 'zone-0', '127.0.0.1', n)
            for n in range(1, count + 1)
        }
        self.states = {name: (1, LIVE) for name in self.targets}
        self.polls = 0
        self.list_down = False

    async def fetch(self):
        if self.list_down:
            raise errors.DotterelweirError(errors.ErrorKind.NOT_READY)
        return tuple(
            platform_api.ListedInstance(target, LIVE)
            for target in self.targets.values()
        )

    async def load(self, target, timeout_s):
        self.polls += 1
        return model.LoadReport(
            target.target_id,
            *self.states[target.target_id],
            measured_at_s=float(self.polls),
        )


class FakeDispatcher:
    """Records the targets to which one instance may send new work."""

    def __init__(self):
        self.targets = {}

    def set_targets(self, pool, targets):
        self.targets = {t.target_id: t.incarnation for t in targets}

    def record_report(self, report):
        pass


class Instances:
    """Runs instances with registry, monitor and membership in virtual time."""

    def __init__(self, count, fake_targets, watchers_per_target, seed):
        self.group = datagrams.Group(seed)
        self.dispatchers = {}
        self.monitors = {}
        self._group_apply_effects = self.group.apply_effects
        self.group.apply_effects = self._apply_effects
        for node in self.group.start_many(count):
            self._add(node, fake_targets, watchers_per_target, seed)

    def _add(self, node, fake_targets, watchers_per_target, seed):
        machine = node.machine
        self.dispatchers[node.name] = FakeDispatcher()

        def announce(target_id, incarnation):
            machine.announce_leaving(target_id, incarnation, self.group.now_s)
            self.group.apply_effects(node, [])

        settings = settings_model.Settings(
            node.name,
            'zone-0',
            settings_model.Platform('http://log', 'http://list'),
            settings_model.Peers(('k' * 16,)),
            targets=settings_model.Targets(
                watchers_per_target=watchers_per_target
            ),
        )
        self.monitors[node.name] = monitor.TargetMonitor(
            self.group.timer,
            random.Random(f'{seed} {node.name}'),
            settings,
            fake_targets,
            fake_targets,
            registry.TargetRegistry(),
            self.dispatchers[node.name],
            lambda: TABLES,
            machine.live_ids,
            on_report=lambda report: machine.announce_report(
                report, self.group.now_s
            ),
            on_leaving=announce,
        )
        self.monitors[node.name].start()

    def _apply_effects(self, node, effects):
        for effect in effects:
            match effect:
                case options.TargetLeaving(target_id, incarnation):
                    self.monitors[node.name].record_peer_leaving(
                        target_id, incarnation
                    )
                case options.ReportReceived(report):
                    self.monitors[node.name].record_peer_report(report)
        self._group_apply_effects(node, effects)

    async def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.group.run(0.1)
            for _ in range(3):
                await asyncio.sleep(0)

    def usable_incarnations(self, target_id):
        return {
            dispatcher.targets.get(target_id)
            for dispatcher in self.dispatchers.values()
        }


@pytest.fixture
async def start():
    started = []

    def start_instances(count, fake_targets, watchers_per_target=0, seed=1):
        instances = Instances(count, fake_targets, watchers_per_target, seed)
        started.append(instances)
        return instances

    yield start_instances
    for instances in started:
        for each in instances.monitors.values():
            await each.stop()


@pytest.mark.parametrize('list_down', [False, True])
@pytest.mark.parametrize('loss', [0.0, 0.1])
@pytest.mark.parametrize(
    ('count', 'watchers_per_target'), [(6, 0), (6, 2), (53, 2)]
)
async def test_no_new_work_after_three_seconds(
    start, count, watchers_per_target, loss, list_down
):
    """Guards against an instance that sends work to a leaving target.

    The instance list is stale: it has the target as live all the time.
    """
    fake_targets = FakeTargets(12)
    instances = start(count, fake_targets, watchers_per_target)
    await instances.run(10)
    assert instances.usable_incarnations('e1') == {1}
    fake_targets.list_down = list_down
    instances.group.faults.loss = loss
    for name in ('e1', 'e2', 'e3'):
        fake_targets.states[name] = (1, model.TargetState.LEAVING)
    await instances.run(3)
    for _ in range(10):
        for name in ('e1', 'e2', 'e3'):
            assert instances.usable_incarnations(name) == {None}
        assert instances.usable_incarnations('e4') == {1}
        await instances.run(1)
    # A new incarnation at the same address accepts work again.
    fake_targets.states['e1'] = (2, LIVE)
    await instances.run(15)
    assert instances.usable_incarnations('e1') == {2}


async def test_watchers_limit_the_polls(start):
    """Guards against a number of polls that grows with the instances."""
    fake_targets = FakeTargets(12)
    instances = start(53, fake_targets, 2)
    await instances.run(10)
    before = fake_targets.polls
    await instances.run(10)
    assert 200 <= fake_targets.polls - before <= 280
