"""Feed of changes for operators that watch an instance."""

import asyncio
import logging

_QUEUE_MAX_CHANGES = 256


class ChangeFeed(logging.Handler):
    """Log handler that passes selected events to watchers as changes.

    If the queue of a watcher is full, its oldest change is dropped. Each
    change carries the number of changes that its watcher has lost so far.
    """

    def __init__(self, event_numbers: frozenset[int]) -> None:
        """Sets the events to pass on.

        Args:
            event_numbers: Numbers of these events.
        """
        super().__init__()
        self._event_numbers = event_numbers
        self._watchers: dict[asyncio.Queue, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Queues the event of a log record for each watcher.

        Records of other events are ignored.
        """
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
        """Adds a watcher.

        Returns:
            The queue of its changes, which ends with None; the caller must
            pass it to ``close_watcher`` when it no longer reads from it.
        """
        queue: asyncio.Queue = asyncio.Queue(_QUEUE_MAX_CHANGES)
        self._watchers[queue] = 0
        return queue

    def close_watcher(self, queue: asyncio.Queue) -> None:
        """Removes the watcher with this queue."""
        self._watchers.pop(queue, None)

    def end(self) -> None:
        """Queues None for each watcher, after which no change follows."""
        watchers, self._watchers = self._watchers, {}
        for queue in watchers:
            if queue.full():
                queue.get_nowait()
            queue.put_nowait(None)
