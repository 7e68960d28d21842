"""Fault cases of leases and orders, on the log double."""

import random

import attrs
import pytest
import pytest_asyncio

from dotterelweir_core import errors
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.engine import batch
from dotterelweir_fakes.engine import orders as fake_orders
from dotterelweir_logservice import api as platform_api
from dotterelweird.orders import api as orders_api
from dotterelweird.orders import leases as lease_keeper
from dotterelweird.orders import service as orders_service
from dotterelweird.settings import model as settings_model

PLATFORM = settings_model.Platform('http://log', 'http://list')
TARGET = targets_model.Target('e-1', 1, 'llm', 'z1', '127.0.0.1', 1)
POOL = tables_model.Pool(
    'guides',
    targets_model.TargetKind.ENGINE,
    'llm',
    model='m',
    version='v1',
    checks_fencing=True,
)


class _Facts(orders_api.OrderFacts):
    """What one instance knows; the engine is the same for all."""

    def __init__(self, pool, engine):
        self.pool = pool
        self.engine = engine

    def pools(self):
        return {self.pool.name: self.pool}

    def targets(self):
        return (TARGET,)

    def report(self, target_id):
        state = self.engine.state
        return targets_model.LoadReport(
            target_id,
            TARGET.incarnation,
            models=tuple(state['models']),
            version=state['version'],
            fencing=state['fencing'],
        )


class _Client(orders_api.OrderClient):
    """Gives orders to the fake engine; may be paused in the middle."""

    def __init__(self, name, timer, world, engine):
        self.name, self.timer = name, timer
        self.world, self.engine = world, engine
        self.pauses_in_order = False

    async def order(self, target, order, timeout_s):
        if self.pauses_in_order:
            self.pauses_in_order = False
            self.timer.running.clear()
        await self.timer.running.wait()
        obstacle = self.engine.take(
            {
                'fencing': order.fencing,
                'expires_at_s': order.expires_at_s,
                **attrs.asdict(order.desired),
            }
        )
        self.world.given.append(
            (self.world.log.timer.monotonic_s(), self.name, obstacle)
        )
        if obstacle is not None:
            raise errors.DotterelweirError(errors.ErrorKind.TARGET_REFUSED)


class _Weights(platform_api.WeightStore):
    """Permits each load a while after it was asked for."""

    def __init__(self, timer):
        self.timer = timer
        self.delay_s = 0.0
        self.asked = 0

    async def grant(self, model_name):
        self.asked += 1
        return platform_api.WeightGrant(1, self.timer.wall_s() + self.delay_s)


@attrs.define(eq=False)
class _Instance:
    timer: object
    view: object
    facts: _Facts
    client: _Client
    leases: lease_keeper.LeaseKeeper
    service: orders_service.OrdersService

    def set_version(self, version):
        self.facts.pool = attrs.evolve(self.facts.pool, version=version)


@attrs.define(eq=False)
class _World:
    log: object
    engine: fake_orders.Orders
    weights: _Weights
    instances: dict = attrs.field(factory=dict)
    given: list = attrs.field(factory=list)

    async def wait(self, seconds):
        await self.log.wait(seconds)

    def held_by(self):
        """The instances that believe that they hold the lease."""
        return [
            name
            for name, each in self.instances.items()
            if each.leases.held('orders/guides') is not None
        ]

    def add(self, name, pool=POOL):
        timer, view = self.log.instance()
        leases = lease_keeper.LeaseKeeper(
            view, timer, random.Random(name), PLATFORM
        )
        facts = _Facts(pool, self.engine)
        client = _Client(name, timer, self, self.engine)
        service = orders_service.OrdersService(
            timer, leases, facts, client, self.weights
        )
        service.start()
        self.instances[name] = _Instance(
            timer, view, facts, client, leases, service
        )


@pytest_asyncio.fixture
async def world(log_world):
    """Makes a world with one engine and no instance."""
    made = []

    def make(**options):
        engine = fake_orders.Orders(
            batch.EngineOptions(**options), log_world.timer, ()
        )
        made.append(_World(log_world, engine, _Weights(log_world.timer)))
        return made[-1]

    yield make
    for each in made:
        for instance in each.instances.values():
            await instance.service.stop()


