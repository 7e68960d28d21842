"""Tests of the pace of cold targets among many instances, in virtual time."""

import asyncio

import attrs
import pytest

from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets
from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import turn_network
from dotterelweir_platform import wire
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import statistics
from dotterelweird.gateway.sending import pacing

STARTED_MS = 1_000_000
COLD = targets.Target(
    'shop-1',
    'model',
    '10.0.0.1',
    80,
    'a',
    8,
    targets.TargetState.READY,
    started_ms=STARTED_MS,
)
COLD_S = 20.0
SERVICES = {
    'model': tables.Service('model', 0, warm_up_s=COLD_S, warm_up_per_s=25.0)
}
ALLOWED = int(pace.PaceSettings().requests_max(25.0))


class ColdNetwork(turn_network.TurnNetwork):
    """Instances that all know of a start, unless some are left out."""

    def __init__(self, count, informed=None):
        super().__init__(count, COLD)
        for host in self.hosts:
            self.limiters[host].pace.set_services(SERVICES)
        for host in self.hosts[:informed]:
            self.limiters[host].pace.record_start(COLD, 0.0)

    async def run(self, seconds, load_per_s=150.0, urgent_share=0.05):
        """Plays far more requests than a cold target bears."""
        await super().run(seconds, load_per_s, urgent_share)

    def sent_in_worst_second(self):
        worst = first = 0
        for last, sent_s in enumerate(self.sent_s):
            while sent_s - self.sent_s[first] > 1.0:
                first += 1
            worst = max(worst, last + 1 - first)
        return worst

    def ranked(self):
        ranked = self.limiters[self.hosts[0]]._rank_coordinators('shop-1')
        return [name.removeprefix('node-') for name in ranked]


@pytest.mark.parametrize('count', [1, 3, 60, 370])
async def test_a_cold_target_gets_its_pace_at_any_size(count):
    """Guards against a cold target that is flooded, or left idle."""
    network = ColdNetwork(count)
    await network.run(4.0)
    assert network.sent_in_worst_second() <= 25.0
    assert len(network.sent_s) >= 0.9 * 4.0 * pace.PaceSettings().aim_per_s(25)


async def test_a_target_is_not_paced_after_its_warm_up():
    """Guards against a round trip for each request to a warm target."""
    network = ColdNetwork(30)
    network.timers.advance(COLD_S + 0.1)
    sent = []
    network.deliver = lambda *message: sent.append(message)
    await network.run(1.0)
    assert len(network.sent_s) > 100
    assert sent == []


@pytest.mark.parametrize('ranks', [1, 2, 3])
async def test_a_dead_coordinator_neither_floods_nor_stops_a_target(ranks):
    """Guards against a schedule that is lost with its instance."""
    network = ColdNetwork(12)
    await network.run(3.0)
    network.dead = set(network.ranked()[:ranks])
    before_count = len(network.sent_s)
    await network.run(4.0)
    if ranks < 3:
        assert len(network.sent_s) > before_count
    left = [host for host in network.hosts if host not in network.dead]
    for host in left:
        network.views[host] = network.view(host, left)
    before_count = len(network.sent_s)
    await network.run(4.0)
    assert network.sent_in_worst_second() <= ALLOWED
    assert len(network.sent_s) - before_count >= 0.7 * 4.0 * 17.0


async def test_a_frozen_coordinator_that_goes_on_floods_no_target():
    """Guards against two coordinators that give turns at the whole rate."""
    network = ColdNetwork(12)
    await network.run(3.0)
    first = network.ranked()[0]
    network.dead = {first}
    left = [host for host in network.hosts if host != first]
    for host in left[::2]:
        network.views[host] = network.view(host, left)
    await network.run(3.0)
    network.dead = set()
    await network.run(3.0)
    for host in left:
        network.views[host] = network.view(host)
    await network.run(3.0)
    assert network.sent_in_worst_second() <= ALLOWED
    assert len(network.sent_s) >= 0.5 * 12.0 * 17.0


async def test_the_parts_of_a_divided_network_do_not_flood_a_target():
    """Guards against parts that notice the division at different times."""
    network = ColdNetwork(12)
    await network.run(2.0)
    for number, host in enumerate(network.hosts):
        network.sides[host] = number % 3
    for side in range(3):
        await network.run(3.0)
        hosts = network.hosts[side::3]
        for host in hosts:
            network.views[host] = network.view(host, hosts)
    before_count = len(network.sent_s)
    await network.run(4.0)
    assert network.sent_in_worst_second() <= ALLOWED
    assert len(network.sent_s) - before_count >= 0.7 * 4.0 * 17.0


