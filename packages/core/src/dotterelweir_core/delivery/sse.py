"""Splitting and checking of the server-sent events of an engine.

This is the hot path: bytes are processed per chunk, no JSON is decoded per
event, and an event in the common form costs one comparison.
"""

import enum

import orjson

_SEPARATOR = b'\n\n'
_DONE = b'data: [DONE]\n\n'
_ID_FIELD = b'id: '
# An event with JSON data ends with a brace; the end mark ``data: [DONE]``,
# with or without an id, does not.
_JSON_EVENT_END = b'}\n\n'
# Maximum size of an incomplete event, in case an engine never ends one. Events
# with tokens have a few hundred bytes.
_MAX_EVENT_BYTES = 1_048_576


class ConnectionFault(enum.StrEnum):
    """Reason why a connection to an engine must not be read any further."""

    GAP = 'gap'
    MALFORMED = 'malformed'
    ENGINE_ERROR = 'engine error'
    INCOMPLETE = 'end mark before the finish reason'


def split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Splits bytes into whole events and the remaining bytes.

    Args:
        buffer: Bytes that begin at the start of an event.

    Returns:
        The events, each with its blank line, and the bytes after them.
    """
    parts = buffer.split(_SEPARATOR)
    rest = parts.pop()
    return [part + _SEPARATOR for part in parts], rest


def event_data(event: bytes) -> bytes:
    """Returns the data lines of one event, joined by newlines."""
    lines = []
    for line in event.splitlines():
        name, _, value = line.partition(b':')
        if name == b'data':
            lines.append(value.removeprefix(b' '))
    return b'\n'.join(lines)


class GenerationCursor:
    """Checks the sequence of one generation and rewrites its event ids.

    One cursor is used for all successive connections of the generation to
    its engine.

    Args:
        prefix: ``TOKEN.``, prepended to each sequence number.
        next_sequence: Sequence number of the next expected event.

    Attributes:
        next_sequence: Sequence number of the next expected event.
        complete: Whether the end mark was accepted.
        fault: Why the current connection must not be read any further; None
            without a fault.
        duplicates: Number of events that were dropped as duplicates.
    """

    def __init__(self, prefix: bytes, next_sequence: int = 0) -> None:
        self._id_prefix = _ID_FIELD + prefix
        self._buffer = b''
        self._last_event = b''
        self._incomplete_at = -1
        self.next_sequence = next_sequence
        self.complete = False
        self.fault: ConnectionFault | None = None
        self.duplicates = 0

    @property
    def last_event_id(self) -> bytes:
        """Id of the last accepted event; sequence -1 before the first."""
        return self._id_prefix[len(_ID_FIELD) :] + b'%d' % (
            self.next_sequence - 1
        )

    def prepare_resume(self) -> None:
        """Discards the partial event and the fault of the last connection."""
        self._buffer = b''
        self.fault = None

    def feed(self, chunk: bytes) -> bytes:
        """Processes bytes of the engine into bytes for the caller.

        After a call that sets ``fault`` or ``complete``, ``feed`` must not
        be called again before ``prepare_resume``. The returned bytes are
        valid in either case.

        Args:
            chunk: Bytes as received, which may begin and end inside events.

        Returns:
            Whole events in order, each exactly once, with rewritten ids.
        """
        # Nearly every chunk is one whole event in the common form.
        expected_start = b'id: %d\n' % self.next_sequence
        if (
            not self._buffer
            and chunk.startswith(expected_start)
            and chunk.endswith(_JSON_EVENT_END)
            and chunk.find(_SEPARATOR) == len(chunk) - 2
        ):
            self.next_sequence += 1
            self._last_event = chunk
            return self._id_prefix + chunk[4:]
        return self._feed_general(chunk)

    def _feed_general(self, chunk: bytes) -> bytes:
        buffer = self._buffer + chunk
        if b'\r' in buffer:
            # JSON escapes a CR, so an unescaped one can only be part of a line
            # end.
            buffer = buffer.replace(b'\r\n', b'\n')
        parts = buffer.split(_SEPARATOR)
        self._buffer = parts.pop()
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.fault = ConnectionFault.MALFORMED
        output: list[bytes] = []
        for part in parts:
            expected_start = b'id: %d\ndata: ' % self.next_sequence
            if part.startswith(expected_start) and part.endswith(b'}'):
                self.next_sequence += 1
                self._last_event = part
                output += (self._id_prefix, part[4:], _SEPARATOR)
            elif part:
                self._accept_event(part, output)
                if self.complete or self.fault is not None:
                    break
        return b''.join(output)

    def _accept_event(self, part: bytes, output: list[bytes]) -> None:
        fields: dict[bytes, bytes] = {}
        for line in part.lstrip(b'\n').split(b'\n'):
            name, _, value = line.partition(b':')
            value = value.removeprefix(b' ')
            if name == b'data' and b'data' in fields:
                value = fields[b'data'] + b'\ndata: ' + value
            fields[name] = value
        data = fields.get(b'data')
        if fields.get(b'event') == b'error':
            self.fault = ConnectionFault.ENGINE_ERROR
        elif data == b'[DONE]':
            self._accept_end_mark(fields.get(b'id', b''), output)
        elif data is not None:
            self._accept_data_event(fields.get(b'id', b''), data, output)
        # An event without data is a keep-alive comment and is dropped.

    def _accept_data_event(
        self, number: bytes, data: bytes, output: list[bytes]
    ) -> None:
        if not number.isdigit():
            self.fault = ConnectionFault.MALFORMED
            return
        sequence = int(number)
        if sequence > self.next_sequence:
            self.fault = ConnectionFault.GAP
        elif sequence < self.next_sequence:
            self.duplicates += 1
            if sequence == self.next_sequence - 1:
                self._last_event = b'data: ' + data
        else:
            self.next_sequence += 1
            self._last_event = b'data: ' + data
            output += (self._id_prefix, number, b'\ndata: ', data, _SEPARATOR)

    def _accept_end_mark(self, number: bytes, output: list[bytes]) -> None:
        if number.isdigit() and int(number) > self.next_sequence:
            self.fault = ConnectionFault.GAP
            return
        # The end mark usually has no sequence number, so a missing last
        # event is detected only by the absence of a finish reason. If the
        # engine sends the end mark again after a resume from the same
        # event, the generation is accepted as complete.
        incomplete = self._last_event and _has_null_finish_reason(
            self._last_event
        )
        if incomplete and self._incomplete_at != self.next_sequence:
            self._incomplete_at = self.next_sequence
            self.fault = ConnectionFault.INCOMPLETE
            return
        self.complete = True
        output.append(_DONE)


def _has_null_finish_reason(event: bytes) -> bool:
    """Whether an event has no finish reason, so that another must follow."""
    try:
        choices = orjson.loads(event_data(event))['choices']
        return bool(choices) and all(
            choice['finish_reason'] is None for choice in choices
        )
    except (ValueError, KeyError, TypeError):
        # Without finish reasons, missing events cannot be detected.
        return False
