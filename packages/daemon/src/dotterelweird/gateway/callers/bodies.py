"""Reads bodies of callers and writes large answers, piece by piece."""

from collections.abc import Callable

import aiohttp
from aiohttp import hdrs
from aiohttp import payload
from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core.gateway import memory_account
from dotterelweird.gateway.callers import memory as caller_memory

# Size of one read of a large body and of one write of a large body or answer,
# in bytes. What is written beyond it waits for the reader.
PIECE_BYTES = 65_536
# Largest body that is read at once, in bytes. Ordinary requests have a few KB.
_SMALL_BYTES = 32_768


async def read(
    http_request: web.BaseRequest,
    memory: caller_memory.CallerMemory,
    holding: memory_account.Holding,
    bytes_max: int,
    on_admitted: Callable[[bool], None],
) -> bytes:
    """Reads a body, whose bytes are charged before they are held.

    Args:
        http_request: The request.
        memory: The account.
        holding: The holding of its connection.
        bytes_max: Largest body that is accepted.
        on_admitted: Called with True once a large body is admitted.

    Raises:
        DotterelweirError: BODY_TOO_LARGE, or MEMORY_SHORT if there is no
            memory for the body.
    """
    content, length = http_request.content, http_request.content_length
    if content.at_eof():
        return b''
    if hdrs.CONTENT_ENCODING in http_request.headers:
        # It may be decoded as it is read, and then be larger.
        length = None
    if length is not None and length > bytes_max:
        raise _too_large(bytes_max)
    if length is not None:
        memory.charge_body(holding, length)
        if length <= _SMALL_BYTES:
            return await http_request.read()
    body = bytearray()
    admitted_bytes = length or 0
    if length is not None:
        _read_large(content, on_admitted)
    memory.record_progress(holding, memory_account.Phase.COLLECTING)
    while piece := await content.readany():
        if len(body) + len(piece) > bytes_max:
            raise _too_large(bytes_max)
        if length is None:
            memory.charge_body(holding, len(piece))
            if admitted_bytes <= _SMALL_BYTES:
                admitted_bytes += len(piece)
                if admitted_bytes > _SMALL_BYTES:
                    _read_large(content, on_admitted)
        body += piece
        memory.record_progress(holding)
    memory.record_progress(holding, memory_account.Phase.RUNNING)
    return bytes(body)


def _too_large(bytes_max: int) -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.BODY_TOO_LARGE,
        f'the body has more than {bytes_max} bytes',
    )


def _read_large(
    content: aiohttp.StreamReader, on_admitted: Callable[[bool], None]
) -> None:
    """Reads the rest of a body in large pieces."""
    content.set_read_chunk_size(PIECE_BYTES)
    on_admitted(True)


class PiecewisePayload(payload.BytesPayload):
    """A body that is sent piece by piece, so that it is not held twice.

    A target that reads slowly would otherwise have the whole body copied into
    the buffer of its connection.
    """

    async def write_with_length(self, writer, content_length) -> None:
        """Writes the body; see the base class."""
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), PIECE_BYTES):
            await writer.write(view[start : start + PIECE_BYTES])

    async def write(self, writer) -> None:
        """Writes the whole body; see the base class."""
        await self.write_with_length(writer, None)


def outgoing(body: bytes) -> bytes | PiecewisePayload | None:
    """Returns a body as the HTTP client sends it; None without a body.

    Args:
        body: The body.
    """
    if len(body) <= PIECE_BYTES:
        return body or None
    return PiecewisePayload(body)


def is_large(response: web.StreamResponse) -> bool:
    """Whether an answer is one that ``send_large`` sends.

    Args:
        response: The answer.
    """
    if response.prepared or not isinstance(response, web.Response):
        return False
    body = response.body
    return isinstance(body, bytes) and len(body) > PIECE_BYTES


async def send_large(
    http_request: web.BaseRequest,
    response: web.Response,
    on_progress: Callable[[], None],
) -> web.StreamResponse:
    """Sends a large answer as fast as its caller reads it.

    Otherwise it would be held twice until then, as the HTTP library copies
    what the caller has not read.

    Args:
        http_request: The request.
        response: The answer.
        on_progress: Called when the caller has read a part.

    Returns:
        The answer; sent if it is large.

    Raises:
        ConnectionError: The caller closed the connection.
    """
    if http_request.method == 'HEAD':
        return response
    body = response.body
    sent = web.StreamResponse(status=response.status, headers=response.headers)
    sent.content_length = len(body)
    if response.keep_alive is False:
        sent.force_close()
    await sent.prepare(http_request)
    view = memoryview(body)
    for start in range(0, len(view), PIECE_BYTES):
        await sent.write(view[start : start + PIECE_BYTES])
        on_progress()
    await sent.write_eof()
    return sent
