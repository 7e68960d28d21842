"""The ``slopes`` command: measures how costs grow with size."""

import statistics

import click

from dotterelweir_fakes import slopes_instances
from dotterelweir_fakes import slopes_membership
from dotterelweir_fakes import slopes_report
from dotterelweir_fakes import slopes_state
from dotterelweir_fakes.measurement import costs


@click.group()
def slopes() -> None:
    """Prints how costs grow with size."""


@slopes.command()
def policy() -> None:
    """CPU time and memory of the scheduling policy."""
    slopes_report.measure_and_print(
        'decision time (us) against candidates',
        (7, 27, 81, 243, 486),
        lambda size: statistics.median(costs.decision_times_us(size, 2_000)),
    )
    slopes_report.measure_and_print(
        'memory (bytes) against requests in flight',
        (100, 400, 1_600, 6_400),
        lambda size: costs.memory_bytes(targets=8, in_flight=size),
    )
    slopes_report.measure_and_print(
        'memory (bytes) against organisations',
        (50, 100, 200, 400, 800),
        lambda size: costs.memory_bytes(organisations=size),
    )
    slopes_report.measure_and_print(
        'memory (bytes) against targets',
        (61, 122, 243, 486),
        lambda size: costs.memory_bytes(targets=size),
    )


slopes.add_command(slopes_instances.instances)
slopes.add_command(slopes_membership.membership)
slopes.add_command(slopes_state.state)
