"""Tests of links on which nothing arrives for a while."""

import asyncio
import time

import pytest

from dotterelweird.gateway import links

EVENTS = b''.join(b'id: %d\ndata: token-%d\n\n' % (n, n) for n in range(1, 11))


@pytest.fixture
def engine(deployment, monkeypatch):
    """Makes one engine the cheapest, and links silent after 0.1 s."""
    monkeypatch.setattr(links, '_SILENCE_TIMEOUT_S', 0.1)
    deployment.gateway._loads.get('engine-2').running = 3
    return deployment.engines['engine-1']


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_a_silent_link_that_nothing_can_replace_is_kept(
    deployment, engine, route
):
    """Guards against streams that end although their engine is at work."""
    engine.behaviour.pause_after = 4
    engine.behaviour.pause_s = 0.4
    deployment.gateway._parts.budgets.set_bounds(0.0, 0.0, 10.0)
    async with deployment.request(route) as answer:
        assert await answer.read() == EVENTS
    assert engine.move_orders == []
    assert deployment.engines['engine-2'].received_headers == []


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_a_pause_of_the_process_is_no_silence_of_an_engine(
    deployment, engine, route
):
    """Guards against streams that a starved process moves or gives up."""
    engine.behaviour.event_s = 0.04
    async with deployment.request(route) as answer:
        await answer.content.readany()
        loop = asyncio.get_running_loop()
        for delay_s in (0.01, 0.09):
            loop.call_later(delay_s, time.sleep, 0.4)
        await answer.read()
    assert engine.move_orders == []
    assert deployment.engines['engine-2'].received_headers == []
