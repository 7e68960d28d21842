"""The ``moves`` command: planned stops while engines leave and pause runs."""

import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile
from typing import ClassVar

import attrs
import click
import orjson

from dotterelweir_fakes.fleet import copies
from dotterelweir_fakes.soak import engines
from dotterelweir_fakes.soak import moved_streams
from dotterelweir_fakes.soak import moving_engines
from dotterelweir_fakes.soak import planned_requests
from dotterelweir_fakes.soak import stops

_MODEL_ENGINES = 6
_PLAIN_SERVICES = 3
# Time between two departures of engines, in seconds.
_DEPARTURE_INTERVAL_S = 3.0
# Time from its announcement to the exit of an engine that does not wait for
# its runs, in seconds.
_SHORT_DEPARTURE_S = (2.0, 2.4)
# Share of the planned stops beside which another process is stopped, and the
# longest time between the two, in seconds.
_OVERLAP_SHARE = 0.4
_OVERLAP_S = 6.0


@attrs.define(eq=False)
class MovesSoak(stops.StopsSoak):
    """Planned stops of processes while engines leave and pause their runs.

    Attributes:
        setting: How engines copy and pause runs.
        duration_s: Time for which it plays, in seconds.
        network: Links between the engines.
    """

    setting: moving_engines.Setting = attrs.field(kw_only=True)
    duration_s: float = attrs.field(default=25.0, kw_only=True)
    network: copies.CopyNetwork = attrs.field(init=False)
    _models: list[moving_engines.MovingEngine] = attrs.field(factory=list)
    # All engines that were started, those that have left included.
    _started_models: list[moving_engines.MovingEngine] = attrs.field(
        factory=list
    )
    _idle_callers: ClassVar[int] = 16
    _callers_per_instance: ClassVar[int] = 8
    _works: ClassVar[tuple[str, ...]] = ('stop',)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.network = copies.CopyNetwork(self.seed)

    def _draw_maker(self) -> planned_requests.RequestMaker:
        rng = random.Random(self.seed)
        return planned_requests.RequestMaker(
            str(self.seed),
            rng,
            token_s=rng.uniform(0.008, 0.03),
            first_event_s=rng.choice((0.05, 0.3)),
            plain_s=rng.uniform(0.05, 0.5),
            tokens_max=rng.choice((160, 400)),
            paused_share=self.setting.paused_share,
            pause_s=moving_engines.PAUSE_S,
        )

    def _make_callers(self) -> moved_streams.MovedCallers:
        return moved_streams.MovedCallers(self.ledger, self.nodes, self._trace)

    def _configuration(self) -> dict:
        return planned_requests.configuration(
            self._version, self.setting.backups
        )

    async def run(self) -> dict[str, object]:
        """Plays for the duration.

        Returns:
            Counts of requests by outcome, and the violations.
        """
        counts = self.callers.counts
        for name in ('streams', 'moved_whole', 'lost_after_stop'):
            counts.setdefault(name, 0)
        counts.setdefault('lost_after_stop_around_sigterm', 0)
        counts.setdefault('stopped_for_move', 0)
        result = await super().run()
        result['overlaps'] = self.ledger.overlaps
        result['copy_orders'] = self.network.order_count
        most_calls = moving_engines.find_most_calls(self._started_models)
        result['calls_per_run_max'] = most_calls.count
        if most_calls.violation is not None:
            self.ledger.violations.append(most_calls.violation)
        return {**attrs.asdict(self.setting), **result}

    async def _start_engines(self, stack: contextlib.AsyncExitStack) -> None:
        for _ in range(_MODEL_ENGINES):
            await self._add_model(stack)
        for number in range(_PLAIN_SERVICES):
            engine = engines.PlannedEngine(
                f'plain-{number}', self.ledger, self.callers.behaviours
            )
            await self._start_engine(stack, engine, 'plain')
        departures = asyncio.create_task(self._play_departures(stack))
        stack.callback(departures.cancel)

    async def _add_model(self, stack: contextlib.AsyncExitStack) -> None:
        engine = moving_engines.MovingEngine(
            f'model-{len(self._started_models) + 1}',
            self.ledger,
            self.callers.behaviours,
            self.setting,
            str(self.seed),
            lambda _: self.callers.count('stopped_for_move'),
        )
        self._started_models.append(engine)
        engine.copies = self.network.add(engine)
        await self._start_engine(stack, engine, 'model')
        self._models.append(engine)

    async def _play_departures(self, stack: contextlib.AsyncExitStack) -> None:
        """Lets the oldest engine leave, again and again."""
        rng = random.Random(f'departures-{self.seed}')
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(_DEPARTURE_INTERVAL_S)
                engine = self._models.pop(0)
                await self._add_model(stack)
                grace_s = rng.choice((None, rng.uniform(*_SHORT_DEPARTURE_S)))
                group.create_task(self._depart(engine, grace_s))

    async def _depart(
        self, engine: moving_engines.MovingEngine, grace_s: float | None
    ) -> None:
        await self.store.write_json(
            'keyed.servers',
            engine.target_id,
            engine.entry('model', 'draining'),
        )
        self._trace(f'{engine.target_id} leaves, time: {grace_s}')
        self.callers.count('departures')
        await engine.depart(grace_s)
        self._trace(f'{engine.target_id} has left')
        await self.store.write('keyed.servers', engine.target_id, b'')

    async def _play(self) -> None:
        """Stops processes, one after the other or two at once."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.duration_s):
                number = 0
                while True:
                    number += 1
                    await self._stop_some(number)

    async def _stop_some(self, number: int) -> None:
        first, second = self._rng.sample(self.nodes, 2)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._work(first, self._maker.fork(f'work-{number}'))
            )
            if len(self.nodes) > 2 and self._rng.random() < _OVERLAP_SHARE:
                await asyncio.sleep(self._rng.uniform(0.0, _OVERLAP_S))
                maker = self._maker.fork(f'work-{number}-beside')
                group.create_task(self._work(second, maker))


@click.command()
@click.option('--seed', type=int, required=True)
@click.option(
    '--instances',
    'instance_count',
    type=click.IntRange(2, 100),
    help='Number of processes; 2 to 5 by the seed if it is not given.',
)
@click.option(
    '--seconds', 'duration_s', type=float, default=25.0, show_default=True
)
@click.option(
    '--copy-s',
    type=(float, float),
    help='Range of the time of one copy, in seconds; else by the seed.',
)
@click.option('--backups/--no-backups', default=None)
@click.option('--paused-share', type=click.FloatRange(0, 1))
@click.option('--full-share', type=click.FloatRange(0, 1))
@click.option('--preempted-unknown/--preempted-known', default=None)
@click.option('--busy', is_flag=True, help='Other work delays the processes.')
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def moves(
    seed: int,
    instance_count: int | None,
    duration_s: float,
    busy: bool,
    directory: pathlib.Path | None,
    **choices: object,
) -> None:
    """Stops gateway processes while engines leave and pause their runs.

    Finds streams that are lost after an engine stopped their run for a move.
    What is not given is chosen by the seed. The last line is one JSON object.
    Exit code 1 if a guarantee was violated.
    """
    count = instance_count or random.Random(seed).randint(2, 5)
    given = {name: v for name, v in choices.items() if v is not None}
    setting = attrs.evolve(moving_engines.Setting.draw(seed), **given)
    with tempfile.TemporaryDirectory() as temporary:
        output_directory = directory or pathlib.Path(temporary)
        output_directory.mkdir(parents=True, exist_ok=True)
        soak = MovesSoak(
            seed,
            0,
            count,
            output_directory,
            busy,
            setting=setting,
            duration_s=duration_s,
        )
        result = asyncio.run(soak.run())
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
