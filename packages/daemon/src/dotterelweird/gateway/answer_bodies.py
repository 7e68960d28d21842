"""Reads the bodies of answers within bounds on their size and on memory."""

from collections.abc import Callable

import aiohttp
import attrs

# Maximum size of an answer that is read as a whole, in bytes. The usual bound
# on the body of a request is the same; answers of calls are far smaller.
ANSWER_BYTES_MAX = 4_194_304
# Share of the process's memory that all answers in flight may hold; the rest
# is for the program and the streams.
_MEMORY_SHARE = 0.25


class AnswerTooLarge(aiohttp.ClientPayloadError):
    """An answer exceeds the bound on one answer or on all in flight."""


@attrs.define
class AnswerMemory:
    """Memory budget of the answers that are read as a whole.

    Attributes:
        bytes_max: Maximum bytes that all answers in flight may hold.
        held_bytes: Bytes that the answers in flight hold now.
    """

    bytes_max: int
    held_bytes: int = 0

    @classmethod
    def for_process(cls, memory_bytes: int) -> 'AnswerMemory':
        """Returns the budget for a process.

        Args:
            memory_bytes: Memory of the process.
        """
        return cls(int(_MEMORY_SHARE * memory_bytes))

    async def read(self, answer: aiohttp.ClientResponse) -> bytes:
        """Reads a whole answer.

        A body that has been read no longer counts against the budget, although
        it is held until it is written to its caller.

        Raises:
            AnswerTooLarge: The answer, or all answers in flight together,
                exceed their bound; the connection was closed.
            aiohttp.ClientError: The connection broke off.
        """
        size_bytes = 0

        def on_chunk(chunk_bytes: int) -> None:
            nonlocal size_bytes
            size_bytes += chunk_bytes
            self.held_bytes += chunk_bytes
            if self.held_bytes > self.bytes_max:
                raise AnswerTooLarge('no memory left for answers')

        try:
            return await read(answer, ANSWER_BYTES_MAX, on_chunk)
        finally:
            self.held_bytes -= size_bytes


async def read(
    answer: aiohttp.ClientResponse,
    bytes_max: int,
    on_chunk: Callable[[int], None] | None = None,
) -> bytes:
    """Reads the body of an answer up to a maximum size.

    Args:
        answer: The answer.
        bytes_max: Maximum size of the body, in bytes.
        on_chunk: Called with the size of each chunk, in bytes; may raise
            AnswerTooLarge.

    Raises:
        AnswerTooLarge: The body is larger; the connection was closed.
        aiohttp.ClientError: The connection broke off.
    """
    body = bytearray()
    try:
        async for chunk in answer.content.iter_any():
            body += chunk
            if on_chunk is not None:
                on_chunk(len(chunk))
            if len(body) > bytes_max:
                raise AnswerTooLarge(f'over {bytes_max} bytes')
    except AnswerTooLarge:
        answer.close()
        raise
    return bytes(body)
