"""Callers' connections with timeouts on request heads and on idleness."""

import asyncio
from collections.abc import Callable

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import memory_account
from dotterelweir_core.gateway import tables
from dotterelweird.gateway.callers import memory as caller_memory
from dotterelweird.gateway.callers import registry as caller_registry

# Bytes of one read of a connection, and bytes of a body that are read ahead of
# the code that collects it; twice as many are held at most. Ordinary requests
# fit into one read. A large body that is admitted is read in larger pieces.
_READ_BYTES = 16_384
_LARGE_READ_BYTES = 65_536
# Requests that are read ahead of their handling on one connection. What else
# the caller sends stays in the buffer of the socket.
_READ_AHEAD_MAX = 2
# Bytes of a head besides the names and values of its headers: separators of
# 128 headers, a long path, and the read in which it ends.
_HEAD_OVERHEAD_BYTES = 32_768
_HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
# Bytes of a stream that wait for a caller that reads slowly. A whole stream of
# ordinary size has less.
STREAM_BYTES_MAX = 524_288


class CallerConnections(web.Server):
    """An HTTP server that limits slow request heads and idle connections.

    Args:
        handler: Answers a request.
        limits: Returns the limits in force.
        timer_service: The timer service.
        memory: The account of what callers hold.
        **kwargs: Further arguments of ``web.Server``.

    Attributes:
        registry: The open connections.
    """

    def __init__(
        self,
        handler,
        limits: Callable[[], tables.CallerLimits],
        timer_service: timers.TimerService,
        memory: caller_memory.CallerMemory,
        **kwargs,
    ) -> None:
        super().__init__(handler, read_bufsize=_READ_BYTES, **kwargs)
        self.registry = caller_registry.ConnectionRegistry(
            memory, timer_service, lambda: limits().idle_timeout_s
        )
        self.limits = limits
        self.timers = timer_service

    @property
    def unfinished(self) -> int:
        """Number of connections with unread requests or unsent answers."""
        return sum(
            connection.has_request or transport.get_write_buffer_size() > 0
            for connection, transport in self._connections.items()
        )

    def close_idle(self) -> None:
        """Closes every connection without a request in progress.

        The HTTP library would keep them open until the timeout of its
        shutdown, and discard what it reads from them.
        """
        self.registry.close()
        for connection in self.connections:
            if not connection.has_request:
                connection.force_close()

    def __call__(self) -> web_protocol.RequestHandler:
        return CallerProtocol(
            self,
            loop=self._loop,
            keepalive_timeout=self.limits().idle_timeout_s,
            **self._kwargs,
        )


