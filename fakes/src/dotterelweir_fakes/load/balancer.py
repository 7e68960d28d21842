"""A small stand-in of the platform's load balancer."""

import asyncio
import random

import aiohttp

_PROBE_PERIOD_S = 0.2
_PROBE_TIMEOUT_S = 1.0


class Balancer:
    """Picks a ready instance for each request.

    Attributes:
        urls: Base URLs of the callers' ports of all instances; may be
            changed while the balancer runs.
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
        """A ready instance, another than ``avoid`` if there is one."""
        ready = [url for url in self._ready if url in self.urls]
        choices = [url for url in ready if url != avoid] or ready
        return self._rng.choice(choices) if choices else None

    @property
    def ready_count(self) -> int:
        """Instances that said they are ready at the last probe."""
        return sum(url in self._ready for url in self.urls)

    async def run(self) -> None:
        """Probes all instances until it is cancelled."""
        try:
            while True:
                self._start_probes()
                await asyncio.sleep(_PROBE_PERIOD_S)
        finally:
            for task in self._probes.values():
                task.cancel()

    async def probe(self) -> None:
        """Probes every instance once."""
        self._start_probes()
        await asyncio.gather(*self._probes.values())

    def _start_probes(self) -> None:
        # Each instance is probed on its own, so that a slow one does not
        # delay the news of the others.
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
