"""Runs simulations in worker processes and compares their figures."""

from concurrent import futures
import math
import statistics

import attrs

from dotterelweir_core.policy import settings
from dotterelweir_fakes.measurement import measures
from dotterelweir_fakes.measurement import policies
from dotterelweir_fakes.measurement import simulation
from dotterelweir_fakes.measurement import workload

WORKERS_MAX = 4


@attrs.frozen
class Task:
    """Parameters of one simulation run.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seed: Seed of the random sources.
        policy_settings: Settings of the policy; baselines have none.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    policy_settings: settings.PolicySettings = attrs.field(
        factory=settings.PolicySettings
    )


@attrs.frozen
class Measure:
    """Figure by which policies are compared, with its objective.

    Attributes:
        name: Name of the figure.
        title: Title in tables.
        scenarios: Scenarios in which it is measured; their figures are
            summed.
        objective: Bound on the ratio to the better baseline.
        higher_is_better: Whether the objective is a lower bound.
    """

    name: str
    title: str
    scenarios: tuple[str, ...]
    objective: float
    higher_is_better: bool = False

    def best(self, values: list[float]) -> float:
        """Returns the best of some values."""
        return max(values) if self.higher_is_better else min(values)

    def is_met(self, ratio: float) -> bool:
        """Whether a ratio meets the objective."""
        if self.higher_is_better:
            return ratio >= self.objective
        return ratio <= self.objective

    def ratio(self, chosen: float, baseline: float) -> float:
        """Returns the ratio to the baseline, 1 if both values are equal."""
        if chosen == baseline:
            return 1.0
        return chosen / baseline if baseline else math.inf


_ALL_SCENARIOS = tuple(workload.SCENARIOS)
# The objectives are those of docs/design.md, section 1.2.
MEASURES = (
    Measure('short_behind_long_p99', 'short p99 (s)', ('swing',), 0.25),
    Measure('slowed_target_p99', 'slowed p99 (s)', ('slowed',), 0.5),
    Measure('stall_time', 'stall time (s)', _ALL_SCENARIOS, 0.5),
    Measure('preemptions', 'preemptions', _ALL_SCENARIOS, 0.25),
    Measure('inter_token_p99', 'inter-token p99 (s)', ('swing',), 0.7),
    Measure('crest_goodput', 'crest goodput (1/s)', ('swing',), 1.3, True),
)


def run_task(task: Task) -> dict[str, float]:
    """Runs one simulation and returns its figures by name."""
    deployment = workload.DEPLOYMENTS[task.deployment]
    scenario = workload.SCENARIOS[task.scenario]
    ideal = task.policy == policies.IDEAL
    arrivals = workload.draw_arrivals(deployment, scenario, task.seed)
    if ideal:
        arrivals = policies.reveal_lengths(arrivals)
    run = simulation.Simulation(
        deployment,
        scenario,
        task.seed,
        policies.scheduler_factory(task.policy, task.policy_settings),
        shared=ideal,
    )
    run.run(arrivals)
    return measures.compute_figures(run, deployment, scenario)


Results = dict[Task, dict[str, float]]


def run_all(tasks: list[Task], workers: int) -> Results:
    """Runs simulations in parallel.

    Args:
        tasks: Parameters of the simulations.
        workers: Number of worker processes; at most 4 are used.

    Returns:
        Figures of all runs, by task.
    """
    workers = max(1, min(workers, WORKERS_MAX))
    with futures.ProcessPoolExecutor(workers) as pool:
        return dict(zip(tasks, pool.map(run_task, tasks), strict=True))


def sums_by_seed(
    results: Results,
    deployment: str,
    policy: str,
    name: str,
    scenarios: tuple[str, ...],
) -> list[float]:
    """Returns one figure, summed over scenarios, for each seed in order.

    Args:
        results: Figures of all runs.
        deployment: Name of the deployment.
        policy: Name of the policy.
        name: Name of the figure.
        scenarios: Names of the scenarios.
    """
    sums: dict[int, float] = {}
    for task, figures in results.items():
        if (
            task.deployment == deployment
            and task.policy == policy
            and task.scenario in scenarios
        ):
            sums[task.seed] = sums.get(task.seed, 0.0) + figures[name]
    return [sums[seed] for seed in sorted(sums)]


@attrs.frozen
class Row:
    """Values of one measure in one deployment.

    Attributes:
        measure: The measure.
        deployment: Name of the deployment.
        medians: Median over the seeds, by policy.
        spreads: Least and greatest value over the seeds, by policy.
        ratio: Ratio of the chosen policy to the better baseline, from the
            medians.
        ratio_spread: Least and greatest ratio over the seeds.
    """

    measure: Measure
    deployment: str
    medians: dict[str, float]
    spreads: dict[str, tuple[float, float]]
    ratio: float
    ratio_spread: tuple[float, float]


def build_rows(results: Results) -> list[Row]:
    """Returns every measure of every deployment for the scenarios run."""
    deployments = sorted({task.deployment for task in results}, reverse=True)
    policy_names = sorted({task.policy for task in results})
    scenarios = {task.scenario for task in results}
    table_rows = []
    for measure in MEASURES:
        scenario_names = tuple(
            name for name in measure.scenarios if name in scenarios
        )
        if not scenario_names:
            continue
        for deployment in deployments:
            values = {
                name: sums_by_seed(
                    results, deployment, name, measure.name, scenario_names
                )
                for name in policy_names
            }
            medians = {
                name: statistics.median(series)
                for name, series in values.items()
            }
            by_seed = zip(
                values[policies.CHOSEN],
                *(values[name] for name in policies.BASELINES),
                strict=True,
            )
            ratios = [
                measure.ratio(chosen, measure.best(list(baselines)))
                for chosen, *baselines in by_seed
            ]
            best_baseline = measure.best(
                [medians[name] for name in policies.BASELINES]
            )
            table_rows.append(
                Row(
                    measure,
                    deployment,
                    medians,
                    {
                        name: (min(series), max(series))
                        for name, series in values.items()
                    },
                    measure.ratio(medians[policies.CHOSEN], best_baseline),
                    (min(ratios), max(ratios)),
                )
            )
    return table_rows


def worst_rows(table_rows: list[Row]) -> dict[str, Row]:
    """Returns the row with the worst ratio of all deployments, by measure."""
    chosen: dict[str, Row] = {}
    for row in table_rows:
        other = chosen.get(row.measure.name)
        if other is None or row.ratio != row.measure.best(
            [row.ratio, other.ratio]
        ):
            chosen[row.measure.name] = row
    return chosen
