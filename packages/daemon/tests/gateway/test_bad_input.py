"""Tests of invalid input from callers and targets."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet

SHOPS = ('shop-1', 'shop-2')
HEAD = b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\nX-Attempt-Id: request-1\r\n'


def requests_run(deployment):
    return [run for name in SHOPS for run in deployment.engines[name].ran]


async def send_raw(deployment, data):
    """Sends bytes to the gateway and returns the first bytes it answers."""
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
async def test_an_incomplete_or_invalid_answer_is_not_forwarded(
    deployment, raw
):
    """Guards against truncated or invalid bytes delivered as an answer."""
    for name in SHOPS:
        deployment.engines[name].behaviour.raw = raw
    async with deployment.request('book') as answer:
        body = await answer.read()
    assert answer.status == 502
    assert b'short' not in body
    assert requests_run(deployment) == ['request-1']


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
async def test_a_smuggled_request_does_not_run(deployment, framing):
    """Guards against request smuggling by ambiguous framing."""
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
    assert requests_run(deployment) == []


async def test_a_body_that_is_too_large_is_refused(deployment):
    """Guards against bodies that exhaust an instance's memory."""
    async with deployment.request('book', body=b'x' * 17_000_000) as answer:
        assert answer.status == 413
    assert requests_run(deployment) == []


@pytest.mark.parametrize(
    'usage', ['inf,inf', '-inf,5', '1e300,1e300', 'nan,1', '5,' + '9' * 400]
)
async def test_invalid_sizes_do_not_corrupt_the_load(deployment, usage):
    """Guards against sizes of a caller that break an instance's load digests.

    The peers of the instance would consider it dead and its engines idle.
    """
    second = await deployment.start_second()
    async with asyncio.timeout(3):
        while not second._peers.status_rows():
            await asyncio.sleep(0.01)
    for engine in deployment.engines.values():
        engine.behaviour.event_s = 0.03
    memory_tokens = 34_193
    async with deployment.request(
        'guide', X_Token_Usage=usage, X_Length_Hint='1e300'
    ) as answer:
        assert answer.status == 200
        await answer.content.readany()
        async with asyncio.timeout(1):
            while not any(peer_tokens(second)):
                await asyncio.sleep(0.005)
        assert max(peer_tokens(second)) <= 2 * memory_tokens
        await answer.read()
    async with asyncio.timeout(1):
        while any(peer_tokens(second)):
            await asyncio.sleep(0.005)


def peer_tokens(gateway):
    """Returns the tokens that other instances hold at each engine."""
    return [
        gateway._loads.get(name).peer_tokens
        for name in ('engine-1', 'engine-2')
    ]


@pytest.mark.parametrize('time_left', ['nan', 'inf', '-inf', 'soon'])
async def test_an_invalid_deadline_is_malformed(deployment, time_left):
    """Guards against deadlines that never compare as reached."""
    async with deployment.request('read', X_Deadline_Ms=time_left) as answer:
        assert answer.status == 400


async def test_a_stream_over_http_1_0_is_not_run(deployment):
    """Guards against streams whose early end the caller cannot detect.

    HTTP/1.0 has no chunks, and without them a stream that ends early appears
    complete.
    """
    answer = await send_raw(
        deployment,
        b'POST /guide/x HTTP/1.0\r\nHost: shop.example\r\nApi-Key: key-1\r\n'
        b'X-Attempt-Id: r1\r\nX-Token-Usage: 100,40\r\n'
        b'Content-Length: 0\r\n\r\n',
    )
    assert answer.split(b' ')[1] == b'400'
    for name in ('engine-1', 'engine-2'):
        assert deployment.engines[name].ran == []


@pytest.mark.parametrize(
    'path',
    [
        b'/read/x?',
        b'/read/x?a=b&&',
        b'/read/x?a=b?c=%zz',
        b'/read/%2e%2e/a%2Fb',
        b'/read//a/../b/.',
        b'/read/x;a=1|"<>',
        b'/read/x?a=b#c',
    ],
)
async def test_a_path_arrives_as_it_was_sent(deployment, path):
    """Guards against a request that runs with a changed path or query."""
    answer = await send_raw(
        deployment,
        b'GET %b HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-1\r\n'
        b'X-Attempt-Id: r1\r\nConnection: close\r\n\r\n' % path,
    )
    assert answer.split(b' ')[1] == b'200'
    paths = [sent for name in SHOPS for sent in deployment.engines[name].paths]
    assert paths == [path.decode()]


@pytest.mark.parametrize('route', ['book', 'guide'])
@pytest.mark.parametrize('coding', [b'gzip', b'identity, br', b'x'])
async def test_an_encoded_body_is_not_forwarded(deployment, route, coding):
    """Guards against a success with a body that no target produced.

    Requests accept no content encoding, so targets send none.
    """
    framing = b'Content-Encoding: ' + coding + b'\r\n'
    if route == 'book':
        body = b'Content-Length: 4\r\n\r\nbody'
    else:
        body = (
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n'
        )
    for engine in deployment.engines.values():
        engine.behaviour.raw = HEAD + framing + body
    async with deployment.request(route) as answer:
        assert answer.status == 502
        assert b'body' not in await answer.read()
    ran = [len(engine.ran) for engine in deployment.engines.values()]
    assert sum(ran) == 1


@pytest.mark.parametrize('route', ['read', 'guide', 'check'])
async def test_a_request_that_no_target_accepts_is_sent_once(
    deployment, route
):
    """Guards against retries and avoided targets for malformed requests."""
    async with deployment.request(route, request_id='') as answer:
        assert answer.status == 400
    engines = deployment.engines
    assert (
        sum(len(engine.received_headers) for engine in engines.values()) == 1
    )
    loads = deployment.gateway._loads
    assert not any(loads.get(name).failed for name in engines)
