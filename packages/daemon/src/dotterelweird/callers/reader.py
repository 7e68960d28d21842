"""Reads one generation and replaces broken or stalled connections."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import attrs

from dotterelweir_core import backoff
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.delivery import sse
from dotterelweir_core.targets import model as targets_model
from dotterelweird import scopes
from dotterelweird import timers
from dotterelweird.callers import api
from dotterelweird.targets import api as targets_api

LOG = logging.getLogger(__name__)

# Limit on reading the rest of a response after its end mark, in seconds. The
# caller's next request on the same connection waits for it.
_READ_TO_END_TIMEOUT_S = 0.1
# A stall is detected after 1 to 1.25 times its timeout. The periodic checks
# compare sequence numbers, which costs nothing per token; reading the clock
# for each token would.
_CHECKS_PER_STALL = 4


class GenerationReader:
    """Reads the events of one generation, each exactly once and in order.

    A broken or stalled connection is replaced by a new one to the same
    generation at the same incarnation of the engine.

    Args:
        components: Dependencies of the callers' handlers.
        target: The engine, with the incarnation that runs the generation.
        stream: The open stream.
        cursor: Checks the sequence of events.
        request_id: Id of the request, for log lines.

    Attributes:
        target: The engine, with the incarnation that runs the generation.
        generation_id: Id that the engine gave to the generation.
        cursor: Checks the sequence of events.
    """

    def __init__(
        self,
        components: api.CallerComponents,
        target: targets_model.Target,
        stream: targets_api.EngineStream,
        cursor: sse.GenerationCursor,
        request_id: str,
    ) -> None:
        self._components = components
        self._timer = components.timer
        self._delivery = components.settings.delivery
        self._stream = stream
        self._chunks: AsyncIterator[bytes] = aiter(stream.chunks())
        self._request_id = request_id
        self._backoff = resume_backoff(
            components, self._delivery.resume_attempts
        )
        self._progressed = False
        # Whether the reader waits for events of the engine. False while it
        # waits for the caller or resumes, as neither is a stall of the engine.
        self._awaiting_engine = False
        self._checked_sequence = -1
        self._checks_without_progress = 0
        self._watchdog: core_timers.TimerHandle | None = None
        self.target = target
        self.generation_id = stream.generation_id
        self.cursor = cursor

    async def read(self) -> bytes:
        """Reads the next events for the caller.

        Returns:
            The events as bytes; empty after the end mark.

        Raises:
            DotterelweirError: GENERATION_LOST when the generation cannot be
                resumed.
        """
        cursor = self.cursor
        self._awaiting_engine = True
        try:
            while not cursor.complete:
                try:
                    chunk = await anext(self._chunks, b'')
                except errors.DotterelweirError as error:
                    await self._resume(error.detail)
                    continue
                if not chunk:
                    await self._resume('the link ended before the end mark')
                    continue
                event_bytes = cursor.feed(chunk)
                if cursor.fault is not None:
                    # The events before the fault are in order and are
                    # returned first. The connection is closed, so the next
                    # read resumes the generation.
                    self._reject_answer()
                if event_bytes:
                    self._progressed = True
                    return event_bytes
            return b''
        finally:
            self._awaiting_engine = False

    async def forward(
        self,
        write: Callable[[bytes], Awaitable[None]],
        after_write: Callable[[], bool],
        drain: Callable[[], Awaitable[None]],
    ) -> None:
        """Forwards all events up to the end mark.

        Equivalent to calling ``read`` in a loop, but with one await for the
        read and one for the write of a chunk, as in a relay without checks.

        Args:
            write: Sends events to the caller.
            after_write: Called after each write; returns whether to await
                ``drain``.
            drain: Waits until the caller's write buffer has space.

        Raises:
            DotterelweirError: GENERATION_LOST when the generation cannot be
                resumed.
        """
        cursor = self.cursor
        feed = cursor.feed
        try:
            while not cursor.complete:
                reason = 'the link ended before the end mark'
                self._awaiting_engine = True
                try:
                    async for chunk in self._chunks:
                        event_bytes = feed(chunk)
                        if event_bytes:
                            self._awaiting_engine = False
                            self._progressed = True
                            await write(event_bytes)
                            if after_write():
                                await drain()
                            self._awaiting_engine = True
                        if cursor.fault is not None:
                            self._reject_answer()
                            break
                        if cursor.complete:
                            return
                except errors.DotterelweirError as error:
                    reason = error.detail
                await self._resume(reason)
        finally:
            self._awaiting_engine = False

    def watch_stalls(self) -> None:
        """Starts to replace the connection whenever it makes no progress.

        Not used before the first token, as the engine may queue the request
        for a long time.
        """
        if self._watchdog is None:
            self._watchdog = self._timer.call_every(
                self._delivery.stall_timeout_s / _CHECKS_PER_STALL,
                self._check_stall,
            )

    async def read_to_end(self) -> None:
        """Reads the end of the body so that the connection can be reused.

        Closes the connection if the body does not end in time and without
        an error.
        """
        timeout_error = errors.DotterelweirError(
            errors.ErrorKind.TARGET_FAILED
        )
        try:
            with scopes.deadline(
                self._timer, _READ_TO_END_TIMEOUT_S, timeout_error
            ):
                await anext(self._chunks, b'')
        except errors.DotterelweirError:
            # The caller has its complete answer, so this is no failure; the
            # connection is just not reused.
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Closes the connection; the generation can still be resumed."""
        if self._watchdog is not None:
            self._watchdog.cancel()
            self._watchdog = None
        self._stream.close()

    def cancel_generation(self) -> None:
        """Cancels the generation at the engine, in the background."""
        self._components.in_flight.run_in_background(self._cancel())

    async def _cancel(self) -> None:
        try:
            await self._components.engines.cancel(
                self.target, self.generation_id
            )
        except errors.DotterelweirError as error:
            events.log(
                LOG,
                events.CANCEL_FAILED,
                request_id=self._request_id,
                target_id=self.target.target_id,
                detail=error.detail,
            )

    def limit_resumes(self, attempts: int) -> None:
        """Limits the attempts to resume until there is progress.

        Args:
            attempts: Maximum number of attempts.
        """
        self._backoff = resume_backoff(self._components, attempts)

    async def _resume(self, reason: str) -> None:
        self._awaiting_engine = False
        self._stream.close()
        if self._progressed:
            self.limit_resumes(self._delivery.resume_attempts)
            self._progressed = False
        try:
            stream = await resume_stream(
                self._components,
                self.target,
                self.generation_id,
                self.cursor.next_sequence - 1,
                self._backoff,
                errors.DotterelweirError(
                    errors.ErrorKind.TARGET_FAILED, reason
                ),
            )
        except errors.DotterelweirError as error:
            raise self._generation_lost_error(error.detail) from error
        self._stream = stream
        self._chunks = aiter(stream.chunks())
        self.cursor.prepare_resume()
        self._awaiting_engine = True
        self._components.metrics.resumes.inc({'target': self.target.target_id})
        events.log(
            LOG,
            events.GENERATION_RESUMED,
            request_id=self._request_id,
            target_id=self.target.target_id,
            generation_id=self.generation_id,
            next_sequence=self.cursor.next_sequence,
            reason=reason,
        )

    def _generation_lost_error(self, detail: str) -> errors.DotterelweirError:
        return errors.DotterelweirError(
            errors.ErrorKind.GENERATION_LOST,
            f'the generation cannot be resumed: {detail}',
            errors.Execution.RAN
            if self.cursor.next_sequence
            else errors.Execution.UNKNOWN,
        )

    def _reject_answer(self) -> None:
        events.log(
            LOG,
            events.ANSWER_REJECTED,
            request_id=self._request_id,
            target_id=self.target.target_id,
            generation_id=self.generation_id,
            next_sequence=self.cursor.next_sequence,
            fault=self.cursor.fault,
        )
        self._stream.close()
        self._chunks = _no_chunks()

    def _check_stall(self) -> None:
        # Keep-alive comments and dropped duplicates do not advance the
        # sequence, so they do not count as progress.
        sequence = self.cursor.next_sequence
        if not self._awaiting_engine or sequence != self._checked_sequence:
            self._checked_sequence = sequence
            self._checks_without_progress = 0
            return
        self._checks_without_progress += 1
        if self._checks_without_progress >= _CHECKS_PER_STALL:
            self._checks_without_progress = 0
            self._stream.close()


