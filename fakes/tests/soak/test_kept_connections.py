"""Tests of the HTTP client over one kept connection."""

import asyncio

import pytest

from dotterelweir_fakes.soak import kept_connections

_HEAD = b'HTTP/1.1 200 OK\r\n'
_LENGTH = _HEAD + b'Content-Length: 4\r\n\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


async def exchange(answer, ending='close', **options):
    """Sends a request to a server that sends some bytes and then ends."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await writer.drain()
            if ending == 'wait':
                await reader.read()
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        connection = await kept_connections.KeptConnection.open(
            '127.0.0.1', port, **options
        )
        reply = await connection.send(b'GET / HTTP/1.1\r\n\r\n', 0.5)
        connection.close()
        return reply


@pytest.mark.parametrize(
    ('answer', 'body', 'complete'),
    [
        (b'', b'', False),
        (_HEAD, b'', False),
        (_LENGTH + b'ab', b'ab', False),
        (_LENGTH + b'abcd', b'abcd', True),
        (_CHUNKED + b'2\r\nab\r\n', b'ab', False),
        (_CHUNKED + b'2\r\nab\r\n4\r\ncd', b'abcd', False),
        (_CHUNKED + b'2\r\nab\r\n0\r\n\r\n', b'ab', True),
        # Without a length, an answer that ends early looks complete.
        (_HEAD + b'\r\nab', b'ab', True),
    ],
)
@pytest.mark.parametrize('slow', [False, True])
async def test_end_of_an_answer(answer, body, complete, slow):
    """Guards against taking an answer that ends early for a whole one."""
    reply = await exchange(answer, slow=slow)
    assert (bytes(reply.body), reply.complete) == (body, complete)
    assert not reply.reset


async def test_caller_gives_up():
    """Guards against a caller that waits for ever."""
    reply = await exchange(_LENGTH, ending='wait')
    assert not reply.complete
    assert 0.4 < reply.ended_s - reply.sent_s < 2.0
