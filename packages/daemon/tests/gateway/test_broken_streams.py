"""Tests of streams that break off, and of what follows in their place."""

import asyncio

import pytest

from dotterelweir_fakes.fleet import deployment as fleet

HEAD = b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\nX-Attempt-Id: request-1\r\n'
ID = b'X-Attempt-Id: request-1\r\n'
ERROR = b'HTTP/1.1 500 Oops\r\n'
SEALED_ERROR = ERROR + b'X-Upstream-Seal: s\r\n' + ID
TEXT = b'Content-Length: 11\r\n\r\nerror text\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'\r\nid: 5\ndata: error text\n\n'
LAST_CHUNK = b'\r\n0\r\n\r\n'

# Answers of an engine that is to continue a stream.
FAILED_CONTINUATIONS = {
    'a sealed error': SEALED_ERROR + TEXT,
    'an error without a seal': ERROR + ID + TEXT,
    'an error without an id': ERROR + TEXT,
    'an error without a length': SEALED_ERROR + b'\r\nerror text\n',
    'an error in chunks': SEALED_ERROR + CHUNKED + b'5\r\nerror\r\n0\r\n\r\n',
    'an error with an event': SEALED_ERROR + EVENT,
    'an error cut in its status line': b'HTTP/1.1 500',
    'an error cut in its head': SEALED_ERROR,
    'an error cut in its body': SEALED_ERROR + TEXT[:-5],
    'an error cut in its chunks': SEALED_ERROR + CHUNKED + b'5\r\nerror\r\n',
    'not found': HEAD.replace(b'200 OK', b'404 Not Found') + TEXT,
    'a redirect': HEAD.replace(b'200 OK', b'302 Found') + TEXT,
    'no content': HEAD.replace(b'200 OK', b'204 No Content') + b'\r\n',
    'a switch of protocols': (
        HEAD.replace(b'200 OK', b'101 Switching')
        + b'Upgrade: x\r\nConnection: upgrade\r\n'
        + EVENT
    ),
    'a refusal without a statement': HEAD.replace(b'200 OK', b'503 No') + TEXT,
    'a stream without a seal': b'HTTP/1.1 200 OK\r\n' + ID + EVENT,
    'a stream of another request': HEAD.replace(b'-1', b'-2') + EVENT,
    'a success with a text': HEAD + TEXT,
    'a success with a text and an empty line': HEAD + b'\r\nerror text\n\n',
    'a success cut in its head': HEAD,
    'a success with an invalid chunk': HEAD + CHUNKED + b'error text\r\n',
    'no HTTP': b'error text\r\n\r\n',
}


async def read_stream(deployment, route):
    """Sends a request and returns all bytes of its answer."""
    reader, writer = await asyncio.open_connection(
        deployment.host, deployment.callers_port
    )
    fields = fleet.request_headers(route, 'request-1', 2500)
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    head = f'POST /{route}/x HTTP/1.1\r\n{lines}Content-Length: 0\r\n\r\n'
    writer.write(head.encode())
    received = b''
    try:
        async with asyncio.timeout(3):
            while data := await reader.read(65_536):
                received += data
                if received.endswith(LAST_CHUNK):
                    break
    except ConnectionResetError:
        pass
    finally:
        writer.close()
    return received


