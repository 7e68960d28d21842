"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins of the review."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        first_line: Request line or status line.
        headers: Headers with lower-case names; the last value wins.
        body: The body; empty until it was read.
        complete: Whether the body arrived as its framing announced.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes = b''
    complete: bool = False

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(' ')[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None if the connection ends before it."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, is_answer: bool
) -> None:
    """Reads the body of a message as its headers frame it."""
    body = bytearray()
    try:
        if message.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
            message.complete = True
        elif 'content-length' in message.headers:
            length = int(message.headers['content-length'])
            while len(body) < length:
                piece = await reader.read(min(65_536, length - len(body)))
                if not piece:
                    break
                body += piece
            message.complete = len(body) == length
        elif is_answer:
            while piece := await reader.read(65_536):
                body += piece
            message.complete = True
        else:
            message.complete = True
    except (ValueError, asyncio.IncompleteReadError, ConnectionError):
        pass
    message.body = bytes(body)


def encode(
    first_line: str, headers: dict[str, object], body: bytes = b''
) -> bytes:
    """Encodes a message with a body of known length."""
    rows = [first_line, *(f'{name}: {v}' for name, v in headers.items())]
    rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(rows).encode() + b'\r\n\r\n' + body
