"""Tests of targets that send endless bytes, or too few to make progress."""

import asyncio

import pytest

from dotterelweird.gateway import answer_bodies

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: REQUEST\r\nX-Upstream-Seal: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Most bytes of one flood that may be accepted, including the buffers of both
# sockets and of the stand-in; the largest answer that is read has 4 MiB.
ACCEPTED_BYTES_MAX = 16_000_000

FLOODS = {
    'a line of a head': (HEAD + b'X-Long: ', b'a'),
    'fields of a head': (HEAD, b'X-Field: value\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'a body without a length': (HEAD + b'\r\n', b'bytes'),
    'a body in chunks': (CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'the extension of a chunk': (CHUNKED + b'4;', b'extension'),
    'trailers': (CHUNKED + b'0\r\n', b'X-Trailer: value\r\n'),
    'further answers': (
        HEAD + b'Content-Length: 0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    ),
    'no HTTP': (b'', b'\x00\xff'),
}


def set_flood(deployment, names, kind):
    """Makes targets answer with endless bytes."""
    engines = [deployment.engines[name] for name in names]
    for engine in engines:
        engine.behaviour.raw, engine.behaviour.flood = FLOODS[kind]
    return engines


@pytest.mark.parametrize('kind', FLOODS)
async def test_a_flood_is_cut_off(deployment, kind):
    """Guards against answers that exhaust the memory of an instance."""
    engines = set_flood(deployment, ('shop-1', 'shop-2'), kind)
    async with deployment.request('book') as answer:
        body = await answer.read()
    # The whole answer before the flood is valid and is delivered.
    assert answer.status == (200 if kind == 'further answers' else 502)
    assert len(body) < 1000
    assert sum(engine.flooded_bytes for engine in engines) < ACCEPTED_BYTES_MAX


@pytest.mark.parametrize('kind', FLOODS)
async def test_a_flood_in_place_of_a_stream_is_cut_off(deployment, kind):
    """Guards against streams that exhaust the memory of an instance."""
    engines = set_flood(deployment, ('engine-1', 'engine-2'), kind)
    async with deployment.request('guide') as answer:
        body = await answer.read()
    # Neither 502 nor 504 states that the request has not run.
    assert answer.status in (
        (200,) if kind == 'further answers' else (502, 504)
    )
    assert len(body) < 1000
    assert sum(engine.flooded_bytes for engine in engines) < ACCEPTED_BYTES_MAX


async def test_answers_share_a_bounded_memory():
    """Guards against large answers that exhaust the memory together."""
    memory = answer_bodies.AnswerMemory(bytes_max=1000)
    first, second = FakeAnswer(600), FakeAnswer(600)
    reading = asyncio.create_task(memory.read(first))
    await first.sent.wait()
    with pytest.raises(answer_bodies.AnswerTooLarge):
        second.finish()
        await memory.read(second)
    first.finish()
    assert len(await reading) == 600
    assert memory.held_bytes == 0
    assert second.closed


class FakeAnswer:
    """An answer that sends its body at once and ends after ``finish``."""

    def __init__(self, size):
        self._size = size
        self._end = asyncio.Event()
        self.sent = asyncio.Event()
        self.closed = False
        self.content = self

    async def iter_any(self):
        self.sent.set()
        yield b'x' * self._size
        await self._end.wait()

    def finish(self):
        self._end.set()

    def close(self):
        self.closed = True


async def test_partial_events_do_not_count_as_progress(deployment):
    """Guards against stalled streams kept open by single bytes."""
    deployment.gateway._loads.get('engine-2').running = 3
    first = deployment.engines['engine-1']
    second = deployment.engines['engine-2']
    first.behaviour.trickle_after = 3
    async with deployment.request('guide', deadline_ms=2900) as answer:
        body = await answer.read()
    assert body.count(b'\n\n') == 10
    assert second.received_headers[0]['last-event-id'] == '3'


async def test_a_slow_stream_is_not_interrupted(deployment):
    """Guards against streams that are interrupted only for being slow."""
    deployment.gateway._loads.get('engine-2').running = 3
    first = deployment.engines['engine-1']
    second = deployment.engines['engine-2']
    first.behaviour.events = 4
    # Below the silence after which an engine must stop the stream, one second.
    first.behaviour.event_s = 0.7
    async with deployment.request('guide', deadline_ms=2900) as answer:
        body = await answer.read()
    assert body.count(b'\n\n') == 4
    assert first.move_orders == second.received_headers == []


async def send_without_reading(deployment, deadline_ms):
    """Sends the request of a generation and reads none of its answer."""
    _, writer = await asyncio.open_connection(
        deployment.host, deployment.callers_port, limit=1024
    )
    writer.write(
        b'POST /guide/x HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-1\r\n'
        b'X-Attempt-Id: r1\r\nX-Deadline-Ms: %d\r\n'
        b'X-Token-Usage: 100,40\r\nContent-Length: 0\r\n\r\n' % deadline_ms
    )
    return writer


async def test_a_caller_that_does_not_read_is_dropped_at_its_deadline(
    deployment,
):
    """Guards against callers that hold a stream open without reading it."""
    first = deployment.engines['engine-1']
    deployment.gateway._loads.get('engine-2').running = 3
    first.behaviour.raw = CHUNKED + b'100000\r\n'
    first.behaviour.flood = b'id: 1\ndata: x\n\n' + b'\n' * 65_000
    writer = await send_without_reading(deployment, 500)
    async with asyncio.timeout(3):
        while (await deployment.status())['running'] == 0:
            await asyncio.sleep(0.01)
        while (await deployment.status())['running'] > 0:
            await asyncio.sleep(0.01)
    writer.close()


async def test_a_caller_that_does_not_read_is_no_failure_of_the_engine(
    deployment,
):
    """Guards against engines avoided because of single slow callers."""
    for engine in deployment.engines.values():
        engine.behaviour.events = 4_000
        engine.behaviour.event_s = 0.0
        engine.behaviour.event_bytes = 32_000
    writer = await send_without_reading(deployment, 600)
    began_s = asyncio.get_running_loop().time()
    async with asyncio.timeout(3):
        while (await deployment.status())['running'] == 0:
            await asyncio.sleep(0.01)
        while (await deployment.status())['running'] > 0:
            await asyncio.sleep(0.01)
    assert asyncio.get_running_loop().time() - began_s > 0.5
    writer.close()
    loads = deployment.gateway._loads
    assert [loads.get(name).failed for name in ('engine-1', 'engine-2')] == [
        0,
        0,
    ]
