"""Crowds of callers that take memory and connections and give nothing back.

The members of a crowd stay within the sizes that the gateway allows, or send
heads without an end. None of them reads its answers.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import itertools
import socket
import types
import typing

from dotterelweir_fakes.fleet import deployment as fleet

# Size of a body: the largest that the tables allow.
BODY_BYTES = 4_194_304
# Bytes that one call of a member sends at most.
_PIECE_BYTES = 16_384
# Requests that a member sends ahead on its connection.
_REQUESTS_AHEAD = 200
_AHEAD_BODY_BYTES = 4_096
# Headers that a member sends, each just below the parser's limit.
_HEADERS = 100
_HEADER_BYTES = 60_000
# Receive buffer of a member; a small one fills at once.
_RECEIVE_BUFFER_BYTES = 4_096
# A crowd has settled when no member has sent anything for this time, and at
# the latest after the second one, in seconds.
_SETTLED_S = 1.0
_SETTLE_TIMEOUT_S = 10.0
_POLL_S = 0.05


class Kind(enum.Enum):
    """What the members of a crowd do."""

    SHORT_WHOLE = 'short whole'
    SHORT_PIECES = 'short pieces'
    SHORT_CHUNKED = 'short chunked'
    COMPLETE = 'complete'
    AHEAD = 'ahead'
    UNREAD_STREAMS = 'unread streams'
    ENDLESS_HEADS = 'endless heads'
    IDLE = 'idle'
    MIXTURE = 'mixture'


# Kinds of the members of a mixture, in turn.
_MIXED = tuple(kind for kind in Kind if kind is not Kind.MIXTURE)


class Crowd:
    """Connections of callers of one kind to one gateway.

    Args:
        kind: What its members do.
        count: Number of connections.
        host: IP address of the gateway.
        port: Its port for callers.
    """

    def __init__(self, kind: Kind, count: int, host: str, port: int) -> None:
        self._address = (host, port)
        kinds = itertools.cycle(_MIXED if kind is Kind.MIXTURE else (kind,))
        self._kinds = list(itertools.islice(kinds, count))
        self._sent_bytes = 0
        self._members: list[asyncio.Task] = []

    async def __aenter__(self) -> typing.Self:
        self._members = [
            asyncio.create_task(self._run(kind, number))
            for number, kind in enumerate(self._kinds)
        ]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        for member in self._members:
            member.cancel()
        await asyncio.gather(*self._members, return_exceptions=True)

    async def settle(self) -> None:
        """Waits until the members have sent all that the gateway takes."""
        loop = asyncio.get_running_loop()
        start_s = changed_s = loop.time()
        sent_bytes = -1
        while loop.time() - changed_s < _SETTLED_S:
            if loop.time() - start_s > _SETTLE_TIMEOUT_S:
                break
            if self._sent_bytes != sent_bytes:
                sent_bytes, changed_s = self._sent_bytes, loop.time()
            await asyncio.sleep(_POLL_S)

    async def _run(self, kind: Kind, number: int) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as connection, contextlib.suppress(OSError):
            connection.setblocking(False)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            await loop.sock_connect(connection, self._address)
            self._sent_bytes += 1
            for piece in _PIECES[kind](f'{kind.name}-{number}'):
                await self._send(connection, piece)
            await asyncio.Event().wait()

    async def _send(self, connection: socket.socket, piece: bytes) -> None:
        loop = asyncio.get_running_loop()
        view = memoryview(piece)
        for start in range(0, len(piece), _PIECE_BYTES):
            part = view[start : start + _PIECE_BYTES]
            await loop.sock_sendall(connection, part)
            self._sent_bytes += len(part)


def _head(route: str, request_id: str, *fields: str) -> bytes:
    rows = [f'POST /{route}/x HTTP/1.1']
    headers = fleet.request_headers(route, request_id, 2_500)
    rows += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join((*rows, *fields, '', '')).encode()


_BODY = b'x' * BODY_BYTES


def _send_short_whole(name: str) -> Iterator[bytes]:
    length = f'Content-Length: {BODY_BYTES}'
    yield _head('read', name, length) + _BODY[:-1]


def _send_short_pieces(name: str) -> Iterator[bytes]:
    yield _head('read', name, f'Content-Length: {BODY_BYTES}')
    for start in range(0, BODY_BYTES - _PIECE_BYTES, _PIECE_BYTES):
        yield _BODY[start : start + _PIECE_BYTES]
    yield _BODY[: _PIECE_BYTES - 1]


def _send_short_chunked(name: str) -> Iterator[bytes]:
    yield _head('read', name, 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%b\r\n' % (_PIECE_BYTES, _BODY[:_PIECE_BYTES])
    for _ in range(BODY_BYTES // _PIECE_BYTES - 1):
        yield chunk
    yield chunk[:-3]


def _send_complete(name: str) -> Iterator[bytes]:
    yield _head('read', name, f'Content-Length: {BODY_BYTES}') + _BODY


def _send_ahead(name: str) -> Iterator[bytes]:
    length = f'Content-Length: {_AHEAD_BODY_BYTES}'
    for number in range(_REQUESTS_AHEAD):
        head = _head('read', f'{name}-{number}', length)
        yield head + _BODY[:_AHEAD_BODY_BYTES]


def _send_stream(name: str) -> Iterator[bytes]:
    yield _head('guide', name, 'Content-Length: 0')


def _send_endless_head(name: str) -> Iterator[bytes]:
    yield _head('read', name)[:-2]
    for number in range(_HEADERS):
        yield b'X-Field-%d: %b\r\n' % (number, _BODY[:_HEADER_BYTES])


def _send_nothing(name: str) -> Iterator[bytes]:
    yield from ()


_PIECES: dict[Kind, Callable[[str], Iterator[bytes]]] = {
    Kind.SHORT_WHOLE: _send_short_whole,
    Kind.SHORT_PIECES: _send_short_pieces,
    Kind.SHORT_CHUNKED: _send_short_chunked,
    Kind.COMPLETE: _send_complete,
    Kind.AHEAD: _send_ahead,
    Kind.UNREAD_STREAMS: _send_stream,
    Kind.ENDLESS_HEADS: _send_endless_head,
    Kind.IDLE: _send_nothing,
}
