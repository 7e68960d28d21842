"""Engines of soak tests, which record their runs."""

import asyncio
from collections.abc import Callable
import zlib

from aiohttp import web
import attrs

from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import evacuations
from dotterelweir_fakes.soak import guarantees

EVENTS_PER_ANSWER = 30
# Id of a part of prompts that crashes engines.
DEADLY_PART = 'dead'
# Parts of an answer that an engine writes before it ends under such a prompt,
# as shares of its head; above 1 for the head and part of an event.
_SHARES_WRITTEN = (0.0, 0.5, 1.0, 1.5)


class SoakEngine(fleet_engine.FakeEngine):
    """An engine that records its runs in the ledger.

    Attributes:
        runs: Runs in progress.
        end_under: Called with the id of a request under which it ends.
        sender: Returns the instance that a request was sent to by its
            caller: its name, and the time of its last disturbance in seconds.
        evacuations: Checks what arrives in evacuated zones; None for no
            check.
    """

    def __init__(
        self,
        target_id: str,
        ledger: guarantees.Ledger,
        end_under: Callable[[str], None] = lambda request_id: None,
    ) -> None:
        super().__init__(target_id)
        self.end_under = end_under
        self.sender: Callable[[str], tuple[str, float]] | None = None
        self.evacuations: evacuations.Evacuations | None = None
        self._ledger = ledger
        self.runs: list[guarantees.Run] = []
        self.behaviour = fleet_engine.Behaviour(
            events=EVENTS_PER_ANSWER, event_s=0.02
        )

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get('X-Attempt-Id', '')
        now_s = asyncio.get_running_loop().time()
        sender = self.sender(request_id) if self.sender else None
        if sender is not None:
            self._ledger.record_arrival(
                self.target_id, sender[0], now_s, sender[1]
            )
            if self.evacuations is not None:
                self.evacuations.record_arrival(
                    self.target_id, self.zone, sender[0], now_s, sender[1]
                )
        response = await super()._respond(request)
        pause_s = response.headers.get('Retry-After')
        if sender is not None and pause_s is not None:
            self._ledger.record_pause(
                self.target_id,
                sender[0],
                asyncio.get_running_loop().time(),
                float(pause_s),
            )
        return response

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        request_id = headers.get('x-attempt-id', '')
        run = self._ledger.begin_run(
            request_id,
            self.target_id,
            'kv-from' in headers or 'last-event-id' in headers,
            loop.time(),
        )
        self.runs.append(run)
        try:
            if f'{DEADLY_PART}:' in headers.get('x-prompt-prefix', ''):
                await self._begin_and_end(request, headers)
            return await super()._run(request, headers, body)
        except asyncio.CancelledError:
            stopped_s = self.stopped_runs.get(request_id, 0.0)
            if self.behaviour.keeps_running and stopped_s < run.begun_s:
                # It works on to its end, as nothing has stopped the run.
                await asyncio.sleep(self.behaviour.pause_s)
            raise
        finally:
            self._end_run(run, headers.get('x-attempt-id', ''))

    def _end_run(self, run: guarantees.Run, request_id: str) -> None:
        run.ended_s = asyncio.get_running_loop().time()
        self.runs.remove(run)

    async def _begin_and_end(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> None:
        """Ends before, within or after the head of an answer."""
        request_id = headers['x-attempt-id']
        share = _SHARES_WRITTEN[zlib.crc32(request_id.encode()) % 4]
        request.transport.write(self.answer_start(request_id, share))
        await asyncio.sleep(0.01)
        self.end_under(request_id)
        # The end of the connection cancels the request.
        await asyncio.sleep(3600)


class PlannedEngine(SoakEngine):
    """An engine that handles each request as planned for it.

    Attributes:
        behaviours: Behaviour by id of the request.
    """

    def __init__(
        self,
        target_id: str,
        ledger: guarantees.Ledger,
        behaviours: dict[str, fleet_engine.Behaviour],
    ) -> None:
        super().__init__(target_id, ledger)
        self.behaviours = behaviours

    def behaviour_of(self, request_id: str) -> fleet_engine.Behaviour:
        return self.behaviours.get(request_id, self.behaviour)

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        request_id = headers.get('x-attempt-id', '')
        if self._ledger.runs_of(request_id):
            behaviour = self.behaviour_of(request_id)
            self.behaviours[request_id] = attrs.evolve(
                behaviour, pause_after=self._further_pause(behaviour)
            )
        return await super()._run(request, headers, body)

    def _further_pause(self, behaviour: fleet_engine.Behaviour) -> int | None:
        """Returns after how many events a further run pauses; never here."""
        return None
