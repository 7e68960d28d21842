"""Measures the time of a choice among 30 engines; run by hand.

``python -m dotterelweir_fakes.measurement.choice_cost`` prints the time with
engines of unknown speed and with engines of uneven speed.
"""

import functools
import random
import time

import click

from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets

_ENGINES = 30
_CHOICES = 2_000
_ROUNDS = 7
# Peers whose estimates are known for each engine.
_PEERS = 8
_SERVICE = tables.Service(
    'model', 100, tables.EngineSpec(24, 26_968, True, True)
)


def measure(knows_speeds: bool) -> float:
    """Returns the time of one choice, in seconds, the best of some rounds.

    Args:
        knows_speeds: Whether the engines' speeds are known and uneven.
    """
    rng = random.Random(1)
    loads = gateway_load.LoadRegistry()
    candidates = []
    for number in range(_ENGINES):
        target = targets.Target(
            f'e{number}',
            _SERVICE.name,
            '10.0.0.1',
            80,
            'abc'[number % 3],
            24,
            targets.TargetState.READY,
            started_ms=1,
        )
        candidates.append(target)
        load = loads.get(target.target_id)
        load.running = rng.randrange(6)
        load.tokens = 3_700 * load.running
        load.prefill_tokens = rng.choice([0, 0, 2_200])
    if knows_speeds:
        _teach(loads.speeds, candidates)
    control = admission.Admission(loads)
    placer = placement.Placer('a', loads, rng)
    return min(
        _time_round(candidates, control, placer) for _ in range(_ROUNDS)
    )


def _teach(
    speeds: target_speeds.SpeedRegistry, candidates: list[targets.Target]
) -> None:
    for number, target in enumerate(candidates):
        event_us = 36_000 if number % 4 else 16_000
        for peer in range(_PEERS):
            speeds.set_peer(
                f'i{peer}', target.target_id, event_us, 0.0, 9.0, 100.0
            )
    speeds.view(candidates, _SERVICE.name, 100.0)
    for index in range(100):
        speeds.record_events(candidates[1], 0.08, 0.185, True, 100.0 + index)


def _time_round(
    candidates: list[targets.Target],
    control: admission.Admission,
    placer: placement.Placer,
) -> float:
    began_s = time.perf_counter()
    for index in range(_CHOICES):
        now_s = 102.0 + 0.025 * index
        demand = admission.Demand(3_000, 744, 1.8, 1.5, now_s, 0.18)
        placer.choose(
            candidates,
            _SERVICE,
            demand.tokens,
            now_s,
            admits=functools.partial(
                control.admits, service=_SERVICE, demand=demand, now_s=now_s
            ),
            needs=control.needs(_SERVICE, demand),
        )
    return (time.perf_counter() - began_s) / _CHOICES


def main() -> None:
    """Prints both times."""
    for knows_speeds in (False, True):
        text = 'uneven speeds' if knows_speeds else 'unknown speeds'
        click.echo(f'{text}: {1e6 * measure(knows_speeds):.1f} us a choice')


if __name__ == '__main__':
    main()
