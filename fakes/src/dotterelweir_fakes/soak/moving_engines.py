"""Engines of soak tests that copy runs, pause them and leave."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import random

import attrs

from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import engines
from dotterelweir_fakes.soak import guarantees

# Speeds of copies that a seed chooses from: range of the time of one copy, in
# seconds. The fastest need no wait.
COPIES_S = ((0.0, 0.1), (0.08, 0.22), (0.2, 0.6), (0.45, 1.35))
PAUSE_S = (0.5, 4.0)
# Maximum number of calls to copy or stop one run at one engine. A run lasts
# about 16 s at most. Calls that copy it are 0.5 s apart after the first eight
# of a growing delay, which makes 40; calls that stop it are 0.4 s apart once
# its link has ended, 20 in the grace time of a process.
CALLS_PER_RUN_MAX = 60


@attrs.frozen
class Setting:
    """How the engines of one play copy and pause runs.

    Attributes:
        copy_s: Range of the time of one copy, in seconds.
        backups: Whether engines keep copies of the runs of others.
        paused_share: Share of runs that their engine pauses.
        full_share: Share of copies for which the destination has no room.
        preempted_unknown: Whether an engine does not know a run that it
            pauses when it is called to copy it.
    """

    copy_s: tuple[float, float]
    backups: bool
    paused_share: float
    full_share: float
    preempted_unknown: bool

    @classmethod
    def draw(cls, seed: int) -> 'Setting':
        """Returns a setting by the seed."""
        rng = random.Random(f'moves-{seed}')
        return cls(
            rng.choice(COPIES_S),
            rng.random() < 0.5,
            round(rng.uniform(0.2, 0.5), 2),
            rng.choice((0.0, 0.3)),
            rng.random() < 0.3,
        )


class MovingEngine(engines.PlannedEngine):
    """An engine whose runs can be copied, and that records which it stopped.

    Args:
        target_id: Name of the target.
        ledger: Records its runs.
        behaviours: Behaviour by id of the request.
        setting: How it copies and pauses runs.
        seed: Seed of the pauses of continued runs.
        report: Called with each run that it stopped, when the run has ended.
    """

    def __init__(
        self,
        target_id: str,
        ledger: guarantees.Ledger,
        behaviours: dict[str, fleet_engine.Behaviour],
        setting: Setting,
        seed: str,
        report: Callable[[guarantees.Run], None],
    ) -> None:
        super().__init__(target_id, ledger, behaviours)
        self._rng = random.Random(f'{seed}-{target_id}')
        self._setting = setting
        self._report = report
        self.behaviour = attrs.evolve(
            self.behaviour,
            copy_s=setting.copy_s,
            copy_full_share=setting.full_share,
            preempted_unknown=setting.preempted_unknown,
        )

    def _further_pause(self, behaviour: fleet_engine.Behaviour) -> int | None:
        if self._rng.random() >= self._setting.paused_share:
            return None
        behaviour.pause_s = self._rng.uniform(*PAUSE_S)
        return self._rng.randrange(behaviour.events)

    def _end_run(self, run: guarantees.Run, request_id: str) -> None:
        super()._end_run(run, request_id)
        run.stopped = self.stopped_runs.get(request_id, 0.0) >= run.begun_s
        run.cut_off = not self.is_up
        if run.stopped:
            self._report(run)


@attrs.frozen
class RunCalls:
    """Calls to copy or stop one run at one engine.

    Attributes:
        target_id: The engine; empty if there was no call.
        request_id: The request.
        count: Number of calls, refused ones included.
    """

    target_id: str = ''
    request_id: str = ''
    count: int = 0

    @property
    def violation(self) -> str | None:
        """Describes a number of calls over the bound; None below it."""
        if self.count <= CALLS_PER_RUN_MAX:
            return None
        return (
            f'{self.request_id}: {self.count} calls to copy or stop its run '
            f'at {self.target_id}'
        )


def find_most_calls(engines_called: Iterable[MovingEngine]) -> RunCalls:
    """Returns the run with the most calls to copy or stop it.

    Args:
        engines_called: The engines, those that have left included.
    """
    calls = [
        RunCalls(engine.target_id, request_id, count)
        for engine in engines_called
        for request_id, count in collections.Counter(
            order['id'] for order in engine.move_orders
        ).most_common(1)
    ]
    return max(calls, key=lambda run: run.count, default=RunCalls())
