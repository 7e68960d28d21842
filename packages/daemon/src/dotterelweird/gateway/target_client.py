"""HTTP clients for targets and the store, with one connection per request.

Connections are not reused: bytes that a faulty target sends after an answer
can then not be read as the next answer, and no request is lost on a
connection that the target closed while it was idle.
"""

import asyncio
from collections.abc import Callable
import functools
import logging
import types

import aiohttp
from aiohttp import client_proto
from aiohttp import streams
import attrs

from dotterelweir_core import events
from dotterelweird import single_send

LOG = logging.getLogger(__name__)

# Timeout for opening a connection, in seconds. Round trips take a few
# milliseconds, and a lost first packet is retransmitted only after a second.
# A longer wait means a full accept queue, a cut link or a dead target.
CONNECT_TIMEOUT_S = 0.2


@attrs.define
class SendState:
    """Records whether the head of one request was handed to the network.

    Attributes:
        sent: Whether the head was handed to the network. If not, no target
            can have run the request.
        request_id: Id of the request, for logs.
        started_s: Time at which the attempt began, in seconds, by a clock
            that counts suspensions; None before that.
        on_connected: Called once the connection is made, if set.
    """

    sent: bool = False
    request_id: str = ''
    started_s: float | None = None
    on_connected: Callable[[], None] | None = None


async def _record_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    send_state = context.trace_request_ctx
    if isinstance(send_state, SendState) and send_state.on_connected:
        send_state.on_connected()


async def _record_head_sent(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    send_state = context.trace_request_ctx
    if isinstance(send_state, SendState):
        if send_state.sent:
            events.log(
                LOG,
                events.REQUEST_SENT_AGAIN,
                request_id=send_state.request_id,
                method=parameters.method,
            )
        send_state.sent = True


# Maximum bytes of one answer besides its body: head, interim answers, chunk
# sizes, trailers and bytes that follow the answer.
_OVERHEAD_BYTES_MAX = 65_536
# Further bytes allowed for each byte of the body: a chunk of one byte has an
# overhead of six.
_OVERHEAD_PER_BODY_BYTE = 8
# Bytes of an answer that are read ahead of the code that passes them on; twice
# as many are held at most. One read of a connection has as many. The defaults
# of the libraries are eight times larger, for each request in flight.
_READ_AHEAD_BYTES = 32_768
_HEAD_END = b'\r\n\r\n'


class AnswerReset(aiohttp.ClientPayloadError):
    """A connection to a target was reset, or aborted by this process."""


class AnswerInvalid(aiohttp.ClientPayloadError):
    """A target sent bytes that are not the rest of its answer."""


class _LimitedProtocol(client_proto.ResponseHandler):
    """Detects resets and limits the bytes of an answer besides its body.

    aiohttp treats a reset like the regular end of an answer without a length,
    and it reads interim answers, chunk extensions, trailers and further
    answers without a limit. It also discards a whole answer if invalid bytes
    follow it in the same piece of data.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._received_bytes = 0
        self._body: streams.StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # asyncio has no public argument for the size of a read.
        transport.max_size = _READ_AHEAD_BYTES

    def data_received(self, data: bytes) -> None:
        # An error of the parser discards the heads that it has read from the
        # same data. Therefore the end of a head ends the data.
        start = 0
        while self.exception() is None and not self._has_body:
            position = data.find(_HEAD_END, start)
            if position < 0:
                break
            end = position + len(_HEAD_END)
            self._receive(data[start:end])
            start = end
        # aiohttp itself calls this without data when it resumes reading.
        if start < len(data) or not data:
            self._receive(data[start:])

    @property
    def _has_body(self) -> bool:
        return self._payload not in (None, streams.EMPTY_PAYLOAD)

    def _receive(self, data: bytes) -> None:
        super().data_received(data)
        self._received_bytes += len(data)
        if self._body is None and self._has_body:
            self._body = self._payload
        body_bytes = self._body.total_bytes if self._body else 0
        received_bytes_max = (
            _OVERHEAD_BYTES_MAX + (1 + _OVERHEAD_PER_BODY_BYTE) * body_bytes
        )
        if (
            self._received_bytes > received_bytes_max
            and self.transport is not None
        ):
            self.set_exception(AnswerReset('too many bytes besides the body'))
            self.transport.abort()

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        # aiohttp fails only the read of a head. Whoever reads a body would
        # wait without end.
        payload = self._payload
        if self._has_body and payload.exception() is None:
            if not payload.is_eof():
                payload.set_exception(AnswerInvalid(str(exc)))
        super().set_exception(exc, exc_cause or exc)

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(AnswerReset('connection reset'))
        super().connection_lost(exc)


class _SingleUseConnector(aiohttp.TCPConnector):
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(
            limit=0,
            force_close=True,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
        )
        # aiohttp has no public way to set the protocol class.
        self._factory = functools.partial(_LimitedProtocol, loop=loop)


def unread(body: streams.StreamReader) -> bytes:
    """Returns the bytes of a body that an error of its connection withholds.

    Args:
        body: The body of an answer.
    """
    # aiohttp has no public way to read after an error.
    return b''.join(body._buffer)


def open_session() -> aiohttp.ClientSession:
    """Opens the client session for targets; needs a running event loop."""
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(_record_connected)
    tracing.on_request_headers_sent.append(_record_head_sent)
    return aiohttp.ClientSession(
        connector=_SingleUseConnector(asyncio.get_running_loop()),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        trace_configs=[tracing],
        middlewares=(single_send.prevent_resend,),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'User-Agent',
            'Content-Type',
        ),
        raise_for_status=False,
        read_bufsize=_READ_AHEAD_BYTES,
    )


def open_store_session() -> aiohttp.ClientSession:
    """Opens the client session for the store; needs a running event loop.

    Connections are not reused here either. Answers of the store do not name
    the request that they belong to, so that a duplicated answer on a reused
    connection would be read as the records of another offset.
    """
    return aiohttp.ClientSession(
        connector=_SingleUseConnector(asyncio.get_running_loop()),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        middlewares=(single_send.prevent_resend,),
        cookie_jar=aiohttp.DummyCookieJar(),
        raise_for_status=False,
    )
