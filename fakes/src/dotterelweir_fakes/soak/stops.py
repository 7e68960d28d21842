"""The ``stops`` command: planned stops of gateway processes under load."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys
import tempfile
from typing import ClassVar

from aiohttp import web
import attrs
import click
import orjson

from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.soak import engines
from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import kept_callers
from dotterelweir_fakes.soak import losses
from dotterelweir_fakes.soak import planned_requests

# Calm time between two planned works, in seconds.
_CALM_S = 3.0
# Time after SIGHUP or a new configuration during which requests are sent to
# find what it cuts, in seconds.
_CHANGE_S = 2.5
_TARGETS_PER_SERVICE = 4


@attrs.define(eq=False)
class StopsSoak:
    """One run with its store, engines, processes and callers.

    Attributes:
        seed: Seed of the traffic and the planned work.
        stop_count: Number of planned works, one after the other.
        instance_count: Number of gateway processes.
        directory: Directory for settings and logs.
        busy: Whether other work may delay the processes; one that has not
            ended in time is then no violation. The same holds while more
            threads are ready to run than the machine has cores.
    """

    seed: int
    stop_count: int
    instance_count: int
    directory: pathlib.Path
    busy: bool = False
    ledger: guarantees.Ledger = attrs.field(factory=guarantees.Ledger)
    store: fleet_store.FakeStore = attrs.field(factory=fleet_store.FakeStore)
    nodes: list[instances.Instance] = attrs.field(factory=list)
    callers: kept_callers.Callers = attrs.field(init=False)
    _rng: random.Random = attrs.field(init=False)
    _maker: planned_requests.RequestMaker = attrs.field(init=False)
    _version: int = 1
    # Callers whose connections are idle until a planned work, for each of
    # them.
    _idle_callers: ClassVar[int] = 80
    _callers_per_instance: ClassVar[int] = 6
    _works: ClassVar[tuple[str, ...]] = ('stop',) * 6 + ('reload', 'configure')

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._maker = self._draw_maker()
        self.callers = self._make_callers()

    def _draw_maker(self) -> planned_requests.RequestMaker:
        return planned_requests.RequestMaker.draw(self.seed)

    def _make_callers(self) -> kept_callers.Callers:
        return kept_callers.Callers(self.ledger, self.nodes, self._trace)

    async def run(self) -> dict[str, object]:
        """Runs the planned works.

        Returns:
            Counts of requests by outcome, and the violations.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            callers = [
                asyncio.create_task(
                    self.callers.run_caller(
                        node, self._maker.fork(f'{node.number}-{number}')
                    )
                )
                for node in self.nodes
                for number in range(self._callers_per_instance)
            ]
            callers.append(asyncio.create_task(self.callers.watch_stalls()))
            await asyncio.sleep(_CALM_S)
            await self._play()
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        self.ledger.check()
        self.callers.check()
        return {
            'seed': self.seed,
            'instances': self.instance_count,
            'token_s': round(self._maker.token_s, 4),
            'requests': self.ledger.requests,
            **dict(sorted(self.callers.counts.items())),
            'violations': self.ledger.violations,
        }

    async def _play(self) -> None:
        """Does the planned works, one after the other."""
        for number in range(self.stop_count):
            await self._work(
                self.nodes[number % len(self.nodes)],
                self._maker.fork(f'work-{number}'),
            )

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        await self._configure()
        await self._start_engines(stack)
        for number in range(1, self.instance_count + 1):
            node = instances.Instance(
                number,
                self.directory,
                f'127.0.0.1:{runner.addresses[0][1]}',
                grace_s=losses.GRACE_S,
            )
            self.nodes.append(node)
            node.start()
            stack.callback(node.send_signal, signal.SIGKILL)
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))

    async def _start_engines(self, stack: contextlib.AsyncExitStack) -> None:
        for number in range(_TARGETS_PER_SERVICE):
            for service in ('model', 'plain'):
                engine = engines.PlannedEngine(
                    f'{service}-{number}', self.ledger, self.callers.behaviours
                )
                await self._start_engine(stack, engine, service)

    async def _start_engine(
        self,
        stack: contextlib.AsyncExitStack,
        engine: engines.PlannedEngine,
        service: str,
    ) -> None:
        """Starts and registers an engine."""
        await engine.start()
        stack.push_async_callback(engine.stop)
        await self.store.write_json(
            'keyed.servers', engine.target_id, engine.entry(service)
        )

    def _configuration(self) -> dict:
        return planned_requests.configuration(self._version)

    async def _configure(self) -> None:
        await self.store.write_json(
            'keyed.op', 'config', self._configuration()
        )
        self._version += 1

    async def _work(
        self,
        node: instances.Instance,
        maker: planned_requests.RequestMaker,
    ) -> None:
        """Does one planned work and the calm time after it."""
        kind = self._rng.choice(self._works)
        duration_s = losses.GRACE_S if kind == 'stop' else _CHANGE_S
        # The process runs until the end of the grace time while a stream
        # does, and only for a few seconds otherwise.
        long_streams = 1 if self._rng.random() < 0.8 else 0
        loop = asyncio.get_running_loop()
        start_s = loop.time() + 1.0
        self._trace(f'{kind} of {node.name}, {long_streams} long streams')
        async with asyncio.TaskGroup() as group:
            for number in range(self._idle_callers):
                send_s = start_s + duration_s * number / self._idle_callers
                group.create_task(
                    self.callers.run_idle_caller(node, maker, send_s)
                )
            for _ in range(long_streams):
                tokens = round((duration_s + 2.0) / maker.token_s)
                group.create_task(
                    self.callers.send_alone(
                        node, maker.make_stream('guide', tokens)
                    )
                )
            await asyncio.sleep(start_s - loop.time())
            self.callers.count(kind)
            match kind:
                case 'stop':
                    await self._stop(node)
                case 'reload':
                    self.callers.reloaded_s[node.name] = loop.time()
                    node.send_signal(signal.SIGHUP)
                case 'configure':
                    await self._configure()
        if kind == 'stop':
            node.start()
            await node.wait_ready()
            del self.callers.stopped_s[node.name]
        await asyncio.sleep(_CALM_S)

    async def _stop(self, node: instances.Instance) -> None:
        """Stops a process as the platform does."""
        loop = asyncio.get_running_loop()
        self.callers.stopped_s[node.name] = stopped_s = loop.time()
        node.send_signal(signal.SIGTERM)
        second = self._rng.choice((None, None, signal.SIGTERM, signal.SIGHUP))
        if second is not None:
            await asyncio.sleep(self._rng.uniform(0.1, 7.0))
            self._trace(f'{second.name} to {node.name}')
            node.send_signal(second)
        while node.running and loop.time() < stopped_s + losses.GRACE_S:
            await asyncio.sleep(0.02)
        text = f'{node.name} ended after {loop.time() - stopped_s:.2f} s'
        if node.running:
            text = f'{node.name} had not ended and was killed'
            self.callers.count('killed')
            if not (self.busy or os.getloadavg()[0] > os.cpu_count()):
                self.ledger.violations.append(text)
            node.process.kill()
            node.process.wait()
        elif node.process.returncode:
            self.ledger.violations.append(
                f'{node.name} ended with {node.process.returncode}'
            )
        self._trace(text)

    def _trace(self, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        with (self.directory / 'stops.log').open('a') as log:
            log.write(f'{now_s:.3f} {text}\n')


@click.command()
@click.option('--seed', type=int, required=True)
@click.option('--stops', 'stop_count', type=int, default=2, show_default=True)
@click.option(
    '--instances',
    'instance_count',
    type=click.IntRange(1, 100),
    help='Number of processes; 1 to 4 by the seed if it is not given.',
)
@click.option('--busy', is_flag=True, help='Other work delays the processes.')
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def stops(
    seed: int,
    stop_count: int,
    instance_count: int | None,
    busy: bool,
    directory: pathlib.Path | None,
) -> None:
    """Stops gateway processes one by one and finds requests that are lost.

    The last line is one JSON object. Exit code 1 if a guarantee was violated.
    """
    count = instance_count or random.Random(seed).randint(1, 4)
    with tempfile.TemporaryDirectory() as temporary:
        output_directory = directory or pathlib.Path(temporary)
        output_directory.mkdir(parents=True, exist_ok=True)
        soak = StopsSoak(seed, stop_count, count, output_directory, busy)
        result = asyncio.run(soak.run())
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
