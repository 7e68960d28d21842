"""How calls that move runs end without an answer."""

import asyncio
import contextlib

import pytest

from dotterelweir_core.gateway import targets
from dotterelweir_platform import runs
from dotterelweird.gateway import api
from dotterelweird.gateway import target_client


async def abort(reader, writer):
    """Resets or closes a connection without an answer."""
    await reader.read(1)
    writer.transport.abort()


async def cut_answer(reader, writer):
    """Closes a connection within an answer."""
    await reader.read(1)
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{')
    writer.close()


async def hang(reader, writer):
    """Answers nothing."""
    with contextlib.closing(writer):
        while await reader.read(1024):
            pass


async def move_at(port):
    """Calls an engine at a port of the loopback interface to stop a run."""
    target = targets.Target(
        'e1', 'model', '127.0.0.1', port, 'a', 6, targets.TargetState.READY
    )
    async with target_client.open_session() as session:
        control = runs.PlatformRunControl(session, lambda *notice: None)
        return await control.move('r1', target, target, True, 0.3)


@pytest.mark.parametrize(
    ('handle', 'result'),
    [
        (abort, api.MoveResult.BROKEN),
        (cut_answer, api.MoveResult.BROKEN),
        (hang, api.MoveResult.TIMED_OUT),
    ],
)
async def test_an_engine_that_accepts_a_call_counts_as_reached(handle, result):
    """Guards against a live engine that is taken for one that has ended."""
    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    async with server:
        move = await move_at(server.sockets[0].getsockname()[1])
    assert move.result is result


async def test_a_refused_connection_counts_as_refused():
    """Guards against runs that are not continued after their engine ended."""
    server = await asyncio.start_server(abort, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    move = await move_at(port)
    assert move.result is api.MoveResult.REFUSED
