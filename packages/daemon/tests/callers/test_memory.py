"""Tests of callers that take memory and give nothing back."""

import asyncio
import contextlib

from dotterelweird.settings import model as settings_model

BODY_BYTES = 4_000_000
CROWD = 10
# The account has 12 MB at least; one body and a quarter of it fits into the
# share of one address.
SETTINGS = settings_model.Callers(memory_mb=1.0, fds_max=4_096)


async def send_short(url, sent_bytes):
    """Sends a body up to a size, or until the connection is closed."""
    host, _, port = url.removeprefix('http://').partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'PUT /shop/1 HTTP/1.1\r\nHost: x\r\nX-Organisation: acme\r\n'
        b'Content-Length: %d\r\n\r\n' % BODY_BYTES
    )
    with contextlib.suppress(ConnectionError):
        writer.write(b'x' * sent_bytes)
        await writer.drain()
    return reader, writer


async def test_unfinished_bodies_are_refused_before_they_are_held(cluster):
    """Guards against bodies that exhaust the memory together."""
    instance = await cluster.add_instance(callers=SETTINGS)
    crowd = [
        await send_short(instance.url, BODY_BYTES - 1) for _ in range(CROWD)
    ]
    async with asyncio.timeout(5):
        heads = [
            await reader.readuntil(b'\r\n\r\n') for reader, _ in crowd[1:]
        ]
    assert all(b' 503 ' in head for head in heads)
    assert all(b'Retry-After' in head for head in heads)
    async with instance.session.put('/shop/1', data=b'x') as response:
        assert await response.read() == b'x'
    # The one that was admitted has stalled, so another one takes its place.
    body = b'x' * BODY_BYTES
    async with asyncio.timeout(5):
        while True:
            async with instance.session.put('/shop/1', data=body) as response:
                if response.status == 200:
                    break
                assert response.status == 503
            await asyncio.sleep(0.05)
    for _, writer in crowd:
        writer.close()


async def test_idle_connections_are_closed_the_oldest_first(cluster):
    """Guards against idle callers that take the descriptors of others."""
    callers = settings_model.Callers(fds_max=208)
    instance = await cluster.add_instance(callers=callers)
    host, _, port = instance.url.removeprefix('http://').partition(':')
    crowd = [
        await asyncio.open_connection(host, int(port)) for _ in range(CROWD)
    ]
    async with asyncio.timeout(5):
        # Half of eight descriptors.
        for reader, _ in crowd[: CROWD - 4]:
            assert await reader.read() == b''
    async with instance.session.put('/shop/1', data=b'x') as response:
        assert await response.read() == b'x'
    for _, writer in crowd:
        writer.close()