async def test_one_of_several_instances_gives_the_orders(world):
    """Guards against several holders and against needless orders."""
    project = world()
    for name in 'abc':
        project.add(name)
    await project.wait(60.0)
    assert len(project.held_by()) == 1
    assert project.engine.state['version'] == 'v1'
    assert len(project.given) == 1


@pytest.mark.parametrize(
    ('options', 'applied'),
    [
        ({'checks_fencing': True, 'checks_expiry': False}, False),
        ({'checks_fencing': False, 'checks_expiry': True}, False),
        ({'checks_fencing': False, 'checks_expiry': False}, True),
    ],
)
async def test_a_holder_that_wakes_in_the_middle_of_an_order(
    world, options, applied
):
    """Guards against a stale order that stays in force.

    Engines that ignore both number and expiry apply it; the next
    reconciliation of the new holder corrects that.
    """
    project = world(**options)
    pool = attrs.evolve(POOL, checks_fencing=options['checks_fencing'])
    project.add('a', pool)
    project.instances['a'].client.pauses_in_order = True
    await project.wait(10.0)
    project.add('b', pool)
    project.instances['b'].set_version('v2')
    await project.wait(40.0)
    assert project.held_by() == ['b']
    assert project.engine.state['version'] == 'v2'
    project.instances['a'].timer.resume()
    await project.wait(1.0)
    stale = [each for each in project.given if each[1] == 'a']
    assert len(stale) == 1
    assert (stale[0][2] is None) is applied
    await project.wait(10.0)
    assert project.engine.state['version'] == 'v2'
    assert len([each for each in project.given if each[1] == 'a']) == 1


async def test_a_new_holder_waits_for_the_orders_of_the_last_one(world):
    """Guards against an old order that arrives after a newer one."""
    project = world(checks_fencing=False)
    project.add('a', attrs.evolve(POOL, checks_fencing=False))
    while not project.held_by():
        await project.wait(0.25)
    start_s = project.log.timer.monotonic_s()
    await project.wait(20.0)
    assert project.given[0][0] - start_s >= orders_service.ORDER_EXPIRY_S


async def test_a_paused_holder_does_not_believe_in_its_lease(world):
    """Guards against two holders after a pause or a partition."""
    project = world()
    for name in 'ab':
        project.add(name)
    await project.wait(10.0)
    (first,) = project.held_by()
    other = 'b' if first == 'a' else 'a'
    project.instances[first].timer.running.clear()
    await project.wait(30.0)
    assert project.held_by() == [other]
    project.instances[first].timer.resume()
    await project.wait(30.0)
    assert project.held_by() == [other]


async def test_another_instance_takes_over_when_all_holders_die(world):
    """Guards against a pool that nobody orders after a loss."""
    project = world()
    project.add('a')
    project.add('b')
    await project.wait(10.0)
    for name in 'ab':
        await project.instances.pop(name).service.stop()
    project.add('c')
    project.instances['c'].set_version('v2')
    await project.wait(25.0)
    assert project.held_by() == ['c']
    assert project.engine.state['version'] == 'v2'


async def test_no_orders_without_the_log(world):
    """Guards against orders under a lease that can no longer be renewed."""
    project = world()
    project.add('a')
    await project.wait(10.0)
    project.log.log.down = True
    await project.wait(lease_keeper.TTL_S)
    project.instances['a'].set_version('v2')
    await project.wait(30.0)
    assert project.held_by() == []
    assert len(project.given) == 1
    project.log.log.down = False
    await project.wait(30.0)
    assert project.engine.state['version'] == 'v2'


async def test_a_lost_response_does_not_cost_the_lease(world):
    """Guards against a lease that nobody knows to be its holder."""
    project = world()
    project.add('a')
    project.instances['a'].view.faults.extend(['lost'])
    await project.wait(10.0)
    assert project.held_by() == ['a']


async def test_the_weight_store_limits_loads(world):
    """Guards against engines that load at the same time."""
    project = world()
    project.weights.delay_s = 20.0
    project.add('a')
    await project.wait(15.0)
    assert project.given == []
    await project.wait(15.0)
    assert len(project.given) == 1
    assert project.weights.asked == 1


async def test_a_long_load_is_not_begun_anew(world):
    """Guards against repeated orders that keep a load from ending."""
    project = world(load_s=50.0)
    project.add('a')
    await project.wait(70.0)
    assert project.engine.state['version'] == 'v1'
    assert len(project.given) == 1
