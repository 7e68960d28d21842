"""The ``pool`` commands, which edit and show pools."""

import click

from dotterelweir_cli.commands import table
from dotterelweir_core.tables import model

_COLUMNS = ('name', 'kind', 'service', 'model', 'version', 'zones')


@click.group()
def pool() -> None:
    """Edits and shows pools."""


pool.add_command(table.put_command(model.Pool))
pool.add_command(table.delete_command(model.Pool))
pool.add_command(table.get_command(model.Pool))
pool.add_command(table.list_command(model.Pool, _COLUMNS))
