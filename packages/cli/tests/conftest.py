"""Fixtures: a platform stand-in and a runner of client commands."""

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
        exit_code: Its exit code.
        stdout: What it printed.
        stderr: Its error lines.
    """

    exit_code: int
    stdout: str
    stderr: str

    @property
    def document(self):
        """The JSON that it printed."""
        return json.loads(self.stdout)


class ClientRunner:
    """A platform with a log, a directory of files, and the client."""

    def __init__(self, server, directory):
        self._server = server
        self._directory = directory

    def run(self, *arguments, output='json', timeout_s=5.0, log_url=None):
        """Runs one command of the client."""
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
        """Writes a document and returns its path."""
        path = self._directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def set_log_faults(self, **faults):
        """Sets faults of the log."""
        self._server.call(
            lambda platform: platform.change_faults({'log': faults})
        )


class _Server(threading.Thread):
    """Serves the platform stand-in from another thread.

    Each client command runs an event loop of its own in the test's thread.
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
        """Calls a function with the platform in the server's thread."""
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
    """A project whose log is empty."""
    server = _Server()
    server.start()
    server.wait_started()
    yield ClientRunner(server, tmp_path)
    server.stop()


POOL = {'kind': 'service', 'service': 'dealer-shop'}
ROUTE = {'match': {'path_prefix': '/shop/'}, 'pool': 'shop'}


@pytest.fixture
def shop_client(client):
    """A project with one pool and one route, applied at offset 0."""
    path = client.write_file(
        'tables.json', {'routes': {'orders': ROUTE}, 'pools': {'shop': POOL}}
    )
    assert client.run('apply', path).exit_code == 0
    return client
