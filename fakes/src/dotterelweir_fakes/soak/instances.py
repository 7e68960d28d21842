"""Gateway processes that faults stop, pause, kill and start."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import attrs

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.soak import skewed_gateway

# Time in which a process must be ready, in seconds; the users allow 12.
READY_TIMEOUT_S = 12.0
GRACE_S = 3
CALLERS_PORT = 8740
READY_PORT = 8749
PEERS_PORT = 7200


@attrs.define(eq=False)
class Instance:
    """One gateway process.

    Attributes:
        number: Its number, from 1; decides its address.
        directory: Where its settings and logs are.
        store_address: Address of the store, as this instance reaches it.
        module: Module that is run.
        process: The process, once it was started.
    """

    number: int
    directory: pathlib.Path
    store_address: str
    module: str = 'dotterelweir_platform'
    process: subprocess.Popen | None = None

    @property
    def name(self) -> str:
        """Its name."""
        return f'gateway-{self.number}'

    @property
    def host(self) -> str:
        """Its address; ports are the same on all instances."""
        return fleet.own_address(self.number)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self, skew_s: float = 0.0) -> None:
        """Starts the process; its log is appended to a file.

        Args:
            skew_s: How far its wall clock is off, in seconds.
        """
        module, environment = self.module, {}
        if skew_s:
            environment = {
                skewed_gateway.SKEW_VARIABLE: str(skew_s),
                skewed_gateway.MODULE_VARIABLE: module,
            }
            module = skewed_gateway.__name__
        settings = self.directory / f'{self.name}.conf'
        settings.write_text(
            fleet.settings_text(
                self.name,
                self.host,
                (CALLERS_PORT, READY_PORT, PEERS_PORT),
                self.store_address,
                GRACE_S,
                (fleet.own_address(1), fleet.own_address(2)),
            )
        )
        with (self.directory / f'{self.name}.log').open('ab') as log:
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
        """Sends a signal to the process, if it runs."""
        if self.running:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process, by force if it must."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        for _ in range(50):
            if not self.running:
                return
            await asyncio.sleep(0.1)
        self.send_signal(signal.SIGKILL)
        self.process.wait()
