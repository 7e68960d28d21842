"""Processes of the system on loopback addresses, and the record of a case."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import tomllib

import http_io

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT = 8740
READY_PORT = 8749
# Bounds of the small deployment of the site file zwojex-weir.
SETTINGS = {
    'bootstrap': 'true',
    'limits.cpuShare': '0.537',
    'limits.cores': '2',
    'limits.memoryMb': '150',
    'limits.maxFds': '4100',
    'beatMs': '1200',
    'bounds.reuseAfterS': '2',
    'bounds.stableWindowMs': '3000',
    'bounds.drainMs': '2000',
    'bounds.graceS': '8',
    'bounds.configMs': '2000',
    'bounds.budgetRatio': '0.2',
    'bounds.budgetWindowS': '10',
    'bounds.budgetBurst': '52',
}


def address(number: int) -> str:
    """Returns a loopback address that only this case uses."""
    high, low = divmod(os.getpid() % 60_000, 250)
    return f'127.{high + 1}.{low + 1}.{number}'


class Record:
    """Writes what happens to a file, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start, in seconds."""
        return time.monotonic() - self._began_s

    def write(self, *words: object) -> None:
        """Writes one line."""
        text = ' '.join(map(str, words))
        self._file.write(f'{self.now_s():9.4f} {text}\n')
        self._file.flush()


class Machine:
    """One machine with the system's program as a process of its own."""

    def __init__(
        self, number: int, store_address: str, record: Record, folder: str
    ) -> None:
        self.name = f'front-{number}'
        self.host = address(number)
        self.process: subprocess.Popen | None = None
        self.log = pathlib.Path(folder) / f'{self.name}.log'
        self.record = record
        settings = {
            'node': self.name,
            'role': 'gateway',
            'machineClass': 'front',
            'ip': self.host,
            'zone': 'zone-a',
            'listen.front': f'{self.host}:{FRONT_PORT}',
            'listen.ready': f'{self.host}:{READY_PORT}',
            'listen.control': f'{self.host}:8748',
            'internalPortRange': '7200,7215',
            'seeds': f'{address(1)}:8748,{address(2)}:8748',
            'platform.addr': store_address,
            **SETTINGS,
        }
        self._settings = pathlib.Path(folder) / f'{self.name}.conf'
        self._settings.write_text(
            ''.join(f'{name}={value}\n' for name, value in settings.items())
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['DOTTERELWEIR_CONFIG'] = str(self._settings)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                deploy['roles']['gateway']['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(self.name, 'started, process', self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record.write(self.name, 'gets', number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the readiness check answers 200."""
        try:
            answer = await call(
                self.host, READY_PORT, 'GET /-/readyz HTTP/1.1', {}
            )
        except OSError:
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Waits until the machine says that it is ready."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                self.record.write(self.name, 'ready')
                return True
            await asyncio.sleep(0.1)
        return False


async def call(
    host: str,
    port: int,
    request_line: str,
    headers: dict[str, object],
    body: bytes = b'',
    timeout_s: float = 60.0,
) -> http_io.Message | None:
    """Sends a request on a new connection and reads the whole answer.

    Returns:
        The answer; None if the connection ended without a head.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            headers = {'Host': 'shop.example', **headers}
            writer.write(http_io.encode(request_line, headers, body))
            await writer.drain()
            answer = await http_io.read_head(reader)
            if answer is not None:
                await http_io.read_body(reader, answer, True)
            return answer
        except ConnectionError:
            return None
        finally:
            writer.close()


def temporary_folder() -> tempfile.TemporaryDirectory:
    """Returns a folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix='review-')


def configuration(version: int = 1) -> dict:
    """Returns a configuration with a plain and a model service."""
    rows = [
        ('read', 'idempotent', 'plain', False, 1500, 200),
        ('book', 'non_idempotent', 'plain', False, 1500, 200),
        ('guide', 'stream', 'model', False, 39000, 1800),
        ('check', 'stream', 'model', True, 6000, 1500),
    ]
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': 'shop.example',
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': timeout_ms,
                'targetLatencyMs': target_ms,
                'priority': 1,
                'service': service,
                'attempts': 2 if name in ('read', 'check') else 1,
                'public': False,
                'sticky': service == 'model',
                'canResume': resumable,
                'gapTargetMs': 180,
            }
            for name, kind, service, resumable, timeout_ms, target_ms in rows
        ],
        'services': [
            {'name': 'plain', 'healthPath': '/healthz', 'maxConns': 96},
            {
                'name': 'model',
                'healthPath': '/healthz',
                'maxConns': 222,
                'engine': {
                    'slots': 24,
                    'kvTokens': 34193,
                    'moves': True,
                    'backups': True,
                },
            },
        ],
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerMs': 5000,
            'idleMs': 9000,
        },
        'tenants': [{'name': 'org-1', 'keys': ['key-1'], 'priority': 1}],
    }
