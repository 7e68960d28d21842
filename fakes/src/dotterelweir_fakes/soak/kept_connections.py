"""HTTP client over one kept connection, for tests of planned stops.

It knows when the last byte of a request was sent, what was received and how
the connection ended.
"""

import asyncio
import socket

import attrs

# Size of the receive buffer of a caller that reads slowly, in bytes.
_SMALL_BUFFER_BYTES = 4096
_PIECE_BYTES = 2048


@attrs.define
class Reply:
    """What a caller saw after one request.

    Attributes:
        sent_s: Monotonic time at which the last byte was sent, in seconds.
        ended_s: Time at which the answer or the connection ended, in seconds.
        status: HTTP status; None if no complete head was received.
        headers: Headers of the answer, with names in lower case.
        body: Received part of the body.
        complete: Whether the answer ended as its framing announces.
        reset: Whether the connection ended with a reset: the receiver closed
            it with unread bytes, or aborted it.
    """

    sent_s: float
    ended_s: float = 0.0
    status: int | None = None
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytearray = attrs.field(factory=bytearray)
    complete: bool = False
    reset: bool = False

    @property
    def closes(self) -> bool:
        """Whether the connection must not be used again."""
        return (
            not self.complete
            or self.headers.get('connection', '').lower() == 'close'
        )


class KeptConnection:
    """A connection that is used for several requests, one at a time.

    Args:
        reader: Reads from the connection.
        writer: Writes to the connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        # A drain then waits until the kernel has every byte.
        writer.transport.set_write_buffer_limits(0)

    @classmethod
    async def open(
        cls, host: str, port: int, slow: bool = False
    ) -> 'KeptConnection':
        """Opens a connection.

        Args:
            host: IP address of the server.
            port: Its port.
            slow: Whether the receive buffer is small.
        """
        sock = socket.socket()
        sock.setblocking(False)
        options: dict[str, int] = {}
        if slow:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
            options['limit'] = _SMALL_BUFFER_BYTES
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
            return cls(*await asyncio.open_connection(sock=sock, **options))
        except BaseException:
            sock.close()
            raise

    @property
    def ended(self) -> bool:
        """Whether the server has closed the idle connection."""
        return (
            self._reader.at_eof()
            or self._reader.exception() is not None
            or self._writer.is_closing()
        )

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def send(
        self,
        request: bytes,
        give_up_s: float,
        rate_bytes_s: float | None = None,
    ) -> Reply:
        """Sends a request and reads its answer.

        Args:
            request: All bytes of the request.
            give_up_s: Time after which the connection is closed, in seconds.
            rate_bytes_s: Rate at which the body is read, in bytes per second;
                None to read as fast as possible.
        """
        loop = asyncio.get_running_loop()
        reply = Reply(loop.time())
        try:
            async with asyncio.timeout(give_up_s):
                self._writer.write(request)
                await self._writer.drain()
                reply.sent_s = loop.time()
                await self._read_answer(reply, rate_bytes_s)
                reply.complete = True
        except asyncio.IncompleteReadError as exc:
            reply.body += exc.partial if reply.status is not None else b''
        except ConnectionError:
            reply.reset = True
        except TimeoutError:
            # The caller has given up.
            pass
        reply.ended_s = loop.time()
        if reply.closes:
            self.close()
        return reply

    async def _read_answer(
        self, reply: Reply, rate_bytes_s: float | None
    ) -> None:
        head = await self._reader.readuntil(b'\r\n\r\n')
        status_line, *lines = head.decode('latin-1').split('\r\n')
        for line in filter(None, lines):
            name, _, value = line.partition(':')
            reply.headers[name.strip().lower()] = value.strip()
        reply.status = int(status_line.split()[1])
        if reply.headers.get('transfer-encoding') == 'chunked':
            while size := int(await self._reader.readuntil(b'\r\n'), 16):
                await self._read_body(reply, size, rate_bytes_s)
                await self._reader.readexactly(2)
            await self._reader.readuntil(b'\r\n')
        elif 'content-length' in reply.headers:
            size = int(reply.headers['content-length'])
            await self._read_body(reply, size, rate_bytes_s)
        else:
            while piece := await self._reader.read(_PIECE_BYTES):
                reply.body += piece

    async def _read_body(
        self, reply: Reply, size: int, rate_bytes_s: float | None
    ) -> None:
        while size:
            piece_size = min(size, _PIECE_BYTES)
            reply.body += await self._reader.readexactly(piece_size)
            size -= piece_size
            if rate_bytes_s is not None:
                await asyncio.sleep(piece_size / rate_bytes_s)
