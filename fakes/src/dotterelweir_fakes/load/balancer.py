"""A small stand-in of the platform's load balancer."""

import asyncio
import random

import aiohttp

_PROBE_PERIOD_S = 0.2
_PROBE_TIMEOUT_S = 1.0


class Balancer:
    """Picks a ready instance for each request.

    Attributes:
        urls: Base URLs of the callers' ports of all instances.
    """

    def __init__(
        self,
        urls: tuple[str, ...],
        http: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.urls = urls
        self._http = http
        self._rng = rng
        self._ready: list[str] = []

    def pick(self, avoid: str = '') -> str | None:
        """A ready instance, another than ``avoid`` if there is one."""
        others = [url for url in self._ready if url != avoid]
        choices = others or self._ready
        return self._rng.choice(choices) if choices else None

    @property
    def ready_count(self) -> int:
        """Instances that said they are ready at the last probe."""
        return len(self._ready)

    async def run(self) -> None:
        """Probes all instances until it is cancelled."""
        while True:
            await self.probe()
            await asyncio.sleep(_PROBE_PERIOD_S)

    async def probe(self) -> None:
        """Probes every instance once."""
        answers = await asyncio.gather(*map(self._is_ready, self.urls))
        self._ready = [
            url for url, ready in zip(self.urls, answers, strict=True) if ready
        ]

    async def _is_ready(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._http.get(
                f'{url}/readyz', timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
