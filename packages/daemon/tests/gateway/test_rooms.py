"""Tests of generations that are queued until an engine admits them."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet_deployment

ENGINES = ('engine-1', 'engine-2')


def requests_run(deployment):
    return [
        request_id
        for name in ENGINES
        for request_id in deployment.engines[name].ran
    ]


async def test_a_generation_without_capacity_is_refused_as_not_run(
    deployment, set_engine_tokens
):
    """Guards against late generations that are sent to full engines.

    The test's callers wait for 2 s, and the objective is 0.3 s.
    """
    set_engine_tokens(60_000)
    async with deployment.request('guide') as answer:
        assert answer.status == 503
        assert float(answer.headers['Retry-After']) > 0
    assert requests_run(deployment) == []


async def test_a_generation_is_sent_when_there_is_capacity(
    deployment, set_engine_tokens
):
    """Guards against generations that wait although an engine is free."""
    set_engine_tokens(60_000)
    asyncio.get_running_loop().call_later(0.2, set_engine_tokens, 0)
    async with deployment.request('guide') as answer:
        assert answer.status == 200
        await answer.read()
    assert requests_run(deployment) == ['request-1']


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_generations_do_not_wait_if_every_engine_is_avoided(
    deployment, set_engine_tokens, route
):
    """Guards against refusals while avoided engines may have recovered."""
    set_engine_tokens(60_000)
    now_s = asyncio.get_running_loop().time()
    for name in ENGINES:
        for _ in range(6):
            deployment.gateway._loads.get(name).record_unreachable(now_s)
    async with deployment.request(route) as answer:
        assert answer.status == 200
        await answer.read()
    assert requests_run(deployment) == ['request-1']


async def test_a_disconnected_caller_leaves_the_queue(
    deployment, set_engine_tokens, wait_until_queued
):
    """Guards against a queue that is blocked by a disconnected caller."""
    set_engine_tokens(60_000)
    leaving_request = asyncio.create_task(
        deployment.request('guide', 'request-1').__aenter__()
    )
    await wait_until_queued()
    leaving_request.cancel()
    await wait_until_queued(False)
    set_engine_tokens(0)
    async with deployment.request('guide', 'request-2') as answer:
        assert answer.status == 200
        await answer.read()
    assert requests_run(deployment) == ['request-2']


async def set_priorities(deployment, **priorities):
    """Writes a configuration with priorities of routes, and waits for it."""
    tables = fleet_deployment.configuration(2)
    for row in tables['routes']:
        row['priority'] = priorities.get(row['name'], 0)
    await deployment.store.write_json('keyed.op', 'config', tables)
    async with asyncio.timeout(5):
        while deployment.gateway.tables_version != 2:
            await asyncio.sleep(0.01)


async def test_a_refused_caller_keeps_its_age(
    deployment, set_engine_tokens, wait_until_queued
):
    """Guards against callers that a refusal puts behind all others."""
    await set_priorities(deployment, check=1)
    set_engine_tokens(60_000)
    async with deployment.request('guide', 'request-1') as answer:
        assert answer.status == 503
        assert 0 < float(answer.headers['Retry-After']) <= 0.6
    again = asyncio.create_task(
        deployment.request('guide', 'request-2').__aenter__()
    )
    await wait_until_queued()
    queue = deployment.gateway._parts.queues.get('model', True, True)
    queue = queue if queue else queue.sibling
    head = queue.find_head(asyncio.get_running_loop().time())
    # The first attempt has waited for 3.2 times the objective of 0.3 s.
    assert head.arrived_s - head.first_arrived_s > 0.9
    [row] = deployment.gateway._status()['queues']
    assert (row['service'], row['waiting'], row['priority']) == ('model', 1, 1)
    set_engine_tokens(0)
    answer = await again
    assert answer.status == 200
    await answer.read()
    assert requests_run(deployment) == ['request-2']


async def test_equal_priorities_change_nothing(
    deployment, set_engine_tokens, wait_until_queued
):
    """Guards against messages and refusals where no order is configured."""
    set_engine_tokens(60_000)
    waiting_request = asyncio.create_task(
        deployment.request('guide').__aenter__()
    )
    await wait_until_queued()
    parts = deployment.gateway._parts
    assert parts.queues.own_state(0.0) is None
    assert (await waiting_request).status == 503
    assert len(parts.returning_callers) == 0
