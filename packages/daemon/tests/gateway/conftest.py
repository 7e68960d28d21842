"""A gateway before stand-ins of the platform, and followers in memory."""

import pytest

from dotterelweir_fakes.fleet import deployment as fleet_deployment
from dotterelweir_fakes.fleet import followers


@pytest.fixture
async def deployment():
    """A ready gateway, two engines and two plain services."""
    running = fleet_deployment.Deployment()
    address = await running.start_store()
    await running.store.write_json(
        'keyed.op', 'config', fleet_deployment.configuration()
    )
    for target_id in ('engine-1', 'engine-2'):
        await running.add_engine(target_id, 'model')
    for target_id in ('shop-1', 'shop-2'):
        await running.add_engine(target_id, 'plain')
    await running.start(address)
    await running.wait_ready()
    try:
        yield running
    finally:
        await running.close()


@pytest.fixture
async def fleet():
    """Twenty instances that follow a store with two targets."""
    made = followers.Fleet(20)
    made.store.write('t1', 'ready')
    made.store.write('t2', 'ready')
    await made.start()
    yield made
    made.stop()
