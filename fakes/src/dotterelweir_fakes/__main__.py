"""Command line of the stand-ins, the load tool and the measurements."""

import click

from dotterelweir_fakes import experiment
from dotterelweir_fakes import measure
from dotterelweir_fakes import relay_cost
from dotterelweir_fakes import service
from dotterelweir_fakes import slopes
from dotterelweir_fakes.demo import command as demo_command
from dotterelweir_fakes.engine import command as engine_command
from dotterelweir_fakes.links import command as links_command
from dotterelweir_fakes.measurement import pace_model
from dotterelweir_fakes.pages import command as pages_command
from dotterelweir_fakes.platform import command as platform_command
from dotterelweir_fakes.soak import command as soak_command
from dotterelweir_fakes.soak import crashes
from dotterelweir_fakes.soak import limits
from dotterelweir_fakes.soak import moves
from dotterelweir_fakes.soak import partitions
from dotterelweir_fakes.soak import stops


@click.group()
def main() -> None:
    """Stand-ins, load tool, demo and measurement for dotterelweir."""


main.add_command(crashes.crashes)
main.add_command(demo_command.demo)
main.add_command(engine_command.engine)
main.add_command(experiment.experiment)
main.add_command(limits.limits)
main.add_command(links_command.linked)
main.add_command(measure.measure)
main.add_command(moves.moves)
main.add_command(pace_model.command)
main.add_command(pages_command.docs)
main.add_command(partitions.partitions)
main.add_command(platform_command.platform)
main.add_command(relay_cost.relay_cost)
main.add_command(service.command)
main.add_command(slopes.slopes)
main.add_command(soak_command.soak)
main.add_command(stops.stops)

if __name__ == '__main__':
    main()
