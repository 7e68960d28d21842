"""Feed of changes for operators that watch an instance."""

import asyncio
import logging

_QUEUE_MAX_CHANGES = 256


class ChangeFeed(logging.Handler):
    """Passes selected log events on to watchers.

    A watcher that does not keep up loses the oldest changes; the count of
    lost ones is part of the next change.
    """

    def __init__(self, event_numbers: frozenset[int]) -> None:
        super().__init__()
        self._event_numbers = event_numbers
        self._watchers: dict[asyncio.Queue, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one log record."""
        event_number = getattr(record, 'event', None)
        if event_number not in self._event_numbers:
            return
        change = {
            'event': event_number,
            'name': record.getMessage(),
            'time_s': record.created,
            **getattr(record, 'fields', {}),
        }
        for queue in self._watchers:
            if queue.full():
                queue.get_nowait()
                self._watchers[queue] += 1
            queue.put_nowait({**change, 'lost': self._watchers[queue]})

    def open_watcher(self) -> asyncio.Queue:
        """Starts to watch; the caller must close the queue."""
        queue: asyncio.Queue = asyncio.Queue(_QUEUE_MAX_CHANGES)
        self._watchers[queue] = 0
        return queue

    def close_watcher(self, queue: asyncio.Queue) -> None:
        """Stops to watch."""
        self._watchers.pop(queue, None)
