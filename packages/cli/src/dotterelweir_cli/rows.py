"""Rows as documents: reading files and making edits."""

import pathlib
import typing

import json5

from dotterelweir_cli import edits
from dotterelweir_cli import exits
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records

Row = model.Route | model.Pool


def load_document(path: pathlib.Path) -> dict:
    """Reads a JSON file with comments.

    Raises:
        CommandError: The file cannot be read or is no JSON object.
    """
    try:
        document = json5.loads(
            path.read_text(encoding='utf-8'), allow_duplicate_keys=False
        )
    except (OSError, ValueError) as exc:
        reason = ' '.join(str(exc).split())
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'{path.name}: {reason}'
        ) from exc
    if not isinstance(document, dict):
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'{path.name}: expected an object'
        )
    return document


def structure_row(name: str, document: object, kind: type[Row]) -> Row:
    """Makes a row of a document.

    Args:
        name: Key of the row.
        document: The other fields.
        kind: Route or Pool.

    Raises:
        CommandError: Some fields are wrong; the message names them all.
    """
    label = kind.__name__.lower()
    if not isinstance(document, dict):
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'{label} {name}: expected an object'
        )
    if document.get('name', name) != name:
        raise exits.CommandError(
            exits.ExitCode.USAGE,
            f'{label} {name}: the name field says {document["name"]!r}',
        )
    try:
        return records.structure({**document, 'name': name}, kind)
    except records.UnreadableRecordError as exc:
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'{label} {name}: {exc}'
        ) from exc


def unstructure_row(row: Row) -> dict[str, typing.Any]:
    """A row as a document; fields at their default are left out."""
    return records.CONVERTER.unstructure(row)


def make_edit(
    state: fold.TablesState,
    edit_id: str | None,
    expect_revision: int | None,
    **changes: typing.Any,
) -> records.EditRecord:
    """Makes an edit that is based on a state that was read.

    Args:
        state: The state.
        edit_id: Name of the edit; None makes a new one.
        expect_revision: Offset that the edit is based on; None takes that
            of the state.
        **changes: ``put_routes``, ``put_pools``, ``delete_routes`` or
            ``delete_pools``.

    Raises:
        CommandError: A named edit has no revision. A repeat must be based on
            the same offset as its first copy, or it could be taken for a
            new edit once the first result is forgotten.
    """
    if edit_id is not None and expect_revision is None:
        raise exits.CommandError(
            exits.ExitCode.USAGE,
            '--edit-id needs the --expect-revision of the first try',
        )
    return records.EditRecord(
        edit_id=edit_id or edits.new_edit_id(),
        read_offset=state.offset
        if expect_revision is None
        else expect_revision,
        **changes,
    )
