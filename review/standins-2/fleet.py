"""Stand-ins of the platform, servers and callers for the cases of a review.

The processes under test are started with the command of the deploy file. All
else runs in the process of the case, on loopback addresses.
"""

import asyncio
import base64
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'k5d2m8x1q7'
TENANT = 'tenant-a'
CALLERS_PORT = 8740
READY_PORT = 8749
CONTROL_PORT = 8748
PEERS_PORT = 7200
# Interval of the heartbeats of servers, in seconds.
BEAT_S = 1.2
# Time without a heartbeat after which an entry is removed, in seconds.
LAPSE_S = 3.0 * BEAT_S
# Longest header that a server reads, in bytes.
_HEADER_BYTES_MAX = 65_536
# Time within which a process must be ready, in seconds.
READY_S = 12.0


def trouble() -> bool:
    """Whether the disruption of the case is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def loopback(number: int) -> str:
    """Returns a loopback address of this process.

    Args:
        number: Last byte of the address.
    """
    high, low = divmod(os.getpid() % 60_000, 250)
    return f'127.{high + 2}.{low + 1}.{number}'


class Record:
    """The record of a case: lines with the time since its start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Appends a line."""
        self._file.write(f'{time.monotonic() - self._began_s:8.3f}  {text}\n')
        self._file.flush()


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self.calls = 0
        self.app = web.Application()
        self.app.router.add_get('/-/log-newest', self._newest)
        self.app.router.add_get('/-/log-read', self._read)

    def write(self, topic: str, key: str, value: object) -> None:
        """Appends a record; a value of None removes the key."""
        data = b'' if value is None else json.dumps(value).encode()
        self._topics.setdefault(topic, []).append((key, data))

    async def _newest(self, request: web.Request) -> web.Response:
        self.calls += 1
        records = self._topics.get(request.query['topic'], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return web.json_response(
            {'items': items, 'hasMore': False, 'end': len(records)},
            headers={'Store-Era': '1'},
        )

    async def _read(self, request: web.Request) -> web.Response:
        self.calls += 1
        records = self._topics.get(request.query['topic'], [])
        first = int(request.query['from'])
        if first > len(records):
            return web.json_response({'first': 0}, status=410)
        due_s = time.monotonic() + int(request.query.get('waitMs', 0)) / 1000
        while len(records) <= first and time.monotonic() < due_s:
            await asyncio.sleep(0.02)
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack('>I', len(content)) + content
        return web.Response(body=body, headers={'Store-Era': '1'})


class Server:
    """A plain server: registers itself, runs requests and answers them.

    A subclass decides in ``run`` how a request is answered.

    Attributes:
        server_id: Its id.
        arrivals: Monotonic time, id of the request and path of each request
            that reached it.
        ends: Monotonic times at which it ended by itself.
        warm_left_s: Returns for how long it is still cold, in seconds.
    """

    def __init__(
        self,
        fleet: 'Fleet',
        server_id: str,
        service: str,
        zone: str = 'zone-a',
        slots: int = 24,
    ) -> None:
        self.fleet = fleet
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.arrivals: list[tuple[float, str, str]] = []
        self.ends: list[float] = []
        self.port = 0
        self.born = int(time.time() * 1000)
        self.seq = 0
        # Monotonic time of its last heartbeat, in seconds.
        self.beat_s = 0.0
        self.cold_until_s = 0.0
        self._transports: set[asyncio.Transport] = set()
        # Sockets that keep its address while it is dark.
        self._silent: list[socket.socket] = []
        self._listener: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and registers; also after it has ended."""
        handler = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            max_field_size=_HEADER_BYTES_MAX,
        )
        self._listener = await asyncio.get_running_loop().create_server(
            handler, '127.0.0.1', self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        if self._beating is None:
            self._beating = asyncio.create_task(self._beat())

    @property
    def up(self) -> bool:
        """Whether it listens."""
        return self._listener is not None and self._listener.is_serving()

    @property
    def cold_left_s(self) -> float:
        """Time for which it is still cold, in seconds."""
        return max(0.0, self.cold_until_s - time.monotonic())

    def register(self) -> None:
        """Writes its entry."""
        self.seq += 1
        self.beat_s = time.monotonic()
        self.fleet.store.write(
            'keyed.servers',
            self.server_id,
            {
                'service': self.service,
                'addr': f'127.0.0.1:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'warmupLeftMs': int(1000 * self.cold_left_s),
                'seq': self.seq,
                'born': self.born,
            },
        )

    def end(self, back_s: float | None) -> None:
        """Ends as a process that crashes, and starts again later.

        Args:
            back_s: Time until it is back, in seconds; None for never.
        """
        if not self.up:
            return
        self.ends.append(time.monotonic())
        self.fleet.record.write(f'server {self.server_id} ends')
        self._listener.close()
        for transport in tuple(self._transports):
            transport.abort()
        self.fleet.keep(asyncio.create_task(self._lapse()))
        if back_s is not None:
            self.fleet.keep(asyncio.create_task(self._return(back_s)))

    async def _lapse(self) -> None:
        """Removes the entry of a server that has ended for long enough."""
        beat_s = self.beat_s
        await asyncio.sleep(max(0.0, beat_s + LAPSE_S - time.monotonic()))
        if self.beat_s == beat_s:
            self.fleet.store.write('keyed.servers', self.server_id, None)

    def go_dark(self, back_s: float) -> None:
        """Ends as a machine without power, and starts again later.

        Open connections get nothing more, and new ones are not answered. When
        the server is back, its earlier connections are reset.

        Args:
            back_s: Time until it is back, in seconds.
        """
        if not self.up:
            return
        self.ends.append(time.monotonic())
        self.fleet.record.write(f'server {self.server_id} goes dark')
        self._listener.close()
        self._silent = [socket.socket()]
        self._silent[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._silent[0].bind(('127.0.0.1', self.port))
        self._silent[0].listen(0)
        # With the queue of new connections full, further ones are dropped.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', self.port))
            self._silent.append(filler)
        self.fleet.keep(asyncio.create_task(self._lapse()))
        self.fleet.keep(asyncio.create_task(self._return(back_s)))

    async def _return(self, back_s: float) -> None:
        await asyncio.sleep(back_s)
        for transport in tuple(self._transports):
            transport.abort()
        for silent in self._silent:
            silent.close()
        self._silent = []
        self.born = int(time.time() * 1000)
        await self.start()
        self.register()
        self.fleet.record.write(f'server {self.server_id} is back')

    async def _beat(self) -> None:
        while True:
            if self.up:
                self.register()
            await asyncio.sleep(BEAT_S)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        transport = request.transport
        self._transports.add(transport)
        try:
            body = await request.read()
            request_id = request.headers.get('X-Attempt-Id', '')
            expected = request.headers.get('X-Expect-Instance')
            if expected not in (None, self.server_id):
                return web.Response(
                    status=421, headers={'X-Attempt-Id': request_id}
                )
            self.arrivals.append(
                (time.monotonic(), request_id, request.raw_path)
            )
            return await self.run(request, request_id, body)
        finally:
            self._transports.discard(transport)

    async def run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        """Runs a request and returns its answer."""
        await asyncio.sleep(0.03)
        return self.answer(request_id)

    def answer(self, request_id: str) -> web.Response:
        """Returns a whole answer of success."""
        return web.Response(
            body=b'answer to ' + request_id.encode(),
            headers={
                'X-Attempt-Id': request_id,
                'X-Upstream-Seal': f'seal-{self.server_id}',
            },
        )


class Machine:
    """One machine of the system with its process."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.host = loopback(number)
        # Machines that its settings name as seeds; None for the first three.
        self.seeds: list[Machine] | None = None
        # Whether the whole system starts for the first time.
        self.bootstrap = True
        self.process: subprocess.Popen | None = None
        self.started_s = 0.0

    @property
    def settings(self) -> pathlib.Path:
        """Its settings file."""
        return self.fleet.directory / f'machine-{self.number}.conf'

    def write_settings(self) -> None:
        """Writes its settings file anew."""
        lines = self.fleet.settings(self)
        self.settings.write_text('\n'.join(lines) + '\n')

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        fleet = self.fleet
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['DOTTERELWEIR_CONFIG'] = str(self.settings)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        log = fleet.directory / f'machine-{self.number}.log'
        with log.open('ab') as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.started_s = time.monotonic()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Waits until the process says that it is ready."""
        due_s = time.monotonic() + READY_S
        while time.monotonic() < due_s:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.fleet.session.get(
                    f'http://{self.host}:{READY_PORT}/-/readyz',
                    timeout=aiohttp.ClientTimeout(total=1),
                ) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise CaseError(f'machine {self.number} is not ready in time')


class CaseError(Exception):
    """The case could not run."""


class Fleet:
    """A small deployment: store, servers, machines and callers.

    Args:
        case: Folder of the case.
        machines: Number of machines.
        bounds: Further lines of the settings files.
    """

    def __init__(
        self,
        case: pathlib.Path,
        machines: int,
        bounds: tuple[str, ...] = (),
    ) -> None:
        self.record = Record(case / 'record.txt')
        self.store = Store()
        self.servers: list[Server] = []
        self.machines = [Machine(self, n + 1) for n in range(machines)]
        self._bounds = bounds
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.directory = pathlib.Path(self._folder.name)
        self.session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._store_port = 0
        self._tasks: set[asyncio.Task] = set()
        self._sent = 0
        self._numbers = machines

    def keep(self, task: asyncio.Task) -> None:
        """Keeps a task that runs on by itself."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def settings(self, machine: Machine) -> list[str]:
        """Returns the lines of a machine's settings file."""
        listed = machine.seeds
        if listed is None:
            listed = self.machines[:3]
        seeds = ','.join(f'{other.host}:{CONTROL_PORT}' for other in listed)
        return [
            f'node=front-zone-a-{machine.number}',
            'role=gateway',
            'machineClass=front',
            'serves=front,control',
            f'ip={machine.host}',
            'zone=zone-a',
            'region=region-a',
            'zones.zone-a=region-a',
            f'listen.front={machine.host}:{CALLERS_PORT}',
            f'listen.ready={machine.host}:{READY_PORT}',
            f'listen.control={machine.host}:{CONTROL_PORT}',
            f'internalPortRange={PEERS_PORT},{PEERS_PORT + 15}',
            f'seeds={seeds}',
            f'bootstrap={str(machine.bootstrap).lower()}',
            'limits.memoryMb=150',
            'limits.maxFds=4100',
            'discovery=platform',
            'entry=vip',
            'beatMs=1200',
            'bounds.reuseAfterS=2',
            'bounds.stableWindowMs=3000',
            'bounds.drainMs=2000',
            'bounds.graceS=8',
            'bounds.configMs=2000',
            'bounds.budgetRatio=0.2',
            'bounds.budgetWindowS=10',
            'bounds.budgetBurst=52',
            *self._bounds,
            f'platform.addr=127.0.0.1:{self._store_port}',
            'platform.form=log',
        ]

    async def open(self, configuration: dict) -> None:
        """Starts store, servers and machines and waits until all are ready.

        Args:
            configuration: The operator's configuration.
        """
        for machine in self.machines:
            _check_free(machine.host)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self._runner = web.AppRunner(self.store.app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self._store_port = self._runner.addresses[0][1]
        self.store.write('keyed.op', 'config', configuration)
        for server in self.servers:
            await server.start()
            server.register()
        for machine in self.machines:
            machine.start()
        await self.wait_ready()

    async def remove(self, machines: list[Machine]) -> None:
        """Stops machines with SIGTERM for good."""
        for machine in machines:
            machine.signal(signal.SIGTERM)
            self.record.write(f'machine {machine.number} gets SIGTERM')
        while any(m.process.poll() is None for m in machines):
            await asyncio.sleep(0.05)
        self.machines = [m for m in self.machines if m not in machines]
        self.record.write('they have ended')

    def add(self, seeds: list[Machine]) -> Machine:
        """Starts one more machine, at a new address.

        Args:
            seeds: Machines that its settings name as seeds.
        """
        self._numbers += 1
        machine = Machine(self, self._numbers)
        machine.seeds = seeds
        machine.bootstrap = False
        _check_free(machine.host)
        self.machines.append(machine)
        machine.start()
        self.record.write(
            f'machine {machine.number} is added; seeds: machines '
            + ', '.join(str(seed.number) for seed in seeds)
        )
        return machine

    async def wait_ready(self) -> None:
        """Waits until all machines are ready."""
        await asyncio.gather(*(m.wait_ready() for m in self.machines))
        self.record.write('all machines are ready')

    async def close(self) -> None:
        """Ends all processes that were started."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        for task in tuple(self._tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()
        logs = os.environ.get('LOGS')
        if logs:
            for log in self.directory.glob('*.log'):
                (pathlib.Path(logs) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    async def send(
        self,
        machine: Machine,
        method: str,
        path: str,
        deadline_ms: int = 1500,
        body: bytes = b'',
    ) -> tuple[str, str]:
        """Sends a request of a caller on a new connection.

        Returns:
            The id of the attempt and how it ended: the status, or the error.
        """
        self._sent += 1
        attempt = f'{self._sent:016x}'
        try:
            async with self.session.request(
                method,
                f'http://{machine.host}:{CALLERS_PORT}{path}',
                headers={
                    'Host': HOST,
                    'X-Attempt-Id': attempt,
                    'X-Deadline-Ms': str(deadline_ms),
                    'Api-Key': KEY,
                },
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1),
            ) as answer:
                await answer.read()
                return attempt, str(answer.status)
        except (aiohttp.ClientError, TimeoutError) as exc:
            return attempt, type(exc).__name__


def _check_free(host: str) -> None:
    for port in (CALLERS_PORT, READY_PORT, PEERS_PORT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError as exc:
                raise CaseError(f'{host}:{port} is in use') from exc


def run(main: Callable[[], Coroutine[None, None, int]]) -> None:
    """Runs a case and exits with its code; 2 if it is told to end.

    Args:
        main: The case, which ends all that it started if it is cancelled.
    """

    async def until_told() -> int:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await main()
        except asyncio.CancelledError:
            return 2

    sys.exit(asyncio.run(until_told()))


def configuration(
    routes: list[dict], services: list[dict], version: int = 1
) -> dict:
    """Returns a configuration of the operator."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerMs': 3000,
            'idleMs': 15000,
        },
        'tenants': [{'name': TENANT, 'keys': [KEY], 'priority': 1}],
    }


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Returns a route whose path prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 1500,
        'targetLatencyMs': 300,
        'priority': 0,
        'service': service,
        'attempts': 1,
        'public': False,
        'sticky': False,
        'canResume': False,
        **fields,
    }
