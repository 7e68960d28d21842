"""Computes the figures of one simulation run."""

import math

import numpy

from dotterelweir_fakes.measurement import simulation
from dotterelweir_fakes.measurement import workload

FIRST_TOKEN_OBJECTIVE_S = 0.53
INTER_TOKEN_OBJECTIVE_S = 0.059
# The part of a gap between two tokens that exceeds this time is a stall, in
# seconds. It is more than three times the objective for a gap.
STALL_S = 0.2
# Latency under slowed targets is the time until this number of tokens, or
# until the end of a shorter answer, so that long and short answers can be
# compared.
SCORED_TOKENS = 32


def percentile(values: list[float], percent: float) -> float:
    """Returns the nearest-rank percentile; values may be infinite."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(0, rank - 1)]


def compute_figures(
    run: simulation.Simulation,
    deployment: workload.Deployment,
    scenario: workload.Scenario,
) -> dict[str, float]:
    """Returns the figures of one run by name.

    A request that was refused or did not end counts as infinitely late and
    as not served.

    Args:
        run: The completed simulation.
        deployment: Deployment that was simulated.
        scenario: Demand and faults that were simulated.
    """
    all_gaps_s = [numpy.zeros(0)]
    stall_s = 0.0
    short_times_s: dict[str, list[float]] = {}
    first_times_s, slowed_times_s, good_count, peak_count = [], [], 0, 0
    network_s = 2 * deployment.client_latency_s
    for request in run.requests:
        arrival = request.arrival
        arrived_s = arrival.item.arrived_s
        token_times_s = numpy.array(request.token_times)
        request_gaps_s = numpy.diff(token_times_s)
        all_gaps_s.append(request_gaps_s)
        stall_s += float(numpy.maximum(request_gaps_s - STALL_S, 0.0).sum())
        first_s = complete_s = scored_s = math.inf
        if len(token_times_s):
            first_s = float(token_times_s[0]) - arrived_s + network_s
        if request.ended:
            complete_s = float(token_times_s[-1]) - arrived_s + network_s
            last = min(len(token_times_s), SCORED_TOKENS) - 1
            scored_s = float(token_times_s[last]) - arrived_s + network_s
        first_times_s.append(first_s)
        if arrival.output_tokens <= workload.SHORT_TOKENS:
            route = arrival.item.route.partition('#')[0]
            short_times_s.setdefault(route, []).append(complete_s)
        if scenario.slowed_at(arrived_s):
            slowed_times_s.append(scored_s)
        if scenario.phase_at(arrived_s).is_peak:
            peak_count += 1
            late_gaps = int((request_gaps_s > INTER_TOKEN_OBJECTIVE_S).sum())
            good_count += (
                request.ended
                and first_s <= FIRST_TOKEN_OBJECTIVE_S
                and late_gaps <= 0.05 * len(request_gaps_s)
            )
    peak_s, start_s = 0.0, 0.0
    for phase in scenario.phases:
        peak_s += (phase.until_s - start_s) * phase.is_peak
        start_s = phase.until_s
    joined_gaps_s = numpy.concatenate(all_gaps_s)
    result = {
        'stall_time': stall_s,
        'preemptions': float(
            sum(engine.preemptions for engine in run.engines.values())
        ),
        'inter_token_p99': float(numpy.percentile(joined_gaps_s, 99)),
        'crest_goodput': good_count / peak_s if peak_s else 0.0,
        'crest_share': good_count / peak_count if peak_count else 0.0,
        'short_behind_long_p99': percentile(
            [value for values in short_times_s.values() for value in values],
            99,
        ),
        'slowed_target_p99': percentile(slowed_times_s, 99),
        'first_token_p50': percentile(first_times_s, 50),
        'first_token_p99': percentile(first_times_s, 99),
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
    for route, values in short_times_s.items():
        result[f'short_p99 {route}'] = percentile(values, 99)
    return result