async def test_instances_that_start_cut_off_give_few_turns():
    """Guards against instances that each take themselves to be alone."""
    network = ColdNetwork(60)
    for number, host in enumerate(network.hosts):
        network.sides[host] = number
        network.views[host] = peer_view.PeerView((), 1.0 / 60)
    await network.run(12.0, load_per_s=600.0)
    assert network.sent_in_worst_second() <= ALLOWED


async def test_a_coordinator_learns_of_a_cold_target_from_who_asks():
    """Guards against a started coordinator that lets all requests pass."""
    network = ColdNetwork(30, informed=0)
    informed = [h for h in network.hosts if h != network.ranked()[0]]
    for host in informed:
        network.limiters[host].pace.record_start(COLD, 0.0)
    await network.run(5.0)
    assert network.sent_in_worst_second() <= 25.0


async def test_an_instance_that_was_frozen_does_not_use_its_old_turn():
    """Guards against requests of a freeze that reach a target together."""
    network = ColdNetwork(2)
    limiter = network.limiters[network.hosts[0]]
    # A new schedule has no turn yet.
    assert not await limiter.acquire(COLD, 'request')
    network.timers.advance(1.0)
    asked = []
    ask = limiter._ask_coordinators

    async def ask_and_freeze(*arguments):
        answer = await ask(*arguments)
        if not asked:
            network.timers.advance(2.0)
        asked.append(answer)
        return answer

    limiter._ask_coordinators = ask_and_freeze
    assert await limiter.acquire(COLD, 'request')
    assert len(asked) == 2


class LearningInstance:
    """An instance that learns the pace of the targets of one service."""

    def __init__(self, count=4):
        network = turn_network.TurnNetwork(1, COLD)
        self.timers = network.timers
        self.limiter = network.limiters[network.hosts[0]]
        self.limiter.pace.settings = pace.PaceSettings(mode=pace.PaceMode.ON)
        self.loads = load.LoadRegistry()
        self.directory = targets.TargetDirectory()
        self.has_state = False
        self.keeper = pacing.PaceKeeper(
            self.limiter,
            self.directory,
            self.loads,
            self.timers,
            statistics.Statistics(),
            lambda: self.has_state,
        )
        self.targets = [self.register(f'shop-{n}') for n in range(count)]
        self.has_state = True

    def register(self, target_id, **changes):
        target = attrs.evolve(COLD, target_id=target_id, **changes)
        offset = len(self.directory.targets) + 1 + 100 * target.slots
        change = self.directory.apply(target_id, target, offset)
        self.keeper.apply_change(change)
        return target

    def play(self, target, seconds, served=0, failed=0):
        """Plays outcomes at a peer in each quarter of a second."""
        for step in range(round(seconds * 4)):
            row = load.DigestRow(
                served=served * (step + 1), failed=failed * (step + 1)
            )
            self.loads.set_peer(
                'peer', {target.target_id: row}, self.timers.monotonic_s()
            )
            self.timers.advance(0.25)
            self.keeper.update()

    def is_paced(self, target):
        return self.limiter.is_limited(target)


def test_only_targets_that_start_during_operation_are_paced():
    """Guards against a deployment that is slow after each of its starts."""
    instance = LearningInstance()
    assert not any(map(instance.is_paced, instance.targets))
    started = instance.register('shop-9', started_ms=STARTED_MS + 1)
    assert instance.is_paced(started)
    instance.play(started, 10.0, served=1)
    assert not instance.is_paced(started)
    resized = instance.register('shop-1', slots=16)
    assert instance.is_paced(resized)


def test_a_failing_target_is_paced_by_what_peers_report():
    """Guards against a target that is flooded when it recovers."""
    instance = LearningInstance()
    instance.loads.set_peer('peer', {}, 0.0)
    instance.play(instance.targets[0], 3.0, failed=2)
    assert [instance.is_paced(t) for t in instance.targets] == (
        [True, False, False, False]
    )
    assert not instance.limiter.pace.rate_per_s('shop-0', STARTED_MS, 3.0) > 2


def test_a_service_that_fails_as_a_whole_is_not_paced():
    """Guards against a slow return after a fault that no target has."""
    instance = LearningInstance()
    for target in instance.targets:
        instance.loads.get(target.target_id).outcomes.add(0.0, 9.0, 0.0)
    instance.keeper.update()
    assert sum(map(instance.is_paced, instance.targets)) == 2


