"""Prints results as text tables or as JSON."""

from collections.abc import Sequence

import click
import orjson
import tabulate


def print_json(document: object) -> None:
    """Prints a document as indented JSON with sorted keys."""
    text = orjson.dumps(
        document, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    )
    click.echo(text.decode())


def print_table(
    headers: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Prints a text table, or ``(none)`` if there are no rows.

    Args:
        headers: Titles of the columns.
        rows: Cells of each row; None is printed as an empty cell.
    """
    if not rows:
        click.echo('(none)')
        return
    click.echo(
        tabulate.tabulate(
            [['' if cell is None else cell for cell in row] for row in rows],
            headers=headers,
            tablefmt='simple',
            disable_numparse=True,
        )
    )


def print_fields(fields: dict[str, object]) -> None:
    """Prints one line for each field; None is printed as empty text."""
    width = max((len(name) for name in fields), default=0)
    for name, value in fields.items():
        click.echo(f'{name:<{width}}  {"" if value is None else value}')
