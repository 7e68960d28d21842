"""Renders docs/events.md and docs/settings.md from the code."""

import inspect
import logging
import re
import typing

import attrs

from dotterelweir_core import events
from dotterelweird.settings import model

_EVENTS_HEAD = """# Log events

Each log line is one JSON object with `time`, `level`, `message` (the name of
the event), `event` (its number), `logger`, `instance_id`, `zone` and the
event's own fields. Numbers are stable and never used again. This page is
rendered from the code by `make docs`; a test compares the two.

| number | name | level | meaning |
|---|---|---|---|
"""

_SETTINGS_HEAD = """# Settings

The settings file of `dotterelweird` is JSON with comments;
[settings.example.json5](settings.example.json5) has every key.
`dotterelweird --check FILE` names every wrong key at once. Unknown keys are
errors. This page is rendered from the code by `make docs`; a test compares
the two.
"""

_ATTRIBUTE = re.compile(r'^(\w+): (.*)$')


def events_page() -> str:
    """Returns the text of docs/events.md."""
    rows = [
        f'| {number} | {event.name} | {logging.getLevelName(event.level)} '
        f'| {event.text} |'
        for number, event in sorted(events.CATALOGUE.items())
    ]
    return _EVENTS_HEAD + '\n'.join(rows) + '\n'


def settings_page() -> str:
    """Returns the text of docs/settings.md."""
    parts = [_SETTINGS_HEAD]
    _render_class(model.Settings, '', parts)
    return '\n'.join(parts)


def _render_class(settings_class: type, path: str, parts: list[str]) -> None:
    texts = _attribute_texts(settings_class)
    title = f'`{path}`' if path else 'Top level'
    parts.append(f'## {title}\n')
    parts.append('| key | type | default | meaning |\n|---|---|---|---|')
    nested = []
    for field in attrs.fields(attrs.resolve_types(settings_class)):
        if attrs.has(field.type):
            nested.append(field)
            if path:
                texts.setdefault(field.name, '')
                parts.append(
                    f'| `{field.name}` | object | | {texts[field.name]} |'
                )
            continue
        parts.append(
            f'| `{field.name}` | {_type_name(field.type)} '
            f'| {_default(field)} | {texts[field.name]} |'
        )
    parts.append('')
    for field in nested:
        _render_class(field.type, f'{path}.{field.name}'.lstrip('.'), parts)


def _attribute_texts(settings_class: type) -> dict[str, str]:
    doc = inspect.getdoc(settings_class) or ''
    _, _, section = doc.partition('Attributes:\n')
    texts: dict[str, str] = {}
    name = ''
    for line in inspect.cleandoc(section).splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            name = match[1]
            texts[name] = match[2]
        elif name and line.strip():
            texts[name] += f' {line.strip()}'
    return texts


def _type_name(annotation: object) -> str:
    if typing.get_origin(annotation) is tuple:
        item = typing.get_args(annotation)[0]
        name = 'objects with host and port' if attrs.has(item) else 'strings'
        return f'list of {name}'
    names = {
        str: 'string',
        int: 'whole number',
        float: 'number',
        type(None): 'null',
    }
    args = typing.get_args(annotation) or (annotation,)
    return ' or '.join(names[arg] for arg in args)


def _default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return 'required'
    if field.default is None:
        return '`null`'
    if field.default == ():
        return '`[]`'
    value = field.default
    return f'`"{value}"`' if isinstance(value, str) else f'`{value:g}`'
