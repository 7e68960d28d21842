"""The ``experiment`` command: compares admission rules under peak loads."""

from concurrent import futures
import math
import pathlib
import statistics
from typing import Any

import attrs
import click
import json5
import matplotlib
import orjson
import tabulate

from dotterelweir_fakes.measurement import crest
from dotterelweir_fakes.measurement import crest_load
from dotterelweir_fakes.measurement import engine

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

# Half-width of a 95 % confidence interval, in standard errors.
_INTERVAL_STANDARD_ERRORS = 1.96


@attrs.frozen
class Row:
    """Results of one kind of generation under one load and rule.

    Attributes:
        load: Name of the load.
        rule: The admission rule.
        kind: Name of the kind of generation.
        on_time: Mean share of requests that were on time.
        interval: Half-width of the 95 % confidence interval of ``on_time``
            over the seeds.
        served: Mean share of requests that were served, on time or late.
        paused: Mean share of the served requests with a pause above the
            limit.
    """

    load: str
    rule: crest.AdmissionRule
    kind: str
    on_time: float
    interval: float
    served: float
    paused: float


def decode_loads(text: str) -> dict[str, crest_load.PeakLoad]:
    """Decodes a file of peak loads.

    Args:
        text: The file: JSON with comments, an object of loads by name.

    Returns:
        The loads by name.

    Raises:
        ValueError: The text is not JSON, or its structure is wrong.
    """
    try:
        return {
            name: _decode_load(row) for name, row in json5.loads(text).items()
        }
    except (TypeError, KeyError, AttributeError) as exc:
        raise ValueError(f'{type(exc).__name__}: {exc}') from exc


def _decode_load(row: dict[str, Any]) -> crest_load.PeakLoad:
    fields = dict(row)
    fields['kinds'] = tuple(
        crest_load.GenerationKind(**kind) for kind in row['kinds']
    )
    fields['bursts'] = tuple(
        crest_load.Burst(**burst) for burst in row.get('bursts', ())
    )
    fields['speeds'] = crest_load.EngineSpeeds(**row.get('speeds', {}))
    fields['costs'] = engine.EngineCosts(**row['costs'])
    return crest_load.PeakLoad(**fields)


def _run_task(
    task: tuple[
        str,
        crest_load.PeakLoad,
        crest.AdmissionRule,
        int,
        bool,
        crest.ServiceRule,
    ],
) -> dict[str, crest.Tally]:
    _, load, rule, seed, learns_speeds, service_rule = task
    return crest.simulate(load, seed, rule, learns_speeds, service_rule)


def run(
    loads: dict[str, crest_load.PeakLoad],
    seeds: int,
    workers: int,
    learns_speeds: bool = True,
    service_rule: crest.ServiceRule = crest.ServiceRule.DUE_TIME,
) -> list[Row]:
    """Simulates every load with every rule and every seed.

    Args:
        loads: Loads by name.
        seeds: Number of seeds; the first seed is 1.
        workers: Number of worker processes.
        learns_speeds: Whether the instances learn the speeds of the engines.
        service_rule: Order in which generations that wait get capacity.

    Returns:
        One row for each load, rule and kind of generation.
    """
    tasks = [
        (name, load, rule, seed, learns_speeds, service_rule)
        for name, load in loads.items()
        for rule in crest.AdmissionRule
        for seed in range(1, seeds + 1)
    ]
    with futures.ProcessPoolExecutor(workers) as pool:
        tallies_by_task = list(pool.map(_run_task, tasks))
    tallies_by_row: dict[
        tuple[str, crest.AdmissionRule, str], list[crest.Tally]
    ] = {}
    for (name, _, rule, *_), tallies in zip(
        tasks, tallies_by_task, strict=True
    ):
        for kind, tally in tallies.items():
            tallies_by_row.setdefault((name, rule, kind), []).append(tally)
    return [
        _summarise(*key, tallies) for key, tallies in tallies_by_row.items()
    ]


