"""Reads one generation over as many links to its engine as it takes."""

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

# The caller's next request on its connection waits for this.
_SETTLE_TIMEOUT_S = 0.1
# A stall is found after one to one and a quarter of its time-out. Checks that
# compare the sequence cost nothing per token, unlike a clock read for each.
_CHECKS_PER_STALL = 4


class GenerationReader:
    """Reads the events of one generation, each one once and in order.

    A broken or stalled link is replaced by another one to the same
    generation at the same incarnation of the engine.

    Args:
        parts: The parts of the callers' side.
        target: The engine, with the incarnation that runs the generation.
        stream: The open stream.
        cursor: Checks the sequence.
        request_id: Name of the request, for log lines.

    Attributes:
        target: The engine.
        generation_id: The engine's name of the generation.
        cursor: The sequence check.
    """

    def __init__(
        self,
        parts: api.CallerParts,
        target: targets_model.Target,
        stream: targets_api.EngineStream,
        cursor: sse.GenerationCursor,
        request_id: str,
    ) -> None:
        self._parts = parts
        self._timer = parts.timer
        self._delivery = parts.settings.delivery
        self._stream = stream
        self._chunks: AsyncIterator[bytes] = aiter(stream.chunks())
        self._request_id = request_id
        self._backoff = resume_backoff(parts, self._delivery.resume_attempts)
        self._progressed = False
        # Whether the engine, and not the caller, has to act next.
        self._awaiting_engine = False
        self._checked_sequence = -1
        self._checks_without_progress = 0
        self._watchdog: core_timers.TimerHandle | None = None
        self.target = target
        self.generation_id = stream.generation_id
        self.cursor = cursor

    async def read(self) -> bytes:
        """The next events for the caller; empty after the end mark.

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
                    # What precedes the fault is in order and goes out
                    # first; the closed link makes the next read resume.
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
        """Reads everything up to the end mark and writes it on.

        The same as ``read`` in a loop, but with as few awaits per token as
        a bare relay.

        Args:
            write: Takes the next events.
            written: Called after each write; returns whether ``drain`` is
                to be waited for.
            drain: Waits until the caller has caught up.

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
        """Replaces the link when it makes no progress from now on.

        Not used before the first token, when the engine may queue the
        request for long.
        """
        if self._watchdog is None:
            self._watchdog = self._timer.call_every(
                self._delivery.stall_timeout_s / _CHECKS_PER_STALL,
                self._check_stall,
            )

    async def settle(self) -> None:
        """Reads the end of the body so that the connection can be reused.

        Anything but a prompt and clean end closes the connection.
        """
        timeout_error = errors.DotterelweirError(
            errors.ErrorKind.TARGET_FAILED
        )
        try:
            with scopes.deadline(
                self._timer, _SETTLE_TIMEOUT_S, timeout_error
            ):
                await anext(self._chunks, b'')
        except errors.DotterelweirError:
            # The caller has its whole answer; only the connection is lost.
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Closes the link; the engine keeps the generation."""
        if self._watchdog is not None:
            self._watchdog.cancel()
            self._watchdog = None
        self._stream.close()

    def cancel_generation(self) -> None:
        """Tells the engine that nobody can resume the generation."""
        self._parts.in_flight.run_in_background(self._cancel())

    async def _cancel(self) -> None:
        try:
            await self._parts.engines.cancel(self.target, self.generation_id)
        except errors.DotterelweirError as error:
            events.log(
                LOG,
                events.CANCEL_FAILED,
                request_id=self._request_id,
                target_id=self.target.target_id,
                detail=error.detail,
            )

    def limit_resumes(self, attempts: int) -> None:
        """Bounds the resumes until there is progress."""
        self._backoff = resume_backoff(self._parts, attempts)

    async def _resume(self, reason: str) -> None:
        self._awaiting_engine = False
        self._stream.close()
        if self._progressed:
            self.limit_resumes(self._delivery.resume_attempts)
            self._progressed = False
        try:
            stream = await resume_stream(
                self._parts,
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
        self._parts.metrics.resumes.inc({'target': self.target.target_id})
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
        # Comments that keep the link alive and dropped duplicates do not
        # move the sequence, so they are no progress.
        sequence = self.cursor.next_sequence
        if not self._awaiting_engine or sequence != self._checked_sequence:
            self._checked_sequence = sequence
            self._checks_without_progress = 0
            return
        self._checks_without_progress += 1
        if self._checks_without_progress >= _CHECKS_PER_STALL:
            self._checks_without_progress = 0
            self._stream.close()


def resume_backoff(parts: api.CallerParts, attempts: int) -> backoff.Backoff:
    """The delays between the attempts to resume one generation."""
    return backoff.Backoff(
        parts.rng,
        first_s=min(0.05, parts.settings.delivery.stall_timeout_s),
        cap_s=1.0,
        attempts=attempts,
    )


async def resume_stream(
    parts: api.CallerParts,
    target: targets_model.Target,
    generation_id: str,
    last_sequence: int,
    delays: backoff.Backoff,
    failure: errors.DotterelweirError | None = None,
) -> targets_api.EngineStream:
    """Opens the stream of a running generation, with retries.

    Args:
        parts: The parts of the callers' side.
        target: The engine.
        generation_id: The engine's name of the generation.
        last_sequence: Last event that was received; -1 for none.
        delays: Delays between the attempts.
        failure: Why the last link ended; None tries at once.

    Raises:
        DotterelweirError: RESUME_EXPIRED, or the last failure.
    """
    while True:
        if failure is not None:
            delay_s = delays.next_delay_s()
            if delay_s is None:
                raise failure
            await timers.sleep(parts.timer, delay_s)
        try:
            return await parts.engines.resume(
                target,
                generation_id,
                last_sequence,
                parts.settings.delivery.stall_timeout_s,
            )
        except errors.DotterelweirError as error:
            if error.kind is errors.ErrorKind.RESUME_EXPIRED:
                raise
            failure = error


async def _no_chunks() -> AsyncIterator[bytes]:
    """The chunks of a link that must not be read any further."""
    return
    yield b''


def make_reader(
    parts: api.CallerParts,
    target: targets_model.Target,
    stream: targets_api.EngineStream,
    token: str,
    request_id: str,
    next_sequence: int = 0,
) -> GenerationReader:
    """Makes a reader of a stream that was just opened.

    Args:
        parts: The parts of the callers' side.
        target: The engine that was asked.
        stream: The stream.
        token: TOKEN of the event ids.
        request_id: Name of the request.
        next_sequence: The sequence number that comes next.
    """
    cursor = sse.GenerationCursor(f'{token}.'.encode(), next_sequence)
    engine = attrs.evolve(target, incarnation=stream.incarnation)
    return GenerationReader(parts, engine, stream, cursor, request_id)
