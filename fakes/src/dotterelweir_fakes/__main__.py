"""Command line of the fakes: one subcommand per module."""

import click

from dotterelweir_fakes.engine import command as engine_command


@click.group()
def main() -> None:
    """Stand-ins, load tool, demo and measurement for dotterelweir."""


main.add_command(engine_command.engine)

if __name__ == '__main__':
    main()
