"""Reads answers whose size nobody vouches for."""

from collections.abc import Callable

import aiohttp
import attrs

# Most bytes of one answer that is read as a whole: the usual bound on a
# request's body, which the answers of calls stay far below.
ANSWER_BYTES_MAX = 4_194_304
# Share of the process's memory that answers in flight may hold together; the
# rest is for the program and the streams.
_MEMORY_SHARE = 0.25


class AnswerTooLarge(aiohttp.ClientPayloadError):
    """An answer is larger than any sound one, or than what is free."""


@attrs.define
class AnswerMemory:
    """Memory for answers that are read as a whole.

    Attributes:
        bytes_max: Most bytes of all answers in flight together.
        held_bytes: Bytes that they hold now.
    """

    bytes_max: int
    held_bytes: int = 0

    @classmethod
    def for_process(cls, memory_bytes: int) -> 'AnswerMemory':
        """The share of a process's memory that answers may hold."""
        return cls(int(_MEMORY_SHARE * memory_bytes))

    async def read(self, answer: aiohttp.ClientResponse) -> bytes:
        """Reads a whole answer.

        It counts while it is read; then it goes to a caller, whose
        connection bounds what is buffered.

        Raises:
            AnswerTooLarge: It is larger than its bound, or all answers
                together are; its connection is closed.
            aiohttp.ClientError: It broke off.
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
    """Reads a whole answer of at most some bytes.

    Args:
        answer: The answer.
        bytes_max: Most bytes of its body.
        on_chunk: Is told the size of each chunk, and may refuse it.

    Raises:
        AnswerTooLarge: It is larger; its connection is closed.
        aiohttp.ClientError: It broke off.
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
