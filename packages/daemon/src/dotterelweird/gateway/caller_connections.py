"""Callers' connections with timeouts on request heads and on idleness."""

import asyncio
from collections.abc import Callable

from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from dotterelweir_core import timers
from dotterelweir_core.gateway import tables


class CallerConnections(web.Server):
    """An HTTP server that limits slow request heads and idle connections.

    Args:
        handler: Answers a request.
        limits: Returns the limits in force.
        timer_service: The timer service.
        **kwargs: Further arguments of ``web.Server``.
    """

    def __init__(
        self,
        handler,
        limits: Callable[[], tables.CallerLimits],
        timer_service: timers.TimerService,
        **kwargs,
    ) -> None:
        super().__init__(handler, **kwargs)
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
        for connection in self.connections:
            if not connection.has_request:
                connection.force_close()

    def __call__(self) -> web_protocol.RequestHandler:
        return _CallerProtocol(
            self,
            loop=self._loop,
            keepalive_timeout=self.limits().idle_timeout_s,
            **self._kwargs,
        )


class _CallerProtocol(web_protocol.RequestHandler):
    """One connection of a caller.

    aiohttp limits neither the time in which a head must arrive nor the time
    until the first request, and it has no public hooks for either.
    """

    __slots__ = ('_timeout_handle', '_in_head', '_last_payload', '_server')

    def __init__(self, server: CallerConnections, **kwargs) -> None:
        super().__init__(server, **kwargs)
        self._server = server
        self._timeout_handle: timers.TimerHandle | None = None
        self._in_head = False
        self._last_payload: streams.StreamReader | None = None

    @property
    def has_request(self) -> bool:
        """Whether a request was read whose answer is not written yet."""
        return self._request_in_progress or bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout for the first request."""
        super().connection_made(transport)
        self._start_timeout(self._server.limits().idle_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timeout in force."""
        self._cancel_timeout()
        super().connection_lost(exc)

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
        elif data and not in_body and not self._in_head:
            # aiohttp itself calls this without data when it resumes reading.
            self._in_head = True
            self._start_timeout(self._server.limits().header_timeout_s)

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
