"""Random faults of gateway processes in a trial."""

import asyncio
import random
import signal

import attrs

from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import trials

# Range of the time between the starts of two faults, and of the duration of
# one, in seconds; faults overlap.
_INTERVAL_S = (0.5, 3.0)
_DURATION_S = (0.3, 2.5)
# Number of an instance that does not exist, those of seeds that do, and the
# time by which seeds may lag, in seconds.
_STALE_SEED = 200
_LIVE_SEEDS = (1, 2)
_SEED_LAG_S = 3.0
# Time without faults at the start, in seconds.
_CALM_S = 4.0


@attrs.define
class InstanceFaults:
    """Kills, stops and freezes gateway processes until it is cancelled.

    Attributes:
        trial: The trial that runs the processes.
        rng: Random source; its seed determines the sequence of faults.
        seeds_rng: Random source of the seeds that processes start again with.
            They may be stale; the settings name live ones later, with or
            without a signal, or never. None if they are never stale.
        counts: Number of faults by kind.
    """

    trial: trials.Trial
    rng: random.Random
    seeds_rng: random.Random | None = None
    counts: dict[str, int] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def run(self) -> None:
        """Starts faults of instances."""
        await asyncio.sleep(_CALM_S)
        while True:
            fault = self.rng.choice((self._kill, self._stop, self._freeze))
            name = fault.__name__.strip('_')
            self.counts[name] = self.counts.get(name, 0) + 1
            node = self.rng.choice(self.trial.nodes)
            task = asyncio.create_task(
                fault(node, self.rng.uniform(*_DURATION_S))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.uniform(*_INTERVAL_S))

    async def wait(self) -> None:
        """Waits until the faults in progress have ended."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _kill(self, node: instances.Instance, for_s: float) -> None:
        with self.trial.disturbing(node):
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
            await self._start_again(node, for_s)

    async def _stop(self, node: instances.Instance, for_s: float) -> None:
        with self.trial.disturbing(node):
            node.send_signal(signal.SIGTERM)
            while node.running:
                await asyncio.sleep(0.05)
            await self._start_again(node, for_s)

    async def _start_again(
        self, node: instances.Instance, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        if node.running:
            return
        rng = self.seeds_rng
        if rng is None:
            node.start()
            await node.wait_ready()
            return
        change = rng.choice(('none', 'stale', 'signal', 'silent'))
        name = f'seeds {change}'
        self.counts[name] = self.counts.get(name, 0) + 1
        is_stale = change != 'none'
        node.seed_numbers = (_STALE_SEED,) if is_stale else _LIVE_SEEDS
        node.start()
        # A signal before the interpreter runs would end the process.
        await node.wait_ready()
        if change in ('signal', 'silent'):
            task = asyncio.create_task(
                self._name_live_seeds(
                    node, rng.uniform(0.0, _SEED_LAG_S), change == 'signal'
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _name_live_seeds(
        self, node: instances.Instance, after_s: float, signals: bool
    ) -> None:
        await asyncio.sleep(after_s)
        node.seed_numbers = _LIVE_SEEDS
        node.write_settings()
        if signals:
            node.send_signal(signal.SIGHUP)

    async def _freeze(self, node: instances.Instance, for_s: float) -> None:
        with self.trial.disturbing(node):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            node.send_signal(signal.SIGCONT)
