"""The ``limits`` command: limited and cold engines while instances fail."""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

import attrs
import click
import orjson

from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import instance_faults
from dotterelweir_fakes.soak import trials

_ROUTES = ('read', 'book', 'guide', 'check')
# Limits that engines name; texts that are no number are part of them.
_LIMITS = ('0', '0.1', '0.6', '1.4', '2.3', '5', '12', '-1', 'nan', '1e300')
# Range of the time between two changes of a limit, in seconds.
_CHANGE_S = (4.0, 9.0)
# Requests of each instance per second.
_RATE_PER_INSTANCE = 8.0
# Figures that the service states of cold engines, and the requests that such
# an engine may get in any second. The rate is so low that an engine without a
# pace gets more.
_WARM_UP_S = 6.0
_WARM_UP_PER_S = 1.0
_COLD_REQUESTS_MAX = int(1.5 * _WARM_UP_PER_S + 5)
# Range of the time between two starts of engines, in seconds.
_START_S = (2.0, 5.0)
# Limit from which on an engine counts as unlimited, in requests per second.
_UNLIMITED_PER_S = 10_000.0


@attrs.define
class NamedLimit:
    """A limit that an engine named for some time.

    Attributes:
        rate_per_s: The limit, in requests per second.
        from_s: Monotonic time from which it was named, in seconds.
        until_s: Monotonic time at which it was changed, in seconds.
    """

    rate_per_s: float
    from_s: float
    until_s: float = float('inf')