def _summarise(
    load: str, rule: crest.AdmissionRule, kind: str, tallies: list[crest.Tally]
) -> Row:
    shares = [tally.on_time_share for tally in tallies]
    interval = 0.0
    if len(shares) > 1:
        standard_error = statistics.stdev(shares) / math.sqrt(len(shares))
        interval = _INTERVAL_STANDARD_ERRORS * standard_error
    served = statistics.mean(
        (tally.on_time + tally.late) / max(1, tally.arrived)
        for tally in tallies
    )
    paused = statistics.mean(
        tally.paused / max(1, tally.on_time + tally.late) for tally in tallies
    )
    return Row(
        load, rule, kind, statistics.mean(shares), interval, served, paused
    )


def draw(rows: list[Row], path: pathlib.Path) -> None:
    """Plots the shares of requests on time with their intervals.

    Args:
        rows: The results.
        path: File to write; its suffix selects the format.
    """
    groups = list(dict.fromkeys((row.load, row.kind) for row in rows))
    plot_figure, axis = pyplot.subplots(figsize=(9, 4.5))
    width = 0.8 / len(crest.AdmissionRule)
    for index, rule in enumerate(crest.AdmissionRule):
        rule_rows = [row for row in rows if row.rule is rule]
        axis.bar(
            [
                groups.index((row.load, row.kind)) + index * width
                for row in rule_rows
            ],
            [row.on_time for row in rule_rows],
            width,
            yerr=[row.interval for row in rule_rows],
            label=rule.value,
        )
    axis.set_xticks(
        [position + width for position in range(len(groups))],
        [f'{load}: {kind}' for load, kind in groups],
        rotation=20,
        ha='right',
    )
    axis.set_ylabel('share on time')
    axis.set_ylim(0.0, 1.05)
    axis.legend(fontsize='small', loc='lower right')
    plot_figure.tight_layout()
    plot_figure.savefig(path, dpi=110)
    pyplot.close(plot_figure)


@click.command()
@click.argument('file', type=click.Path(exists=True, path_type=pathlib.Path))
@click.option('--seeds', default=8, show_default=True, help='Number of seeds.')
@click.option(
    '--workers',
    default=2,
    show_default=True,
    help='Number of worker processes.',
)
@click.option(
    '--order',
    type=click.Choice([rule.name.lower() for rule in crest.ServiceRule]),
    default='due_time',
    show_default=True,
    help='Order in which generations that wait get capacity.',
)
@click.option(
    '--plot',
    type=click.Path(path_type=pathlib.Path),
    help='Plot the shares to this file.',
)
@click.option(
    '--speeds/--no-speeds',
    default=True,
    show_default=True,
    help='Whether the instances learn the speeds of the engines.',
)
def experiment(
    file: pathlib.Path,
    seeds: int,
    workers: int,
    order: str,
    plot: pathlib.Path | None,
    speeds: bool,
) -> None:
    """Simulates the loads of FILE with each admission rule.

    The simulations run in virtual time. The last line of the output is one
    JSON object.
    """
    try:
        loads = decode_loads(file.read_text())
    except ValueError as exc:
        raise click.ClickException(f'{file}: {exc}') from exc
    service_rule = crest.ServiceRule[order.upper()]
    rows = run(loads, seeds, workers, speeds, service_rule)
    click.echo(
        tabulate.tabulate(
            [
                [
                    row.load,
                    row.kind,
                    row.rule.value,
                    f'{row.on_time:.3f} ± {row.interval:.3f}',
                    f'{row.served:.3f}',
                    f'{row.paused:.3f}',
                ]
                for row in rows
            ],
            headers=['load', 'kind', 'sent', 'on time', 'served', 'paused'],
        )
    )
    if plot is not None:
        draw(rows, plot)
    summary_rows = [
        attrs.asdict(row) | {'rule': row.rule.name.lower()} for row in rows
    ]
    click.echo(orjson.dumps({'seeds': seeds, 'rows': summary_rows}).decode())
