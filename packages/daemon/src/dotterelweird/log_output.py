"""Non-blocking output of log lines with a bounded rate."""

import collections
from collections.abc import Callable
import os

import attrs

# Bytes that are buffered for a slow reader before lines are dropped.
_BUFFER_BYTES_MAX = 262_144
# Lines written in one second; further ones are dropped. At this rate, which is
# far above the usual one, logging takes about a tenth of a core.
_LINES_PER_S_MAX = 1_000
# Minimum time between two reports of dropped lines, in seconds.
_REPORT_PERIOD_S = 1.0

_REPORT_PREFIX = b'{"message": "log-lines-dropped", "event": 104,'


@attrs.define
class BoundedOutput:
    """A text stream on a file descriptor that drops lines instead of blocking.

    Attributes:
        descriptor: File descriptor; it is made non-blocking.
        clock: Returns the monotonic time in seconds.
        dropped: Number of lines dropped since the start.
    """

    descriptor: int
    clock: Callable[[], float]
    dropped: int = 0
    _buffer: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _buffered_bytes: int = 0
    _rate_second: int = 0
    _lines_in_second: int = 0
    _dropped_reported: int = 0
    _last_report_s: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Writes one line, or drops it at the limit of buffer or rate.

        Args:
            text: The line with its line end.

        Returns:
            The length of the text, also if it was dropped.
        """
        now_s = self.clock()
        if int(now_s) != self._rate_second:
            self._rate_second, self._lines_in_second = int(now_s), 0
        self._lines_in_second += 1
        data = text.encode(errors='replace')
        full = self._buffered_bytes + len(data) > _BUFFER_BYTES_MAX
        if full or self._lines_in_second > _LINES_PER_S_MAX:
            self.dropped += 1
        else:
            self._report_dropped(now_s)
            self._enqueue(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts now."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has left, so the loss cannot be reported.
                self.dropped += sum(
                    not data.startswith(_REPORT_PREFIX)
                    for data in self._buffer
                )
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()

    def _enqueue(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _report_dropped(self, now_s: float) -> None:
        if self.dropped == self._dropped_reported:
            return
        if now_s - self._last_report_s < _REPORT_PERIOD_S:
            return
        lines = self.dropped - self._dropped_reported
        self._dropped_reported, self._last_report_s = self.dropped, now_s
        self._enqueue(_REPORT_PREFIX + b' "lines": %d}\n' % lines)
