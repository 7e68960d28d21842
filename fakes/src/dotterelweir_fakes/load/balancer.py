"""Stand-in for the platform's load balancer."""

import asyncio
import random

import aiohttp

_PROBE_PERIOD_S = 0.2
_PROBE_TIMEOUT_S = 1.0


class Balancer:
    """Probes the instances and picks a ready one for each request.

    Attributes:
        urls: Base URL of the callers' port of each instance; may be changed
            while the balancer runs.
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
        self._ready: dict[str, None] = {}
        self._probes: dict[str, asyncio.Task] = {}

    def pick(self, avoid: str = '') -> str | None:
        """Picks a random ready instance.

        Args:
            avoid: URL of an instance that is picked only if no other one is
                ready.

        Returns:
            The URL of the instance; None if none is ready.
        """
        ready = [url for url in self._ready if url in self.urls]
        choices = [url for url in ready if url != avoid] or ready
        return self._rng.choice(choices) if choices else None

    @property
    def ready_count(self) -> int:
        """Number of instances whose last probe reported them ready."""
        return sum(url in self._ready for url in self.urls)

    async def run(self) -> None:
        """Probes all instances periodically until it is cancelled."""
        try:
            while True:
                self._start_probes()
                await asyncio.sleep(_PROBE_PERIOD_S)
        finally:
            for task in self._probes.values():
                task.cancel()

    async def probe(self) -> None:
        """Probes every instance once and waits for the results."""
        self._start_probes()
        await asyncio.gather(*self._probes.values())

    def _start_probes(self) -> None:
        # Each instance has a probe task of its own, so that a slow instance
        # does not delay the results of the others.
        for url in self.urls:
            if url not in self._probes:
                task = asyncio.create_task(self._probe_one(url))
                self._probes[url] = task
                task.add_done_callback(
                    lambda _, url=url: self._probes.pop(url, None)
                )

    async def _probe_one(self, url: str) -> None:
        if await self._is_ready(url):
            self._ready[url] = None
        else:
            self._ready.pop(url, None)

    async def _is_ready(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._http.get(
                f'{url}/readyz', timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
