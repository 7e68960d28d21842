"""Gateway processes under a steady load, with engines in one kind of trouble.

Unlike the soak, a trial plays a load and a trouble that are known beforehand,
and its checks count what each engine received.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import math
import pathlib
import random

import aiohttp
from aiohttp import web
import attrs

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.soak import instances

# Service of each route.
SERVICES = {
    'read': 'plain',
    'book': 'plain',
    'guide': 'model',
    'check': 'model',
}
# API key of a caller of another organisation.
OTHER_KEY = 'key-2'
# Time for which the platform waits before its rules hold, in seconds.
STABLE_S = 3.0
# Time after which an instance that has passed on an answer counts as told, in
# seconds; the stable time includes it for the other instances.
TOLD_S = 0.2
# Length of the windows in which requests to a limited engine are counted, in
# seconds.
LIMIT_WINDOW_S = 4.0


@attrs.frozen
class Answer:
    """What a caller got for one request.

    Attributes:
        sent_s: Monotonic time of the send, in seconds.
        taken_s: Time from the send to the end of the answer, in seconds.
        status: HTTP status; 0 for an answer that is not whole.
        retry_after_s: ``Retry-After`` in seconds; None without one.
    """

    sent_s: float
    taken_s: float
    status: int
    retry_after_s: float | None


def allowed_requests(limit_per_s: float) -> int:
    """Returns how many requests a limited engine may get in a window.

    Args:
        limit_per_s: The limit that it names, in requests per second.
    """
    return int(1.5 * max(0.0, limit_per_s) * LIMIT_WINDOW_S) + 5


def worst_window(
    times_s: Iterable[float], from_s: float, window_s: float = LIMIT_WINDOW_S
) -> int:
    """Returns the largest number of times within any window.

    Args:
        times_s: The times in ascending order, in seconds.
        from_s: Time from which windows begin, in seconds.
        window_s: Length of the windows, in seconds.
    """
    counted = [time_s for time_s in times_s if time_s >= from_s]
    worst = first = 0
    for last, time_s in enumerate(counted):
        while time_s - counted[first] > window_s:
            first += 1
        worst = max(worst, last + 1 - first)
    return worst


async def pace(interval_s: float, duration_s: float) -> AsyncIterator[int]:
    """Yields the numbers of requests when they are due, from 0.

    Args:
        interval_s: Time between two requests, in seconds.
        duration_s: Time for which requests are sent, in seconds.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for number in range(int(duration_s / interval_s)):
        due_s = start_s + number * interval_s
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        yield number


