"""Command line of the stand-ins: ``python -m dotterelweir_fakes``."""

import click

from dotterelweir_fakes import service


@click.group()
def main() -> None:
    """Stand-ins, load tool, demo and measurement."""


main.add_command(service.command)

if __name__ == '__main__':
    main()
