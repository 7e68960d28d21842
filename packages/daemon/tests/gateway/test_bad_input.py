"""Bad input of callers and targets."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet

SHOPS = ('shop-1', 'shop-2')
HEAD = b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\nX-Attempt-Id: request-1\r\n'


def runs(deployment):
    return [run for name in SHOPS for run in deployment.engines[name].ran]


async def send_raw(deployment, data):
    """Sends bytes to the gateway and gives what comes back."""
    reader, writer = await asyncio.open_connection(
        deployment.host, deployment.callers_port
    )
    writer.write(data)
    try:
        async with asyncio.timeout(1.0):
            return await reader.read(65536)
    finally:
        writer.close()


@pytest.mark.parametrize(
    'raw',
    [
        b'this is no answer\r\n\r\n',
        b'\x00\xff\x00\xff',
        HEAD + b'Content-Length: 50\r\n\r\nshort',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n5\r\nhalf',
        HEAD + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc',
        HEAD + b'Content-Length: x\r\n\r\nabc',
    ],
)
async def test_bytes_that_are_no_whole_answer_reach_nobody(deployment, raw):
    """Guards against cut or foreign bytes in place of an answer."""
    for name in SHOPS:
        deployment.engines[name].behaviour.raw = raw
    async with deployment.request('book') as answer:
        body = await answer.read()
    assert answer.status == 502
    assert b'short' not in body
    assert runs(deployment) == ['request-1']


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
        b'Content-Length: 4\r\nContent-Length: 60\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'Content-Length: +4\r\n',
        b'Content-Length : 4\r\n',
    ],
)
async def test_a_request_inside_another_does_not_run(deployment, framing):
    """Guards against smuggled requests."""
    fields = fleet.request_headers('book', 'outer', 1000)
    inner = fleet.request_headers('book', 'inner', 1000)
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    hidden = ''.join(f'{name}: {value}\r\n' for name, value in inner.items())
    data = (
        b'POST /book/x HTTP/1.1\r\n'
        + lines.encode()
        + framing
        + b'\r\n0\r\n\r\nPOST /book/y HTTP/1.1\r\n'
        + hidden.encode()
        + b'\r\n'
    )
    reply = await send_raw(deployment, data)
    assert reply.split()[1] == b'400'
    assert reply.count(b'HTTP/1.') == 1
    assert runs(deployment) == []


async def test_a_body_that_is_too_large_is_refused(deployment):
    """Guards against bodies that fill an instance's memory."""
    async with deployment.request('book', body=b'x' * 17_000_000) as answer:
        assert answer.status == 413
    assert runs(deployment) == []
