"""The schedulers that are compared."""

from collections.abc import Callable
import random

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths
from dotterelweir_core.policy import scheduler
from dotterelweir_core.policy import settings
from dotterelweir_fakes import baselines
from dotterelweir_fakes.measurement import simulation
from dotterelweir_fakes.measurement import workload

CHOSEN = 'chosen'
IDEAL = 'ideal'
BASELINES = ('round_robin', 'least_in_flight')


@attrs.frozen
class _ExactProfile(lengths.LengthProfile):
    def expected_remaining(self, produced_tokens: int) -> float:
        return max(0.0, self.low_tokens - produced_tokens)


class _ExactLengths(lengths.LengthEstimator):
    """Reads the length of an output from the name of its route."""

    def record(self, route: str, organisation: str, tokens: int) -> None:
        """Learns nothing."""

    def profile(self, route: str, organisation: str) -> lengths.LengthProfile:
        tokens = float(route.rpartition('#')[2])
        return _ExactProfile((tokens,), tokens, tokens, 1)


def reveal_lengths(
    arrivals: list[workload.Arrival],
) -> list[workload.Arrival]:
    """Puts the length of each output into the name of its route."""
    return [
        attrs.evolve(
            arrival,
            item=attrs.evolve(
                arrival.item,
                route=f'{arrival.item.route}#{arrival.output_tokens}',
            ),
        )
        for arrival in arrivals
    ]


def scheduler_factory(
    name: str, policy_settings: settings.PolicySettings
) -> simulation.SchedulerFactory:
    """How to make the scheduler of that name."""
    baseline_classes: dict[str, Callable[[random.Random], api.Scheduler]] = {
        'round_robin': baselines.RoundRobin,
        'least_in_flight': baselines.LeastInFlight,
    }
    if name in baseline_classes:
        return lambda rng, zone, offset_s: baseline_classes[name](rng)
    if name == IDEAL:
        ideal_settings = attrs.evolve(policy_settings, sample_size=7)
        return lambda rng, zone, offset_s: scheduler.PolicyScheduler(
            ideal_settings, rng, '', offset_s, _ExactLengths(1)
        )
    return lambda rng, zone, offset_s: scheduler.PolicyScheduler(
        policy_settings, rng, zone, offset_s
    )
