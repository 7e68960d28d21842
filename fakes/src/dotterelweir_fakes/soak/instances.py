"""Gateway processes that a test starts, pauses, stops and kills."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp
import attrs

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.soak import skewed_gateway

# Time within which a process must be ready, in seconds; the users' limit.
READY_TIMEOUT_S = 12.0
GRACE_S = 3
CALLERS_PORT = 8740
READY_PORT = 8749
PEERS_PORT = 7200


@attrs.define(eq=False)
class Instance:
    """One gateway instance and its process.

    Attributes:
        number: Number of the instance, from 1; determines its address.
        directory: Directory for its settings and logs.
        store_address: Address on which this instance reaches the store.
        module: Python module that the process runs.
        grace_s: Time from SIGTERM to the end of the process, in seconds.
        settings: Further lines of its settings file.
        seed_numbers: Numbers of the instances that its settings name.
        process: The newest process; None before the first start.
        disturbed_s: Monotonic time of the newest disturbance, in seconds.
    """

    number: int
    directory: pathlib.Path
    store_address: str
    module: str = 'dotterelweir_platform'
    grace_s: int = attrs.field(factory=lambda: GRACE_S)
    settings: tuple[str, ...] = ()
    seed_numbers: tuple[int, ...] = (1, 2)
    process: subprocess.Popen | None = None
    disturbed_s: float = 0.0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return f'gateway-{self.number}'

    @property
    def host(self) -> str:
        """IP address of the instance; all instances use the same ports."""
        return fleet.own_address(self.number)

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def peak_memory_bytes(self) -> int:
        """Largest resident memory of the running process, in bytes."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields.get('VmHWM', '0 kB').split()[0]) * 1024

    @property
    def open_descriptors(self) -> int:
        """Number of open descriptors of the running process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    @property
    def log(self) -> pathlib.Path:
        """Log file of its processes."""
        return self.directory / f'{self.name}.log'

    def write_settings(self) -> pathlib.Path:
        """Writes its settings file and returns the path of it."""
        path = self.directory / f'{self.name}.conf'
        text = fleet.settings_text(
            self.name,
            self.host,
            (CALLERS_PORT, READY_PORT, PEERS_PORT),
            self.store_address,
            self.grace_s,
            tuple(map(fleet.own_address, self.seed_numbers)),
        )
        # The process may read the file at any time.
        written = path.with_suffix('.new')
        written.write_text('\n'.join((text, *self.settings)))
        written.replace(path)
        return path

    def start(self, skew_s: float = 0.0) -> None:
        """Writes the settings and starts the process.

        The output of the process is appended to its log file.

        Args:
            skew_s: Error of its wall clock, in seconds.
        """
        module, environment = self.module, {}
        if skew_s:
            environment = {
                skewed_gateway.SKEW_VARIABLE: str(skew_s),
                skewed_gateway.MODULE_VARIABLE: module,
            }
            module = skewed_gateway.__name__
        settings = self.write_settings()
        self.disturbed_s = time.monotonic()
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', module],
                env={
                    **os.environ,
                    **environment,
                    'DOTTERELWEIR_CONFIG': str(settings),
                },
                cwd=self.directory,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.running:
            self.process.send_signal(number)
            if number != signal.SIGHUP:
                self.disturbed_s = time.monotonic()

    async def wait_ready(self) -> None:
        """Waits until its readiness check responds with status 200."""
        url = f'http://{self.host}:{READY_PORT}/-/readyz'
        async with (
            asyncio.timeout(READY_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                try:
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    # The process does not listen yet.
                    pass
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stops the process; kills it after five seconds."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        for _ in range(50):
            if not self.running:
                return
            await asyncio.sleep(0.1)
        self.send_signal(signal.SIGKILL)
        self.process.wait()