class Trial:
    """Gateway processes, a store and engines.

    Args:
        directory: Directory for settings and logs of the processes.
        instance_count: Number of gateway processes.
        engine_count: Number of engines.
        service: Service of all engines.
        make_engine: Creates an engine from its id.
        service_fields: Fields of the configuration of the service.
        settings: Further lines of the settings file of every process.
        module: Python module that the processes run.

    Attributes:
        engines: Engines by id.
        nodes: Gateway instances and their processes.
        answers: What callers got, by the id of the request, in the order of
            the ends.
        receivers: Instance that got each request, by its id.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        instance_count: int,
        engine_count: int,
        service: str,
        make_engine: Callable[
            [str], fleet_engine.FakeEngine
        ] = fleet_engine.FakeEngine,
        service_fields: dict[str, object] | None = None,
        settings: tuple[str, ...] = (),
        module: str = 'dotterelweir_platform',
    ) -> None:
        self._settings = settings
        self._module = module
        self._directory = directory
        self._instance_count = instance_count
        self._service = service
        self._service_fields = service_fields or {}
        self.store = fleet_store.FakeStore()
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        self.engines = {
            f'engine-{number}': make_engine(f'engine-{number}')
            for number in range(1, engine_count + 1)
        }
        self.nodes: list[instances.Instance] = []
        self.answers: dict[str, Answer] = {}
        self.receivers: dict[str, instances.Instance] = {}
        # Start and end of each disturbance, by instance, in seconds.
        self._disturbances: dict[str, list[tuple[float, float]]] = {}
        self._requests: set[asyncio.Task] = set()
        self._sessions: dict[str, aiohttp.ClientSession] = {}

    async def __aenter__(self) -> 'Trial':
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *unused: object) -> None:
        await self.close()

    async def _start(self) -> None:
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        tables = fleet.configuration()
        tables['tenants'].append(
            {'name': 'org-2', 'keys': [OTHER_KEY], 'priority': 1}
        )
        for row in tables['services']:
            if row['name'] == self._service:
                row |= self._service_fields
        await self.store.write_json('keyed.op', 'config', tables)
        for engine in self.engines.values():
            await engine.start()
            await self.register(engine)
        address = f'127.0.0.1:{self._runner.addresses[0][1]}'
        for number in range(1, self._instance_count + 1):
            node = instances.Instance(
                number,
                self._directory,
                address,
                self._module,
                settings=self._settings,
            )
            self.nodes.append(node)
            node.start()
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))
        # Until all instances know each other.
        await asyncio.sleep(1.0)

    async def register(self, engine: fleet_engine.FakeEngine) -> None:
        """Writes the registry entry of an engine to the store."""
        await self.store.write_json(
            'keyed.servers', engine.target_id, engine.entry(self._service)
        )

    async def close(self) -> None:
        """Ends the requests, the processes, the engines and the store."""
        for request in self._requests:
            request.cancel()
        await asyncio.gather(*self._requests, return_exceptions=True)
        for session in self._sessions.values():
            await session.close()
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for engine in self.engines.values():
            await engine.stop()
        await self._runner.cleanup()

    @contextlib.contextmanager
    def disturbing(self, node: instances.Instance) -> Iterator[None]:
        """Records that an instance is disturbed while the context lasts."""
        loop = asyncio.get_running_loop()
        disturbances = self._disturbances.setdefault(node.name, [])
        start_s = loop.time()
        disturbances.append((start_s, math.inf))
        index = len(disturbances) - 1
        try:
            yield
        finally:
            disturbances[index] = (start_s, loop.time())

    def is_excused(self, request_id: str, time_s: float) -> bool:
        """Whether a request was sent by an instance that was disturbed.

        Args:
            request_id: Id of the request.
            time_s: Monotonic time at which it reached an engine, in seconds.
        """
        node = self.receivers.get(request_id)
        return node is not None and any(
            start_s <= time_s <= end_s + STABLE_S
            for start_s, end_s in self._disturbances.get(node.name, ())
        )

    async def send_load(
        self,
        route: str,
        rate_per_s: float,
        duration_s: float,
        rng: random.Random,
        prefix: str = 'request',
    ) -> None:
        """Sends requests to random instances at a steady rate.

        Args:
            route: Name of the route.
            rate_per_s: Requests per second.
            duration_s: Duration of the load, in seconds.
            rng: Random source.
            prefix: First part of the ids of the requests.
        """
        async for number in pace(1.0 / rate_per_s, duration_s):
            node = rng.choice(self.nodes)
            self.start_request(node, route, f'{prefix}-{number}')

    def start_request(
        self,
        node: instances.Instance,
        route: str,
        request_id: str,
        body: bytes = b'x',
        path: str = 'x',
        key: str = fleet.KEY,
    ) -> asyncio.Task[Answer]:
        """Starts to send one request.

        Args:
            node: The instance that gets it.
            route: Name of the route.
            request_id: Id of the request.
            body: Body of the request.
            path: Rest of its path after the route.
            key: API key of the caller.
        """
        self.receivers[request_id] = node
        task = asyncio.create_task(
            self._send(node, route, request_id, body, path, key)
        )
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)
        return task

    async def wait_answers(self) -> None:
        """Waits until every request has ended."""
        await asyncio.gather(*self._requests)

    async def _send(
        self,
        node: instances.Instance,
        route: str,
        request_id: str,
        body: bytes,
        path: str,
        key: str,
    ) -> Answer:
        session = self._sessions.get(node.name)
        if session is None:
            session = self._sessions[node.name] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, retry_after_s = 0, None
        try:
            async with session.post(
                f'http://{node.host}:{instances.CALLERS_PORT}/{route}/{path}',
                headers=fleet.request_headers(route, request_id, 2000)
                | {'Api-Key': key},
                data=body,
                timeout=aiohttp.ClientTimeout(total=6.0),
            ) as answer:
                await answer.read()
                status = answer.status
                if 'Retry-After' in answer.headers:
                    retry_after_s = float(answer.headers['Retry-After'])
        except (aiohttp.ClientError, TimeoutError):
            # Counted as an answer that is not whole.
            pass
        result = Answer(sent_s, loop.time() - sent_s, status, retry_after_s)
        self.answers[request_id] = result
        return result
