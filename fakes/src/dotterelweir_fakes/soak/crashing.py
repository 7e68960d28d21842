"""Engines that a certain request ends, and trials with such a request."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import time

from aiohttp import web

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import trials

# Path, caller and body of the request that ends engines.
CRASH_PATH = 'crash'
CRASH_BODY = b'crash'
# First part of its ids.
CRASH_PREFIX = 'crash'
# Ends after which further sends of the request count.
ENDS_MAX = 3
# Largest number of such sends, and the time after the last of these ends from
# which they count, in seconds.
LATE_SENDS_MAX = 3
COUNTED_AFTER_S = trials.STABLE_S


# Time after which the entry of a silent engine is removed, in seconds.
_LAPSE_S = 3.6


class CrashingEngine(fleet_engine.FakeEngine):
    """An engine that ends when it has begun to run a certain request.

    It starts again at its address under a new id.

    Attributes:
        back_s: Time until it starts again, in seconds.
        crash_after_s: Time for which it runs the request, in seconds.
        crash_events: Events that it writes before it ends; None if it does
            not even write the head of an answer.
        dark: Whether it ends as a machine without power does.
        keeps_id: Whether it starts again under its id, or under a new one.
        register: Writes its registry entry, or removes the one of an id.
        ends_s: Monotonic times of its ends under the request, in seconds.
    """

    def __init__(self, target_id: str) -> None:
        super().__init__(target_id)
        self.back_s = 1.5
        self.crash_after_s = 0.03
        self.crash_events: int | None = None
        self.dark = False
        self.keeps_id = False
        self.register: Callable[[str, bool], Awaitable[None]] | None = None
        self.ends_s: list[float] = []
        self.started_ms = int(time.time() * 1000)
        self._first_id = target_id
        self._starts = 0
        self._tasks: set[asyncio.Task] = set()

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        if (
            request.path.endswith(f'/{CRASH_PATH}')
            and body == CRASH_BODY
            and headers.get('x-tenant') == fleet.ORGANISATION
        ):
            await asyncio.sleep(self.crash_after_s)
            if self.crash_events is not None:
                response = web.StreamResponse(
                    headers=self._headers(headers['x-attempt-id'])
                )
                response.content_type = 'text/event-stream'
                response.enable_chunked_encoding()
                await response.prepare(request)
                for number in range(1, self.crash_events + 1):
                    await response.write(
                        b'id: %d\ndata: token-%d\n\n' % (number, number)
                    )
                await asyncio.sleep(self.crash_after_s)
            if self.is_up:
                self.ends_s.append(asyncio.get_running_loop().time())
                self.end()
            raise ConnectionResetError
        return await super()._run(request, headers, body)

    def end(self) -> None:
        """Ends the engine; it starts again after some time."""
        if not self.is_up:
            return
        self._starts += 1
        if self.dark:
            self.go_dark()
        else:
            self.crash()
        task = asyncio.create_task(self._start_again())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_again(self) -> None:
        if self.dark:
            lapse_s = min(self.back_s, _LAPSE_S)
            await asyncio.sleep(lapse_s)
            if self.back_s > _LAPSE_S:
                await self.register(self.target_id, False)
            await asyncio.sleep(self.back_s - lapse_s)
            self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
            if not self.keeps_id:
                await self.register(self.target_id, False)
                self.target_id = f'{self._first_id}-{self._starts}'
            await self.return_from_dark()
        else:
            await asyncio.sleep(self.back_s)
            await self.register(self.target_id, False)
            self.target_id = f'{self._first_id}-{self._starts}'
            await self.start_again()
        await self.register(self.target_id, True)

    async def stop(self) -> None:
        """Stops listening for good."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().stop()


class CrashTrial(trials.Trial):
    """A trial with engines that a certain request ends.

    Args:
        directory: Directory for settings and logs of the processes.
        instance_count: Number of gateway processes.
        engine_count: Number of engines.
        route: Route of the request.
        back_s: Time until an engine starts again, in seconds.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        instance_count: int,
        engine_count: int,
        route: str,
        back_s: float = 1.5,
    ) -> None:
        super().__init__(
            directory,
            instance_count,
            engine_count,
            trials.SERVICES[route],
            CrashingEngine,
        )
        self._route = route
        for engine in self.engines.values():
            engine.back_s = back_s
            engine.register = self._register_start(engine)

    def _register_start(
        self, engine: CrashingEngine
    ) -> Callable[[str, bool], Awaitable[None]]:
        async def register(target_id: str, present: bool) -> None:
            if present:
                await self.register(engine)
            else:
                await self.store.write('keyed.servers', target_id, b'')

        return register

    async def send_crashes(
        self, interval_s: float, duration_s: float, rng: random.Random
    ) -> None:
        """Sends the request that ends engines to random instances.

        Args:
            interval_s: Time between two sends, in seconds.
            duration_s: Time for which it is sent, in seconds.
            rng: Random source.
        """
        async for number in trials.pace(interval_s, duration_s):
            self.start_request(
                rng.choice(self.nodes),
                self._route,
                f'{CRASH_PREFIX}-{number}',
                CRASH_BODY,
                CRASH_PATH,
            )

    async def send_sound(
        self, rate_per_s: float, duration_s: float, rng: random.Random
    ) -> None:
        """Sends sound requests that share something with the other one.

        Each shares two of path, caller and body. Those with a common path and
        caller have a body of their own, the others are repeated often.

        Args:
            rate_per_s: Requests per second.
            duration_s: Time for which they are sent, in seconds.
            rng: Random source.
        """
        async for number in trials.pace(1.0 / rate_per_s, duration_s):
            shared = rng.choice(
                (
                    {'body': b'%d' % number},
                    {'path': 'sound'},
                    {'key': trials.OTHER_KEY},
                )
            )
            self.start_request(
                rng.choice(self.nodes),
                self._route,
                f'sound-{number}',
                **{'body': CRASH_BODY, 'path': CRASH_PATH} | shared,
            )

    async def send_repeats(
        self, rate_per_s: float, duration_s: float, rng: random.Random
    ) -> None:
        """Sends one sound request again and again to random instances.

        Args:
            rate_per_s: Requests per second.
            duration_s: Time for which it is sent, in seconds.
            rng: Random source.
        """
        async for number in trials.pace(1.0 / rate_per_s, duration_s):
            self.start_request(
                rng.choice(self.nodes),
                self._route,
                f'popular-{number}',
                b'',
                'popular',
            )

    def third_end_s(self) -> float:
        """Returns the time of the end after which further sends count."""
        ends_s = sorted(
            end_s
            for engine in self.engines.values()
            for end_s in engine.ends_s
        )
        if len(ends_s) < ENDS_MAX:
            return float('inf')
        return ends_s[ENDS_MAX - 1]

    def late_sends(self) -> int:
        """Returns how often the request reached engines too late."""
        from_s = self.third_end_s() + COUNTED_AFTER_S
        return sum(
            time_s > from_s
            for engine in self.engines.values()
            for time_s, request_id in engine.arrivals
            if request_id.startswith(CRASH_PREFIX)
            and not self.is_excused(request_id, time_s)
        )

    def served_share(self, prefix: str, from_s: float) -> float:
        """Returns the share of requests that were answered 200.

        Those at disturbed instances do not count.

        Args:
            prefix: First part of their ids.
            from_s: Monotonic time from which they were sent, in seconds.
        """
        statuses = [
            answer.status
            for request_id, answer in self.answers.items()
            if request_id.startswith(prefix)
            and answer.sent_s >= from_s
            and not self.is_excused(request_id, answer.sent_s)
        ]
        return statuses.count(200) / max(1, len(statuses))