def resume_backoff(
    components: api.CallerComponents, attempts: int
) -> backoff.Backoff:
    """Returns the delays between the attempts to resume a generation.

    Args:
        components: Dependencies of the callers' handlers.
        attempts: Maximum number of attempts.
    """
    return backoff.Backoff(
        components.rng,
        first_s=min(0.05, components.settings.delivery.stall_timeout_s),
        cap_s=1.0,
        attempts=attempts,
    )


async def resume_stream(
    components: api.CallerComponents,
    target: targets_model.Target,
    generation_id: str,
    last_sequence: int,
    delays: backoff.Backoff,
    failure: errors.DotterelweirError | None = None,
) -> targets_api.EngineStream:
    """Opens the stream of a running generation, with retries.

    Args:
        components: Dependencies of the callers' handlers.
        target: The engine, with the incarnation that runs the generation.
        generation_id: Id that the engine gave to the generation.
        last_sequence: Sequence number of the last event that was received;
            -1 for none.
        delays: Delays between the attempts.
        failure: Why the last connection ended. With None, the first attempt
            is made without a delay.

    Raises:
        DotterelweirError: RESUME_EXPIRED, or the last failure when the
            attempts are used up.
    """
    while True:
        if failure is not None:
            delay_s = delays.next_delay_s()
            if delay_s is None:
                raise failure
            await timers.sleep(components.timer, delay_s)
        try:
            return await components.engines.resume(
                target,
                generation_id,
                last_sequence,
                components.settings.delivery.stall_timeout_s,
            )
        except errors.DotterelweirError as error:
            if error.kind is errors.ErrorKind.RESUME_EXPIRED:
                raise
            failure = error


async def _no_chunks() -> AsyncIterator[bytes]:
    """Yields no chunks; replaces the chunks of a rejected answer."""
    return
    yield b''


def make_reader(
    components: api.CallerComponents,
    target: targets_model.Target,
    stream: targets_api.EngineStream,
    resume_token: str,
    request_id: str,
    next_sequence: int = 0,
) -> GenerationReader:
    """Creates a reader of a stream that was just opened.

    Args:
        components: Dependencies of the callers' handlers.
        target: The engine that opened the stream.
        stream: The stream.
        resume_token: Signed token at the start of each event id.
        request_id: Id of the request.
        next_sequence: Sequence number of the next event.
    """
    cursor = sse.GenerationCursor(f'{resume_token}.'.encode(), next_sequence)
    engine = attrs.evolve(target, incarnation=stream.incarnation)
    return GenerationReader(components, engine, stream, cursor, request_id)
