"""Turns one run into figures."""

import math

import numpy

from dotterelweir_fakes.measurement import simulation
from dotterelweir_fakes.measurement import workload

FIRST_TOKEN_OBJECTIVE_S = 0.53
GAP_OBJECTIVE_S = 0.059
# The part of a gap between two tokens that is longer than this is a stall:
# more than three gaps of the objective.
STALL_S = 0.2
# Latency under slowed targets is the time of so many tokens, or of the whole
# answer if it is shorter, so that long and short answers compare.
SCORED_TOKENS = 32


def percentile(values: list[float], percent: float) -> float:
    """The nearest-rank percentile; infinite values are allowed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(0, rank - 1)]


def figures(
    run: simulation.Simulation,
    deployment: workload.Deployment,
    scenario: workload.Scenario,
) -> dict[str, float]:
    """The figures of one run.

    A request that was refused or did not end counts as infinitely late and
    as not served.
    """
    gaps = [numpy.zeros(0)]
    stall_s = 0.0
    short: dict[str, list[float]] = {}
    first, slowed, good, crest = [], [], 0, 0
    network_s = 2 * deployment.client_latency_s
    for request in run.requests:
        arrival = request.arrival
        arrived_s = arrival.item.arrived_s
        times = numpy.array(request.token_times)
        own_gaps = numpy.diff(times)
        gaps.append(own_gaps)
        stall_s += float(numpy.maximum(own_gaps - STALL_S, 0.0).sum())
        first_s = whole_s = scored_s = math.inf
        if len(times):
            first_s = float(times[0]) - arrived_s + network_s
        if request.ended:
            whole_s = float(times[-1]) - arrived_s + network_s
            last = min(len(times), SCORED_TOKENS) - 1
            scored_s = float(times[last]) - arrived_s + network_s
        first.append(first_s)
        if arrival.output <= workload.SHORT_TOKENS:
            route = arrival.item.route.partition('#')[0]
            short.setdefault(route, []).append(whole_s)
        if scenario.slowed_at(arrived_s):
            slowed.append(scored_s)
        if scenario.phase_at(arrived_s).crest:
            crest += 1
            late = int((own_gaps > GAP_OBJECTIVE_S).sum())
            good += (
                request.ended
                and first_s <= FIRST_TOKEN_OBJECTIVE_S
                and late <= 0.05 * len(own_gaps)
            )
    crest_s, start_s = 0.0, 0.0
    for phase in scenario.phases:
        crest_s += (phase.until_s - start_s) * phase.crest
        start_s = phase.until_s
    every_gap = numpy.concatenate(gaps)
    result = {
        'stall_time': stall_s,
        'preemptions': float(
            sum(engine.preemptions for engine in run.engines.values())
        ),
        'inter_token_p99': float(numpy.percentile(every_gap, 99)),
        'crest_goodput': good / crest_s if crest_s else 0.0,
        'crest_share': good / crest if crest else 0.0,
        'short_behind_long_p99': percentile(
            [value for values in short.values() for value in values], 99
        ),
        'slowed_target_p99': percentile(slowed, 99),
        'first_token_p50': percentile(first, 50),
        'first_token_p99': percentile(first, 99),
        'refused': float(sum(request.refused for request in run.requests)),
        'unfinished': float(
            sum(
                not request.ended and not request.refused
                for request in run.requests
            )
        ),
        'requests': float(len(run.requests)),
        'hedges': float(run.hedges),
    }
    for route, values in short.items():
        result[f'short_p99 {route}'] = percentile(values, 99)
    return result
