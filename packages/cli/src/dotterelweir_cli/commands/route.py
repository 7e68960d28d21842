"""The ``route`` commands, which edit and show routes."""

import click

from dotterelweir_cli.commands import table
from dotterelweir_core.tables import model

_COLUMNS = (
    'name',
    'match.path_prefix',
    'match.models',
    'pool',
    'priority',
    'timeout_s',
    'repeatable',
)


@click.group()
def route() -> None:
    """Edits and shows routes."""


route.add_command(table.put_command(model.Route))
route.add_command(table.delete_command(model.Route))
route.add_command(table.get_command(model.Route))
route.add_command(table.list_command(model.Route, _COLUMNS))
