"""Reads the bodies of answers within bounds on their size and on memory."""

from collections.abc import Callable

import aiohttp

from dotterelweir_core.gateway import memory_account
from dotterelweird.gateway.callers import memory as caller_memory

# Maximum size of an answer that is read as a whole, in bytes. The usual bound
# on the body of a request is the same; answers of calls are far smaller.
ANSWER_BYTES_MAX = 4_194_304


class AnswerTooLarge(aiohttp.ClientPayloadError):
    """An answer exceeds the bound on one answer or on all in flight."""


class AnswerMemory:
    """Charges answers that are read as a whole to the account of the process.

    Args:
        memory: The account.
    """

    def __init__(self, memory: caller_memory.CallerMemory) -> None:
        self._memory = memory

    async def read(
        self,
        answer: aiohttp.ClientResponse,
        holding: memory_account.Holding,
    ) -> bytes:
        """Reads a whole answer.

        The bytes stay charged to the caller's connection until the caller has
        read them.

        Args:
            answer: The answer.
            holding: The holding of the caller's connection.

        Raises:
            AnswerTooLarge: The answer exceeds its bound or the memory that is
                left; the connection was closed.
            aiohttp.ClientError: The connection broke off.
        """
        size_bytes = 0

        def on_chunk(chunk_bytes: int) -> None:
            nonlocal size_bytes
            chunk_bytes = int(caller_memory.BUFFER_FACTOR * chunk_bytes)
            if not self._memory.charge(holding, chunk_bytes):
                raise AnswerTooLarge('no memory left for answers')
            size_bytes += chunk_bytes

        try:
            return await read(answer, ANSWER_BYTES_MAX, on_chunk)
        except BaseException:
            self._memory.account.shrink(holding, size_bytes)
            raise


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
            if on_chunk is not None:
                on_chunk(len(chunk))
            body += chunk
            if len(body) > bytes_max:
                raise AnswerTooLarge(f'over {bytes_max} bytes')
    except AnswerTooLarge:
        answer.close()
        raise
    return bytes(body)
