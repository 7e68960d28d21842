"""Relays the events of a generation to the caller."""

from collections.abc import Callable

from aiohttp import web

from dotterelweir_core import errors
from dotterelweird.callers import api
from dotterelweird.callers import problems
from dotterelweird.callers import reader as reader_module

# Minimum interval between reports of tokens to the scheduler, which needs the
# progress of each target but not of each token.
REPORT_INTERVAL_S = 0.1
# The clock is read once per this number of tokens.
TOKENS_PER_CHECK = 4

TokenCallback = Callable[[int], None]


class StreamRelay:
    """The response side of one event stream.

    Args:
        components: Dependencies of the callers' handlers.
        request: The caller's request.
        request_id: Id of the request.

    Attributes:
        response: The streamed response.
    """

    def __init__(
        self,
        components: api.CallerComponents,
        request: web.Request,
        request_id: str,
    ) -> None:
        self._timer = components.timer
        self._request = request
        self._request_id = request_id
        # Half of the configured buffer; the other half is for the buffer of
        # the engine's connection and the chunk that is being relayed.
        self._buffer_bytes = (
            components.settings.delivery.stream_buffer_bytes // 2
        )
        self.response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                'X-Request-Id': request_id,
            }
        )

    async def start(self) -> None:
        """Sends the response headers."""
        await self.response.prepare(self._request)
        if self._request.transport is not None:
            self._request.transport.set_write_buffer_limits(
                high=self._buffer_bytes
            )

    async def run(
        self,
        reader: reader_module.GenerationReader,
        first_events: bytes,
        on_tokens: TokenCallback,
        reported_tokens: int = 0,
    ) -> None:
        """Relays all events up to the end mark.

        Args:
            reader: Reads the generation.
            first_events: Events that were already read, as bytes.
            on_tokens: Called with the number of events since the last call.
            reported_tokens: Number of events that were already reported.

        Raises:
            DotterelweirError: The answer is incomplete.
            ConnectionError: The caller disconnected.
        """
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError('the caller disconnected')
        get_buffered_bytes = transport.get_write_buffer_size
        buffer_bytes = self._buffer_bytes
        cursor = reader.cursor
        report_due_s = self._timer.monotonic_s() + REPORT_INTERVAL_S
        next_check_sequence = 0

        def after_write() -> bool:
            nonlocal reported_tokens, report_due_s, next_check_sequence
            if cursor.next_sequence >= next_check_sequence:
                next_check_sequence = cursor.next_sequence + TOKENS_PER_CHECK
                now_s = self._timer.monotonic_s()
                if now_s >= report_due_s:
                    on_tokens(cursor.next_sequence - reported_tokens)
                    reported_tokens = cursor.next_sequence
                    report_due_s = now_s + REPORT_INTERVAL_S
            # aiohttp itself drains only once per 64 KB written.
            return get_buffered_bytes() > buffer_bytes

        reader.watch_stalls()
        try:
            await self.response.write(first_events)
            after_write()
            await reader.forward(
                self.response.write, after_write, self._request.writer.drain
            )
        finally:
            if cursor.next_sequence > reported_tokens:
                on_tokens(cursor.next_sequence - reported_tokens)

    async def end(
        self,
        reader: reader_module.GenerationReader,
        error: errors.DotterelweirError | None,
    ) -> None:
        """Ends the stream.

        Args:
            reader: Reads the generation.
            error: None after a complete answer. SHUTTING_DOWN sends a
                ``handover`` event first, any other error an ``error`` event.

        Raises:
            ConnectionError: The caller disconnected.
        """
        if not self.response.prepared:
            await self.start()
        if error is not None:
            if error.kind is errors.ErrorKind.SHUTTING_DOWN:
                event = problems.handover_event(
                    reader.cursor.last_event_id, self._request_id
                )
            else:
                event = problems.error_event(error, self._request_id)
            await self.response.write(event)
        await self.response.write_eof()
