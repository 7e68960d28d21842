"""The ``measure`` command: compares the policy with baselines."""

import math
import statistics
import time

import attrs
import click
import orjson
import tabulate

from dotterelweir_core.policy import settings
from dotterelweir_fakes import relay_cost
from dotterelweir_fakes.measurement import campaign
from dotterelweir_fakes.measurement import costs
from dotterelweir_fakes.measurement import measures
from dotterelweir_fakes.measurement import plots
from dotterelweir_fakes.measurement import policies
from dotterelweir_fakes.measurement import workload

_RELAY_RATIO_MAX = 1.3
_FIRST_TOKEN_ADDED_MAX_MS = 3.0
_SECONDARY_FIGURES = (
    'requests',
    'refused',
    'unfinished',
    'hedges',
    'crest_share',
    'first_token_p50',
    'first_token_p99',
)


@click.command()
@click.option(
    '--seeds',
    default='101 102 103 104 105',
    help='Seeds, separated by spaces.',
)
@click.option(
    '--scenario',
    type=click.Choice(sorted(workload.SCENARIOS)),
    help='Run only this scenario.',
)
@click.option('--ablate', is_flag=True, help='Toggle each mechanism alone.')
@click.option('--plot', help='Plot the ratios to this file.')
@click.option(
    '--relay/--no-relay',
    default=True,
    show_default=True,
    help='Measure the cost of the relay with real processes.',
)
@click.option(
    '--workers', default=4, help='Number of worker processes, at most 4.'
)
def measure(
    seeds: str,
    scenario: str | None,
    ablate: bool,
    plot: str | None,
    relay: bool,
    workers: int,
) -> None:
    """Compares the scheduling policy with baselines in virtual time.

    Afterwards it measures the cost of the relay with real processes. The last
    line of the output is one JSON object.
    """
    started = time.perf_counter()
    seed_numbers = [int(seed) for seed in seeds.split()]
    scenarios = [scenario] if scenario else list(workload.SCENARIOS)
    policy_names = [*policies.BASELINES, policies.CHOSEN, policies.IDEAL]
    results = campaign.run_all(
        _tasks(
            seed_numbers, scenarios, policy_names, settings.PolicySettings()
        ),
        workers,
    )
    rows = campaign.build_rows(results)
    click.echo(_main_table(rows, policy_names))
    click.echo(_secondary_table(results, scenarios, policy_names))
    if ablate:
        click.echo(_ablation_table(rows, seed_numbers, scenarios, workers))
    if plot:
        plots.draw(rows, plot)
    times_us = costs.decision_times_us(costs.CANDIDATES)
    click.echo(f'simulations took {time.perf_counter() - started:.0f} s')
    summary = _summary(rows, times_us)
    summary |= _relay_figures() if relay else {'relay_cpu_ratio': None}
    click.echo(orjson.dumps(summary).decode())


def _tasks(
    seeds: list[int],
    scenarios: list[str],
    policy_names: list[str],
    policy_settings: settings.PolicySettings,
) -> list[campaign.Task]:
    return [
        campaign.Task(deployment, scenario, name, seed, policy_settings)
        for deployment in workload.DEPLOYMENTS
        for scenario in scenarios
        for name in policy_names
        for seed in seeds
    ]


def _format_number(value: float) -> str:
    return f'{value:.3g}' if value < 1000 else f'{value:.0f}'


def _main_table(rows: list[campaign.Row], policy_names: list[str]) -> str:
    table = []
    for row in rows:
        cells = [row.measure.title, row.deployment]
        for name in policy_names:
            low, high = row.spreads[name]
            cells.append(
                f'{_format_number(row.medians[name])} '
                f'[{_format_number(low)}, {_format_number(high)}]'
            )
        low, high = row.ratio_spread
        cells.append(f'{row.ratio:.2f} [{low:.2f}, {high:.2f}]')
        sign = '>=' if row.measure.higher_is_better else '<='
        cells.append(f'{sign} {row.measure.objective}')
        cells.append('met' if row.measure.is_met(row.ratio) else 'MISSED')
        table.append(cells)
    headers = [
        'measure',
        'deployment',
        *policy_names,
        'ratio',
        'objective',
        '',
    ]
    return (
        'Median [least, greatest] over the seeds. The ideal policy knows '
        'every output length\nand gets load reports without delay; it shows '
        'how much could still be gained.\nRefused requests count as '
        'infinitely late.\n' + tabulate.tabulate(table, headers) + '\n'
    )


