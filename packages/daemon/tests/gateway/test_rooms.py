"""Tests of generations that are queued until an engine admits them."""

import asyncio

import pytest

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
