"""Makes the commands that the ``route`` and ``pool`` groups share."""

import pathlib

import click

from dotterelweir_cli import context
from dotterelweir_cli import editing
from dotterelweir_cli import exits
from dotterelweir_cli import output
from dotterelweir_cli import rows
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model


def rows_by_name(
    state: fold.TablesState, kind: type[rows.Row]
) -> dict[str, rows.Row]:
    """Returns the rows of one table by name."""
    return state.tables.routes if kind is model.Route else state.tables.pools


def put_command(kind: type[rows.Row]) -> click.Command:
    """Makes the ``put`` command of a table.

    Args:
        kind: Class of the rows, Route or Pool.
    """
    label = kind.__name__.lower()

    @click.command('put', help=f'Adds or replaces a {label} from FILE.')
    @click.argument('name')
    @click.argument(
        'file', type=click.Path(path_type=pathlib.Path, dir_okay=False)
    )
    @editing.edit_options
    @context.pass_context
    def put(
        ctx: context.Context,
        name: str,
        file: pathlib.Path,
        dry_run: bool,
        expect_revision: int | None,
        edit_id: str | None,
    ) -> None:
        row = rows.structure_row(name, rows.load_document(file), kind)
        changes = {f'put_{label}s': (row,)}
        editing.run_edit(
            ctx,
            lambda state: rows.make_edit(
                state, edit_id, expect_revision, **changes
            ),
            dry_run,
        )

    return put


def delete_command(kind: type[rows.Row]) -> click.Command:
    """Makes the ``delete`` command of a table.

    Args:
        kind: Class of the rows, Route or Pool.
    """
    label = kind.__name__.lower()

    @click.command('delete', help=f'Deletes a {label}.')
    @click.argument('name')
    @editing.edit_options
    @context.pass_context
    def delete(
        ctx: context.Context,
        name: str,
        dry_run: bool,
        expect_revision: int | None,
        edit_id: str | None,
    ) -> None:
        def make_edit(state: fold.TablesState):
            # A repeated edit may find the row deleted by its first copy.
            if edit_id is None and name not in rows_by_name(state, kind):
                raise _not_found_error(label, name)
            return rows.make_edit(
                state,
                edit_id,
                expect_revision,
                **{f'delete_{label}s': (name,)},
            )

        editing.run_edit(ctx, make_edit, dry_run)

    return delete


def get_command(kind: type[rows.Row]) -> click.Command:
    """Makes the ``get`` command of a table.

    Args:
        kind: Class of the rows, Route or Pool.
    """
    label = kind.__name__.lower()

    @click.command('get', help=f'Shows a {label}.')
    @click.argument('name')
    @context.pass_context
    def get(ctx: context.Context, name: str) -> None:
        state = editing.read_state(ctx)
        row = rows_by_name(state, kind).get(name)
        if row is None:
            raise _not_found_error(label, name)
        key = fold.RowKey(fold.Table(label), name)
        revision = state.current_row(key).revision
        document = rows.unstructure_row(row)
        if ctx.as_json:
            output.print_json({'row': document, 'revision': revision})
        else:
            output.print_fields({**document, 'revision': revision})

    return get


def list_command(
    kind: type[rows.Row], headers: tuple[str, ...]
) -> click.Command:
    """Makes the ``list`` command of a table.

    Args:
        kind: Class of the rows, Route or Pool.
        headers: Fields that are the columns of the text table.
    """
    label = kind.__name__.lower()

    @click.command('list', help=f'Lists all {label}s.')
    @context.pass_context
    def list_rows(ctx: context.Context) -> None:
        state = editing.read_state(ctx)
        sorted_rows = sorted(rows_by_name(state, kind).items())
        if ctx.as_json:
            output.print_json(
                {
                    f'{label}s': {
                        name: rows.unstructure_row(row)
                        for name, row in sorted_rows
                    },
                    'revision': state.tables.revision,
                }
            )
            return
        output.print_table(
            headers,
            [
                [_cell(row, field) for field in headers]
                for _, row in sorted_rows
            ],
        )

    return list_rows


def _cell(row: rows.Row, field: str) -> object:
    """Returns the text-table cell of a field; dots name nested fields."""
    value = row
    for name in field.split('.'):
        value = getattr(value, name)
    return ', '.join(value) if isinstance(value, tuple) else value


def _not_found_error(label: str, name: str) -> exits.CommandError:
    return exits.CommandError(
        exits.ExitCode.NOT_FOUND, f'there is no {label} {name!r}'
    )
