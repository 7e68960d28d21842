"""The soak: real gateway processes, faults from outside, checks."""

import asyncio
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
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.links import rules as links_rules
from dotterelweir_fakes.soak import broken_gateway
from dotterelweir_fakes.soak import faults
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import promises
from dotterelweir_fakes.soak import proxies

_EVENTS = 30
_ROUTES = ('book', 'read', 'guide', 'check')
# Time for everything to end after the last fault, in seconds.
_SETTLE_S = 5.0


class SoakEngine(fleet_engine.FakeEngine):
    """An engine whose runs are kept in the ledger."""

    def __init__(self, target_id: str, ledger: promises.Ledger) -> None:
        super().__init__(target_id)
        self._ledger = ledger
        self.runs: list[promises.Run] = []
        self.behaviour = fleet_engine.Behaviour(events=_EVENTS, event_s=0.02)

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        run = self._ledger.begin_run(
            headers.get('x-attempt-id', ''),
            self.target_id,
            'kv-from' in headers or 'last-event-id' in headers,
            loop.time(),
        )
        self.runs.append(run)
        try:
            return await super()._run(request, headers, body)
        finally:
            run.ended_s = loop.time()
            self.runs.remove(run)


@attrs.define
class Soak:
    """One soak.

    Attributes:
        seed: Seed of traffic and faults.
        seconds: How long faults and traffic last.
        size: Gateway processes.
        module: Module that the processes run.
        directory: Where settings and logs go.
    """

    seed: int
    seconds: float
    size: int
    module: str
    directory: pathlib.Path
    ledger: promises.Ledger = attrs.field(factory=promises.Ledger)
    rules: links_rules.Rules = attrs.field(factory=links_rules.Rules)
    store: fleet_store.FakeStore = attrs.field(factory=fleet_store.FakeStore)
    engines: dict[str, SoakEngine] = attrs.field(factory=dict)
    nodes: list[instances.Instance] = attrs.field(factory=list)
    _proxies: dict[str, proxies.Proxy] = attrs.field(factory=dict)

    async def run(self) -> dict[str, object]:
        """Runs the soak and gives its result."""
        rng = random.Random(self.seed)
        runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        store_port = runner.addresses[0][1]
        series = faults.FaultSeries(
            rng,
            self.nodes,
            self.engines,
            self.store,
            self.rules,
            self._disturb,
            self._register,
        )
        try:
            await self._start(store_port)
            await self._play(rng, series)
        finally:
            for node in self.nodes:
                await node.stop()
            for proxy in self._proxies.values():
                await proxy.close()
            for engine in self.engines.values():
                await engine.stop()
            await runner.cleanup()
        self.ledger.check()
        return {
            'seed': self.seed,
            'requests': self.ledger.requests,
            'whole': self.ledger.whole,
            'refused': self.ledger.refused,
            'violations': self.ledger.violations,
            'faults': dict(sorted(series.counts.items())),
        }

    async def _start(self, store_port: int) -> None:
        await self.store.write_json(
            'keyed.op', 'config', fleet.configuration()
        )
        for number in range(3):
            for kind in ('model', 'plain'):
                name = f'{kind}-{number}'
                engine = self.engines[name] = SoakEngine(name, self.ledger)
                await engine.start()
                host, _, port = engine.address.rpartition(':')
                await self._open_proxy(name, host, int(port))
                engine.address = self._proxies[name].address
                await self._register(name, 'ready')
        for number in range(1, self.size + 1):
            # Each instance has its own link to the store.
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
        async with asyncio.timeout(instances.READY_WITHIN_S):
            async with aiohttp.ClientSession() as session:
                for node in self.nodes:
                    while not await _is_ready(session, node):
                        await asyncio.sleep(0.05)

    async def _play(
        self, rng: random.Random, series: faults.FaultSeries
    ) -> None:
        injecting = asyncio.create_task(series.run())
        callers = [
            asyncio.create_task(self._call(random.Random(rng.random()), n))
            for n in range(4 * self.size)
        ]
        await asyncio.sleep(self.seconds)
        injecting.cancel()
        await asyncio.gather(injecting, return_exceptions=True)
        self.rules.heal()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(_SETTLE_S)

    async def _open_proxy(self, name: str, host: str, port: int) -> None:
        proxy = self._proxies[name] = proxies.Proxy(
            self.rules, name, host, port
        )
        await proxy.open()

    async def _register(self, name: str, state: str) -> None:
        entry = self.engines[name].entry(name.partition('-')[0], state)
        await self.store.write_json('keyed.servers', name, entry)

    def _disturb(self, name: str) -> None:
        engine = self.engines.get(name)
        for run in engine.runs if engine else ():
            run.disturbed = True

    async def _call(self, rng: random.Random, caller: int) -> None:
        number = 0
        async with aiohttp.ClientSession() as session:
            while True:
                number += 1
                request_id = f'{self.seed}-{caller}-{number}'
                node = rng.choice(self.nodes)
                await self._request(
                    session, node, rng.choice(_ROUTES), request_id
                )
                await asyncio.sleep(rng.uniform(0.0, 0.1))

    async def _request(
        self,
        session: aiohttp.ClientSession,
        node: instances.Instance,
        route: str,
        request_id: str,
    ) -> None:
        self.ledger.requests += 1
        if route in ('book', 'guide'):
            self.ledger.expect_once(request_id)
        body = b''
        expected = f'answer to {request_id} x'.encode()
        if route in ('guide', 'check'):
            expected = b''.join(
                b'id: %d\ndata: token-%d\n\n' % (n, n)
                for n in range(1, _EVENTS + 1)
            )
        try:
            async with session.post(
                f'http://{node.host}:{instances.CALLERS_PORT}/{route}/x',
                headers=fleet.request_headers(route, request_id, 3000),
                data=b'x',
                timeout=aiohttp.ClientTimeout(total=4.0),
            ) as answer:
                async for chunk in answer.content.iter_any():
                    body += chunk
        except (aiohttp.ClientError, TimeoutError):
            self.ledger.partial(request_id, body, expected)
            return
        self.ledger.answer(request_id, answer.status, body, expected)


async def _is_ready(
    session: aiohttp.ClientSession, node: instances.Instance
) -> bool:
    url = f'http://{node.host}:{instances.READY_PORT}/-/readyz'
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        # The process does not listen yet.
        return False


@click.command()
@click.option('--seed', type=int, required=True)
@click.option('--minutes', type=float, default=0.5, show_default=True)
@click.option('--instances', 'size', type=int, default=3, show_default=True)
@click.option(
    '--without-guard',
    type=click.Choice(['not-run', 'once']),
    help='Removes a guard, to show that the checks can fail.',
)
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def soak(
    seed: int,
    minutes: float,
    size: int,
    without_guard: str | None,
    directory: pathlib.Path | None,
) -> None:
    """Runs gateway processes under random faults and checks promises.

    The last line is one JSON object. Exit code 1 if a promise was broken.
    """
    module = 'dotterelweir_platform'
    if without_guard:
        module = 'dotterelweir_fakes.soak.broken_gateway'
        os.environ[broken_gateway.GUARD_VARIABLE] = without_guard
    with tempfile.TemporaryDirectory() as temporary:
        place = directory or pathlib.Path(temporary)
        place.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            Soak(seed, 60.0 * minutes, size, module, place).run()
        )
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