class CallerProtocol(web_protocol.RequestHandler, caller_registry.Connection):
    """One connection of a caller.

    aiohttp limits neither the time in which a head must arrive nor the time
    until the first request nor the size of a head, and it has no public hooks
    for any of them.

    Attributes:
        holding: What the connection holds.
        interrupt: Ends the request whose body is being collected with an
            error; None before that.
    """

    __slots__ = (
        '_head_bytes',
        '_timeout_handle',
        '_in_head',
        '_last_payload',
        '_server',
        '_settle_due',
        '_write_waiter',
        'holding',
        'interrupt',
    )

    def __init__(self, server: CallerConnections, **kwargs) -> None:
        super().__init__(server, **kwargs)
        self._limit_read_ahead(kwargs.get('auto_decompress', True))
        self._head_bytes = 0
        # Whether the charge is adapted once the answer is written.
        self._settle_due = False
        self._write_waiter: asyncio.Future[None] | None = None
        self.interrupt: Callable[[errors.DotterelweirError], None] | None = (
            None
        )
        self._server = server
        self._timeout_handle: timers.TimerHandle | None = None
        self._in_head = False
        self._last_payload: streams.StreamReader | None = None

    @property
    def memory(self) -> caller_memory.CallerMemory:
        """The account of what callers hold."""
        return self._server.registry.memory

    @property
    def has_request(self) -> bool:
        """Whether a request was read whose answer is not written yet."""
        return self._request_in_progress or bool(self._messages)

    def _limit_read_ahead(self, auto_decompress: bool) -> None:
        # The library has no argument for the number of requests. Its protocol
        # pauses reading, and its parser stops within what was read.
        self._max_msg_queue_size = _READ_AHEAD_MAX
        self._msg_queue_resume_size = _READ_AHEAD_MAX // 2
        self._parser = http_parser.HttpRequestParser(
            self,
            self._loop,
            _READ_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=_READ_AHEAD_MAX,
        )

    @property
    def unread_bytes(self) -> int:
        """Bytes of answers that the caller has not read."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Closes the connection; what the caller has not read is lost."""
        self._force_close = True
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the first timeout."""
        super().connection_made(transport)
        registry = self._server.registry
        peer = transport.get_extra_info('peername')
        self.holding = registry.memory.account.open(
            peer[0] if peer else '', self._give_way
        )
        # The size of one read; asyncio has no public argument for it.
        transport.max_size = _READ_BYTES
        registry.add(self)
        self._start_timeout(self._server.limits().idle_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timeout in force and frees what is held."""
        self._cancel_timeout()
        self._server.registry.remove(self)
        self._wake_writer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Watches a caller that reads slowly."""
        super().pause_writing()
        self._server.registry.watch_unread(self)

    def resume_writing(self) -> None:
        """Lets the next request of the connection begin."""
        super().resume_writing()
        self._wake_writer()
        if self._settle_due:
            self._loop.call_soon(self._settle)

    def _wake_writer(self) -> None:
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def begin_request(self) -> None:
        """Waits until the caller has read earlier answers.

        Otherwise the answers of requests that are sent ahead would be held
        without a bound.
        """
        while self.writing_paused and self.transport is not None:
            self._write_waiter = self._loop.create_future()
            await self._write_waiter
        self._server.registry.begin_request(self)

    def begin_answer(self) -> None:
        """Watches whether the caller reads a large answer."""
        registry = self._server.registry
        registry.memory.record_progress(
            self.holding, memory_account.Phase.WRITING
        )
        registry.watch_unread(self)

    def record_progress(self) -> None:
        """Records that the caller has read a part of its answer."""
        self._server.registry.memory.record_progress(self.holding)

    def end_request(self) -> None:
        """Frees what a request held once its answer was written."""
        self.interrupt = None
        # The library writes the answer after its handler has returned.
        self._loop.call_soon(self._settle)

    def _settle(self) -> None:
        transport = self.transport
        self._settle_due = self._request_in_progress
        if transport is None or self._settle_due:
            return
        if transport.get_write_buffer_limits()[1] == STREAM_BYTES_MAX:
            transport.set_write_buffer_limits()
        self._server.registry.end_request(self)

    def read_large(self, large: bool) -> None:
        """Sets the size of a read for a large body or for ordinary requests.

        Args:
            large: Whether a large body was admitted.
        """
        if self.transport is not None:
            size_bytes = _LARGE_READ_BYTES if large else _READ_BYTES
            self.transport.max_size = size_bytes

    def begin_stream(self) -> None:
        """Lets events wait for the caller up to a bound."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=STREAM_BYTES_MAX)

    def charge_stream(self, previous_bytes: int, written_bytes: int) -> bool:
        """Charges the events that the caller has not read.

        Args:
            previous_bytes: Bytes that were unread after the write before
                the last one.
            written_bytes: Size of the last write.

        Returns:
            Whether they are within the bound and the memory that is left.
        """
        unread_bytes = self.unread_bytes
        memory = self._server.registry.memory
        if not unread_bytes and not previous_bytes:
            return True
        phase = memory_account.Phase
        self.holding.phase = phase.WRITING if unread_bytes else phase.RUNNING
        if unread_bytes < previous_bytes + written_bytes:
            memory.record_progress(self.holding)
        added_bytes = unread_bytes - previous_bytes
        if added_bytes <= 0:
            memory.account.shrink(self.holding, -added_bytes)
            return True
        self._server.registry.watch_unread(self)
        return unread_bytes <= STREAM_BYTES_MAX and memory.charge(
            self.holding, added_bytes
        )

    def _give_way(self) -> None:
        memory = self._server.registry.memory
        if self.interrupt is not None and (
            self.holding.phase is memory_account.Phase.COLLECTING
        ):
            memory.report_closed(events.CALLER_DISPLACED, 'stalled body')
            self.interrupt(memory.make_error())
        else:
            memory.report_closed(events.CALLER_DISPLACED, 'unread answer')
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Starts the timeout of a head that has arrived only in part."""
        payload = self._last_payload
        in_body = payload is not None and not payload.is_eof()
        previous_count = self._request_count
        super().data_received(data)
        if self._request_count > previous_count:
            if self._messages:
                self._last_payload = self._messages[-1][1]
            self._in_head = False
            self._cancel_timeout()
        elif data and not in_body:
            # aiohttp itself calls this without data when it resumes reading.
            if not self._in_head:
                self._in_head = True
                self._head_bytes = 0
                self._start_timeout(self._server.limits().header_timeout_s)
            self._head_bytes += len(data)
            limit_bytes = self._server.limits().header_bytes
            if self._head_bytes > limit_bytes + _HEAD_OVERHEAD_BYTES:
                self._refuse_head()

    def _refuse_head(self) -> None:
        memory = self._server.registry.memory
        memory.report_closed(events.CALLER_CLOSED, 'head')
        if not self.has_request and self.transport is not None:
            self.transport.write(_HEAD_TOO_LARGE)
        self.force_close()

    def _start_timeout(self, delay_s: float) -> None:
        self._cancel_timeout()
        self._timeout_handle = self._server.timers.call_after(
            delay_s, self._on_timeout
        )

    def _cancel_timeout(self) -> None:
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
            self._timeout_handle = None

    def _on_timeout(self) -> None:
        self._timeout_handle = None
        # While a request is being answered, part of the next one may arrive.
        if self._current_request is None:
            self.force_close()
