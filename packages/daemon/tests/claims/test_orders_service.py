"""Tests of leases and orders under faults, on the in-memory log."""

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
from dotterelweird.orders import leases as lease_manager
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


class _Inputs(orders_api.OrderInputs):
    """Inputs of one instance; all instances share one engine."""

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


class _FakeOrderClient(orders_api.OrderClient):
    """Sends orders to the fake engine; can pause its instance."""

    def __init__(self, name, timer, cluster, engine):
        self.name, self.timer = name, timer
        self.cluster, self.engine = cluster, engine
        self.pauses_in_order = False

    async def send_order(self, target, order, timeout_s):
        if self.pauses_in_order:
            self.pauses_in_order = False
            self.timer.running.clear()
        await self.timer.running.wait()
        refusal = self.engine.apply(
            {
                'fencing': order.fencing,
                'expires_at_s': order.expires_at_s,
                **attrs.asdict(order.desired),
            }
        )
        self.cluster.sent_orders.append(
            (self.cluster.log.timer.monotonic_s(), self.name, refusal)
        )
        if refusal is not None:
            raise errors.DotterelweirError(errors.ErrorKind.TARGET_REFUSED)


class _FakeWeightStore(platform_api.WeightStore):
    """Permits each load ``delay_s`` seconds after the request for it."""

    def __init__(self, timer):
        self.timer = timer
        self.delay_s = 0.0
        self.requests = 0

    async def grant(self, model_name):
        self.requests += 1
        return platform_api.WeightGrant(1, self.timer.wall_s() + self.delay_s)


@attrs.define(eq=False)
class _Instance:
    timer: object
    view: object
    inputs: _Inputs
    client: _FakeOrderClient
    leases: lease_manager.LeaseManager
    service: orders_service.OrdersService

    def set_version(self, version):
        self.inputs.pool = attrs.evolve(self.inputs.pool, version=version)


@attrs.define(eq=False)
class _Cluster:
    """Instances that share a log, an engine and a weight store.

    Attributes:
        log: The log in virtual time.
        engine: Order state of the engine.
        weights: The weight store.
        instances: The instances by name.
        sent_orders: For each order the time in monotonic seconds, the name of
            the instance and the reason of a refusal, or None.
    """

    log: object
    engine: fake_orders.Orders
    weights: _FakeWeightStore
    instances: dict = attrs.field(factory=dict)
    sent_orders: list = attrs.field(factory=list)

    async def wait(self, seconds):
        await self.log.wait(seconds)

    def held_by(self):
        """Returns the instances that consider the lease their own."""
        return [
            name
            for name, each in self.instances.items()
            if each.leases.held('orders/guides') is not None
        ]

    def add(self, name, pool=POOL):
        timer, view = self.log.instance()
        leases = lease_manager.LeaseManager(
            view, timer, random.Random(name), PLATFORM
        )
        inputs = _Inputs(pool, self.engine)
        client = _FakeOrderClient(name, timer, self, self.engine)
        service = orders_service.OrdersService(
            timer, leases, inputs, client, self.weights
        )
        service.start()
        self.instances[name] = _Instance(
            timer, view, inputs, client, leases, service
        )


@pytest_asyncio.fixture
async def make_cluster(log_simulation):
    """Makes clusters with one engine and, at first, no instance."""
    made = []

    def make(**options):
        engine = fake_orders.Orders(
            batch.EngineOptions(**options), log_simulation.timer, ()
        )
        made.append(
            _Cluster(
                log_simulation, engine, _FakeWeightStore(log_simulation.timer)
            )
        )
        return made[-1]

    yield make
    for each in made:
        for instance in each.instances.values():
            await instance.service.stop()


async def test_only_the_lease_holder_issues_orders(make_cluster):
    """Guards against several lease holders and against needless orders."""
    cluster = make_cluster()
    for name in 'abc':
        cluster.add(name)
    await cluster.wait(60.0)
    assert len(cluster.held_by()) == 1
    assert cluster.engine.state['version'] == 'v1'
    assert len(cluster.sent_orders) == 1


