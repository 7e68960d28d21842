"""Builds the JSON answer of a request that is not streamed."""

import typing

import orjson

from dotterelweir_core.delivery import sse


class ChunkCollector:
    """Merges the chunks of one generation into one document.

    Args:
        chat: Whether the request is a chat completion.
    """

    def __init__(self, chat: bool) -> None:
        self._chat = chat
        self._first_chunk: dict[str, typing.Any] = {}
        self._choices: dict[int, dict[str, typing.Any]] = {}
        self._usage: typing.Any = None

    def add(self, event_bytes: bytes) -> None:
        """Adds the chunks of complete events.

        Args:
            event_bytes: Complete server-sent events.

        Raises:
            ValueError: An event does not have the form of a chunk.
        """
        complete_events, _ = sse.split_events(event_bytes)
        for event in complete_events:
            data = sse.event_data(event)
            if data == b'[DONE]':
                continue
            chunk = orjson.loads(data)
            if not isinstance(chunk, dict):
                raise ValueError('a chunk must be an object')
            if not self._first_chunk:
                self._first_chunk = chunk
            self._usage = chunk.get('usage') or self._usage
            for choice in chunk.get('choices') or ():
                self._add_choice(choice)

    def document(self) -> bytes:
        """Returns the JSON document of the complete answer."""
        members = {
            key: value
            for key, value in self._first_chunk.items()
            if key not in ('choices', 'usage', 'object')
        }
        members['object'] = (
            'chat.completion' if self._chat else 'text_completion'
        )
        members['choices'] = [
            choice for _, choice in sorted(self._choices.items())
        ]
        if self._usage is not None:
            members['usage'] = self._usage
        return orjson.dumps(members)

    def _add_choice(self, choice: dict[str, typing.Any]) -> None:
        index = choice.get('index', 0)
        body = {'message': {'role': 'assistant', 'content': ''}}
        merged = self._choices.setdefault(
            index,
            {'index': index}
            | (body if self._chat else {'text': ''})
            | {'finish_reason': None},
        )
        if self._chat:
            _merge(merged['message'], choice.get('delta') or {})
        else:
            merged['text'] += choice.get('text') or ''
        if choice.get('finish_reason') is not None:
            merged['finish_reason'] = choice['finish_reason']
        if choice.get('logprobs') is not None:
            _merge(merged.setdefault('logprobs', {}), choice['logprobs'])


def _merge(
    accumulated: dict[str, typing.Any], delta: dict[str, typing.Any]
) -> None:
    """Merges a delta into the accumulated fields, in place.

    Strings are concatenated and dictionaries merged. Lists are merged part by
    part: a part with a known index is merged, any other one is appended. The
    fields role, id, type and index are replaced.
    """
    for key, value in delta.items():
        previous = accumulated.get(key)
        if key in ('role', 'id', 'type', 'index') or previous is None:
            accumulated[key] = value
        elif isinstance(value, str) and isinstance(previous, str):
            accumulated[key] = previous + value
        elif isinstance(value, dict) and isinstance(previous, dict):
            _merge(previous, value)
        elif isinstance(value, list) and isinstance(previous, list):
            _merge_lists(previous, value)
        elif value is not None:
            accumulated[key] = value


def _merge_lists(previous: list, added: list) -> None:
    for part in added:
        matching_parts = [
            other
            for other in previous
            if isinstance(part, dict)
            and isinstance(other, dict)
            and 'index' in part
            and other.get('index') == part['index']
        ]
        if matching_parts:
            _merge(matching_parts[0], part)
        else:
            previous.append(part)
