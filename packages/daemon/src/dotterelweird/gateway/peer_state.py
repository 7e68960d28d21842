"""What an instance asks another one for: the records that it knows."""

import aiohttp

from dotterelweird.gateway import answer_bodies
from dotterelweird.gateway import api
from dotterelweird.gateway import digests

# Path under which an instance gives the records of a stream.
PATH = '/records/'
# Time for the answer, in seconds.
_TIMEOUT_S = 0.5


async def fetch(
    session: aiohttp.ClientSession, address: str, stream: api.StoreStream
) -> api.Batch:
    """Asks an instance for the records that hold what it knows.

    Args:
        session: HTTP client.
        address: Where it answers other instances, as ``host:port``.
        stream: The stream.

    Raises:
        StoreUnavailable: It did not answer.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with session.get(
            f'http://{address}{PATH}{stream.value}',
            allow_redirects=False,
            timeout=timeout,
        ) as answer:
            if answer.status != 200:
                raise api.StoreUnavailable(f'status {answer.status}')
            body = await answer_bodies.read(
                answer, answer_bodies.ANSWER_BYTES_MAX
            )
            return digests.decode_batch(body)
    except (
        aiohttp.ClientError,
        TimeoutError,
        digests.DatagramInvalid,
    ) as exc:
        raise api.StoreUnavailable(f'{type(exc).__name__}') from exc
