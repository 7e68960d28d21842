"""Entry point of the fakes: one module per command."""

import click

from dotterelweir_fakes import measure
from dotterelweir_fakes import slopes


@click.group()
def main() -> None:
    """Stand-ins, load tool, demo and measurement for dotterelweir."""


main.add_command(measure.measure)
main.add_command(slopes.slopes)

if __name__ == '__main__':
    main()
