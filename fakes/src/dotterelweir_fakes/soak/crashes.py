"""The ``crashes`` command: a request that ends engines."""

import asyncio
import pathlib
import random
import sys
import tempfile

import attrs
import click
import orjson

from dotterelweir_fakes.soak import crashing
from dotterelweir_fakes.soak import instance_faults

_ROUTES = ('read', 'book', 'guide', 'check')
# Ranges of the time between two sends of the request, and of the time until an
# engine starts again, in seconds.
_INTERVAL_S = (0.2, 2.0)
_BACK_S = (1.0, 3.0)
# The same for engines that go dark, and how many more of these there are.
_DARK_S = (1.0, 6.0)
_DARK_ENGINES = 4
# Range of the time between two engines that end by themselves, in seconds.
_OWN_ENDS_S = (3.0, 9.0)
# Sound requests of each instance per second.
_RATE_PER_INSTANCE = 6.0
# Smallest share of sound requests at undisturbed instances that are served
# once the request counts as known.
_SERVED_SHARE_MIN = 0.5


@attrs.define
class CrashSoak:
    """Plays a request that ends engines, and faults of instances.

    Attributes:
        seed: Seed of the load and the faults.
        duration_s: Duration of the load, in seconds.
        instance_count: Number of gateway processes.
        directory: Directory for settings and logs of the processes.
        dark: Whether engines end as machines without power do.
    """

    seed: int
    duration_s: float
    instance_count: int
    directory: pathlib.Path
    dark: bool = False

    async def run(self) -> dict[str, object]:
        """Runs the soak test.

        Returns:
            Counts of requests and faults, and the violations.
        """
        rng = random.Random(self.seed)
        route = rng.choice(_ROUTES)
        interval_s = rng.uniform(*_INTERVAL_S)
        crash_events = rng.choice((None, 2))
        async with crashing.CrashTrial(
            self.directory,
            self.instance_count,
            rng.randint(3, 6) + (_DARK_ENGINES if self.dark else 0),
            route,
            rng.uniform(*_BACK_S),
        ) as trial:
            if route in ('guide', 'check'):
                for engine in trial.engines.values():
                    engine.crash_events = crash_events
            dark_rng = random.Random(self.seed)
            for engine in trial.engines.values():
                engine.dark = self.dark
                engine.keeps_id = dark_rng.random() < 0.5
                if self.dark:
                    engine.back_s = dark_rng.uniform(*_DARK_S)
            faults = instance_faults.InstanceFaults(
                trial, random.Random(rng.random())
            )
            background = [
                asyncio.create_task(faults.run()),
                asyncio.create_task(
                    self._end_engines(trial, random.Random(rng.random()))
                ),
            ]
            rate_per_s = _RATE_PER_INSTANCE * self.instance_count / 2
            await asyncio.gather(
                trial.send_crashes(
                    interval_s, self.duration_s, random.Random(rng.random())
                ),
                trial.send_sound(
                    rate_per_s, self.duration_s, random.Random(rng.random())
                ),
                trial.send_repeats(
                    rate_per_s, self.duration_s, random.Random(rng.random())
                ),
            )
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await faults.wait()
            await asyncio.sleep(1.0)
        counted_s = trial.third_end_s() + crashing.COUNTED_AFTER_S
        served = {
            prefix: round(trial.served_share(prefix, counted_s), 3)
            for prefix in ('sound', 'popular')
        }
        late_sends = trial.late_sends()
        violations = []
        if late_sends > crashing.LATE_SENDS_MAX:
            violations.append(f'{late_sends} late sends')
        if counted_s < float('inf'):
            violations += [
                f'{prefix} requests were served in {share} of the cases'
                for prefix, share in served.items()
                if share < _SERVED_SHARE_MIN
            ]
        return {
            'seed': self.seed,
            'route': route,
            'interval_s': round(interval_s, 2),
            'engines': len(trial.engines),
            'ends': sum(len(e.ends_s) for e in trial.engines.values()),
            'late_sends': late_sends,
            'served': served,
            'faults': faults.counts,
            'violations': violations,
        }

    async def _end_engines(
        self, trial: crashing.CrashTrial, rng: random.Random
    ) -> None:
        """Lets engines end by themselves at times."""
        while True:
            await asyncio.sleep(rng.uniform(*_OWN_ENDS_S))
            rng.choice(list(trial.engines.values())).end()


@click.command()
@click.option('--seed', type=int, required=True)
@click.option('--seconds', type=float, default=25.0, show_default=True)
@click.option(
    '--instances', 'instance_count', type=int, default=3, show_default=True
)
@click.option('--dark', is_flag=True)
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def crashes(
    seed: int,
    seconds: float,
    instance_count: int,
    dark: bool,
    directory: pathlib.Path | None,
) -> None:
    """Runs gateway processes with a request that ends engines.

    The last line is one JSON object. Exit code 1 if the request reached
    engines too often, or sound requests were not served.
    """
    with tempfile.TemporaryDirectory() as temporary:
        output_directory = directory or pathlib.Path(temporary)
        output_directory.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            CrashSoak(
                seed, seconds, instance_count, output_directory, dark
            ).run()
        )
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
