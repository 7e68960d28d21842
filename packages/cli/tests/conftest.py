"""Fixtures that run client commands against a simulated platform."""

import asyncio
import json
import threading

from aiohttp import web
import attrs
from click import testing
import pytest

from dotterelweir_cli import main
from dotterelweir_fakes.platform import app as platform_app
from dotterelweird import timers


@attrs.frozen
class CommandOutcome:
    """The outcome of one command.

    Attributes:
        exit_code: Exit code of the command.
        stdout: Text on standard output.
        stderr: Text on standard error.
    """

    exit_code: int
    stdout: str
    stderr: str

    @property
    def document(self):
        """The JSON document on standard output."""
        return json.loads(self.stdout)


class ClientRunner:
    """Runs client commands against the log of a simulated platform.

    Args:
        server: Server of the platform.
        directory: Directory of the files that the commands read.
    """

    def __init__(self, server, directory):
        self._server = server
        self._directory = directory

    def run(self, *arguments, output='json', timeout_s=5.0, log_url=None):
        """Runs one command of the client.

        Args:
            *arguments: The command and its arguments.
            output: Output format.
            timeout_s: Time limit of an edit, in seconds.
            log_url: Base URL of the log; None for that of the platform.
        """
        result = testing.CliRunner().invoke(
            main.main,
            [
                '--log-url',
                log_url or f'http://127.0.0.1:{self._server.port}',
                '--output',
                output,
                '--timeout-s',
                str(timeout_s),
                *arguments,
            ],
        )
        return CommandOutcome(result.exit_code, result.stdout, result.stderr)

    def write_file(self, name, document):
        """Writes a document as a JSON file and returns its path."""
        path = self._directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def set_log_faults(self, **faults):
        """Sets faults of the platform's log by their names."""
        self._server.call(
            lambda platform: platform.change_faults({'log': faults})
        )


class _Server(threading.Thread):
    """Serves the simulated platform from another thread.

    Each client command runs its own event loop in the thread of the test.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self._is_serving = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._stop_requested = asyncio.Event()
        self._platform = None
        self.port = 0

    def run(self):
        self._loop.run_until_complete(self._serve())

    def wait_started(self):
        assert self._is_serving.wait(10)

    def call(self, function):
        """Calls a function with the platform in the thread of the server."""
        done = threading.Event()

        def run():
            function(self._platform)
            done.set()

        self._loop.call_soon_threadsafe(run)
        assert done.wait(10)

    def stop(self):
        self._loop.call_soon_threadsafe(self._stop_requested.set)
        self.join(10)

    async def _serve(self):
        timer = timers.LoopTimerService(self._loop)
        self._platform = platform_app.Platform(timer)
        runner = web.AppRunner(
            platform_app.create_app(self._platform), shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.port = runner.addresses[0][1]
        self._is_serving.set()
        await self._stop_requested.wait()
        await runner.cleanup()


@pytest.fixture
def client(tmp_path):
    """A client of a platform whose log is empty."""
    server = _Server()
    server.start()
    server.wait_started()
    yield ClientRunner(server, tmp_path)
    server.stop()


POOL = {'kind': 'service', 'service': 'dealer-shop'}
ROUTE = {'match': {'path_prefix': '/shop/'}, 'pool': 'shop'}


@pytest.fixture
def shop_client(client):
    """A client of a log with one pool and one route, applied at offset 0."""
    path = client.write_file(
        'tables.json', {'routes': {'orders': ROUTE}, 'pools': {'shop': POOL}}
    )
    assert client.run('apply', path).exit_code == 0
    return client
