"""Stand-ins for engines and plain services, and their registrations."""

import asyncio
import contextlib
import dataclasses
import json
import time

import http_io
import machines
import store as stores

TOPIC = 'keyed.servers'
BEAT_S = 1.2
# Beats without a sign of life after which the store drops an entry.
BEATS_MAX = 3


@dataclasses.dataclass
class Run:
    """A stream that an engine works on.

    Attributes:
        tokens: Tokens of its prompt.
        made: Number of events made.
        stopped: Whether a move stopped it.
        moving: Whether a call that moves it is in progress.
        copied_tokens: Tokens that the last copy holds.
        handle: Handle of its copy.
    """

    tokens: int
    made: int = 0
    stopped: bool = False
    moving: bool = False
    copied_tokens: int = 0
    handle: str = ''


class Engine:
    """Serves plain calls and streams, and registers itself.

    Attributes:
        engine_id: Its id in the store.
        ran: Time and id of each request that it began to run.
        arrivals: Time and id of each request that reached it, with the
            requests that it rejected.
        running: Number of requests that it works on.
        events: Number of events of its streams.
        event_s: Time between two events, in seconds.
        work_s: Time until a plain answer or the first event, in seconds.
        leaving: Whether its answers say that it leaves.
        token_s: Time to copy one token of a run to another engine of the same
            zone, in seconds.
    """

    # Engines by address, for the copies of runs.
    by_address: dict[str, 'Engine'] = {}

    def __init__(
        self,
        engine_id: str,
        service: str,
        host: str,
        store: stores.Store,
        record: machines.Record,
    ) -> None:
        self.engine_id = engine_id
        self.service = service
        self.host = host
        self.port = 0
        self.born_ms = int(time.time() * 1000)
        self.state = 'ready'
        self.ran: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.running = 0
        self.events = 20
        self.event_s = 0.05
        self.work_s = 0.03
        self.leaving = False
        self.record = record
        self.zone = 'zone-a'
        # 163,840 bytes a token over 24,000 Mbit/s.
        self.token_s = 163_840 * 8 / 24e9
        self.link = asyncio.Lock()
        # Runs by id; copies at this engine, and handles of copies and of
        # stopped runs that were made here, with the number of events made.
        self.runs: dict[str, Run] = {}
        self.copies: dict[str, int] = {}
        self.moves: list[tuple[float, str, str, bool]] = []
        self._handles = 0
        self._store = store
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listens, at the same port after a restart, and registers."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())
        Engine.by_address[self.address] = self

    def beat(self) -> None:
        """Writes its entry to the store."""
        self._seq += 1
        self._store.write(
            TOPIC,
            self.engine_id,
            {
                'service': self.service,
                'addr': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 24,
                'state': self.state,
                'warmupLeftMs': 0,
                'seq': self._seq,
                'born': self.born_ms,
            },
        )

    async def _beat(self) -> None:
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def stop_beats(self) -> None:
        """Writes no further entry."""
        if self._beats is not None:
            self._beats.cancel()

    def drop_entry(self) -> None:
        """Removes its entry from the store."""
        self._store.write(TOPIC, self.engine_id, None)

    def crash(self) -> None:
        """Ends at once: no listener, all connections closed."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http_io.read_head(reader)) is not None:
                await http_io.read_body(reader, request, False)
                await self._handle(request, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: http_io.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.headers.get('x-attempt-id', '')
        if request.path.startswith('/-/'):
            status, document = await self._control(request)
            headers = {'Server-Leaving': '1'} if self.leaving else {}
            body = json.dumps(document).encode()
            writer.write(http_io.encode(f'HTTP/1.1 {status} x', headers, body))
            return
        self.arrivals.append((self.record.now_s(), request_id))
        if request.headers.get('x-expect-instance') != self.engine_id:
            headers = {
                'X-Instance-Id': self.engine_id,
                'X-Attempt-Id': request_id,
            }
            self.record.write(self.engine_id, 'rejects', request_id, '421')
            writer.write(http_io.encode('HTTP/1.1 421 x', headers))
            return
        source = request.headers.get('kv-from')
        if source is not None and self.copies.pop(source, None) is None:
            headers = self.headers(request_id) | {'X-Not-Executed': '1'}
            self.record.write(self.engine_id, 'has no copy for', request_id)
            writer.write(http_io.encode('HTTP/1.1 503 x', headers))
            return
        await self.run(request, request_id, reader, writer)

    async def _control(self, request: http_io.Message) -> tuple[int, dict]:
        """Answers a control call."""
        if request.method == 'DELETE':
            handle = request.path.rpartition('/')[2]
            self.copies.pop(f'{self.address}/{handle}', None)
            return 200, {}
        if request.path != '/-/kv-move':
            return 404, {}
        order = json.loads(request.body)
        run = self.runs.get(order['id'])
        target = Engine.by_address.get(order['to'])
        self.moves.append(
            (self.record.now_s(), order['id'], order['to'], order['last'])
        )
        if run is None or run.stopped:
            return 404, {}
        if run.moving:
            return 409, {}
        return await self._move(order, run, target)

    async def _move(
        self, order: dict, run: Run, target: 'Engine | None'
    ) -> tuple[int, dict]:
        """Copies a run; with ``last``, the run stops first."""
        run.moving = True
        if order['last']:
            run.stopped = True
        if not run.handle:
            self._handles += 1
            run.handle = f'h{self._handles}'
        name = f'{self.address}/{run.handle}'
        try:
            if target is None:
                if run.stopped:
                    self.copies[name] = run.made
                    return 503, {'handle': run.handle}
                return 503, {}
            # One move after the other on both links.
            async with self.link, target.link:
                tokens = run.tokens + 4 * run.made
                factor = 1 if target.zone == self.zone else 2
                new_tokens = tokens - run.copied_tokens
                await asyncio.sleep(factor * new_tokens * self.token_s)
                run.copied_tokens = tokens
                target.copies[name] = run.made
            self.record.write(
                self.engine_id,
                'has copied',
                order['id'],
                'to',
                target.engine_id,
                'last' if order['last'] else 'first',
            )
            return 200, {'handle': run.handle, 'created': run.made}
        finally:
            run.moving = False

    def headers(self, request_id: str) -> dict[str, str]:
        """Returns the headers of its answers."""
        headers = {
            'X-Attempt-Id': request_id,
            'X-Upstream-Seal': f'seal.{self.engine_id}.{request_id}',
        }
        if self.leaving:
            headers['Server-Leaving'] = '1'
        return headers

    async def run(
        self,
        request: http_io.Message,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request; drops it when its connection closes."""
        self.ran.append((self.record.now_s(), request_id))
        self.record.write(self.engine_id, 'runs', request_id)
        self.running += 1
        work = asyncio.create_task(self._answer(request, request_id, writer))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self.record.write(self.engine_id, 'drops', request_id)
                raise ConnectionResetError
            work.result()
        finally:
            self.running -= 1
            for task in (work, closed):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await closed

    def _back_up(
        self, request: http_io.Message, request_id: str, made: int
    ) -> None:
        """Keeps a copy of a run at the engine that the request names."""
        backup = Engine.by_address.get(request.headers.get('x-kv-backup'))
        if backup is not None:
            backup.copies[f'{backup.address}/{request_id}'] = made

    async def _answer(
        self,
        request: http_io.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(self.work_s)
        if 'x-token-usage' not in request.headers:
            body = b'answer to ' + request_id.encode()
            writer.write(
                http_io.encode(
                    'HTTP/1.1 200 OK', self.headers(request_id), body
                )
            )
            await writer.drain()
            return
        rows = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        headers = self.headers(request_id)
        rows += [f'{name}: {value}' for name, value in headers.items()]
        rows.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join(rows).encode() + b'\r\n\r\n')
        first = 1 + int(request.headers.get('last-event-id', '0'))
        prompt = request.headers['x-token-usage'].partition(',')[0]
        run = self.runs[request_id] = Run(int(prompt), first - 1)
        try:
            for number in range(first, self.events + 1):
                if run.stopped:
                    # The stream is closed without its end.
                    self.record.write(self.engine_id, 'stops', request_id)
                    raise ConnectionResetError
                event = b'id: %d\ndata: token %d\n\n' % (number, number)
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                run.made = number
                self._back_up(request, request_id, number)
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            if not run.moving:
                self.runs.pop(request_id, None)
