"""HTTP connections to targets.

Each attempt has a connection of its own: bytes that a faulty target sends
after an answer can then never be taken for the next answer, and a connection
that the target closed while idle cannot lose a request.
"""

import asyncio
import functools
import types

import aiohttp
from aiohttp import client_proto
import attrs

# Time to open a connection, in seconds. Round trips take a few milliseconds,
# and a lost first packet is sent again only after a second: a longer wait
# means a full queue, a cut link or a dead target.
CONNECT_TIMEOUT_S = 0.2


@attrs.define
class SendMark:
    """Whether the head of one request was handed to the network.

    Attributes:
        sent: Whether it was; before that a target cannot have run it.
    """

    sent: bool = False


async def _mark_sent(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    mark = context.trace_request_ctx
    if isinstance(mark, SendMark):
        mark.sent = True


class AnswerReset(aiohttp.ClientPayloadError):
    """A connection broke off in the middle of an answer."""


class _TargetProtocol(client_proto.ResponseHandler):
    """Tells a reset from the end of an answer that has no length.

    aiohttp ends such an answer in the same way for both.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(AnswerReset('connection reset'))
        super().connection_lost(exc)


class _TargetConnector(aiohttp.TCPConnector):
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(
            limit=0,
            force_close=True,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
        )
        # aiohttp has no public way to choose the protocol class.
        self._factory = functools.partial(_TargetProtocol, loop=loop)


def open_session() -> aiohttp.ClientSession:
    """Opens the client session for targets; needs a running loop."""
    tracing = aiohttp.TraceConfig()
    tracing.on_request_headers_sent.append(_mark_sent)
    return aiohttp.ClientSession(
        connector=_TargetConnector(asyncio.get_running_loop()),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        trace_configs=[tracing],
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'User-Agent',
            'Content-Type',
        ),
        raise_for_status=False,
    )


def open_store_session() -> aiohttp.ClientSession:
    """Opens the client session for the store; it keeps its connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, use_dns_cache=False, happy_eyeballs_delay=None
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        raise_for_status=False,
    )
