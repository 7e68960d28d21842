"""Fetches the state of a stream from another instance over HTTP."""

import aiohttp

from dotterelweird.gateway import answer_bodies
from dotterelweird.gateway import api
from dotterelweird.gateway import digests

# Path prefix under which an instance serves the records of a stream; the name
# of the stream follows.
PATH = '/records/'
# Timeout of the whole call, in seconds.
_TIMEOUT_S = 0.5


async def fetch(
    session: aiohttp.ClientSession, address: str, stream: api.StoreStream
) -> api.Batch:
    """Fetches the records from which an instance's state can be built.

    Args:
        session: HTTP client.
        address: Address at which the instance serves other instances, as
            ``host:port``.
        stream: The stream.

    Returns:
        The records.

    Raises:
        StoreUnavailable: The instance did not answer, or not with records.
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
