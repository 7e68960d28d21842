"""The ``apply`` command, which applies a file of routes and pools."""

import pathlib

import click

from dotterelweir_cli import context
from dotterelweir_cli import editing
from dotterelweir_cli import exits
from dotterelweir_cli import rows
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records


@click.command()
@click.argument(
    'file', type=click.Path(path_type=pathlib.Path, dir_okay=False)
)
@click.option(
    '--prune', is_flag=True, help='Delete the rows that FILE does not have.'
)
@editing.edit_options
@context.pass_context
def apply(
    ctx: context.Context,
    file: pathlib.Path,
    prune: bool,
    dry_run: bool,
    expect_revision: int | None,
    edit_id: str | None,
) -> None:
    """Applies the routes and pools of FILE as one atomic edit.

    FILE is JSON with comments: {"routes": {NAME: {...}}, "pools": {...}}.
    """
    document = rows.load_document(file)
    unknown = sorted(set(document) - {'routes', 'pools'})
    if unknown:
        raise exits.CommandError(
            exits.ExitCode.USAGE,
            f'{file.name}: unknown keys: {", ".join(unknown)}',
        )
    routes = _structure_rows(document.get('routes', {}), model.Route)
    pools = _structure_rows(document.get('pools', {}), model.Pool)

    def make_edit(state: fold.TablesState) -> records.EditRecord:
        tables = state.tables
        return rows.make_edit(
            state,
            edit_id,
            expect_revision,
            put_routes=_changed_rows(routes, tables.routes),
            put_pools=_changed_rows(pools, tables.pools),
            delete_routes=_absent_names(routes, tables.routes)
            if prune
            else (),
            delete_pools=_absent_names(pools, tables.pools) if prune else (),
        )

    editing.run_edit(ctx, make_edit, dry_run)


def _structure_rows(
    document: dict, kind: type[rows.Row]
) -> dict[str, rows.Row]:
    return {
        name: rows.structure_row(name, fields, kind)
        for name, fields in document.items()
    }


def _changed_rows(
    desired: dict[str, rows.Row], current: dict[str, rows.Row]
) -> tuple[rows.Row, ...]:
    """Returns the rows of the file that differ from the current rows."""
    changed = tuple(
        row for name, row in desired.items() if current.get(name) != row
    )
    # An edit without rows is invalid, so a file that changes nothing puts
    # all of its rows.
    return changed or tuple(desired.values())


def _absent_names(
    desired: dict[str, rows.Row], current: dict[str, rows.Row]
) -> tuple[str, ...]:
    """Returns the names of the current rows that the file does not have."""
    return tuple(sorted(set(current) - set(desired)))