@pytest.mark.parametrize(
    ('options', 'applied'),
    [
        ({'checks_fencing': True, 'checks_expiry': False}, False),
        ({'checks_fencing': False, 'checks_expiry': True}, False),
        ({'checks_fencing': False, 'checks_expiry': False}, True),
    ],
)
async def test_a_holder_that_resumes_during_an_order(
    make_cluster, options, applied
):
    """Guards against a stale order that stays in force.

    A holder pauses while it sends an order, loses its lease, and goes on after
    the new holder has sent a newer order. An engine that checks neither the
    fencing token nor the expiry applies the stale order, and the next
    reconciliation by the new holder corrects this.
    """
    cluster = make_cluster(**options)
    pool = attrs.evolve(POOL, checks_fencing=options['checks_fencing'])
    cluster.add('a', pool)
    cluster.instances['a'].client.pauses_in_order = True
    await cluster.wait(10.0)
    cluster.add('b', pool)
    cluster.instances['b'].set_version('v2')
    await cluster.wait(40.0)
    assert cluster.held_by() == ['b']
    assert cluster.engine.state['version'] == 'v2'
    cluster.instances['a'].timer.resume()
    await cluster.wait(1.0)
    stale = [each for each in cluster.sent_orders if each[1] == 'a']
    assert len(stale) == 1
    assert (stale[0][2] is None) is applied
    await cluster.wait(10.0)
    assert cluster.engine.state['version'] == 'v2'
    assert len([each for each in cluster.sent_orders if each[1] == 'a']) == 1


async def test_a_new_holder_waits_until_earlier_orders_expire(make_cluster):
    """Guards against a stale order that arrives after a newer one.

    The engine does not check fencing tokens.
    """
    cluster = make_cluster(checks_fencing=False)
    cluster.add('a', attrs.evolve(POOL, checks_fencing=False))
    while not cluster.held_by():
        await cluster.wait(0.25)
    start_s = cluster.log.timer.monotonic_s()
    await cluster.wait(20.0)
    assert cluster.sent_orders[0][0] - start_s >= orders_service.ORDER_EXPIRY_S


async def test_a_paused_holder_loses_its_lease(make_cluster):
    """Guards against two lease holders after a pause or a partition."""
    cluster = make_cluster()
    for name in 'ab':
        cluster.add(name)
    await cluster.wait(10.0)
    (first,) = cluster.held_by()
    other = 'b' if first == 'a' else 'a'
    cluster.instances[first].timer.running.clear()
    await cluster.wait(30.0)
    assert cluster.held_by() == [other]
    cluster.instances[first].timer.resume()
    await cluster.wait(30.0)
    assert cluster.held_by() == [other]


async def test_a_new_instance_takes_over_when_all_others_stop(make_cluster):
    """Guards against a pool without orders after all instances stopped."""
    cluster = make_cluster()
    cluster.add('a')
    cluster.add('b')
    await cluster.wait(10.0)
    for name in 'ab':
        await cluster.instances.pop(name).service.stop()
    cluster.add('c')
    cluster.instances['c'].set_version('v2')
    await cluster.wait(25.0)
    assert cluster.held_by() == ['c']
    assert cluster.engine.state['version'] == 'v2'


async def test_no_orders_without_the_log(make_cluster):
    """Guards against orders under a lease that cannot be renewed."""
    cluster = make_cluster()
    cluster.add('a')
    await cluster.wait(10.0)
    cluster.log.log.down = True
    await cluster.wait(lease_manager.TTL_S)
    cluster.instances['a'].set_version('v2')
    await cluster.wait(30.0)
    assert cluster.held_by() == []
    assert len(cluster.sent_orders) == 1
    cluster.log.log.down = False
    await cluster.wait(30.0)
    assert cluster.engine.state['version'] == 'v2'


async def test_a_lost_response_does_not_lose_the_lease(make_cluster):
    """Guards against a lease whose holder does not know that it has it."""
    cluster = make_cluster()
    cluster.add('a')
    cluster.instances['a'].view.faults.extend(['lost'])
    await cluster.wait(10.0)
    assert cluster.held_by() == ['a']


async def test_the_weight_store_limits_loads(make_cluster):
    """Guards against loads that start before the weight store permits."""
    cluster = make_cluster()
    cluster.weights.delay_s = 20.0
    cluster.add('a')
    await cluster.wait(15.0)
    assert cluster.sent_orders == []
    await cluster.wait(15.0)
    assert len(cluster.sent_orders) == 1
    assert cluster.weights.requests == 1


async def test_a_long_load_is_not_restarted(make_cluster):
    """Guards against repeated orders that restart a running load."""
    cluster = make_cluster(load_s=50.0)
    cluster.add('a')
    await cluster.wait(70.0)
    assert cluster.engine.state['version'] == 'v1'
    assert len(cluster.sent_orders) == 1