def expected_events(first, last):
    """Returns the bytes of the events that a fake engine sends."""
    return b''.join(
        b'id: %d\ndata: token-%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def join_chunks(received):
    """Returns the body of an answer in chunks, which may be incomplete."""
    _, _, rest = received.partition(b'\r\n\r\n')
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body


def place_on_first(deployment):
    """Makes the first engine the cheapest one.

    Returns:
        Both engines.
    """
    deployment.gateway._loads.get('engine-2').running = 3
    return deployment.engines['engine-1'], deployment.engines['engine-2']


@pytest.mark.parametrize('route', ['guide', 'check'])
@pytest.mark.parametrize(
    'invalid',
    [b'error text\n\n', b'id: 9\ndata: x\n\n', b'id: x\n\n', b'\n\n'],
)
async def test_events_before_an_invalid_one_are_not_skipped(
    deployment, route, invalid
):
    """Guards against events that count as delivered and never were.

    The invalid event arrives in one piece with valid ones, so that none of
    them is forwarded; the next engine must start with the first of them.
    """
    first, _ = place_on_first(deployment)
    first.behaviour.raw = HEAD + b'\r\n' + expected_events(1, 3) + invalid
    received = await read_stream(deployment, route)
    assert join_chunks(received) == expected_events(1, 10)
    assert received.endswith(LAST_CHUNK)


@pytest.mark.parametrize('route', ['guide', 'check'])
@pytest.mark.parametrize('kind', FAILED_CONTINUATIONS)
async def test_a_failed_continuation_is_not_joined_to_a_stream(
    deployment, route, kind
):
    """Guards against errors in the middle of a stream that has begun."""
    first, second = place_on_first(deployment)
    first.behaviour.cut_after = 4
    second.behaviour.raw = FAILED_CONTINUATIONS[kind]
    received = await read_stream(deployment, route)
    assert second.ran
    assert received.count(b'HTTP/1.') == 1
    assert b'error' not in received
    # The first engine may continue a run that broke off at the second one.
    body = join_chunks(received)
    assert body.startswith(expected_events(1, 4))
    assert expected_events(1, 10).startswith(body)
    complete = received.endswith(LAST_CHUNK)
    assert complete == (body == expected_events(1, 10))


async def test_a_stop_during_a_pause_is_not_joined_to_a_stream(deployment):
    """Guards against a refusal in the middle of a stream that has begun.

    The stream broke off, its only other engine is paused, and the process
    begins to stop meanwhile.
    """
    first, _ = place_on_first(deployment)
    first.behaviour.cut_after = 4
    gateway = deployment.gateway
    gateway._parts.placer.pause_registry.extend(
        gateway._directory.targets['engine-2'],
        gateway._timers.monotonic_s() + 0.5,
    )
    asyncio.get_running_loop().call_later(0.2, gateway.begin_stop)
    received = await read_stream(deployment, 'check')
    assert received.count(b'HTTP/1.') == 1
    assert join_chunks(received) == expected_events(1, 10)
    assert received.endswith(LAST_CHUNK)


@pytest.mark.parametrize('framing', [b'\r\n', b'Content-Length: 63\r\n\r\n'])
async def test_a_stream_without_chunks_is_complete_at_its_end(
    deployment, framing
):
    """Guards against whole streams that count as broken off."""
    for name in ('engine-1', 'engine-2'):
        behaviour = deployment.engines[name].behaviour
        behaviour.raw = HEAD + framing + expected_events(1, 3)
    received = await read_stream(deployment, 'guide')
    assert join_chunks(received) == expected_events(1, 3)
    assert received.endswith(LAST_CHUNK)
    ran = [deployment.engines[name].ran for name in ('engine-1', 'engine-2')]
    assert sorted(ran) == [[], ['request-1']]


async def test_a_stream_without_a_length_and_events_is_no_answer(deployment):
    """Guards against an empty stream of a crashed engine that looks whole."""
    for name in ('engine-1', 'engine-2'):
        deployment.engines[name].behaviour.raw = HEAD + b'\r\n'
    async with deployment.request(
        'guide', X_Prompt_Prefix='a:1,b:1'
    ) as answer:
        assert answer.status == 502
    # Only the end of an engine is held against a prompt.
    for name in ('engine-1', 'engine-2'):
        deployment.engines[name].crash()
    async with asyncio.timeout(2):
        while not deployment.gateway._parts.prompt_guard.crashes(2):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('route', ['guide', 'check'])
@pytest.mark.parametrize(
    ('rest', 'reset'),
    [
        (b'i', False),
        (b'id: 4\nda', False),
        (b'id: 4\ndata: x\n', False),
        (b'id: 4\nda', True),
        (b'', True),
    ],
)
async def test_a_stream_without_a_length_that_breaks_off_is_not_complete(
    deployment, route, rest, reset
):
    """Guards against the start of an event, and an end that looks regular.

    Without a length or chunks, only an incomplete event or a reset shows
    that a stream has broken off.
    """
    for name in ('engine-1', 'engine-2'):
        behaviour = deployment.engines[name].behaviour
        behaviour.raw = HEAD + b'\r\n' + expected_events(1, 3) + rest
        behaviour.reset = reset
    received = await read_stream(deployment, route)
    assert join_chunks(received) == expected_events(1, 3)
    assert not received.endswith(LAST_CHUNK)


@pytest.mark.parametrize('route', ['guide', 'check'])
async def test_a_stream_with_an_invalid_chunk_goes_on(deployment, route):
    """Guards against streams given up although another engine has a copy."""
    first, _ = place_on_first(deployment)
    events = expected_events(1, 3)
    first.behaviour.raw = HEAD + CHUNKED + b'%x\r\n' % len(events) + events
    first.behaviour.raw_rest = b'\r\nzz\r\n'
    received = await read_stream(deployment, route)
    assert join_chunks(received) == expected_events(1, 10)
    assert received.endswith(LAST_CHUNK)


def fill_memory(deployment):
    """Leaves no memory for backups, so that runs have none."""
    for name in ('engine-1', 'engine-2'):
        deployment.gateway._loads.get(name).tokens += 28_000


async def test_a_stream_stopped_without_confirmation_is_not_complete(
    deployment,
):
    """Guards against a stopped stream without a length that looks complete.

    The engine stops a silent run and closes its stream after a whole event;
    its confirmation is late.
    """
    first, second = place_on_first(deployment)
    first.behaviour.close_delimited = True
    first.behaviour.silent_after = 3
    first.behaviour.final_move_s = 0.6
    fill_memory(deployment)
    received = await read_stream(deployment, 'guide')
    # The last call finds that the run has stopped.
    assert [move['last'] for move in first.move_orders] == [False, True, True]
    assert second.resumed_after == [3]
    assert join_chunks(received) == expected_events(1, 10)
    assert received.endswith(LAST_CHUNK)


async def test_a_moved_stream_without_confirmation_is_not_complete(deployment):
    """Guards against a moved stream without a length that looks complete.

    The draining engine stops the run for its move and closes its stream
    after a whole event; the call that stops the run times out.
    """
    first, second = place_on_first(deployment)
    first.behaviour.close_delimited = True
    first.behaviour.event_s = 0.05
    first.behaviour.events = second.behaviour.events = 30
    first.behaviour.final_move_s = 1.2
    fill_memory(deployment)
    reading = asyncio.create_task(read_stream(deployment, 'guide'))
    async with asyncio.timeout(1):
        while not first.ran:
            await asyncio.sleep(0.01)
    await deployment.register('engine-1', 'model', 'draining')
    received = await reading
    # The last call finds that the run has stopped.
    assert [move['last'] for move in first.move_orders] == [False, True, True]
    complete = received.endswith(LAST_CHUNK)
    assert complete == (join_chunks(received) == expected_events(1, 30))
