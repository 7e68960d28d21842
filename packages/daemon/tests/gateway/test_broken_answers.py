"""Tests of answers of targets that break off or have an unusual framing."""

import asyncio

import pytest

HEAD = b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\nX-Attempt-Id: request-1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BODY = b'Content-Length: 4\r\n\r\nbody'
NOT_RUN = b'X-Not-Executed: 1\r\n'

CUT_ANSWERS = {
    'within the status line': b'HTTP/1.1 200',
    'before the end of the status line': b'HTTP/1.1 200 OK',
    'after the status line': b'HTTP/1.1 200 OK\r\n',
    'within the name of a header': HEAD + b'Content-Le',
    'after the name of a header': HEAD + b'Content-Length:',
    'within the value of a header': HEAD + b'Content-Length: 1',
    'within the end of a line': HEAD + b'Content-Length: 1\r',
    'after some headers': HEAD,
    'after a length of zero': HEAD + b'Content-Length: 0\r\n',
    'within the empty line': HEAD + b'Content-Length: 0\r\n\r',
    'after the header for chunks': HEAD + b'Transfer-Encoding: chunked\r\n',
    'within the head of a refusal': b'HTTP/1.1 503 No\r\n' + NOT_RUN,
    'within the head after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' + HEAD
    ),
    'within an interim answer': b'HTTP/1.1 103 Early Hints\r\n',
    'after an interim answer': b'HTTP/1.1 100 Continue\r\n\r\n',
    'after an interim answer that states not run': (
        b'HTTP/1.1 103 Early Hints\r\n' + NOT_RUN + b'\r\n'
    ),
    'before the body': HEAD + b'Content-Length: 50\r\n\r\n',
    'within the body': HEAD + b'Content-Length: 50\r\n\r\nshort',
    'within the body of a refusal': (
        HEAD.replace(b'200 OK', b'503 No')
        + NOT_RUN
        + b'Content-Length: 50\r\n\r\nshort'
    ),
    'before the first chunk': CHUNKED,
    'within a chunk': CHUNKED + b'9\r\nshort',
    'before the last chunk': CHUNKED + b'5\r\nshort\r\n',
    'within the last chunk': CHUNKED + b'5\r\nshort\r\n0\r\n',
    'within trailers': CHUNKED + b'5\r\nshort\r\n0\r\nX-Trailer: value\r\n',
    'with an invalid size of a chunk': CHUNKED + b'5\r\nshort\r\nzz\r\n',
    'with a chunk longer than its size': (
        CHUNKED + b'3\r\nshort\r\n0\r\n\r\n'
    ),
    'with a length and chunks': (
        HEAD
        + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'5\r\nshort\r\n0\r\n\r\n'
    ),
}
WHOLE_ANSWERS = {
    'without a length': HEAD + b'\r\nbody',
    'of HTTP/1.0 without a length': HEAD.replace(b'1.1', b'1.0') + b'\r\nbody',
    'of HTTP/1.0 with a length': HEAD.replace(b'1.1', b'1.0') + BODY,
    'with trailers': (
        CHUNKED + b'4\r\nbody\r\n0\r\nX-Trailer: value\r\n' + NOT_RUN + b'\r\n'
    ),
    'after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\n' + NOT_RUN + b'\r\n' + HEAD + BODY
    ),
    'before another answer': HEAD + BODY + b'HTTP/1.1 200 OK\r\n' + BODY,
    'before part of another answer': HEAD + BODY + b'HTTP/1.1 503 No\r\n',
}

TRAILING_BYTES = {
    'after a body': HEAD + BODY + b'\x00garbage\r\n\r\n',
    'after chunks': CHUNKED + b'4\r\nbody\r\n0\r\n\r\n\x00garbage\r\n',
    'after the last answer of a connection': (
        HEAD + b'Connection: close\r\n' + BODY + b'\x00garbage'
    ),
    'after an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\n\r\n' + HEAD + BODY + b'\x00garbage'
    ),
}


def set_raw(deployment, names, raw):
    for name in names:
        deployment.engines[name].behaviour.raw = raw


def started_runs(deployment):
    """Returns the number of runs that started from the beginning."""
    return sum(
        'kv-from' not in headers
        for engine in deployment.engines.values()
        for headers in engine.received_headers
    )


@pytest.mark.parametrize('route', ['book', 'guide'])
@pytest.mark.parametrize('cut', CUT_ANSWERS)
async def test_a_cut_answer_is_no_answer(deployment, route, cut):
    """Guards against cut answers that are forwarded, or taken for not run."""
    set_raw(deployment, deployment.engines, CUT_ANSWERS[cut])
    async with deployment.request(route) as answer:
        body = await answer.read()
    assert answer.status == 502
    assert b'short' not in body
    assert started_runs(deployment) == 1


