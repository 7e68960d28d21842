"""Redirects by engines, the store and peers are not followed."""

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
async def server(handler):
    """Runs an HTTP server on loopback and yields its host and port."""
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    try:
        yield runner.addresses[0][:2]
    finally:
        await runner.cleanup()


@pytest.fixture
async def redirecting_server():
    """Runs a server that redirects every request to a second server.

    Yields the address of the first server and the list of requests that the
    second one received.
    """
    received = []

    async def record_request(request):
        received.append((request.method, request.path))
        return web.json_response({'handle': 'h1', 'records': [], 'end': 0})

    async with server(record_request) as (host, port):

        async def redirect(request):
            location = f'http://{host}:{port}{request.path}'
            return web.Response(status=307, headers={'Location': location})

        async with server(redirect) as address:
            yield address, received


def engine_at(address):
    return targets.Target(
        'e1', 'model', *address, 'a', 6, targets.TargetState.READY
    )


async def test_engine_calls_do_not_follow_redirects(redirecting_server):
    """Guards against a call that is also executed by another engine."""
    address, received = redirecting_server
    async with target_client.open_session() as session:
        control = runs.PlatformRunControl(session, lambda *notice: None)
        target = engine_at(address)
        move = await control.move('r1', target, target, True, 1.0)
        copy = api.RunCopy(target.address, 'h1')
        await control.release(target, copy, 1.0)
    assert move.result is api.MoveResult.FAILED
    assert received == []


async def test_store_and_peer_reads_do_not_follow_redirects(
    redirecting_server,
):
    """Guards against records that come from another server."""
    address, received = redirecting_server
    async with target_client.open_store_session() as session:
        platform_store = store.PlatformStore(
            session, gateway_settings.Address(*address)
        )
        with pytest.raises(api.StoreUnavailable):
            await platform_store.read_snapshot(api.StoreStream.TARGETS)
        with pytest.raises(api.StoreUnavailable):
            await peer_state.fetch(
                session, f'{address[0]}:{address[1]}', api.StoreStream.TARGETS
            )
    assert received == []
