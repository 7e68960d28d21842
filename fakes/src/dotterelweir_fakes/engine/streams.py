"""Event streams of generations, with injected faults."""

import asyncio
import typing

from aiohttp import web

from dotterelweir_fakes.engine import batch
from dotterelweir_fakes.engine import faults
from dotterelweir_fakes.engine import tokens

if typing.TYPE_CHECKING:
    from dotterelweir_fakes.engine import app


async def send(
    engine: 'app.Engine',
    request: web.Request,
    generation: batch.Generation,
    last_sequence: int,
    fault: faults.Fault | None,
) -> web.StreamResponse:
    """Sends the events of a generation as the response to a request.

    Args:
        engine: The engine.
        request: Request that started or resumes the generation.
        generation: The generation.
        last_sequence: Id of the last event that the client has; -1 for none.
        fault: Fault of this response, if any.

    Returns:
        The response, also if the connection broke.
    """
    stream = _Stream(engine, request, generation, fault)
    engine.add_reader(generation)
    generation.listeners.add(stream.wake)
    try:
        return await stream.run(last_sequence + 1)
    except ConnectionError:
        return stream.response
    finally:
        generation.listeners.discard(stream.wake)
        engine.remove_reader(generation)


class _Stream:
    """One response that sends the events of a generation.

    Attributes:
        response: The response.
    """

    def __init__(
        self,
        engine: 'app.Engine',
        request: web.Request,
        generation: batch.Generation,
        fault: faults.Fault | None,
    ) -> None:
        self._engine = engine
        self._request = request
        self._generation = generation
        self._fault = fault
        self._changed = asyncio.Event()
        self.response = web.StreamResponse()

    def wake(self) -> None:
        """Wakes the stream after a change of the generation."""
        self._changed.set()

    async def run(self, index: int) -> web.StreamResponse:
        """Sends the events from ``index`` on and the end mark.

        Raises:
            ConnectionError: The connection broke, or a fault aborted it.
        """
        generation = self._generation
        await self._prepare()
        while True:
            self._changed.clear()
            if generation.cancelled:
                self._abort()
                return self.response
            ready = len(generation.events)
            if self._fault is None and index < ready:
                await self.response.write(
                    b''.join(generation.events[index:ready])
                )
                index = ready
            while index < ready:
                await self._send_one(index)
                index += 1
            if generation.done and index >= len(generation.events):
                break
            await self._changed.wait()
        await self._apply_fault(-1)
        await self.response.write(tokens.END_MARK)
        await self.response.write_eof()
        return self.response

    async def _prepare(self) -> None:
        request_id = self._request.headers.get('X-Request-Id', '')
        generation_id = self._generation.generation_id
        match self._fault:
            case faults.Fault(kind=faults.FaultKind.WRONG_REQUEST_ID):
                request_id = 'another-request'
            case faults.Fault(kind=faults.FaultKind.OTHER_GENERATION):
                generation_id = 'ffffffffffffffff'
            case faults.Fault(kind=faults.FaultKind.DELAY_HEADERS):
                await self._wait(self._fault.duration_s)
        self.response.headers.update(
            {
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                'X-Request-Id': request_id,
                'X-Generation-Id': generation_id,
                'X-Incarnation': str(self._engine.target.incarnation),
                'X-Target-State': self._engine.state.value,
            }
        )
        await self.response.prepare(self._request)

    async def _send_one(self, index: int) -> None:
        event = self._generation.events[index]
        send_count = await self._apply_fault(index)
        for _ in range(send_count):
            await self.response.write(event)

    async def _apply_fault(self, index: int) -> int:
        """Applies the fault if it occurs before this event.

        Args:
            index: Index of the next event; -1 for the end mark.

        Returns:
            How often the event is to be sent.

        Raises:
            ConnectionResetError: The fault aborted the connection.
        """
        fault = self._fault
        if fault is None or fault.at != index:
            return 1
        match fault.kind:
            case faults.FaultKind.DIE:
                self._engine.die()
                raise ConnectionResetError
            case faults.FaultKind.CUT:
                self._abort()
                raise ConnectionResetError
            case faults.FaultKind.STALL:
                await self._wait(fault.duration_s)
            case faults.FaultKind.DUPLICATE_EVENT:
                return 2
            case faults.FaultKind.SKIP_EVENT:
                return 0
        return 1

    def _abort(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _wait(self, duration_s: float | None) -> None:
        """Waits for some seconds; None waits until the client disconnects."""
        future = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not future.done():
                future.set_result(None)

        handle = None
        if duration_s is not None:
            handle = self._engine.timer.call_after(duration_s, wake)
        try:
            await future
        finally:
            if handle is not None:
                handle.cancel()
