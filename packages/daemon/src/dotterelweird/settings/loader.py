"""Loads and validates the settings file and reports all errors at once."""

from collections.abc import Callable
import functools
import pathlib
import re
import types
import typing

import attrs
import cattrs
import cattrs.gen
import json5

from dotterelweir_core import errors
from dotterelweird.settings import model

_PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')


@attrs.frozen
class SettingsProblem:
    """An invalid key of the settings file.

    Attributes:
        file: Name of the settings file.
        key: Path of the key, such as ``peers.listen.port``.
        expected: Description of the valid values.
        found: Value in the file.
    """

    file: str
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        return (
            f'{self.file}: {self.key}: expected {self.expected}, '
            f'found {self.found}'
        )


class SettingsError(errors.DotterelweirError):
    """Raised for invalid settings.

    Attributes:
        problems: One problem for each invalid key.
    """

    def __init__(self, problems: tuple[SettingsProblem, ...]) -> None:
        super().__init__(
            errors.ErrorKind.SETTINGS_INVALID,
            '\n'.join(str(problem) for problem in problems),
        )
        self.problems = problems


def load(path: pathlib.Path) -> model.Settings:
    """Reads and validates a settings file in JSON with comments.

    Args:
        path: Path of the settings file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file cannot be read or some keys are invalid.
    """
    file_name = path.name
    try:
        text = path.read_text(encoding='utf-8')
        document = json5.loads(text, allow_duplicate_keys=False)
    except OSError as exc:
        raise _file_error(file_name, 'a readable file', exc.strerror) from exc
    except UnicodeDecodeError as exc:
        raise _file_error(file_name, 'text in UTF-8', exc.reason) from exc
    except ValueError as exc:
        found = ' '.join(str(exc).split())
        raise _file_error(file_name, 'JSON with comments', found) from exc
    return structure(document, file_name)


def structure(document: object, file_name: str) -> model.Settings:
    """Converts a parsed document to settings.

    Args:
        document: The document.
        file_name: Name of the settings file, for error messages.

    Returns:
        The settings.

    Raises:
        SettingsError: Some keys are invalid.
    """
    if not isinstance(document, dict):
        raise _file_error(file_name, 'an object', _format_value(document))
    try:
        return _build_converter().structure(document, model.Settings)
    except cattrs.BaseValidationError as exc:
        error_lines = cattrs.transform_error(
            exc, path='$', format_exception=_format_exception
        )
        problems = tuple(
            _parse_problem(error_line, document, file_name)
            for error_line in error_lines
        )
        raise SettingsError(problems) from exc


def _file_error(file_name: str, expected: str, found: object) -> SettingsError:
    problem = SettingsProblem(file_name, '(file)', expected, str(found))
    return SettingsError((problem,))


@functools.cache
def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for type_hint, expected in (
        (bool, 'true or false'),
        (int, 'a whole number'),
        (float, 'a number'),
        (str, 'a string'),
    ):
        converter.register_structure_hook(
            type_hint, _scalar_hook(type_hint, expected)
        )
    converter.register_structure_hook_func(
        _is_optional_scalar, functools.partial(_structure_optional, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has, functools.partial(_class_hook, converter)
    )
    converter.register_structure_hook_factory(
        _is_tuple, functools.partial(_tuple_hook, converter)
    )
    return converter


def _is_optional_scalar(type_hint: object) -> bool:
    return (
        isinstance(type_hint, types.UnionType)
        and type(None) in type_hint.__args__
    )


def _is_tuple(type_hint: object) -> bool:
    return typing.get_origin(type_hint) is tuple


def _structure_optional(
    converter: cattrs.Converter, value: object, type_hint: types.UnionType
) -> object:
    if value is None:
        return None
    scalar_type = next(
        arg for arg in type_hint.__args__ if arg is not type(None)
    )
    return converter.structure(value, scalar_type)


def _scalar_hook(type_hint: type, expected: str) -> Callable:
    def hook(value: object, _: type) -> object:
        is_valid = isinstance(value, type_hint) and not (
            type_hint is not bool and isinstance(value, bool)
        )
        if type_hint is float and type(value) is int:
            return float(value)
        if not is_valid:
            raise TypeError(expected)
        return value

    return hook


def _tuple_hook(converter: cattrs.Converter, type_hint: type) -> Callable:
    item_type = typing.get_args(type_hint)[0]
    list_type = list[item_type]

    def hook(value: object, _: type) -> tuple:
        if not isinstance(value, list):
            raise TypeError('a list')
        return tuple(converter.structure(value, list_type))

    return hook


def _class_hook(converter: cattrs.Converter, type_hint: type) -> Callable:
    overrides = {
        field.name: cattrs.gen.override(
            struct_hook=_field_hook(converter, field)
        )
        for field in attrs.fields(attrs.resolve_types(type_hint))
    }
    structure_fields = cattrs.gen.make_dict_structure_fn(
        type_hint,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )

    def hook(value: object, attrs_class: type) -> object:
        if not isinstance(value, dict):
            raise TypeError('an object')
        return structure_fields(value, attrs_class)

    return hook


def _field_hook(
    converter: cattrs.Converter, field: attrs.Attribute
) -> Callable:
    # Validators run here as well as in the constructor of the class, because
    # an error that the constructor raises would not name the key.
    def hook(value: object, type_hint: type) -> object:
        structured = converter.structure(value, type_hint)
        if field.validator is not None:
            field.validator(None, field, structured)
        return structured

    return hook


def _format_exception(exc: BaseException, type_hint: type | None) -> str:
    match exc:
        case KeyError():
            return f'the key {exc.args[0]!r}'
        case cattrs.ForbiddenExtraKeysError():
            unknown = ', '.join(sorted(exc.extra_fields))
            known = ', '.join(field.name for field in attrs.fields(exc.cl))
            return f'only the keys {known}\0unknown: {unknown}'
        case _:
            return str(exc).removeprefix('must be ')


def _parse_problem(
    error_line: str, document: object, file_name: str
) -> SettingsProblem:
    """Splits ``EXPECTED, not FOUND @ PATH`` into a settings problem.

    A NUL separates EXPECTED and FOUND if it replaces ``, not ``.
    """
    message, _, path = error_line.rpartition(' @ ')
    expected, _, found = message.partition('\0')
    if not found:
        expected, separator, value = expected.rpartition(', not ')
        found = value if separator else _format_value(_lookup(document, path))
        expected = expected if separator else value
    key = path.removeprefix('$').lstrip('.') or '(top level)'
    return SettingsProblem(file_name, key, expected, found)


_MISSING = object()


def _lookup(document: object, path: str) -> object:
    value = document
    for name, index in _PATH_STEP.findall(path):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return value


def _format_value(value: object) -> str:
    if value is _MISSING:
        return 'nothing'
    text = json5.dumps(value, quote_keys=True, trailing_commas=False)
    return text if len(text) <= 60 else text[:57] + '...'
