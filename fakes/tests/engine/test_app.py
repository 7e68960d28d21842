"""Tests of the engine's HTTP interface."""

import asyncio

import aiohttp
import pytest

from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.engine import app
from dotterelweir_fakes.engine import batch
from dotterelweir_fakes.engine import tokens
from dotterelweird import timers

BODY = {'prompt': 'hello', 'metadata': {'output_tokens': '5'}}


@pytest.fixture
async def engine():
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    target = targets_model.Target('e1', 7, 'llm', 'a', '127.0.0.1', 0)
    options = batch.EngineOptions(
        step_s=0.001, report_lag_s=0.05, checks_fencing=True
    )
    server = await app.start_server(target, options, timer)
    async with aiohttp.ClientSession(server.target.base_url) as session:
        yield server, session
    await server.stop()


async def test_a_generation_can_be_resumed_from_any_event(engine):
    """Guards against a resumed stream with repeated or missing events."""
    server, session = engine
    headers = {'X-Request-Id': 'r1', 'X-Resume-Window-S': '5'}
    async with session.post(
        '/v1/completions', json=BODY, headers=headers
    ) as response:
        whole = await response.read()
        assert response.headers['X-Request-Id'] == 'r1'
        assert response.headers['X-Incarnation'] == '7'
        name = response.headers['X-Generation-Id']
    events = whole.split(b'\n\n')
    assert [e.split(b'\n')[0] for e in events[:6]] == [
        b'id: %d' % i for i in range(6)
    ]
    assert events[6:] == [b'data: [DONE]', b'']
    assert tokens.token_text(name, 4).encode() in events[4]
    path = f'/v1/generations/{name}/events'
    async with session.get(path, headers={'Last-Event-ID': '2'}) as response:
        assert await response.read() == b'\n\n'.join(events[3:])
    async with session.delete(f'/v1/generations/{name}') as response:
        assert response.status == 204
    async with session.get(path) as response:
        assert response.status == 404


async def test_orders_with_a_stale_fencing_token_are_refused(engine):
    """Guards against an engine that obeys a former lease holder."""
    server, session = engine
    order = {'fencing': 5, 'expires_at_s': 4e9, 'models': ['m2']}
    async with session.put('/v1/desired', json=order) as response:
        assert response.status == 202
    order = {'fencing': 4, 'expires_at_s': 4e9, 'models': ['m1']}
    async with session.put('/v1/desired', json=order) as response:
        assert response.status == 409
    async with session.get('/v1/load') as response:
        report = await response.json()
    assert report['fencing'] == 5
    assert report['models'] == ['m2']


async def test_a_killed_engine_aborts_its_streams(engine):
    """Guards against a killed engine whose response appears complete."""
    server, session = engine
    async with session.post(
        '/faults', json={'kind': 'die', 'at': 3}
    ) as response:
        assert response.status == 204
    with pytest.raises(aiohttp.ClientError):
        async with session.post('/v1/completions', json=BODY) as response:
            await response.read()
    with pytest.raises(aiohttp.ClientConnectorError):
        await session.get('/v1/load')
