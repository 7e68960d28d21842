"""Tests of targets that send endless bytes, or too few to make progress."""

import asyncio
import random

import pytest

from dotterelweir_core.gateway import memory_account
from dotterelweird import timers
from dotterelweird.gateway import answer_bodies
from dotterelweird.gateway import statistics
from dotterelweird.gateway.callers import memory as caller_memory

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
    first, second = FakeAnswer(1_500_000), FakeAnswer(1_500_000)
    account = memory_account.MemoryAccount(3_600_000, 4_096)
    callers = [account.open(name, lambda: None) for name in ('a', 'b')]
    before_bytes = account.held_bytes
    counters = statistics.Statistics()
    memory = answer_bodies.AnswerMemory(
        caller_memory.CallerMemory(
            account,
            timers.LoopTimerService(asyncio.get_running_loop()),
            random.Random(1),
            counters.memory_refusals,
            counters.closed_callers,
        )
    )
    reading = asyncio.create_task(memory.read(first, callers[0]))
    await first.sent.wait()
    with pytest.raises(answer_bodies.AnswerTooLarge):
        second.finish()
        await memory.read(second, callers[1])
    first.finish()
    assert len(await reading) == 1_500_000
    # It is charged until the caller has read it.
    assert account.held_bytes == before_bytes + 1.25 * 1_500_000
    account.close(callers[0])
    account.close(callers[1])
    assert account.held_bytes == 0
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
    _, writer = await send_to_read_later(deployment, deadline_ms, 1_024)
    return writer


async def send_to_read_later(deployment, deadline_ms, limit_bytes=400_000):
    reader, writer = await asyncio.open_connection(
        deployment.host, deployment.callers_port, limit=limit_bytes
    )
    writer.write(
        b'POST /guide/x HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-1\r\n'
        b'X-Attempt-Id: r1\r\nX-Deadline-Ms: %d\r\n'
        b'X-Token-Usage: 100,40\r\nContent-Length: 0\r\n\r\n' % deadline_ms
    )
    return reader, writer


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


async def wait_until_ended(deployment):
    """Waits until a request has begun and ended."""
    async with asyncio.timeout(3):
        while (await deployment.status())['running'] == 0:
            await asyncio.sleep(0.01)
        while (await deployment.status())['running'] > 0:
            await asyncio.sleep(0.01)


async def test_an_engine_is_read_on_while_its_caller_does_not_read(
    deployment,
):
    """Guards against engines that cut off an answer that stays unread."""
    for engine in deployment.engines.values():
        engine.behaviour.events = 10
        engine.behaviour.event_s = 0.08
        engine.behaviour.event_bytes = 32_000
    began_s = asyncio.get_running_loop().time()
    reader, writer = await send_to_read_later(deployment, 2_500)
    writer.transport.pause_reading()
    await wait_until_ended(deployment)
    assert asyncio.get_running_loop().time() - began_s > 0.5
    engines = deployment.engines.values()
    assert all(not engine.cancelled for engine in engines)
    # A caller that reads late still gets the whole stream.
    writer.transport.resume_reading()
    async with asyncio.timeout(3):
        answer = await reader.readuntil(b'\r\n0\r\n\r\n')
    assert answer.count(b'id: ') == 10
    writer.close()
    loads = deployment.gateway._loads
    assert all(loads.get(name).failed == 0 for name in deployment.engines)


async def test_a_caller_that_does_not_read_is_no_failure_of_the_engine(
    deployment,
):
    """Guards against engines avoided because of single slow callers."""
    for engine in deployment.engines.values():
        engine.behaviour.events = 4_000
        engine.behaviour.event_s = 0.0
        engine.behaviour.event_bytes = 32_000
    writer = await send_without_reading(deployment, 2_500)
    await wait_until_ended(deployment)
    writer.close()
    # It was cut off at the bound on what waits for it.
    engines = deployment.engines.values()
    assert sum(len(engine.cancelled) for engine in engines) == 1
    loads = deployment.gateway._loads
    assert [loads.get(name).failed for name in ('engine-1', 'engine-2')] == [
        0,
        0,
    ]
