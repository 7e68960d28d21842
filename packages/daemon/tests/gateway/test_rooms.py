"""Generations that wait until an engine admits them, on real connections."""

import asyncio

import pytest

ENGINES = ('engine-1', 'engine-2')


def ran(deployment):
    return [
        request_id
        for name in ENGINES
        for request_id in deployment.engines[name].ran
    ]


async def test_a_generation_without_room_is_refused_as_not_run(
    deployment, fill
):
    """Guards against late generations that are sent to full engines.

    The callers of the stand-in wait for 2 s; the objective is 0.3 s.
    """
    fill(60_000)
    async with deployment.request('guide') as answer:
        assert answer.status == 503
        assert float(answer.headers['Retry-After']) > 0
    assert ran(deployment) == []


async def test_a_generation_is_sent_when_there_is_room(deployment, fill):
    """Guards against generations that wait although an engine is free."""
    fill(60_000)
    asyncio.get_running_loop().call_later(0.2, fill, 0)
    async with deployment.request('guide') as answer:
        assert answer.status == 200
        await answer.read()
    assert ran(deployment) == ['request-1']


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_nothing_is_waited_for_if_every_engine_is_avoided(
    deployment, fill, route
):
    """Guards against refusals while engines that had failed serve again."""
    fill(60_000)
    now_s = asyncio.get_running_loop().time()
    for name in ENGINES:
        for _ in range(6):
            deployment.gateway._loads.get(name).record_unreachable(now_s)
    async with deployment.request(route) as answer:
        assert answer.status == 200
        await answer.read()
    assert ran(deployment) == ['request-1']


async def test_a_caller_that_leaves_gives_its_place_up(
    deployment, fill, until_waiting
):
    """Guards against a line that waits for somebody who has left."""
    fill(60_000)
    leaving = asyncio.create_task(
        deployment.request('guide', 'request-1').__aenter__()
    )
    await until_waiting()
    leaving.cancel()
    await until_waiting(False)
    fill(0)
    async with deployment.request('guide', 'request-2') as answer:
        assert answer.status == 200
        await answer.read()
    assert ran(deployment) == ['request-2']
