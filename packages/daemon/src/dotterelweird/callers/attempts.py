"""Runs attempts at engines until one produces the first token."""

import asyncio
import logging

import attrs

from dotterelweir_core import backoff
from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.delivery import resume
from dotterelweir_core.policy import api as policy_api
from dotterelweird import scopes
from dotterelweird import timers
from dotterelweird.callers import api
from dotterelweird.callers import reader as reader_module
from dotterelweird.targets import api as targets_api

LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class OpenedGeneration:
    """A generation that has produced its first token.

    Attributes:
        target_id: Name of the engine.
        reader: Reads the remaining events.
        first_events: The first events for the caller, as bytes.
    """

    target_id: str
    reader: reader_module.GenerationReader
    first_events: bytes


class GenerationAttempts:
    """The attempts of one request up to its first token.

    Args:
        components: Dependencies of the callers' handlers.
        item: The request as the scheduler sees it.
        path: Path of the request at the engine.
        body: Body of the request for the engine.
        resumable: Whether the caller can resume the generation.

    Attributes:
        handed_over: A generation without a token that the caller can
            resume at another instance. Set only while this instance shuts
            down.
    """

    def __init__(
        self,
        components: api.CallerComponents,
        item: policy_api.WorkItem,
        path: str,
        body: bytes,
        resumable: bool,
    ) -> None:
        self._components = components
        self._timer = components.timer
        self._delivery = components.settings.delivery
        self._item = item
        self._path = path
        self._body = body
        self._resumable = resumable
        self._attempt_count = 0
        # Attempts that are running, or that ended without a certain
        # statement that the engine ran nothing.
        self._maybe_run_count = 0
        self._produced = False
        self._abandoned: list[asyncio.Task[OpenedGeneration]] = []
        self._finished_tasks: asyncio.Queue[asyncio.Task[OpenedGeneration]] = (
            asyncio.Queue()
        )
        self._tasks: dict[
            asyncio.Task[OpenedGeneration], policy_api.Placement
        ] = {}
        self.handed_over: reader_module.GenerationReader | None = None

    @property
    def execution(self) -> errors.Execution:
        """What is known about the execution, over all attempts."""
        if self._produced:
            return errors.Execution.RAN
        if self._maybe_run_count:
            return errors.Execution.UNKNOWN
        return errors.Execution.NOT_RUN

    async def open(self) -> OpenedGeneration:
        """Runs attempts until one produces the first token.

        Returns:
            The generation that produced the token.

        Raises:
            DotterelweirError: No engine produced a token. The property
                ``execution`` states what is known about the request.
        """
        self._components.retry_budget.record_request()
        delays = backoff.Backoff(self._components.rng, first_s=0.02, cap_s=0.5)
        failure: errors.DotterelweirError | None = None
        try:
            while True:
                try:
                    placement = await self._components.dispatcher.place(
                        self._item, on_hedge=self._start_attempt
                    )
                except errors.DotterelweirError as refusal:
                    if failure is None:
                        raise
                    # The failure of an attempt is more informative than
                    # the refusal of its retry.
                    raise failure from refusal
                self._start_attempt(placement)
                try:
                    return await self._wait_for_first_token()
                except errors.DotterelweirError as error:
                    if not self._may_retry(error):
                        raise
                    failure = error
                await timers.sleep(self._timer, delays.next_delay_s() or 0)
        finally:
            self._abandon_all()

    async def wait_abandoned(self) -> None:
        """Waits until the abandoned attempts have ended."""
        await asyncio.gather(*self._abandoned, return_exceptions=True)

    def with_overall_execution(
        self, error: errors.DotterelweirError
    ) -> errors.DotterelweirError:
        """Returns the error with the execution over all attempts.

        Args:
            error: The error of the last attempt or of the stream.
        """
        execution = self.execution
        if execution is errors.Execution.NOT_RUN:
            execution = error.execution
        return errors.DotterelweirError(
            error.kind, error.detail, execution, error.retry_after_s
        )

    def _may_retry(self, error: errors.DotterelweirError) -> bool:
        if error.kind is errors.ErrorKind.MALFORMED_REQUEST:
            return False
        certain = self.execution is errors.Execution.NOT_RUN
        if not certain and not self._item.repeatable:
            return False
        return self._components.retry_budget.take()

    def _start_attempt(self, placement: policy_api.Placement) -> None:
        """Starts an attempt; also the callback for a placed hedge."""
        task = asyncio.get_running_loop().create_task(
            self._run_attempt(placement)
        )
        self._tasks[task] = placement
        task.add_done_callback(self._finished_tasks.put_nowait)

    async def _wait_for_first_token(self) -> OpenedGeneration:
        failure: Exception | None = None
        while self._tasks:
            task = await self._finished_tasks.get()
            if self._tasks.pop(task, None) is None:
                continue
            error = task.exception()
            if error is None:
                opened = task.result()
                self._produced = True
                self._components.dispatcher.record_first_token(
                    self._item.request_id, opened.target_id
                )
                return opened
            if not isinstance(error, errors.DotterelweirError):
                raise error
            failure = error
        raise failure or errors.DotterelweirError(errors.ErrorKind.INTERNAL)

    def _abandon_all(self) -> None:
        """Ends all attempts that were not chosen.

        Either another attempt was first, or the caller disconnected.
        """
        for task, placement in self._tasks.items():
            if not task.done():
                task.cancel()
                self._abandoned.append(task)
            elif not task.cancelled() and task.exception() is None:
                self._discard(placement, task.result().reader)
        self._tasks.clear()

    def _discard(
        self,
        placement: policy_api.Placement,
        reader: reader_module.GenerationReader | None,
    ) -> None:
        if reader is not None:
            reader.close()
            stopping = self._components.in_flight.handing_over
            if stopping and self._resumable and self.handed_over is None:
                self.handed_over = reader
            else:
                reader.cancel_generation()
        self._record_end(placement, policy_api.AttemptEnd.CANCELLED)

    def _record_end(
        self, placement: policy_api.Placement, end: policy_api.AttemptEnd
    ) -> None:
        record_end(
            self._components, self._item.request_id, placement.target_id, end
        )

    async def _run_attempt(
        self, placement: policy_api.Placement
    ) -> OpenedGeneration:
        reader = None
        self._maybe_run_count += 1
        try:
            with scopes.deadline(
                self._timer,
                self._delivery.first_token_timeout_s,
                errors.DotterelweirError(
                    errors.ErrorKind.TARGET_FAILED,
                    'no first token in time',
                    errors.Execution.UNKNOWN,
                ),
            ):
                reader = await self._start_generation(placement)
                first_events = await reader.read()
        except errors.DotterelweirError as error:
            self._record_failure(placement, reader, error)
            raise
        except BaseException:
            # The attempt was cancelled, or this code has a fault.
            self._discard(placement, reader)
            raise
        return OpenedGeneration(placement.target_id, reader, first_events)

    async def _start_generation(
        self, placement: policy_api.Placement
    ) -> reader_module.GenerationReader:
        target = self._components.find_target(placement.target_id, None)
        if target is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.TARGET_UNREACHABLE, 'the target has gone'
            )
        self._attempt_count += 1
        engine_stream = await self._components.engines.start(
            target,
            targets_api.GenerationRequest(
                f'{self._item.request_id}-{self._attempt_count}',
                self._path,
                self._body,
                placement.engine_priority,
                self._delivery.resume_window_s,
                self._delivery.first_token_timeout_s,
            ),
        )
        ref = resume.GenerationRef(
            target.target_id,
            engine_stream.incarnation,
            engine_stream.generation_id,
        )
        resume_token = self._components.codec.encode_resume_token(
            ref, self._item.organisation
        )
        reader = reader_module.make_reader(
            self._components,
            target,
            engine_stream,
            resume_token,
            self._item.request_id,
        )
        if self._item.repeatable:
            # Before the first token, an attempt at another engine is
            # preferred to further resumes.
            reader.limit_resumes(1)
        return reader

    def _record_failure(
        self,
        placement: policy_api.Placement,
        reader: reader_module.GenerationReader | None,
        error: errors.DotterelweirError,
    ) -> None:
        if error.execution is errors.Execution.NOT_RUN:
            self._maybe_run_count -= 1
        if reader is not None:
            reader.close()
            reader.cancel_generation()
        end = policy_api.AttemptEnd.FAILED
        if error.kind is errors.ErrorKind.TARGET_REFUSED:
            end = policy_api.AttemptEnd.REFUSED
        self._record_end(placement, end)
        self._item = attrs.evolve(
            self._item, excluded=self._item.excluded | {placement.target_id}
        )
        events.log(
            LOG,
            events.ATTEMPT_FAILED,
            request_id=self._item.request_id,
            target_id=placement.target_id,
            kind=error.kind.value,
            execution=error.execution.value,
            detail=error.detail,
        )


def record_end(
    components: api.CallerComponents,
    request_id: str,
    target_id: str,
    end: policy_api.AttemptEnd,
) -> None:
    """Records the end of an attempt with the dispatcher and in metrics.

    Args:
        components: Dependencies of the callers' handlers.
        request_id: Id of the request.
        target_id: Name of the engine.
        end: How the attempt ended.
    """
    components.dispatcher.record_end(request_id, target_id, end)
    components.metrics.attempts.inc({'target': target_id, 'end': end.value})
