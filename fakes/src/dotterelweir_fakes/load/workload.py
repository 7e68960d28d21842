"""Seeded mixed load for the two deployments."""

import asyncio
import random

import attrs

from dotterelweir_fakes.load import caller as caller_module
from dotterelweir_fakes.load import tally

_LONG_MEDIAN_TOKENS = 120
_LONG_SPREAD = 0.8
_LONG_MAX_TOKENS = 1_500
_SHORT_MAX_TOKENS = 12


@attrs.frozen
class Deployment:
    """Names and sizes of one deployment.

    Attributes:
        name: Name of the deployment.
        zones: Names of its availability zones.
        engine_service: Service name of the model engines.
        plain_service: Service name of the plain targets.
        model: Model name without the suffix for long or short answers.
        booking_path: Path of calls that must not be retried.
        lookup_path: Path of calls that may be retried.
        engines: Number of engines.
        plain_targets: Number of plain targets.
        organisations: Name and weight of each organisation in the load.
    """

    name: str
    zones: tuple[str, ...]
    engine_service: str
    plain_service: str
    model: str
    booking_path: str
    lookup_path: str
    engines: int = 7
    plain_targets: int = 3
    organisations: tuple[tuple[str, float], ...] = tuple(
        (f'org-{index}', 6.0 if index < 3 else 1.0) for index in range(10)
    )


DEPLOYMENTS = {
    'zwojex': Deployment(
        name='zwojex',
        zones=('poznan-a', 'poznan-b', 'kalisz'),
        engine_service='guide-llm',
        plain_service='dealer-shop',
        model='guide',
        booking_path='/shop/orders',
        lookup_path='/shop/stock',
    ),
    'tierraviva': Deployment(
        name='tierraviva',
        zones=('quito-a', 'quito-b', 'ibarra-c'),
        engine_service='weir-models',
        plain_service='sheets-app',
        model='report',
        booking_path='/sheets/certificates',
        lookup_path='/sheets/search',
    ),
}


class Workload:
    """Sends random requests at random times and collects their results.

    Attributes:
        tally: Results of the requests that have ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        caller: caller_module.Caller,
        rng: random.Random,
        requests_per_s: float,
    ) -> None:
        self._deployment = deployment
        self._caller = caller
        self._rng = rng
        self._requests_per_s = requests_per_s
        self._sequence = 0
        self.tally = tally.Tally()

    async def run(self, duration_s: float) -> None:
        """Sends requests for a time and waits for every result.

        Args:
            duration_s: Time during which requests are sent, in seconds.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        handle = loop.call_later(duration_s, stop.set)
        try:
            await self.run_until(stop)
        finally:
            handle.cancel()

    async def run_until(self, stop: asyncio.Event) -> None:
        """Sends requests until an event is set; waits for every result."""
        tasks: set[asyncio.Task] = set()
        while not stop.is_set():
            tasks.add(asyncio.create_task(self._send_one()))
            await asyncio.sleep(self._rng.expovariate(self._requests_per_s))
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        self._sequence += 1
        names, weights = zip(*self._deployment.organisations, strict=True)
        organisation = self._rng.choices(names, weights)[0]
        draw = self._rng.random()
        if draw < 0.35:
            result = await self._caller.stream(organisation, self._long_body())
        elif draw < 0.55:
            result = await self._caller.stream(
                organisation, self._short_body()
            )
        elif draw < 0.65:
            result = await self._caller.complete(
                organisation, self._short_body()
            )
        else:
            result = await self._call_plain_service(organisation, draw < 0.9)
        self.tally.add(result)

    async def _call_plain_service(
        self, organisation: str, is_booking: bool
    ) -> tally.CallResult:
        key = f'call-{self._rng.getrandbits(48):012x}-{self._sequence}'
        path = (
            self._deployment.booking_path
            if is_booking
            else self._deployment.lookup_path
        )
        with_idempotency_key = is_booking and self._rng.random() < 0.5
        result = await self._caller.call(
            organisation,
            path,
            {'key': key},
            key,
            key if with_idempotency_key else None,
        )
        if with_idempotency_key and self._rng.random() < 0.4:
            # Retries as a caller that did not receive the answer would do.
            self.tally.add(result)
            result = await self._caller.call(
                organisation, path, {'key': key}, key, key
            )
        return result

    def _long_body(self) -> dict:
        tokens = int(
            _LONG_MEDIAN_TOKENS * self._rng.lognormvariate(0.0, _LONG_SPREAD)
        )
        return self._chat_body('long', max(8, min(tokens, _LONG_MAX_TOKENS)))

    def _short_body(self) -> dict:
        return self._chat_body(
            'short', self._rng.randint(2, _SHORT_MAX_TOKENS)
        )

    def _chat_body(self, kind: str, tokens: int) -> dict:
        words = ' '.join(
            f'{kind}{self._rng.randint(0, 999)}' for _ in range(40)
        )
        return {
            'model': f'{self._deployment.model}-{kind}',
            'messages': [{'role': 'user', 'content': words}],
            # Length of the answer in tokens; only the stand-in engine uses it.
            'metadata': {'output_tokens': tokens},
        }
