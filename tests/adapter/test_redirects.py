"""Answers that point elsewhere are not followed."""

import contextlib

from aiohttp import web
import pytest

from dotterelweir_core.gateway import targets
from dotterelweir_platform import runs
from dotterelweir_platform import store
from dotterelweird.gateway import api
from dotterelweird.gateway import peer_state
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import target_client


@contextlib.asynccontextmanager
async def server(answer):
    """A server on loopback; gives its host and port."""
    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    try:
        yield runner.addresses[0][:2]
    finally:
        await runner.cleanup()


@pytest.fixture
async def redirecting():
    """A server that sends everybody to another one, and what that one got."""
    got = []

    async def take(request):
        got.append((request.method, request.path))
        return web.json_response({'handle': 'h1', 'records': [], 'end': 0})

    async with server(take) as (host, port):

        async def redirect(request):
            location = f'http://{host}:{port}{request.path}'
            return web.Response(status=307, headers={'Location': location})

        async with server(redirect) as address:
            yield address, got


def engine(address):
    return targets.Target(
        'e1', 'model', *address, 'a', 6, targets.TargetState.READY
    )


async def test_an_order_goes_to_its_engine_alone(redirecting):
    """Guards against an order that another engine gets as well."""
    address, got = redirecting
    async with target_client.open_session() as session:
        control = runs.PlatformRunControl(session, lambda *notice: None)
        target = engine(address)
        move = await control.move('r1', target, target, True, 1.0)
        copy = api.RunCopy(target.address, 'h1')
        await control.release(target, copy, 1.0)
    assert move.result is api.MoveResult.FAILED
    assert got == []


async def test_a_read_goes_to_the_store_alone(redirecting):
    """Guards against records of somebody who is not the store."""
    address, got = redirecting
    async with target_client.open_store_session() as session:
        reader = store.PlatformStore(
            session, gateway_settings.Address(*address)
        )
        with pytest.raises(api.StoreUnavailable):
            await reader.newest(api.StoreStream.TARGETS)
        with pytest.raises(api.StoreUnavailable):
            await peer_state.fetch(
                session, f'{address[0]}:{address[1]}', api.StoreStream.TARGETS
            )
    assert got == []
