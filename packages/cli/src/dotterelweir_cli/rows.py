"""Converts between rows and documents, and makes edits of rows."""

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
    """Reads a JSON file; comments are allowed.

    Raises:
        CommandError: USAGE if the file cannot be read, is not valid JSON or
            does not hold an object.
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
    """Makes a row from a document.

    Args:
        name: Name of the row.
        document: The other fields of the row.
        kind: Class of the row, Route or Pool.

    Raises:
        CommandError: USAGE if fields are invalid; the message names all of
            them.
    """
    label = kind.__name__.lower()
    if not isinstance(document, dict):
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'{label} {name}: expected an object'
        )
    if document.get('name', name) != name:
        raise exits.CommandError(
            exits.ExitCode.USAGE,
            f'{label} {name}: the name field is {document["name"]!r}',
        )
    try:
        return records.structure({**document, 'name': name}, kind)
    except records.UnreadableRecordError as exc:
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'{label} {name}: {exc}'
        ) from exc


def unstructure_row(row: Row) -> dict[str, typing.Any]:
    """Returns a row as a document without the fields at their default."""
    return records.CONVERTER.unstructure(row)


def make_edit(
    state: fold.TablesState,
    edit_id: str | None,
    expect_revision: int | None,
    **changes: typing.Any,
) -> records.EditRecord:
    """Makes an edit that is based on a state that was read.

    A repeated edit must be based on the same offset as its first copy.
    Otherwise it could be taken for a new edit once the result of the first
    copy is forgotten.

    Args:
        state: The state.
        edit_id: Identifier of the edit; None makes a new one.
        expect_revision: Log offset that the edit is based on; None takes
            the offset of the state.
        **changes: ``put_routes``, ``put_pools``, ``delete_routes`` or
            ``delete_pools``.

    Raises:
        CommandError: USAGE if ``edit_id`` is given without
            ``expect_revision``.
    """
    if edit_id is not None and expect_revision is None:
        raise exits.CommandError(
            exits.ExitCode.USAGE,
            '--edit-id requires the --expect-revision of the first attempt',
        )
    return records.EditRecord(
        edit_id=edit_id or edits.new_edit_id(),
        read_offset=state.offset
        if expect_revision is None
        else expect_revision,
        **changes,
    )
