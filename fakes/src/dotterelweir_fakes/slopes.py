"""The ``slopes`` command: how costs grow with size."""

from collections.abc import Callable
import statistics

import click
import numpy
import tabulate

from dotterelweir_fakes.measurement import costs

_REPEATS = 3


@click.group()
def slopes() -> None:
    """Prints how costs grow with size."""


@slopes.command()
def policy() -> None:
    """Costs of the scheduling policy."""
    _print(
        'decision time (us) against candidates',
        (7, 27, 81, 243, 486),
        lambda size: statistics.median(costs.decision_times_us(size, 2_000)),
    )
    _print(
        'memory (bytes) against requests in flight',
        (100, 400, 1_600, 6_400),
        lambda size: costs.memory_bytes(targets=8, in_flight=size),
    )
    _print(
        'memory (bytes) against organisations',
        (50, 100, 200, 400, 800),
        lambda size: costs.memory_bytes(organisations=size),
    )
    _print(
        'memory (bytes) against targets',
        (61, 122, 243, 486),
        lambda size: costs.memory_bytes(targets=size),
    )


def _print(
    title: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> None:
    table, xs, ys = [], [], []
    for size in sizes:
        values = [cost(size) for _ in range(_REPEATS)]
        xs += [size] * _REPEATS
        ys += values
        table.append(
            [size, statistics.median(values), min(values), max(values)]
        )
    slope, intercept = numpy.polyfit(xs, ys, 1)
    residuals = numpy.array(ys) - (slope * numpy.array(xs) + intercept)
    click.echo(title)
    click.echo(
        tabulate.tabulate(
            table, ['size', 'median', 'least', 'greatest'], floatfmt='.1f'
        )
    )
    click.echo(
        f'fit: {intercept:.1f} + {slope:.4g} per unit, standard deviation '
        f'of the residuals {residuals.std():.1f}\n'
    )
