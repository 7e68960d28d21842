"""Reads answers whose size nobody vouches for."""

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
    def of_process(cls, memory_bytes: int) -> 'AnswerMemory':
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
        chunks = []
        try:
            async for chunk in answer.content.iter_any():
                size_bytes += len(chunk)
                self.held_bytes += len(chunk)
                if size_bytes > ANSWER_BYTES_MAX:
                    raise AnswerTooLarge(f'over {ANSWER_BYTES_MAX} bytes')
                if self.held_bytes > self.bytes_max:
                    raise AnswerTooLarge('no memory left for answers')
                chunks.append(chunk)
        except AnswerTooLarge:
            answer.close()
            raise
        finally:
            self.held_bytes -= size_bytes
        return b''.join(chunks)


async def read(answer: aiohttp.ClientResponse, bytes_max: int) -> bytes:
    """Reads a whole answer of at most some bytes.

    Raises:
        AnswerTooLarge: It is larger; its connection is closed.
        aiohttp.ClientError: It broke off.
    """
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > bytes_max:
            answer.close()
            raise AnswerTooLarge(f'over {bytes_max} bytes')
    return bytes(body)
