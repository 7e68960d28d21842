"""Records of the configuration log, in versioned JSON.

A record is ``{"version": 1, "kind": "edit" | "checkpoint", ...}``. All
instances must decode or skip the same records, so a change to the format or
to the validation of rows needs a new version number.
"""

import base64
import binascii
from collections.abc import Callable
import enum
from typing import Any

import attrs
import cattrs
from cattrs import gen
from cattrs import v as cattrs_v
import orjson

from dotterelweir_core.tables import model

VERSION = 1
EDIT_ID_MAX_CHARS = 128
# Maximum length of the reason for which a record is skipped.
_REASON_CHARS_MAX = 2_000
# Maximum length of a value in it.
_QUOTE_CHARS_MAX = 80


class UnreadableRecordError(ValueError):
    """The error of a log record that every instance skips."""


@attrs.frozen
class EditRecord:
    """One atomic change of both tables.

    Attributes:
        edit_id: Unique name of the edit; the same in every repeat.
        read_offset: Last offset that the author had read; -1 for none.
        put_routes: Routes to add or replace.
        put_pools: Pools to add or replace.
        delete_routes: Names of routes to delete.
        delete_pools: Names of pools to delete.
    """

    edit_id: str
    read_offset: int
    put_routes: tuple[model.Route, ...] = ()
    put_pools: tuple[model.Pool, ...] = ()
    delete_routes: tuple[str, ...] = ()
    delete_pools: tuple[str, ...] = ()


@attrs.frozen
class CheckpointRecord:
    """A snapshot of the folded state at one offset.

    Attributes:
        covers_offset: Offset of the last record that the state includes.
        digest: Digest of the offset and the state, in hexadecimal.
        state: The encoded and compressed state.
    """

    covers_offset: int
    digest: str
    state: bytes


Record = EditRecord | CheckpointRecord

_CLASSES_BY_KIND: dict[str, type] = {
    'edit': EditRecord,
    'checkpoint': CheckpointRecord,
}


def encode(record: Record) -> bytes:
    """Encodes a record for the log."""
    kind = 'edit' if isinstance(record, EditRecord) else 'checkpoint'
    document = {'version': VERSION, 'kind': kind}
    document.update(CONVERTER.unstructure(record))
    return orjson.dumps(document)


def decode(data: bytes) -> Record:
    """Decodes a record from the log.

    Raises:
        UnreadableRecordError: The record is corrupt or of an unknown
            version or kind. The message names every invalid field.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise UnreadableRecordError(f'not JSON: {error}') from error
    if not isinstance(document, dict):
        raise UnreadableRecordError('not a JSON object')
    version = document.pop('version', None)
    if type(version) is not int or version != VERSION:
        raise UnreadableRecordError(f'unknown version {_quote(version)}')
    kind = document.pop('kind', None)
    if not isinstance(kind, str) or kind not in _CLASSES_BY_KIND:
        raise UnreadableRecordError(f'unknown kind {_quote(kind)}')
    record = structure(document, _CLASSES_BY_KIND[kind])
    _check_bounds(record)
    return record


def _quote(value: Any) -> str:
    """Returns a value for an error message, or its type if it is nested."""
    if isinstance(value, (dict, list)):
        return f'of type {type(value).__name__}'
    return repr(value)[:_QUOTE_CHARS_MAX]


def structure(document: Any, cls: type) -> Any:
    """Structures decoded JSON as a data class, without type coercion.

    Args:
        document: The decoded JSON.
        cls: The data class.

    Raises:
        UnreadableRecordError: The document does not fit the class. The
            message names every invalid field.
    """
    try:
        return CONVERTER.structure(document, cls)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        problems = '; '.join(
            cattrs.transform_error(error, format_exception=_format_error)
        )
        raise UnreadableRecordError(problems[:_REASON_CHARS_MAX]) from error
    except RecursionError as error:
        raise UnreadableRecordError('nested too deeply') from error


def _check_bounds(record: Record) -> None:
    if isinstance(record, CheckpointRecord):
        if record.covers_offset < -1:
            raise UnreadableRecordError('covers_offset is below -1')
        return
    if not 1 <= len(record.edit_id) <= EDIT_ID_MAX_CHARS:
        raise UnreadableRecordError(
            f'edit_id must have 1 to {EDIT_ID_MAX_CHARS} characters'
        )
    if record.read_offset < -1:
        raise UnreadableRecordError('read_offset is below -1')


class _FieldError(ValueError):
    """The error of a field with an invalid type or value."""


def _format_error(error: BaseException, cls: type | None) -> str:
    if isinstance(error, _FieldError):
        return str(error)
    return cattrs_v.format_exception(error, cls)


def _exact_type_hook(expected: type) -> Callable[[Any, type], Any]:
    def hook(value: Any, _: type) -> Any:
        # Type coercion would hide errors: bool('false') is true.
        if type(value) is not expected:
            raise _FieldError(
                f'must be {expected.__name__}, not {type(value).__name__}'
            )
        return value

    return hook


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise _FieldError(f'must be a number, not {type(value).__name__}')
    try:
        return float(value)
    except OverflowError as error:
        raise _FieldError('is too large') from error


def _structure_bytes(value: Any, _: type) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise _FieldError('must be base64') from error


def _structure_enum(value: Any, cls: type[enum.StrEnum]) -> enum.StrEnum:
    if type(value) is not str or value not in list(cls):
        raise _FieldError(f'must be one of {", ".join(cls)}, not {value!r}')
    return cls(value)


def _structure_names(value: Any, _: type) -> tuple[str, ...]:
    if type(value) is not list or any(type(item) is not str for item in value):
        raise _FieldError('must be a list of strings')
    return tuple(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for primitive in (str, int, bool):
        converter.register_structure_hook(
            primitive, _exact_type_hook(primitive)
        )
    converter.register_structure_hook(float, _structure_float)
    # Without a hook of its own, a string enumeration would accept any string.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    converter.register_structure_hook(bytes, _structure_bytes)
    converter.register_structure_hook_func(
        lambda cls: cls == tuple[str, ...], _structure_names
    )
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode('ascii')
    )
    for row in (model.Match, model.Route, model.Pool):
        # Most fields of a row have their defaults; omitting those keeps
        # records small.
        converter.register_unstructure_hook(
            row,
            gen.make_dict_unstructure_fn(
                row, converter, _cattrs_omit_if_default=True
            ),
        )
    return converter


CONVERTER = _make_converter()
