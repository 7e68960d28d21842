"""Prints how a cost grows with size, with a linear fit."""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc

import click
import numpy
import tabulate

REPEATS = 3


def report(
    title: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> None:
    """Measures a cost at several sizes and prints it with its fit."""
    print_fit(
        title,
        'size',
        {size: [cost(size) for _ in range(REPEATS)] for size in sizes},
    )


def print_fit(title: str, unit: str, values: dict[int, list[float]]) -> None:
    """Prints measured costs by size, and a line through them.

    Args:
        title: What was measured, with its unit.
        unit: What the size counts.
        values: Costs of each size, one for each run.
    """
    table = [
        [size, statistics.median(found), min(found), max(found)]
        for size, found in values.items()
    ]
    xs = [size for size, found in values.items() for _ in found]
    ys = [value for found in values.values() for value in found]
    click.echo(title)
    click.echo(
        tabulate.tabulate(
            table, [unit, 'median', 'least', 'greatest'], floatfmt='.4g'
        )
    )
    if len(values) > 1 and numpy.isfinite(ys).all():
        slope, intercept = numpy.polyfit(xs, ys, 1)
        residuals = numpy.array(ys) - (slope * numpy.array(xs) + intercept)
        click.echo(
            f'fit: {intercept:.4g} + {slope:.4g} per {unit}, standard '
            f'deviation of the residuals {residuals.std():.3g}'
        )
    click.echo('')


def memory_bytes(make: Callable[[], object]) -> float:
    """Memory that is held by what a function makes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del made
    return held


def cpu_us(action: Callable[[], object], count: int) -> float:
    """CPU time of one of several repeated actions, in microseconds.

    The first one is left out: codecs are compiled when they are first used.
    """
    action()
    began_s = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - began_s) / count * 1e6