def test_a_service_that_starts_as_a_whole_is_not_paced():
    """Guards against calls refused as every target has just started.

    Instances that start before the targets of a service see all of them
    register within a moment.
    """
    instance = LearningInstance()
    started = [
        instance.register(f'new-{n}', service='new', started_ms=STARTED_MS + n)
        for n in range(1, 5)
    ]
    assert not any(map(instance.is_paced, started))
    instance.timers.advance(6.0)
    replaced = instance.register(
        'new-5', service='new', started_ms=STARTED_MS + 5
    )
    assert instance.is_paced(replaced)


def test_nothing_is_learned_where_nothing_is_configured():
    """Guards against a change of deployments that are served today."""
    instance = LearningInstance()
    instance.limiter.pace.settings = pace.PaceSettings()
    started = instance.register('shop-9', started_ms=STARTED_MS + 1)
    instance.loads.get('shop-9').outcomes.add(0.0, 9.0, 0.0)
    instance.keeper.update()
    assert not instance.is_paced(started)


def status_of(deployment, target_id):
    rows = deployment.gateway._status()['targets']
    return {row['target_id']: row for row in rows}[target_id]


async def wait_for_pace(deployment, target_id, expected):
    async with asyncio.timeout(5):
        while status_of(deployment, target_id)['pace_per_s'] != expected:
            await asyncio.sleep(0.02)


async def test_an_engine_that_states_that_it_is_cold_is_paced(deployment):
    """Guards against statements of engines that reach no pace."""
    changed = fleet.configuration(2)
    changed['services'][0] |= {'warmupS': 30, 'warmupPerS': 25}
    await deployment.store.write_json('keyed.op', 'config', changed)
    async with asyncio.timeout(5):
        while deployment.gateway.tables_version != 2:
            await asyncio.sleep(0.01)
    aim_per_s = round(pace.PaceSettings().aim_per_s(25.0), 2)
    engine = deployment.engines['shop-1']
    assert status_of(deployment, 'shop-1')['pace_per_s'] is None
    # A heartbeat changes nothing but the remaining time.
    entry = engine.entry('plain') | {'warmupLeftMs': 60_000}
    await deployment.store.write_json('keyed.servers', 'shop-1', entry)
    await wait_for_pace(deployment, 'shop-1', aim_per_s)
    assert status_of(deployment, 'shop-2')['pace_per_s'] is None
    notice = wire.decode_notice(200, [('X-Cold-Ms', '9000')])
    deployment.gateway._handle_notice(
        deployment.gateway._directory.registered('shop-2'), notice
    )
    assert status_of(deployment, 'shop-2')['pace_per_s'] == aim_per_s
    async with deployment.request('read') as answer:
        await answer.read()
    assert answer.status == 200


async def test_an_engine_that_starts_is_paced(deployment):
    """Guards against starts that no listener hears of."""
    changed = fleet.configuration(2)
    changed['services'][0] |= {'warmupS': 30}
    await deployment.store.write_json('keyed.op', 'config', changed)
    async with asyncio.timeout(5):
        while deployment.gateway.tables_version != 2:
            await asyncio.sleep(0.01)
    await deployment.add_engine('shop-3', 'plain')
    async with asyncio.timeout(5):
        while 'shop-3' not in deployment.gateway._directory.targets:
            await asyncio.sleep(0.02)
    assert status_of(deployment, 'shop-3')['pace_per_s'] == 2.0
    assert status_of(deployment, 'shop-1')['pace_per_s'] is None


async def test_a_learned_pace_refuses_no_caller(deployment, monkeypatch):
    """Guards against refusals while only learned paces limit the targets."""
    parts = deployment.gateway._parts
    parts.limiter.pace.settings = pace.PaceSettings(mode=pace.PaceMode.ON)
    now_s = parts.timers.monotonic_s()
    for target in parts.directory.of_service('plain'):
        assert parts.limiter.pace.begin_learning(target, now_s)
    refused = []

    async def refuse(target, *unused, **options):
        refused.append(target.target_id)
        return False

    monkeypatch.setattr(parts.limiter, 'acquire', refuse)
    async with deployment.request('book') as answer:
        await answer.read()
    assert answer.status == 200
    assert set(refused) == {'shop-1', 'shop-2'}
