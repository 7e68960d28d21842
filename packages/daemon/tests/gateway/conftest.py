"""A gateway before stand-ins of the platform."""

import pytest

from dotterelweir_fakes.fleet import deployment as fleet


@pytest.fixture
async def deployment():
    """A ready gateway, two engines and two plain services."""
    running = fleet.Deployment()
    address = await running.start_store()
    await running.store.write_json('keyed.op', 'config', fleet.configuration())
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
