"""Tests of instances that find each other through the store."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet


@pytest.fixture
async def lone(request):
    """Runs a gateway without seeds at a store that takes writes or not."""
    running = fleet.Deployment()
    running.store.refuses_appends = request.param
    address = await running.start_store()
    await running.store.write_json('keyed.op', 'config', fleet.configuration())
    await running.start(address)
    await running.wait_ready()
    try:
        yield running
    finally:
        await running.close()


@pytest.mark.parametrize('lone', [False], indirect=True)
async def test_instances_that_no_seed_names_find_each_other(lone):
    """Guards against two groups that each use a whole limit."""
    await lone.wait_informed()
    second = await lone.start_second(seeds=())
    async with asyncio.timeout(5):
        while second._peers.instance_count < 2:
            await asyncio.sleep(0.02)
    assert lone.gateway._peers.instance_count == 2


@pytest.mark.parametrize('lone', [True], indirect=True)
async def test_a_store_that_takes_no_writes_shows_nobody_alone(lone):
    """Guards against an empty roster that is taken for an empty fleet."""
    async with asyncio.timeout(5):
        while lone.store.calls.get('append', 0) < 2:
            await asyncio.sleep(0.02)
    view = lone.gateway._peers.view()
    assert not view.is_informed
    assert view.reachable_share <= 1 / 8
    lone.store.refuses_appends = False
    await lone.wait_informed()
    assert lone.gateway._peers.view().reachable_share == 1.0


@pytest.mark.parametrize('lone', [False], indirect=True)
async def test_a_stopped_instance_leaves_the_roster(lone):
    """Guards against new instances that wait for one that has stopped."""
    await lone.wait_informed()
    assert lone.store.newest('keyed.instances', 'gateway-1')
    lone.gateway.begin_stop()
    async with asyncio.timeout(5):
        while lone.store.newest('keyed.instances', 'gateway-1'):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('lone', [False], indirect=True)
async def test_settings_that_change_without_a_signal_take_effect(lone):
    """Guards against seeds that stay stale without a SIGHUP."""
    await lone.wait_informed()
    exchange = lone.gateway._peers
    settings = lone.gateway._settings
    lone.settings_after_reload = fleet.with_seeds(settings, ('127.0.0.9',))
    async with asyncio.timeout(5):
        while not exchange.has_contacts:
            await asyncio.sleep(0.05)
    assert exchange.view().reachable_share == 0.5
