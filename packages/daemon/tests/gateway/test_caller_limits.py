"""Tests of the tables' limits on what callers send."""

import asyncio

from dotterelweir_fakes.fleet import deployment as fleet

SHOPS = ('shop-1', 'shop-2')
TIGHT_LIMITS = {
    'headerBytes': 2000,
    'bodyBytes': 1000,
    'headerMs': 150,
    'idleMs': 400,
}


async def apply_limits(deployment, **limits):
    """Writes new limits to the store and waits until they are in force."""
    tables = fleet.configuration(2)
    tables['limits'] = {**TIGHT_LIMITS, **limits}
    await deployment.store.write_json('keyed.op', 'config', tables)
    async with asyncio.timeout(5):
        while deployment.gateway.tables_version != 2:
            await asyncio.sleep(0.01)


def requests_run(deployment):
    return [run for name in SHOPS for run in deployment.engines[name].ran]


async def read_until_closed(deployment, data, timeout_s=2.0):
    """Sends bytes and returns everything received until the close."""
    reader, writer = await asyncio.open_connection(
        deployment.host, deployment.callers_port
    )
    writer.write(data)
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read()
    finally:
        writer.close()


def incomplete_head(**fields):
    """Returns the head of a request without the empty line that ends it."""
    lines = {**fleet.request_headers('book', 'request-1', 1000), **fields}
    text = ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
    return b'POST /book/x HTTP/1.1\r\n' + text.encode()


async def test_a_body_over_the_tables_limit_is_refused(deployment):
    """Guards against bodies above the limit that the operator set."""
    await apply_limits(deployment)
    async with deployment.request('book', body=b'x' * 1001) as answer:
        assert answer.status == 413
    assert requests_run(deployment) == []
    async with deployment.request('book', body=b'x' * 1000) as answer:
        assert answer.status == 200


async def test_a_chunked_body_over_the_limit_is_refused(deployment):
    """Guards against bodies above the limit whose size is not announced."""
    await apply_limits(deployment)

    async def chunks():
        for _ in range(11):
            yield b'x' * 100

    async with deployment.request('book', body=chunks()) as answer:
        assert answer.status == 413
    assert requests_run(deployment) == []


async def test_headers_over_the_tables_limit_are_refused(deployment):
    """Guards against headers above the limit that the operator set."""
    await apply_limits(deployment)
    async with deployment.request('book', X_More='x' * 2000) as answer:
        assert answer.status == 431
    assert requests_run(deployment) == []
    async with deployment.request('book', X_More='x' * 500) as answer:
        assert answer.status == 200


async def test_a_head_that_does_not_end_is_cut_off(deployment):
    """Guards against callers that hold connections with incomplete heads."""
    await apply_limits(deployment)
    assert await read_until_closed(deployment, incomplete_head()) == b''


async def test_a_body_that_does_not_end_is_answered(deployment):
    """Guards against callers that hold requests with incomplete bodies."""
    await apply_limits(deployment)
    data = incomplete_head(**{'Content-Length': '10'}) + b'\r\nhalf'
    reply = await read_until_closed(deployment, data)
    assert reply.split()[1] == b'408'
    assert requests_run(deployment) == []


async def test_an_idle_connection_is_closed(deployment):
    """Guards against idle connections that exhaust the file descriptors."""
    await apply_limits(deployment)
    data = incomplete_head(**{'Content-Length': '1'}) + b'\r\n1'
    reply = await read_until_closed(deployment, data)
    assert reply.split()[1] == b'200'


async def test_a_connection_without_a_request_is_closed(deployment):
    """Guards against connections that are opened and never used."""
    await apply_limits(deployment)
    assert await read_until_closed(deployment, b'') == b''


async def test_a_slow_answer_is_not_cut_off_by_the_limits(deployment):
    """Guards against answers cut off by a timeout of the request."""
    await apply_limits(deployment)
    for name in SHOPS:
        deployment.engines[name].behaviour.delay_s = 1.0
    async with deployment.request('book') as answer:
        assert answer.status == 200


async def test_a_second_request_on_a_connection_is_read(deployment):
    """Guards against a timeout that starts with the connection."""
    await apply_limits(deployment)
    data = incomplete_head(**{'Content-Length': '1'}) + b'\r\n1'
    reader, writer = await asyncio.open_connection(
        deployment.host, deployment.callers_port
    )
    try:
        for _ in range(4):
            writer.write(data)
            async with asyncio.timeout(2):
                answer = await reader.readuntil(b'\r\n\r\n')
            assert answer.split()[1] == b'200'
            # Longer than the head timeout and shorter than the idle timeout.
            assert (
                await read_until_closed(deployment, incomplete_head()) == b''
            )
            await reader.read(65536)
    finally:
        writer.close()
