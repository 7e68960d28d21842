"""Child processes of the demo, the measurements and the system tests."""

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
        name: Name of the process in error messages.
        process: Handle of the process.
        log_path: Path of the file with its output.
    """

    name: str
    process: asyncio.subprocess.Process
    log_path: pathlib.Path

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def output(self) -> str:
        """Returns the output of the process so far."""
        return self.log_path.read_text(errors='replace')

    def kill(self) -> None:
        """Kills the process if it is running."""
        if self.running:
            self.process.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Sends SIGTERM to the process if it is running."""
        if self.running:
            self.process.send_signal(signal.SIGTERM)

    async def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Exit code of the process.

        Raises:
            TimeoutError: The process did not end in time.
        """
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()


class ProcessGroup:
    """Starts child processes and kills those still running on exit.

    Attributes:
        directory: Directory for the output of the processes.
        children: All processes that were started.
    """

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
        """Starts ``python -m MODULE ARGUMENTS``.

        Args:
            name: Name of the process in error messages and of its log file.
            module: Python module to run.
            *arguments: Command line arguments of the module.

        Returns:
            The running process.
        """
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
    """Returns an environment in which children import the same code."""
    return os.environ | {'PYTHONPATH': os.pathsep.join(filter(None, sys.path))}


async def wait_for_port(
    port: int, child: ChildProcess, timeout_s: float = _START_TIMEOUT_S
) -> None:
    """Waits until a child process accepts connections.

    Args:
        port: Port on which the child will listen.
        child: The child process.
        timeout_s: Longest time to wait, in seconds.

    Raises:
        RuntimeError: The child ended or did not listen in time.
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
    """Returns loopback ports that are free for TCP and UDP.

    The ports are below the ephemeral range, and in blocks that this process
    reserves until it ends, so that no other test process takes a port before
    the child process listens on it.

    Args:
        count: Number of ports.

    Raises:
        RuntimeError: Every block of ports is in use.
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
            # Another process has reserved the block.
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
