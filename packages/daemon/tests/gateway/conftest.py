"""Fixtures: a gateway with stand-ins for the platform, and many followers."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet_deployment
from dotterelweir_fakes.fleet import followers


@pytest.fixture
async def deployment():
    """Runs a gateway with two engines and two targets of a plain service."""
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
    await running.wait_informed()
    try:
        yield running
    finally:
        await running.close()


@pytest.fixture
def set_engine_tokens(deployment):
    """Returns a function that sets the counted tokens of both engines."""

    def set_tokens(tokens):
        for name in ('engine-1', 'engine-2'):
            deployment.gateway._loads.get(name).tokens = tokens

    return set_tokens


@pytest.fixture
def wait_until_queued(deployment):
    """Returns a function that waits until a generation is queued, or none."""

    async def wait(expected=True):
        queues = deployment.gateway._parts.queues
        async with asyncio.timeout(1):
            while bool(len(queues)) is not expected:
                await asyncio.sleep(0.005)

    return wait


@pytest.fixture
async def fleet():
    """Runs twenty instances that follow a store with two targets."""
    async with followers.running(20) as running_followers:
        yield running_followers
