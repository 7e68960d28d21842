"""Tests of planned stops with a real process, real sockets and real time."""

import asyncio
import signal
import socket
import time

from aiohttp import web
import attrs
import pytest

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.soak import instances

GRACE_S = 8
ENDED_WITHOUT_ANSWER = 0
NOT_RUN = 503
RESULT_UNKNOWN = 504
# Times of the requests on connections that were idle, in seconds after
# SIGTERM. The load balancer sends no new connections by then.
SEND_TIMES_S = [3.2 + 0.09 * number for number in range(50)]


@attrs.define
class KeptConnection:
    """A caller's connection that is kept open between requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, route, request_id, output_tokens=40):
        """Sends a request and reads its answer.

        Returns:
            Status of the whole answer; 0 if the connection ended without.
        """
        self.write(route, request_id, output_tokens)
        return await self.read_answer()

    def write(self, route, request_id, output_tokens=40):
        """Sends a request."""
        headers = fleet.request_headers(route, request_id, 60_000)
        if route in ('guide', 'check'):
            headers['X-Token-Usage'] = f'100,{output_tokens}'
            headers['X-Length-Hint'] = str(output_tokens)
        head = ''.join(f'{name}: {v}\r\n' for name, v in headers.items())
        self.writer.write(
            f'POST /{route}/x HTTP/1.1\r\nContent-Length: 4\r\n{head}\r\n'
            'body'.encode()
        )

    async def read_answer(self):
        """Reads the answer to a request.

        Returns:
            Status of the whole answer; 0 if the connection ended without.
        """
        try:
            return await self._read_answer()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ENDED_WITHOUT_ANSWER

    async def _read_answer(self):
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode().lower()
        if 'transfer-encoding: chunked' in head:
            size_bytes = None
            while size_bytes != 0:
                line = await self.reader.readuntil(b'\r\n')
                size_bytes = int(line, 16)
                await self.reader.readexactly(size_bytes + 2)
        else:
            length_bytes = int(
                head.partition('content-length:')[2].split('\r\n')[0]
            )
            await self.reader.readexactly(length_bytes)
        return int(head.split()[1])


@pytest.fixture
async def store():
    """Runs a store whose tables allow requests of up to a minute."""
    running = fleet_store.FakeStore()
    runner = web.AppRunner(running.app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    await running.write_json(
        'keyed.op', 'config', fleet.configuration(timeoutMs=60_000)
    )
    running.address = f'127.0.0.1:{runner.addresses[0][1]}'
    try:
        yield running
    finally:
        await runner.cleanup()


@pytest.fixture
async def engines(store):
    """Runs an engine and a plain target."""
    running = {}
    for service in ('model', 'plain'):
        engine = running[service] = fleet_engine.FakeEngine(service)
        await engine.start()
        await store.write_json(
            'keyed.servers', service, engine.entry(service, 'ready')
        )
    try:
        yield running
    finally:
        for engine in running.values():
            await engine.stop()


@pytest.fixture
async def instance(store, engines, tmp_path):
    """Runs a gateway process."""
    node = instances.Instance(1, tmp_path, store.address, grace_s=GRACE_S)
    node.start()
    async with asyncio.timeout(instances.READY_TIMEOUT_S):
        while not await _is_ready(node):
            await asyncio.sleep(0.05)
    try:
        yield node
    finally:
        node.send_signal(signal.SIGKILL)
        node.process.wait()


@pytest.fixture
def connect(instance):
    """Returns a function that opens a connection of a caller."""

    async def open_connection():
        return KeptConnection(
            *await asyncio.open_connection(
                instance.host, instances.CALLERS_PORT
            )
        )

    return open_connection


async def _is_ready(node):
    try:
        reader, writer = await asyncio.open_connection(
            node.host, instances.READY_PORT
        )
    except ConnectionError:
        return False
    writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return b' 200 ' in line


async def _send_late(connection, stop_s, delay_s, route, request_id):
    await asyncio.sleep(stop_s + delay_s - time.monotonic())
    return await connection.send(route, request_id, output_tokens=140)


@pytest.mark.parametrize(
    ('route', 'service', 'behaviour'),
    [
        ('guide', 'model', {'event_s': 0.15, 'events': 35}),
        ('book', 'plain', {'delay_s': 1.5}),
    ],
    ids=['stream', 'call'],
)
async def test_a_stop_cuts_off_no_request_that_arrives_late(
    instance, engines, connect, route, service, behaviour
):
    """Guards against requests that are begun and then end unanswered."""
    kept = [await connect() for _ in SEND_TIMES_S]
    for number, connection in enumerate(kept):
        assert await connection.send('read', f'first-{number}') == 200
    engines['model'].behaviour = attrs.evolve(
        engines['model'].behaviour, event_s=0.15, events=1000
    )
    long = await connect()
    stream = asyncio.create_task(long.send('guide', 'long', 2000))
    async with asyncio.timeout(5):
        while 'long' not in engines['model'].ran:
            await asyncio.sleep(0.01)
    engine = engines[service]
    engine.behaviour = fleet_engine.Behaviour(**behaviour)
    stop_s = time.monotonic()
    instance.send_signal(signal.SIGTERM)
    statuses = await asyncio.gather(
        *(
            _send_late(connection, stop_s, delay_s, route, f'late-{number}')
            for number, (connection, delay_s) in enumerate(
                zip(kept, SEND_TIMES_S, strict=True)
            )
        )
    )
    await stream
    ran = {
        number: status
        for number, status in enumerate(statuses)
        if f'late-{number}' in engine.ran
    }
    assert ENDED_WITHOUT_ANSWER not in ran.values()
    assert NOT_RUN not in ran.values()


async def test_a_call_that_outlasts_the_grace_time_gets_an_answer(
    instance, engines, connect
):
    """Guards against connections that the exit closes without an answer."""
    engines['plain'].behaviour = fleet_engine.Behaviour(delay_s=30.0)
    call = asyncio.create_task((await connect()).send('book', 'long'))
    async with asyncio.timeout(5):
        while 'long' not in engines['plain'].ran:
            await asyncio.sleep(0.01)
    instance.send_signal(signal.SIGTERM)
    async with asyncio.timeout(GRACE_S):
        assert await call == RESULT_UNKNOWN
        while instance.running:
            await asyncio.sleep(0.01)
    assert instance.process.returncode == 0


async def test_the_exit_waits_for_answers_that_are_not_sent_yet(
    instance, engines
):
    """Guards against answers lost with the process, as a caller is slow."""
    engines['plain'].behaviour = fleet_engine.Behaviour(answer_bytes=4_000_000)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    address = (instance.host, instances.CALLERS_PORT)
    await asyncio.get_running_loop().sock_connect(sock, address)
    slow = KeptConnection(
        *await asyncio.open_connection(sock=sock, limit=4096)
    )
    slow.write('book', 'large')
    async with asyncio.timeout(5):
        while 'request-ended' not in instance.log.read_text():
            await asyncio.sleep(0.01)
    stop_s = time.monotonic()
    instance.send_signal(signal.SIGTERM)
    # Longer than the time after which an idle process exits.
    await asyncio.sleep(stop_s + 4.0 - time.monotonic())
    assert await slow.read_answer() == 200


async def test_a_stop_ends_no_silent_stream_that_no_engine_takes_over(
    instance, engines, store, connect
):
    """Guards against streams lost around SIGTERM with a failed handover.

    The engine preempts a run; it is stopped there, and the engine that has the
    copy refuses it.
    """
    other = fleet_engine.FakeEngine('model-2')
    await other.start()
    engines['model-2'] = other
    await store.write_json('keyed.servers', 'model-2', other.entry('model'))
    models = [engines['model'], other]

    def recover_when_stopped(engine):
        original_move = engine._move

        async def move(request):
            response = await original_move(request)
            engine.behaviour.silent_after = None
            engine.behaviour.has_copies = True
            return response

        engine._move = move

    for engine in models:
        engine.behaviour = fleet_engine.Behaviour(
            event_s=0.05, events=20, silent_after=4, has_copies=False
        )
        recover_when_stopped(engine)
    connection = await connect()
    async with asyncio.timeout(5):
        # A run has a copy once the instance knows both engines.
        while not any('x-kv-backup' in h for h in _headers(models)):
            connection = await connect()
            connection.write('guide', 'stream-1')
            await asyncio.sleep(0.05)
    instance.send_signal(signal.SIGTERM)
    assert await connection.read_answer() == 200
    assert any(engine.resumed_after for engine in models)


def _headers(models):
    return [headers for model in models for headers in model.received_headers]
