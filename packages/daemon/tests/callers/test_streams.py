"""Tests of resuming, disconnection, backpressure and shutdown."""

import asyncio
import json
import socket

import attrs
import pytest

from dotterelweir_core import errors
from dotterelweir_core.delivery import resume
from dotterelweir_fakes.engine import tokens
from dotterelweird.targets import engine as engine_client

CHAT = '/v1/chat/completions'
STREAMS = '/v1/streams'


@pytest.fixture
def streams(monkeypatch):
    """The engine streams that instances have opened."""
    opened = []
    start = engine_client.HttpEngineClient.start

    async def record(self, target, request):
        opened.append(await start(self, target, request))
        return opened[-1]

    monkeypatch.setattr(engine_client.HttpEngineClient, 'start', record)
    return opened


async def _read_events(response, count):
    """Reads complete events, up to ``count`` or the end."""
    text = b''
    async for chunk in response.content.iter_any():
        text += chunk
        if text.count(b'\n\n') >= count:
            break
    return text[: text.rindex(b'\n\n') + 2].decode()


def _last_id(text):
    ids = [line for line in text.split('\n') if line.startswith('id: ')]
    return ids[-1][4:]


def _content(text):
    """Returns the generation id and the joined tokens of one generation."""
    chunks = [
        json.loads(line[6:])
        for line in text.split('\n')
        if line.startswith('data: {"id"')
    ]
    assert len({chunk['id'] for chunk in chunks}) == 1
    return chunks[0]['id'], ''.join(
        chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
    )


def _assert_whole(text, count):
    name, content = _content(text)
    assert content == tokens.answer_text(name, count)
    assert text.endswith('data: [DONE]\n\n')


async def _resume(instance, event_id, **headers):
    headers = {'Last-Event-ID': event_id} | headers
    async with instance.session.get(STREAMS, headers=headers) as response:
        return response.status, await response.text()


@pytest.mark.parametrize('read', [1, 5, 21])
async def test_a_caller_resumes_at_another_instance(cluster, body, read):
    """Guards against tokens lost or repeated by a change of instance."""
    engine = await cluster.add_engine('e1', step_s=0.005)
    first_instance = await cluster.add_instance('i1')
    second_instance = await cluster.add_instance('i2')
    async with first_instance.session.post(CHAT, json=body(20)) as response:
        text = await _read_events(response, read)
        response.close()
    status, rest = await _resume(second_instance, _last_id(text))
    assert status == 200
    _assert_whole(text.replace('data: [DONE]\n\n', '') + rest, 20)
    assert engine.engine.cancelled == []
    status, rest = await _resume(first_instance, _last_id(text + rest))
    assert rest == 'data: [DONE]\n\n'


async def test_a_resumed_stream_survives_further_faults(cluster, body, fault):
    """Guards against a resumed stream without a sequence check."""
    engine = await cluster.add_engine('e1')
    instance = await cluster.add_instance()
    async with instance.session.post(CHAT, json=body(9)) as response:
        text = await _read_events(response, 2)
        response.close()
    for number, kind in enumerate(('cut', 'duplicate-event', 'skip-event')):
        engine.engine.inject(fault(kind, at=5 + number, on='resume'))
    first = text[: text.index('\n\n') + 2]
    status, rest = await _resume(instance, _last_id(first))
    _assert_whole(first + rest, 9)


async def test_foreign_and_forged_event_ids_are_refused(cluster, body):
    """Guards against reading the generation of another organisation."""
    await cluster.add_engine('e1')
    instance = await cluster.add_instance()
    async with instance.session.post(CHAT, json=body(2)) as response:
        event_id = _last_id(await response.text())
    for given, organisation, code in (
        (event_id, 'other', 'resume-forbidden'),
        ('B' + event_id[1:], 'acme', 'resume-invalid'),
        (event_id[9:], 'acme', 'resume-invalid'),
        (event_id[:-4], 'acme', 'resume-invalid'),
        (event_id.replace('.', 'x'), 'acme', 'resume-invalid'),
    ):
        _, text = await _resume(
            instance, given, **{'X-Organisation': organisation}
        )
        assert json.loads(text)['code'] == code


