"""Child processes of the demo and of tests with real processes."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

import attrs

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0


@attrs.define(eq=False)
class ChildProcess:
    """A child process whose output goes to a file.

    Attributes:
        name: Name for messages.
        process: The process.
        log_path: File with its output.
    """

    name: str
    process: asyncio.subprocess.Process
    log_path: pathlib.Path

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def output(self) -> str:
        """Everything that it printed so far."""
        return self.log_path.read_text(errors='replace')

    def kill(self) -> None:
        """Ends it at once."""
        if self.running:
            self.process.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Asks it to stop."""
        if self.running:
            self.process.send_signal(signal.SIGTERM)

    async def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for its end; returns the exit code."""
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()


class ProcessGroup:
    """Starts child processes and ends all of them on exit."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.children: list[ChildProcess] = []

    async def __aenter__(self) -> 'ProcessGroup':
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for child in self.children:
            child.kill()
        for child in self.children:
            await child.process.wait()

    async def start(
        self, name: str, module: str, *arguments: str
    ) -> ChildProcess:
        """Starts ``python -m MODULE ARGUMENTS``."""
        log_path = self.directory / f'{name}.log'
        with log_path.open('wb') as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=asyncio.subprocess.STDOUT,
                env=child_environment(),
            )
        child = ChildProcess(name, process, log_path)
        self.children.append(child)
        return child


def child_environment() -> dict[str, str]:
    """An environment in which children run the code of this process."""
    return os.environ | {'PYTHONPATH': os.pathsep.join(filter(None, sys.path))}


async def wait_for_port(
    port: int, child: ChildProcess, timeout_s: float = _START_TIMEOUT_S
) -> None:
    """Waits until a child accepts connections.

    Raises:
        RuntimeError: The child ended first or took too long.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while child.running:
                try:
                    _, writer = await asyncio.open_connection(
                        '127.0.0.1', port
                    )
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return
    except TimeoutError:
        pass
    raise RuntimeError(f'{child.name} did not start:\n{child.output()}')


def free_ports(count: int) -> list[int]:
    """Ports of the loopback address that are free for TCP and UDP."""
    held: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            held += [tcp, udp]
            tcp.bind(('127.0.0.1', 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(('127.0.0.1', port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for sock in held:
            sock.close()
    return ports
