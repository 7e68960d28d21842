"""Splitting of a target's event stream into complete, numbered events."""

from collections.abc import Iterable

import attrs

_ID_FIELD = b'id:'
_EVENT_END = b'\n\n'
# Maximum size of an incomplete event, in bytes. It limits the memory used for
# a target that never ends an event; events have a few hundred bytes.
_EVENT_BYTES_MAX = 65_536


class EventStreamError(Exception):
    """The bytes that a target sent are not a valid event stream."""


@attrs.define
class EventCursor:
    """Position in the event stream of one generation.

    It is kept across all connections to targets that serve the generation,
    so that each event is delivered once.

    Attributes:
        last_id: Id of the last delivered event; None before the first.
        delivered: Number of delivered events.
        duplicates: Number of events that were received again and dropped.
    """

    last_id: int | None = None
    delivered: int = 0
    duplicates: int = 0
    _buffer: bytearray = attrs.field(factory=bytearray)

    @property
    def at_boundary(self) -> bool:
        """Whether the received bytes end at the end of an event."""
        return not self._buffer

    def discard_partial_event(self) -> None:
        """Discards the incomplete event of the previous connection."""
        self._buffer.clear()

    def is_event_end(self, chunk: bytes) -> bool:
        """Whether bytes of the present connection would complete an event.

        Args:
            chunk: Bytes that follow those that were added.
        """
        return _EVENT_END in self._buffer + chunk

    def feed(self, chunk: bytes) -> bytes:
        """Adds bytes received on the present connection.

        Args:
            chunk: The bytes; they may begin and end within an event.

        Returns:
            Complete events after the last delivered one.

        Raises:
            EventStreamError: An event is missing, too large or has no id.
        """
        # Only new bytes are searched for the end of an event. Searching the
        # whole buffer takes quadratic time for an event in many small chunks.
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
        events = [part + _EVENT_END for part in whole.split(_EVENT_END)[:-1]]
        return self._accept(events)

    def _accept(self, events: Iterable[bytes]) -> bytes:
        """Counts events and returns those that were not delivered before.

        Raises:
            EventStreamError: An event has no id, or one before it is
                missing. None of the events counts as delivered, as the
                caller of this method gets none of them.
        """
        last_id, duplicates = self.last_id, self.duplicates
        accepted = []
        for event in events:
            event_id = _event_id(event)
            if last_id is not None and event_id <= last_id:
                duplicates += 1
                continue
            if last_id is not None and event_id != last_id + 1:
                raise EventStreamError(
                    f'event {event_id} follows event {last_id}'
                )
            last_id = event_id
            accepted.append(event)
        self.last_id, self.duplicates = last_id, duplicates
        self.delivered += len(accepted)
        return b''.join(accepted)


def _event_id(event: bytes) -> int:
    """Returns the id of an event.

    Raises:
        EventStreamError: The event has no numeric id.
    """
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            try:
                return int(line[len(_ID_FIELD) :])
            except ValueError:
                break
    raise EventStreamError('an event has no numeric id')
