"""The ``soak`` command: gateway processes under load and random faults."""

import asyncio
import datetime
import functools
import os
import pathlib
import random
import sys
import tempfile

import aiohttp
from aiohttp import web
import attrs
import click
import orjson

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.links import rules as links_rules
from dotterelweir_fakes.soak import broken_gateway
from dotterelweir_fakes.soak import crowds
from dotterelweir_fakes.soak import engines as soak_engines
from dotterelweir_fakes.soak import evacuations
from dotterelweir_fakes.soak import faults
from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import linked_gateway
from dotterelweir_fakes.soak import partitions
from dotterelweir_fakes.soak import proxies
from dotterelweir_fakes.soak import taken_up

_ROUTES = ('book', 'read', 'guide', 'check')
# The kind of a route, not the method, states what may be repeated.
_METHODS = ('POST', 'POST', 'GET', 'PUT', 'DELETE')
# Time for open requests to end after the last fault, in seconds.
_SETTLE_S = 5.0
# Kinds of crowds that send no whole request, and the longest stay of one, in
# seconds.
_CROWD_KINDS = (
    crowds.Kind.SHORT_WHOLE,
    crowds.Kind.SHORT_PIECES,
    crowds.Kind.SHORT_CHUNKED,
    crowds.Kind.ENDLESS_HEADS,
    crowds.Kind.IDLE,
)
_CROWD_S_MAX = 6.0
# Id of a shared part of prompts.
_SHARED_PART = 'a1'
_DEADLY_SHARE = 0.05
# Maximum number of attempts of a caller at a stream that may be resumed.
_ATTEMPTS_MAX = 3
# Limit of the memory of a process on the platform, in bytes.
_MEMORY_BYTES_MAX = 150_000_000
# An instance without disturbance for this time is in touch, in seconds.
_STABLE_S = 3.0
# Limits of the platform's rules: crashes after which requests with the part
# are counted, and largest number of such requests that reach engines.
_CRASHES_MAX = 5
_DEADLY_RUNS_MAX = 3


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevents aiohttp from sending a request again with the same id."""
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise aiohttp.ClientConnectionError(str(exc)) from exc


@attrs.define
class Soak:
    """One soak test with its store, engines and gateway processes.

    Attributes:
        seed: Seed of the traffic and the faults.
        duration_s: Duration of the traffic and the faults, in seconds.
        instance_count: Number of gateway processes.
        module: Python module that the processes run.
        directory: Directory for settings and logs of the processes.
        deadly_part: Whether some requests have a part that crashes engines.
            Such requests that reach engines after the fifth crash are
            counted, with ``check`` also judged.
        crowd: Number of connections of callers that send no whole request;
            0 for none.
        mixed: Whether further engines of another software version serve,
            callers take up streams that broke off, and instances lose their
            links to all targets at times.
        ledger: Runs and answers of all requests.
        rules: Rules of the proxies before engines and the store.
        store: Stand-in for the store.
        engines: Engines by name.
        nodes: Gateway instances and their processes.
    """

    seed: int
    duration_s: float
    instance_count: int
    module: str
    directory: pathlib.Path
    deadly_part: str = 'none'
    crowd: int = 0
    mixed: bool = False
    ledger: guarantees.Ledger = attrs.field(factory=guarantees.Ledger)
    rules: links_rules.Rules = attrs.field(factory=links_rules.Rules)
    store: fleet_store.FakeStore = attrs.field(factory=fleet_store.FakeStore)
    engines: dict[str, soak_engines.SoakEngine] = attrs.field(factory=dict)
    nodes: list[instances.Instance] = attrs.field(factory=list)
    _proxies: dict[str, proxies.BackendProxy] = attrs.field(factory=dict)
    _injector: faults.FaultInjector | None = None
    _evacuations: evacuations.Evacuations | None = None
    _crash_times_s: list[float] = attrs.field(factory=list)
    _receivers: dict[str, instances.Instance] = attrs.field(factory=dict)
    _late_deadly_runs: int = 0
    _link_cuts: partitions.LinkCuts | None = None

    async def run(self) -> dict[str, object]:
        """Runs the soak test.

        Returns:
            Counts of requests, answers and faults, and the violations.
        """
        rng = random.Random(self.seed)
        runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        store_port = runner.addresses[0][1]
        # With a random source of its own, the faults of a seed stay the same.
        self._evacuations = evacuations.Evacuations(
            random.Random(f'{self.seed}-evacuations'), self.store
        )
        injector = self._injector = faults.FaultInjector(
            rng,
            self.nodes,
            self.engines,
            self.store,
            self.rules,
            self._proxies,
            self._mark_disturbed,
            self._register,
            self._trace,
        )
        try:
            await self._start_processes(store_port)
            await self._run_load_and_faults(rng, injector)
        finally:
            peak_bytes = [
                node.peak_memory_bytes for node in self.nodes if node.running
            ]
            await asyncio.gather(*(node.stop() for node in self.nodes))
            for proxy in self._proxies.values():
                await proxy.close()
            for engine in self.engines.values():
                await engine.stop()
            await runner.cleanup()
        self.ledger.check()
        self.ledger.violations += self._evacuations.late
        late = self._late_deadly_runs
        if self.deadly_part == 'check' and late > _DEADLY_RUNS_MAX:
            self.ledger.violations.append(
                f'{late} requests with a deadly part reached engines late'
            )
        if max(peak_bytes, default=0) > _MEMORY_BYTES_MAX:
            self.ledger.violations.append(f'memory of {max(peak_bytes)} bytes')
        return {
            'seed': self.seed,
            'peak_memory_mb': max(peak_bytes, default=0) // 1_000_000,
            'requests': self.ledger.requests,
            'whole': self.ledger.whole,
            'refused': self.ledger.refused,
            'violations': self.ledger.violations,
            'faults': dict(sorted(injector.counts.items())),
            'evacuations': self._evacuations.count,
            'evacuated_latest_s': round(self._evacuations.latest_s, 3),
            'deadly_crashes': len(self._crash_times_s),
            'late_deadly_runs': late,
            'taken_up': self.ledger.taken_up,
            'taken_up_whole': self.ledger.taken_up_whole,
        }

    async def _start_processes(self, store_port: int) -> None:
        await self.store.write_json(
            'keyed.op', 'config', fleet.configuration()
        )
        for number in range(6 if self.mixed else 3):
            for kind in ('model', 'plain') if number < 3 else ('model',):
                name = f'{kind}-{number}'
                engine = self.engines[name] = soak_engines.SoakEngine(
                    name,
                    self.ledger,
                    functools.partial(self._crash, name),
                )
                engine.software_version = 'v1' if number < 3 else 'v2'
                engine.names_version = self.mixed
                engine.sender = self._find_sender
                engine.evacuations = self._evacuations
                engine.zone = evacuations.ZONES[number % 3]
                await engine.start()
                host, _, port = engine.address.rpartition(':')
                await self._open_proxy(name, host, int(port))
                engine.address = self._proxies[name].address
                await self._register(name, 'ready')
        for number in range(1, self.instance_count + 1):
            # Each instance reaches the store over a link of its own.
            link = f'{faults.STORE_LINK}{number}'
            await self._open_proxy(link, '127.0.0.1', store_port)
            node = instances.Instance(
                number,
                self.directory,
                self._proxies[link].address,
                self.module,
            )
            self.nodes.append(node)
            node.start()
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))

    async def _run_load_and_faults(
        self, rng: random.Random, injector: faults.FaultInjector
    ) -> None:
        injection = asyncio.create_task(injector.run())
        evacuating = asyncio.create_task(self._evacuations.run())
        callers = [
            asyncio.create_task(
                self._run_caller(random.Random(rng.random()), n)
            )
            for n in range(4 * self.instance_count)
        ]
        # With a random source of its own, the faults of a seed stay the same.
        cutting = self._link_cuts = partitions.LinkCuts(
            self.nodes, random.Random(f'{self.seed}-links'), self._trace
        )
        if self.mixed:
            callers.append(asyncio.create_task(cutting.run()))
        if self.crowd:
            crowd_rng = random.Random(rng.random())
            callers.append(asyncio.create_task(self._run_crowds(crowd_rng)))
        await asyncio.sleep(self.duration_s)
        injection.cancel()
        evacuating.cancel()
        await asyncio.gather(injection, evacuating, return_exceptions=True)
        self.rules.heal()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        cutting.heal()
        await asyncio.sleep(_SETTLE_S)

    async def _run_crowds(self, rng: random.Random) -> None:
        """Sends crowds to one instance after the other.

        None of their requests is whole, so none may reach an engine.
        """
        while True:
            node, kind = rng.choice(self.nodes), rng.choice(_CROWD_KINDS)
            crowd = crowds.Crowd(
                kind, self.crowd, node.host, instances.CALLERS_PORT
            )
            self._trace(f'{node.name}: crowd, {kind.value}')
            async with crowd:
                await asyncio.sleep(rng.uniform(1.0, _CROWD_S_MAX))

    async def _open_proxy(self, name: str, host: str, port: int) -> None:
        proxy = self._proxies[name] = proxies.BackendProxy(
            self.rules, name, host, port
        )
        await proxy.open()

    async def _register(self, name: str, state: str) -> None:
        entry = self.engines[name].entry(name.partition('-')[0], state)
        await self.store.write_json('keyed.servers', name, entry)

    def _crash(self, name: str, request_id: str) -> None:
        """Crashes an engine; counts its request if it came too late."""
        now_s = asyncio.get_running_loop().time()
        node = self._receivers[request_id]
        if len(self._crash_times_s) >= _CRASHES_MAX:
            disturbed_s = max(
                self._crash_times_s[_CRASHES_MAX - 1],
                node.disturbed_s,
            )
            if now_s > disturbed_s + _STABLE_S:
                self._late_deadly_runs += 1
                self._trace(f'{name}: late deadly request {request_id}')
        self._crash_times_s.append(now_s)
        self._injector.start(self._injector.crash(name))

    def _find_sender(self, request_id: str) -> tuple[str, float] | None:
        """Returns the instance that sends a request to engines.

        Returns:
            Name of the instance that its caller sent it to, and the time of
            its last disturbance in seconds; None if that is not known, or if
            the instance may have passed the request on.
        """
        node = self._receivers.get(request_id)
        cuts = self._link_cuts
        if node is None or (cuts is not None and cuts.may_forward(node)):
            return None
        return node.name, node.disturbed_s

    def _trace(self, text: str) -> None:
        """Writes a line with both clocks to the log of faults."""
        loop_s = asyncio.get_running_loop().time()
        wall_time = datetime.datetime.now(datetime.UTC).isoformat()
        with (self.directory / 'faults.log').open('a') as log:
            log.write(f'{loop_s:.3f} {wall_time} {text}\n')

    def _mark_disturbed(self, name: str) -> None:
        engine = self.engines.get(name)
        for run in engine.runs if engine else ():
            run.disturbed = True

    async def _run_caller(self, rng: random.Random, caller: int) -> None:
        number = 0
        async with aiohttp.ClientSession(middlewares=(_send_once,)) as session:
            while True:
                number += 1
                node, route = rng.choice(self.nodes), rng.choice(_ROUTES)
                method = rng.choice(_METHODS)
                await self._send_request(
                    rng,
                    session,
                    node,
                    method,
                    route,
                    f'{self.seed}-{caller}-{number}-{method}-{route}',
                )
                await asyncio.sleep(rng.uniform(0.0, 0.1))

    async def _send_request(
        self,
        rng: random.Random,
        session: aiohttp.ClientSession,
        node: instances.Instance,
        method: str,
        route: str,
        request_id: str,
    ) -> None:
        self.ledger.requests += 1
        self._receivers[request_id] = node
        if route in ('book', 'guide'):
            self.ledger.expect_at_most_once(request_id)
        headers = fleet.request_headers(route, request_id, 3000)
        if route in ('guide', 'check'):
            parts = [f'{_SHARED_PART}:40', f'{request_id.encode().hex()}:30']
            if self.deadly_part != 'none' and rng.random() < _DEADLY_SHARE:
                parts.insert(
                    rng.randrange(2), f'{soak_engines.DEADLY_PART}:30'
                )
            headers['X-Prompt-Prefix'] = ','.join(parts)
        if self.mixed and route in ('guide', 'check'):
            await self._send_stream(session, node, method, route, headers)
            return
        body = b''
        expected = f'answer to {request_id} x'.encode()
        if route in ('guide', 'check'):
            expected = b''.join(
                b'id: %d\ndata: token-%d\n\n' % (n, n)
                for n in range(1, soak_engines.EVENTS_PER_ANSWER + 1)
            )
        try:
            async with session.request(
                method,
                f'http://{node.host}:{instances.CALLERS_PORT}/{route}/x',
                headers=headers,
                data=b'x',
                timeout=aiohttp.ClientTimeout(total=4.0),
            ) as answer:
                async for chunk in answer.content.iter_any():
                    body += chunk
        except (aiohttp.ClientError, TimeoutError):
            self.ledger.record_partial_answer(request_id, body, expected)
            return
        self.ledger.record_answer(request_id, answer.status, body, expected)

    async def _send_stream(
        self,
        session: aiohttp.ClientSession,
        node: instances.Instance,
        method: str,
        route: str,
        headers: dict[str, str],
    ) -> None:
        """Reads a stream; takes it up elsewhere if it breaks and may."""
        stream = taken_up.CallerStream(
            headers,
            soak_engines.EVENTS_PER_ANSWER,
            _ATTEMPTS_MAX if route == 'check' else 1,
        )
        rng = random.Random(f'{self.seed}-{stream.request_id}')
        while True:
            self._receivers[stream.attempt_id] = node
            await stream.attempt(
                session,
                method,
                f'http://{node.host}:{instances.CALLERS_PORT}/{route}/x',
            )
            if not stream.may_continue:
                break
            node = rng.choice(self.nodes)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
        stream.record(self.ledger)


@click.command()
@click.option('--seed', type=int, required=True)
@click.option('--minutes', type=float, default=0.5, show_default=True)
@click.option(
    '--instances', 'instance_count', type=int, default=3, show_default=True
)
@click.option(
    '--without-guard',
    type=click.Choice(['not-run', 'once', 'evacuated']),
    help='Removes a guard, to show that the checks can fail.',
)
@click.option(
    '--deadly-part',
    type=click.Choice(['none', 'count', 'check']),
    default='none',
    help='Adds requests with a part that crashes engines.',
)
@click.option(
    '--crowd',
    type=int,
    default=0,
    help='Adds connections of callers that send no whole request.',
)
@click.option(
    '--mixed',
    is_flag=True,
    help='Adds engines of another version, streams that are taken up, and '
    'instances that lose all targets.',
)
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def soak(
    seed: int,
    minutes: float,
    instance_count: int,
    without_guard: str | None,
    deadly_part: str,
    crowd: int,
    mixed: bool,
    directory: pathlib.Path | None,
) -> None:
    """Runs gateway processes under random faults and checks guarantees.

    The last line is one JSON object. Exit code 1 if a guarantee was violated.
    """
    module = 'dotterelweir_platform'
    if mixed:
        module = linked_gateway.__name__
    if without_guard:
        module = 'dotterelweir_fakes.soak.broken_gateway'
        os.environ[broken_gateway.GUARD_VARIABLE] = without_guard
    with tempfile.TemporaryDirectory() as temporary:
        output_directory = directory or pathlib.Path(temporary)
        output_directory.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            Soak(
                seed,
                60.0 * minutes,
                instance_count,
                module,
                output_directory,
                deadly_part,
                crowd,
                mixed,
            ).run()
        )
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