def _secondary_table(
    results: campaign.Results, scenarios: list[str], policy_names: list[str]
) -> str:
    table = []
    for deployment in workload.DEPLOYMENTS:
        for scenario in scenarios:
            for name in policy_names:
                cells: list[object] = [deployment, scenario, name]
                for figure in _SECONDARY_FIGURES:
                    series = campaign.sums_by_seed(
                        results, deployment, name, figure, (scenario,)
                    )
                    cells.append(_format_number(statistics.median(series)))
                table.append(cells)
    headers = ['deployment', 'scenario', 'policy', *_SECONDARY_FIGURES]
    return tabulate.tabulate(table, headers) + '\n'


def _ablation_table(
    rows: list[campaign.Row],
    seeds: list[int],
    scenarios: list[str],
    workers: int,
) -> str:
    mechanisms = [field.name for field in attrs.fields(settings.Mechanisms)]
    tasks = []
    variants = {}
    defaults = settings.Mechanisms()
    for name in mechanisms:
        toggled = not getattr(defaults, name)
        variants[name] = settings.PolicySettings(
            mechanisms=attrs.evolve(defaults, **{name: toggled})
        )
        tasks += _tasks(seeds, scenarios, [policies.CHOSEN], variants[name])
    results = campaign.run_all(tasks, workers)
    table = []
    for name in mechanisms:
        variant_results = {
            task: figures
            for task, figures in results.items()
            if task.policy_settings == variants[name]
        }
        cells: list[object] = [name]
        for row in rows:
            series = campaign.sums_by_seed(
                variant_results,
                row.deployment,
                policies.CHOSEN,
                row.measure.name,
                row.measure.scenarios,
            )
            without = statistics.median(series)
            cells.append(
                f'{_format_number(without)} '
                f'({row.measure.ratio(without, row.medians["chosen"]):.2f})'
            )
        table.append(cells)
    headers = ['switched'] + [
        f'{row.measure.title}\n{row.deployment}' for row in rows
    ]
    return (
        'Each mechanism alone switched to its other state: median, and in\n'
        'parentheses its ratio to the whole policy.\n'
        + tabulate.tabulate(table, headers)
        + '\n'
    )


def _relay_figures() -> dict[str, object]:
    cost = relay_cost.run()
    added_ms = cost.relay_first_ms - cost.direct_first_ms
    ratios = ', '.join(f'{ratio:.2f}' for ratio in cost.ratios)
    sign = 'met' if cost.cpu_ratio <= _RELAY_RATIO_MAX else 'MISSED'
    click.echo(
        f'relay: {cost.relay_us:.1f} us of CPU per token, bare relay '
        f'{cost.bare_us:.1f} us; ratio {cost.cpu_ratio:.2f}, rounds {ratios}, '
        f'objective <= {_RELAY_RATIO_MAX}: {sign}'
    )
    sign = 'met' if added_ms <= _FIRST_TOKEN_ADDED_MAX_MS else 'MISSED'
    click.echo(
        f'relay: first token {added_ms:.2f} ms later than directly, '
        f'objective <= {_FIRST_TOKEN_ADDED_MAX_MS:g} ms: {sign}'
    )
    return {
        'relay_cpu_ratio': cost.cpu_ratio,
        'relay_first_token_added_ms': added_ms,
    }


def _summary(
    rows: list[campaign.Row], times_us: list[float]
) -> dict[str, object]:
    """Returns the JSON summary; infinite figures become null."""
    chosen = campaign.worst_rows(rows)
    summary: dict[str, object] = {}
    for item in campaign.MEASURES:
        row = chosen.get(item.name)
        if row is None:
            summary[item.name] = None
            continue
        policy_names = [*policies.BASELINES, policies.CHOSEN]
        figures = {name: row.medians[name] for name in policy_names}
        figures['ratio'] = row.ratio
        summary[item.name] = {
            key: value if math.isfinite(value) else None
            for key, value in figures.items()
        }
    summary['decision_us_p50'] = measures.percentile(times_us, 50)
    summary['decision_us_p99'] = measures.percentile(times_us, 99)
    return summary
