"""Writes one streamed answer to its caller."""

import asyncio
from collections.abc import Iterator
import contextlib

from aiohttp import web

from dotterelweir_core import events
from dotterelweir_core.gateway import event_stream
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges


class CallerLostError(Exception):
    """The caller closed its connection or does not read its answer.

    Unlike an error of the connection to the engine, this is no failure of the
    engine.
    """


@contextlib.contextmanager
def _translate_caller_errors() -> Iterator[None]:
    """Raises errors of the caller's connection as CallerLostError.

    Otherwise they could not be distinguished from errors of the connection to
    the engine.

    Raises:
        CallerLostError: Writing to the caller failed or timed out.
    """
    try:
        yield
    except (ConnectionError, TimeoutError) as exc:
        reason = type(exc).__name__
        raise CallerLostError(reason) from exc


class CallerStream:
    """A streamed answer, made of the events of one or more engines.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        http_request: The HTTP request of the caller.

    Attributes:
        cursor: Position in the events, kept across connections to engines.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        exchange: exchanges.Exchange,
        http_request: web.BaseRequest,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._http_request = http_request
        self._response: web.StreamResponse | None = None
        self._last_write_s: float | None = None
        self._connection = http_request.protocol
        self._unread_bytes = 0
        self.cursor = event_stream.EventCursor(exchange.request.last_event_id)

    @property
    def started(self) -> bool:
        """Whether sending the answer has begun."""
        return self._response is not None

    async def begin(self, headers: api.Headers) -> None:
        """Sends the head of the answer, unless it was sent already.

        Args:
            headers: Headers of the engine's answer; ignored if the head was
                sent already.

        Raises:
            CallerLostError: The caller closed its connection.
        """
        if self._response is not None:
            return
        parts, exchange = self._parts, self._exchange
        self._response = web.StreamResponse(status=200)
        for name, value in headers:
            self._response.headers.add(name, value)
        self._response.enable_chunked_encoding()
        if parts.stop_plan.stopping:
            self._response.force_close()
        exchange.first_s = parts.timers.monotonic_s() - exchange.arrived_s
        parts.statistics.first_byte_s.observe(
            {'route': exchange.route.name}, exchange.first_s
        )
        with _translate_caller_errors():
            await self._response.prepare(self._http_request)
        self._connection.begin_stream()

    async def write(self, data: bytes) -> None:
        """Sends whole events.

        Args:
            data: The encoded events.

        Raises:
            CallerLostError: The caller closed its connection, or reads so
                slowly that more events wait for it than may be held.
        """
        now_s = self._parts.timers.monotonic_s()
        if self._last_write_s is not None:
            self._exchange.longest_pause_s = max(
                self._exchange.longest_pause_s, now_s - self._last_write_s
            )
        self._last_write_s = now_s
        remaining_s = self._exchange.deadline_s - now_s
        with _translate_caller_errors():
            # This does not wait for the caller: the engine must be read on,
            # as it cuts off an answer that stays unread.
            async with asyncio.timeout(remaining_s):
                await self._response.write(data)
        if not self._connection.charge_stream(self._unread_bytes, len(data)):
            self._parts.caller_memory.report_closed(
                events.CALLER_READS_TOO_SLOWLY, 'stream'
            )
            self._connection.abort()
            raise CallerLostError('reads too slowly')
        self._unread_bytes = self._connection.unread_bytes

    async def finish(self) -> web.StreamResponse:
        """Ends the answer, so that the caller sees it as complete.

        Raises:
            CallerLostError: The caller closed its connection.
        """
        with _translate_caller_errors():
            await self._response.write_eof()
        return self._response
