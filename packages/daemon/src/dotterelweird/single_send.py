"""Client middleware that keeps aiohttp from sending a request again.

After a broken connection aiohttp sends requests with an idempotent method,
such as GET, PUT or DELETE, a second time, even if the connection was new. It
knows neither what may be repeated nor budgets and deadlines.
"""

import aiohttp


class ConnectionBroken(aiohttp.ClientError):
    """Replaces an error after which aiohttp may send a request again."""


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request once.

    Raises:
        ConnectionBroken: The connection failed after it was opened; the
            server may have received the request.
        aiohttp.ClientError: Any other error of aiohttp.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        # aiohttp does not retry these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        reason = f'{type(error).__name__}: {error}'
        raise ConnectionBroken(reason) from error