async def test_expired_generations_are_refused(cluster, body, eventually):
    """Guards against an answer from another incarnation of the engine."""
    engine = await cluster.add_engine('e1')
    instance = await cluster.add_instance(resume_window_s=0.02)
    async with instance.session.post(CHAT, json=body(2)) as response:
        event_id = _last_id(await response.text())
    await eventually(lambda: not engine.engine.generations)
    status, text = await _resume(instance, event_id)
    assert (status, json.loads(text)['execution']) == (410, 'ran')
    ref = instance.components.codec.decode(event_id, 'acme').ref
    older = attrs.evolve(ref, incarnation=0)
    other = resume.ResumeCodec(('a-key-of-sixteen-bytes',))
    status, _ = await _resume(
        instance, other.encode_resume_token(older, 'acme') + '.1'
    )
    assert status == 410
    engine.die()
    status, text = await _resume(instance, event_id)
    assert status == 503
    assert json.loads(text)['execution'] == 'ran'


async def test_an_instance_that_lags_behind_a_restart_resumes(cluster, body):
    """Guards against a final refusal by an instance with stale targets."""
    engine = await cluster.add_engine('e1', incarnation=7)
    instance = await cluster.add_instance()
    async with instance.session.post(CHAT, json=body(3)) as response:
        text = await response.text()
    known = attrs.evolve(engine.target, incarnation=6)
    cluster.engines['e1'] = attrs.evolve(engine, target=known)
    first = text[: text.index('\n\n') + 2]
    _, rest = await _resume(instance, _last_id(first))
    _assert_whole(first + rest, 3)


async def test_a_stream_is_handed_over_at_the_drain_deadline(cluster, body):
    """Guards against a planned stop that loses tokens (P6)."""
    await cluster.add_engine('e1', step_s=0.005)
    first_instance = await cluster.add_instance('i1')
    second_instance = await cluster.add_instance('i2')
    async with first_instance.session.post(CHAT, json=body(30)) as response:
        text = await _read_events(response, 3)
        first_instance.hand_over()
        text += (await response.content.read()).decode()
    body_text, _, handover = text.rpartition('id: ')
    event_id, kind, data = handover.strip().split('\n')
    assert kind == 'event: handover'
    assert json.loads(data[6:])['last_event_id'] == event_id
    assert event_id == _last_id(body_text)
    _, rest = await _resume(second_instance, event_id)
    _assert_whole(body_text + rest, 30)
    async with first_instance.session.post(CHAT, json=body()) as response:
        assert response.status == 503
        assert (await response.json())['execution'] == 'not run'


async def test_a_planned_stop_without_a_deadline_interrupts_nothing(
    cluster, body
):
    """Guards against a planned stop that ends streams early (P6)."""
    await cluster.add_engine('e1', step_s=0.005)
    first_instance = await cluster.add_instance('i1')
    async with first_instance.session.post(CHAT, json=body(30)) as response:
        text = await _read_events(response, 1)
        first_instance.refusal_reasons.append(errors.ErrorKind.SHUTTING_DOWN)
        drained = asyncio.create_task(
            first_instance.components.in_flight.wait_empty()
        )
        assert (await _text(first_instance, body(1)))[0] == 503
        text += (await response.content.read()).decode()
    _assert_whole(text, 30)
    await asyncio.wait_for(drained, 1)


async def test_a_stream_without_a_token_is_handed_over(
    cluster, body, eventually, streams
):
    """Guards against a planned stop that loses a queued generation."""
    engine = await cluster.add_engine('e1', step_s=0.3)
    first_instance = await cluster.add_instance('i1')
    second_instance = await cluster.add_instance('i2')
    task = asyncio.create_task(_text(first_instance, body(2)))
    await eventually(lambda: streams)
    first_instance.hand_over()
    status, text = await task
    assert status == 200
    assert 'event: handover' in text
    assert _last_id(text).endswith('.-1')
    _, rest = await _resume(second_instance, _last_id(text))
    _assert_whole(rest, 2)
    assert engine.engine.cancelled == []


