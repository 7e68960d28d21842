"""HTTP client of an instance or gateway."""

from collections.abc import AsyncIterator

import aiohttp
import orjson

from dotterelweir_cli import exits

_TIMEOUT_S = 5.0


class AdminClient:
    """Sends requests to the admin port of one instance.

    Args:
        base_url: Base URL of the admin port.
        timeout_s: Time limit of one request, in seconds. It does not apply
            to ``watch``.
    """

    def __init__(self, base_url: str, timeout_s: float = _TIMEOUT_S) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, path: str) -> dict:
        """Reads a JSON document.

        Args:
            path: URL path of the document.

        Returns:
            The decoded document.

        Raises:
            CommandError: UNREACHABLE if the instance does not respond in
                time or its response is not JSON; USAGE if the status of the
                response is not 200.
        """
        return await self._request('GET', path, None)

    async def post(self, path: str, document: dict) -> dict:
        """Sends a query with a JSON body and returns the response.

        Args:
            path: URL path of the query.
            document: The body.

        Returns:
            The decoded response.

        Raises:
            CommandError: As ``get``.
        """
        return await self._request('POST', path, document)

    async def watch(self) -> AsyncIterator[dict]:
        """Yields the changes that the instance reports.

        Raises:
            CommandError: UNREACHABLE if the connection fails, if nothing
                arrives for 30 seconds or if the response is cut off.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_read=30.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as http,
                http.get(f'{self._base_url}/admin/v1/watch') as response,
            ):
                async for line in response.content:
                    if line.startswith(b'data: '):
                        yield orjson.loads(line.removeprefix(b'data: '))
        except aiohttp.ClientPayloadError as exc:
            raise exits.CommandError(
                exits.ExitCode.UNREACHABLE,
                f'instance at {self._base_url} ended the feed',
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise self._unreachable_error(exc) from exc

    async def _request(
        self, method: str, path: str, document: dict | None
    ) -> dict:
        try:
            async with (
                aiohttp.ClientSession(timeout=self._timeout) as http,
                http.request(
                    method, f'{self._base_url}{path}', json=document
                ) as response,
            ):
                body = orjson.loads(await response.read())
                if response.status != 200:
                    raise exits.CommandError(
                        exits.ExitCode.USAGE,
                        str(body.get('detail', response.reason)),
                    )
                return body
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise self._unreachable_error(exc) from exc

    def _unreachable_error(self, exc: BaseException) -> exits.CommandError:
        reason = str(exc) or type(exc).__name__
        return exits.CommandError(
            exits.ExitCode.UNREACHABLE,
            f'instance at {self._base_url} is unreachable: {reason}',
        )