@attrs.define
class LimitSoak:
    """Plays limits and faults, and checks what limited engines get.

    Attributes:
        seed: Seed of the load, the limits and the faults.
        duration_s: Duration of the load, in seconds.
        instance_count: Number of gateway processes.
        directory: Directory for settings and logs of the processes.
        stale_seeds: Whether processes start again with seeds that are stale.
    """

    seed: int
    duration_s: float
    instance_count: int
    directory: pathlib.Path
    stale_seeds: bool = False
    _named: dict[str, list[NamedLimit]] = attrs.field(factory=dict)
    # Monotonic time of the newest start of each engine that was cold.
    _started_s: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> dict[str, object]:
        """Runs the soak test.

        Returns:
            Counts of requests and faults, and the violations.
        """
        rng = random.Random(self.seed)
        routes = rng.choice((('read', 'book'), ('guide', 'check')))
        engine_count = rng.randint(2, 5)
        async with trials.Trial(
            self.directory,
            self.instance_count,
            engine_count,
            trials.SERVICES[routes[0]],
            service_fields={
                'warmupS': _WARM_UP_S,
                'warmupPerS': _WARM_UP_PER_S,
            },
        ) as trial:
            faults = instance_faults.InstanceFaults(
                trial,
                random.Random(rng.random()),
                random.Random(self.seed) if self.stale_seeds else None,
            )
            background = [
                asyncio.create_task(faults.run()),
                asyncio.create_task(
                    self._start_engines(trial, random.Random(rng.random()))
                ),
                *(
                    asyncio.create_task(
                        self._change_limits(
                            engine, random.Random(rng.random())
                        )
                    )
                    for engine in list(trial.engines.values())[
                        : rng.randint(1, engine_count)
                    ]
                ),
            ]
            rate_per_s = _RATE_PER_INSTANCE * self.instance_count
            await asyncio.gather(
                *(
                    trial.send_load(
                        route,
                        rate_per_s / len(routes),
                        self.duration_s,
                        random.Random(rng.random()),
                        f'{self.seed}-{route}',
                    )
                    for route in routes
                )
            )
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await faults.wait()
            await asyncio.sleep(1.0)
        statuses: dict[int, int] = {}
        for answer in trial.answers.values():
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        return {
            'seed': self.seed,
            'routes': routes,
            'engines': engine_count,
            'statuses': {str(k): statuses[k] for k in sorted(statuses)},
            'faults': faults.counts,
            'limits': {
                name: [limit.rate_per_s for limit in limits]
                for name, limits in self._named.items()
            },
            'cold': {
                name: trials.worst_window(times_s, 0.0, 1.0)
                for name, times_s in self._cold_times_s(trial).items()
            },
            'violations': [
                *self._find_violations(trial),
                *self._find_floods(trial),
            ],
        }

    async def _change_limits(
        self, engine: fleet_engine.FakeEngine, rng: random.Random
    ) -> None:
        """Lets an engine name limits, and none at times."""
        loop = asyncio.get_running_loop()
        named = self._named[engine.target_id] = []
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        while True:
            text = rng.choice(_LIMITS) if rng.random() < 0.8 else ''
            rate_per_s = _UNLIMITED_PER_S
            if text and text != 'nan':
                rate_per_s = max(0.0, float(text))
            engine.behaviour = attrs.evolve(engine.behaviour, limit=text)
            if named:
                named[-1].until_s = loop.time()
            named.append(NamedLimit(rate_per_s, loop.time()))
            await asyncio.sleep(rng.uniform(*_CHANGE_S))

    async def _start_engines(
        self, trial: trials.Trial, rng: random.Random
    ) -> None:
        """Starts further engines, each of which is cold at first."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(rng.uniform(*_START_S))
            engine = fleet_engine.FakeEngine(
                f'cold-{len(self._started_s) + 1}'
            )
            engine.started_ms = int(time.time() * 1000)
            await engine.start()
            trial.engines[engine.target_id] = engine
            self._started_s[engine.target_id] = loop.time()
            await trial.register(engine)

    def _cold_times_s(self, trial: trials.Trial) -> dict[str, list[float]]:
        """Returns when cold engines got requests, in seconds."""
        return {
            engine_id: [
                time_s
                for time_s, request_id in trial.engines[engine_id].arrivals
                if time_s < started_s + _WARM_UP_S
                and not trial.is_excused(request_id, time_s)
            ]
            for engine_id, started_s in self._started_s.items()
        }

    def _find_floods(self, trial: trials.Trial) -> list[str]:
        violations = []
        for engine_id, times_s in self._cold_times_s(trial).items():
            most = trials.worst_window(times_s, 0.0, 1.0)
            if most > _COLD_REQUESTS_MAX:
                violations.append(
                    f'{engine_id}: {most} requests in a second while cold'
                )
        return violations

    def _find_violations(self, trial: trials.Trial) -> list[str]:
        violations = []
        for engine_id, named in self._named.items():
            times_s = [
                time_s
                for time_s, request_id in trial.engines[engine_id].arrivals
                if not trial.is_excused(request_id, time_s)
            ]
            for index, limit in enumerate(named):
                if limit.rate_per_s >= _UNLIMITED_PER_S:
                    continue
                from_s = limit.from_s + trials.STABLE_S + trials.TOLD_S
                counted = [t for t in times_s if t < limit.until_s]
                most = trials.worst_window(counted, from_s)
                if most > trials.allowed_requests(limit.rate_per_s):
                    violations.append(
                        f'{engine_id}: {most} requests in 4 s with limit '
                        f'{limit.rate_per_s} (its limit no. {index + 1})'
                    )
        return violations


@click.command()
@click.option('--seed', type=int, required=True)
@click.option('--seconds', type=float, default=25.0, show_default=True)
@click.option(
    '--instances', 'instance_count', type=int, default=3, show_default=True
)
@click.option('--stale-seeds', is_flag=True)
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def limits(
    seed: int,
    seconds: float,
    instance_count: int,
    stale_seeds: bool,
    directory: pathlib.Path | None,
) -> None:
    """Runs gateway processes with engines that name limits or are cold.

    The last line is one JSON object. Exit code 1 if an engine got more
    requests than its limit or its cold state allows.
    """
    with tempfile.TemporaryDirectory() as temporary:
        output_directory = directory or pathlib.Path(temporary)
        output_directory.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            LimitSoak(
                seed, seconds, instance_count, output_directory, stale_seeds
            ).run()
        )
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
