"""Schedulers that the measurement compares."""

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

# The policy under test.
CHOSEN = 'chosen'
# The same policy with known output lengths, one scheduler for all instances
# and load reports without delay.
IDEAL = 'ideal'
BASELINES = ('round_robin', 'least_in_flight')


@attrs.frozen
class _ExactProfile(lengths.LengthProfile):
    def expected_remaining(self, produced_tokens: int) -> float:
        return max(0.0, self.low_tokens - produced_tokens)


class _ExactLengths(lengths.LengthEstimator):
    """Takes the length of an output from the name of its route."""

    def record(self, route: str, organisation: str, tokens: int) -> None:
        """Ignores the length, as all lengths are known."""

    def profile(self, route: str, organisation: str) -> lengths.LengthProfile:
        tokens = float(route.rpartition('#')[2])
        return _ExactProfile((tokens,), tokens, tokens, 1)


def reveal_lengths(
    arrivals: list[workload.Arrival],
) -> list[workload.Arrival]:
    """Appends the length of each output to the name of its route."""
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
    """Returns the factory of the schedulers of a policy.

    Args:
        name: Name of the policy.
        policy_settings: Settings of the policy; baselines have none.
    """
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
