"""Measures how a cost grows with size and prints a linear fit."""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc

import click
import numpy
import tabulate

REPEATS = 3


def measure_and_print(
    title: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> None:
    """Measures a cost at several sizes and prints it with a linear fit.

    Args:
        title: What is measured, with its unit.
        sizes: Sizes to measure, ``REPEATS`` times each.
        cost: Measures the cost at a size.
    """
    print_fit(
        title,
        'size',
        {size: [cost(size) for _ in range(REPEATS)] for size in sizes},
    )


def print_fit(
    title: str, unit: str, costs_by_size: dict[int, list[float]]
) -> None:
    """Prints costs by size and their linear fit.

    Args:
        title: What was measured, with its unit.
        unit: What a size counts.
        costs_by_size: Costs of each size, one for each run, in the unit that
            the title names.
    """
    table = [
        [size, statistics.median(costs), min(costs), max(costs)]
        for size, costs in costs_by_size.items()
    ]
    sizes = [size for size, costs in costs_by_size.items() for _ in costs]
    flat_costs = [cost for costs in costs_by_size.values() for cost in costs]
    click.echo(title)
    click.echo(
        tabulate.tabulate(
            table, [unit, 'median', 'least', 'greatest'], floatfmt='.4g'
        )
    )
    if len(costs_by_size) > 1 and numpy.isfinite(flat_costs).all():
        slope, intercept = numpy.polyfit(sizes, flat_costs, 1)
        residuals = numpy.array(flat_costs) - (
            slope * numpy.array(sizes) + intercept
        )
        click.echo(
            f'fit: {intercept:.4g} + {slope:.4g} per {unit}, standard '
            f'deviation of the residuals {residuals.std():.3g}'
        )
    click.echo('')


def memory_bytes(factory: Callable[[], object]) -> float:
    """Returns the memory held by the result of a function, in bytes."""
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    result = factory()
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    del result
    return held_bytes


def cpu_us(action: Callable[[], object], count: int) -> float:
    """Returns the mean CPU time of an action, in microseconds.

    The action is called once before the measurement, because codecs are
    compiled on first use.

    Args:
        action: What to measure.
        count: Number of measured calls.
    """
    action()
    started_s = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - started_s) / count * 1e6