async def _text(instance, body):
    async with instance.session.post(CHAT, json=body) as response:
        return response.status, await response.text()


async def test_an_answer_that_is_not_streamed_is_refused_at_the_deadline(
    cluster, body, eventually
):
    """Guards against a false statement about execution at a stop (P3)."""
    engine = await cluster.add_engine('e1', step_s=0.01)
    first_instance = await cluster.add_instance('i1')
    running = asyncio.create_task(_text(first_instance, body(500, False)))
    await eventually(lambda: first_instance.scheduler.tokens > 2)
    first_instance.scheduler.holds_requests = True
    queued = asyncio.create_task(_text(first_instance, body(2, False)))
    await eventually(
        lambda: first_instance.components.dispatcher.requests_waiting == 1
    )
    first_instance.hand_over()
    for task, execution in ((running, 'ran'), (queued, 'not run')):
        status, text = await task
        assert status == 503
        assert json.loads(text)['code'] == 'shutting-down'
        assert json.loads(text)['execution'] == execution
    await eventually(lambda: len(engine.engine.cancelled) == 1)
    await asyncio.wait_for(first_instance.components.in_flight.wait_empty(), 1)


async def test_disconnected_callers(cluster, body, eventually):
    """Guards against engine work for callers that cannot resume."""
    engine = await cluster.add_engine('e1', step_s=0.01)
    first_instance = await cluster.add_instance('i1')
    ends = first_instance.scheduler.ends
    # A streamed generation with a first token is kept for the resume window.
    async with first_instance.session.post(CHAT, json=body(500)) as response:
        await _read_events(response, 1)
        response.close()
    await eventually(lambda: ends == [('e1', 'cancelled')])
    assert engine.engine.cancelled == []
    assert len(engine.engine.batcher.running) == 1
    # One that is not streamed is cancelled, as its caller has no event id.
    task = asyncio.create_task(_text(first_instance, body(500, False)))
    await eventually(lambda: len(engine.engine.batcher.running) == 2)
    task.cancel()
    await eventually(lambda: len(engine.engine.cancelled) == 1)
    # A request that is still queued leaves the queue.
    first_instance.scheduler.holds_requests = True
    task = asyncio.create_task(_text(first_instance, body(500)))
    await eventually(
        lambda: first_instance.components.dispatcher.requests_waiting == 1
    )
    task.cancel()
    await eventually(
        lambda: first_instance.components.dispatcher.requests_waiting == 0
    )
    await eventually(lambda: first_instance.components.in_flight.count == 0)
    assert first_instance.components.dispatcher.attempts_running == 0


async def test_a_slow_reader_has_a_bounded_buffer(
    cluster, body, eventually, streams
):
    """Guards against memory that grows with the answers of slow readers."""
    engine = await cluster.add_engine('e1', step_s=0.0001)
    instance = await cluster.add_instance(stall_timeout_s=5.0)
    # Events of 8 KB fill the system's socket buffers quickly.
    content = json.dumps(body(3000, model='m' * 8000)).encode()
    reader, writer = await _open_slow(instance)
    writer.write(
        b'POST /v1/chat/completions HTTP/1.0\r\nX-Organisation: acme\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(content), content)
    )
    peak = 0

    def buffered():
        nonlocal peak
        caller = max(
            handler.transport.get_write_buffer_size()
            for handler in instance.runner.server.connections
        )
        own = streams[0]._response.content._size if streams else 0
        peak = max(peak, caller + own)
        generations = list(engine.engine.generations.values())
        return generations and generations[0].done and own > 0

    await eventually(buffered, 30.0)
    assert 16_384 < peak <= 65_536
    text = (await reader.read()).decode()
    _assert_whole(text[text.index('id: ') :], 3000)
    writer.close()


async def _open_slow(instance):
    host, port = instance.runner.addresses[0]
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, (host, port))
    return await asyncio.open_connection(sock=raw, limit=4096)
