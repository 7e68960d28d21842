"""Child processes of the demo and of tests with real processes."""

import asyncio
from collections.abc import Iterator
import os
import pathlib
import random
import signal
import socket
import sys

import attrs

_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0

_FIRST_PORT = 10_000
_LAST_PORT = 32_700
_BLOCK_PORTS = 100


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
    """Ports of the loopback address that are free for TCP and UDP.

    They are below the ports that the system gives to outgoing connections,
    and in blocks that this process keeps until it ends, so that nobody takes
    a port before the child process listens on it.
    """
    return [next(_PORTS) for _ in range(count)]


def _generate_free_ports() -> Iterator[int]:
    blocks = list(range(_FIRST_PORT, _LAST_PORT, _BLOCK_PORTS))
    random.Random(os.getpid()).shuffle(blocks)
    for first in blocks:
        claim_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim_socket.bind(('127.0.0.1', first))
        except OSError:
            # Another process has the block.
            claim_socket.close()
            continue
        _CLAIM_SOCKETS.append(claim_socket)
        yield from filter(_is_free, range(first + 1, first + _BLOCK_PORTS))
    raise RuntimeError('every block of ports is in use')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


_CLAIM_SOCKETS: list[socket.socket] = []
_PORTS = _generate_free_ports()
