"""Splitting of a target's event stream into whole events with ids."""

import attrs

_ID_FIELD = b'id:'
_EVENT_END = b'\n\n'
# Bound on an event that is not complete yet, in bytes, against a target that
# never ends one; events have a few hundred bytes.
_EVENT_BYTES_MAX = 65_536


class EventStreamError(Exception):
    """The bytes of a target are no event stream."""


@attrs.define
class EventCursor:
    """Follows one generation over all its links.

    Attributes:
        last_id: Id of the last delivered event; None before the first.
        delivered: Events that were delivered.
        duplicates: Events that came again and were dropped.
    """

    last_id: int | None = None
    delivered: int = 0
    duplicates: int = 0
    _buffer: bytearray = attrs.field(factory=bytearray)

    @property
    def at_boundary(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._buffer

    def discard_partial_event(self) -> None:
        """Forgets the partial event of a link that broke."""
        self._buffer.clear()

    def feed(self, chunk: bytes) -> bytes:
        """Takes bytes of the present link.

        Args:
            chunk: Bytes, cut anywhere.

        Returns:
            Whole events that follow the last delivered one.

        Raises:
            EventStreamError: An event is missing, too large or has no id.
        """
        # Bytes that were searched before are not searched again: an event in
        # many small chunks would cost quadratic time.
        searched = max(0, len(self._buffer) - len(_EVENT_END) + 1)
        self._buffer += chunk
        end = self._buffer.rfind(_EVENT_END, searched)
        whole = b''
        if end >= 0:
            end += len(_EVENT_END)
            whole = bytes(self._buffer[:end])
            del self._buffer[:end]
        if len(self._buffer) > _EVENT_BYTES_MAX:
            raise EventStreamError('an event is too large')
        parts = whole.split(_EVENT_END)[:-1]
        return b''.join(
            part + _EVENT_END for part in parts if self._accept(part)
        )

    def _accept(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if self.last_id is not None:
            if event_id <= self.last_id:
                self.duplicates += 1
                return False
            if event_id != self.last_id + 1:
                raise EventStreamError(
                    f'event {event_id} follows event {self.last_id}'
                )
        self.last_id = event_id
        self.delivered += 1
        return True


def _event_id(event: bytes) -> int:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            try:
                return int(line[len(_ID_FIELD) :])
            except ValueError:
                break
    raise EventStreamError('an event has no numeric id')