@pytest.mark.parametrize('rest', [b'zz\r\n', b'3\r\nshort\r\n'])
async def test_a_call_with_an_invalid_chunk_fails_at_once(deployment, rest):
    """Guards against calls that wait until their deadline for no answer.

    The head of the answer arrives before the invalid chunk.
    """
    for name in ('shop-1', 'shop-2'):
        behaviour = deployment.engines[name].behaviour
        behaviour.raw, behaviour.raw_rest = CHUNKED, rest
    async with asyncio.timeout(1):
        async with deployment.request('book') as answer:
            await answer.read()
    assert answer.status == 502


@pytest.mark.parametrize('cut', CUT_ANSWERS)
async def test_a_repeatable_call_is_repeated_after_a_cut_answer(
    deployment, cut
):
    """Guards against cut answers in place of whole ones of other targets."""
    set_raw(deployment, ['shop-1'], CUT_ANSWERS[cut])
    deployment.gateway._loads.get('shop-2').running = 5
    async with deployment.request('read') as answer:
        body = await answer.read()
    assert answer.status == 200
    assert body == b'answer to request-1 body'


@pytest.mark.parametrize('kind', WHOLE_ANSWERS)
async def test_an_answer_with_an_unusual_framing_is_whole(deployment, kind):
    """Guards against whole answers that are changed or count as broken."""
    set_raw(deployment, ['shop-1', 'shop-2'], WHOLE_ANSWERS[kind])
    async with deployment.request('book') as answer:
        body = await answer.read()
        names = {name.lower() for name in answer.headers}
    assert answer.status == 200
    assert body == b'body'
    assert 'x-not-executed' not in names
    assert answer.headers['Content-Length'] == '4'


@pytest.mark.parametrize('kind', TRAILING_BYTES)
async def test_bytes_after_an_answer_do_not_spoil_it(deployment, kind):
    """Guards against whole answers lost to invalid bytes that follow them.

    The answer and the bytes arrive in one piece.
    """
    set_raw(deployment, ['shop-1', 'shop-2'], TRAILING_BYTES[kind])
    async with deployment.request('book') as answer:
        body = await answer.read()
    assert answer.status == 200
    assert body == b'body'


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
async def test_the_body_of_a_bodiless_answer_is_not_forwarded(
    deployment, status
):
    """Guards against bytes on a caller's connection between two answers."""
    answers = HEAD.replace(b'200 OK', status) + BODY
    set_raw(deployment, ['shop-1', 'shop-2'], answers)
    async with deployment.request('book') as answer:
        assert b'body' not in await answer.read()
    set_raw(deployment, ['shop-1', 'shop-2'], b'')
    async with deployment.request('book', 'request-2') as answer:
        assert await answer.read() == b'answer to request-2 body'


async def test_an_answer_to_head_has_no_body(deployment):
    """Guards against an answer to HEAD that waits for a body or sends one."""
    answers = HEAD + b'Content-Length: 4\r\n\r\n'
    set_raw(deployment, ['shop-1', 'shop-2'], answers)
    async with deployment.request('book', method='HEAD', body=b'') as answer:
        assert answer.status == 200
        assert await answer.read() == b''
    set_raw(deployment, ['shop-1', 'shop-2'], b'')
    async with deployment.request('book', 'request-2') as answer:
        assert await answer.read() == b'answer to request-2 body'


@pytest.mark.parametrize('route', ['read', 'book', 'guide', 'check'])
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_a_status_that_does_not_exist_reaches_no_caller(
    deployment, route, status
):
    """Guards against an engine in trouble whose status looks like one."""
    for engine in deployment.engines.values():
        engine.behaviour.raw = HEAD.replace(b'200 OK', status + b' X') + BODY
    async with deployment.request(route) as answer:
        assert answer.status == 502
        assert 'X-Upstream-Seal' not in answer.headers


@pytest.mark.parametrize('status', [200, 404, 599])
async def test_a_status_of_a_target_is_passed_on(deployment, status):
    """Guards against proper answers that are replaced."""
    for engine in deployment.engines.values():
        engine.behaviour.raw = HEAD.replace(b'200 OK', b'%d X' % status) + BODY
    async with deployment.request('book') as answer:
        assert answer.status == status
        assert answer.headers['X-Upstream-Seal'] == 's'
