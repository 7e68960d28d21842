"""Answers chat and completion requests, streamed and not streamed."""

from collections.abc import Iterator
import contextlib
import logging

from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweird import scopes
from dotterelweird.callers import api
from dotterelweird.callers import attempts as attempts_module
from dotterelweird.callers import collect
from dotterelweird.callers import problems
from dotterelweird.callers import relay as relay_module
from dotterelweird.callers import requests

LOG = logging.getLogger(__name__)

# Tokens already reported when the stream opens: record_first_token reports the
# first token alone, though its chunk may contain more.
_FIRST_TOKEN_COUNT = 1

# Errors after which an attempt counts as cancelled, not as failed.
_CANCELLING_KINDS = frozenset(
    {errors.ErrorKind.REQUEST_TIMEOUT, errors.ErrorKind.SHUTTING_DOWN}
)


async def handle(
    components: api.CallerComponents,
    request: web.Request,
    route: tables_model.Route,
    item: policy_api.WorkItem,
    completion: requests.CompletionRequest,
    body: bytes,
) -> web.StreamResponse:
    """Answers one completion request.

    Args:
        components: Dependencies of the callers' handlers.
        request: The caller's request.
        route: The route that matched the request.
        item: The request as the scheduler sees it.
        completion: The parsed request.
        body: The complete body of the request.

    Returns:
        The complete document, or the stream after its end.

    Raises:
        DotterelweirError: There is no answer, and no stream was started.
    """
    engine_body = completion.engine_body(body, item.max_output_tokens)
    answer = _Answer(
        components,
        request,
        item,
        attempts_module.GenerationAttempts(
            components, item, request.path, engine_body, completion.streamed
        ),
    )
    if completion.streamed:
        return await answer.respond_with_stream()
    return await answer.respond_with_document(completion.chat)


@attrs.define(eq=False)
class _Answer:
    """Answers one request and records the end of its attempt."""

    _components: api.CallerComponents
    _request: web.Request
    _item: policy_api.WorkItem
    _attempts: attempts_module.GenerationAttempts
    _opened: attempts_module.OpenedGeneration | None = None
    _ended: bool = False

    async def respond_with_stream(self) -> web.StreamResponse:
        """Answers with server-sent events.

        An error after the first token ends the stream with an event.

        Raises:
            DotterelweirError: No engine produced a token.
        """
        relay = relay_module.StreamRelay(
            self._components, self._request, self._item.request_id
        )
        error = None
        try:
            with self._until_deadline():
                opened = await self._open()
                await relay.start()
                await relay.run(
                    opened.reader,
                    opened.first_events,
                    self._record_tokens,
                    _FIRST_TOKEN_COUNT,
                )
        except errors.DotterelweirError as exc:
            error = self._attempts.with_overall_execution(exc)
        except ConnectionError:
            # The caller disconnected and may resume within the resume
            # window, so the engine keeps the generation.
            self._request[requests.OUTCOME] = requests.CALLER_GONE
            self._end_attempt(policy_api.AttemptEnd.CANCELLED)
            return relay.response
        except Exception:
            if self._opened is None:
                raise
            error = self._attempts.with_overall_execution(
                problems.log_unexpected_error(self._item.request_id)
            )
        except BaseException:
            self._end_attempt(policy_api.AttemptEnd.CANCELLED)
            raise
        if self._opened is None:
            return await self._end_without_token(relay, error)
        await self._end_stream(relay, self._opened, error)
        return relay.response

    async def respond_with_document(self, chat: bool) -> web.Response:
        """Answers with one JSON document.

        Args:
            chat: Whether the request is a chat completion.

        Raises:
            DotterelweirError: There is no complete answer.
        """
        collector = collect.ChunkCollector(chat)
        try:
            with self._until_deadline():
                opened = await self._open()
                await self._collect_answer(opened, collector)
        except errors.DotterelweirError as exc:
            error = self._attempts.with_overall_execution(exc)
            self._end_attempt(
                _attempt_end_of(error), cancel=error.kind in _CANCELLING_KINDS
            )
            raise error from exc
        except BaseException:
            # A caller cannot resume an answer that is not streamed.
            self._end_attempt(policy_api.AttemptEnd.CANCELLED, cancel=True)
            raise
        self._end_attempt(policy_api.AttemptEnd.COMPLETE, close=False)
        self._components.in_flight.run_in_background(
            opened.reader.read_to_end()
        )
        return web.Response(
            body=collector.document(),
            content_type='application/json',
            headers={requests.REQUEST_ID_HEADER: self._item.request_id},
        )

    @contextlib.contextmanager
    def _until_deadline(self) -> Iterator[None]:
        """Interrupts the block at the request's deadline or a shutdown."""
        remaining_s = (
            self._item.deadline_s - self._components.timer.monotonic_s()
        )
        timeout_error = errors.DotterelweirError(
            errors.ErrorKind.REQUEST_TIMEOUT,
            'the answer was not complete in time',
        )
        with self._components.in_flight.interruptible():
            with scopes.deadline(
                self._components.timer, remaining_s, timeout_error
            ):
                yield

    async def _open(self) -> attempts_module.OpenedGeneration:
        self._opened = await self._attempts.open()
        self._components.metrics.first_token_s.observe(
            {'route': self._item.route},
            self._components.timer.monotonic_s() - self._item.arrived_s,
        )
        return self._opened

    async def _collect_answer(
        self,
        opened: attempts_module.OpenedGeneration,
        collector: collect.ChunkCollector,
    ) -> None:
        reader = opened.reader
        reader.watch_stalls()
        event_bytes = opened.first_events
        reported_tokens = _FIRST_TOKEN_COUNT
        while event_bytes:
            try:
                collector.add(event_bytes)
            except ValueError as exc:
                raise errors.DotterelweirError(
                    errors.ErrorKind.TARGET_FAILED,
                    f'the engine sent a malformed chunk: {exc}',
                    errors.Execution.RAN,
                ) from exc
            event_bytes = await reader.read()
            if reader.cursor.next_sequence > reported_tokens:
                self._record_tokens(
                    reader.cursor.next_sequence - reported_tokens
                )
                reported_tokens = reader.cursor.next_sequence

    async def _end_without_token(
        self,
        relay: relay_module.StreamRelay,
        error: errors.DotterelweirError,
    ) -> web.StreamResponse:
        await self._attempts.wait_abandoned()
        reader = self._attempts.handed_over
        if error.kind is not errors.ErrorKind.SHUTTING_DOWN or reader is None:
            raise error
        await relay.start()
        await relay.end(reader, error)
        return relay.response

    async def _end_stream(
        self,
        relay: relay_module.StreamRelay,
        opened: attempts_module.OpenedGeneration,
        error: errors.DotterelweirError | None,
    ) -> None:
        if error is None:
            self._end_attempt(policy_api.AttemptEnd.COMPLETE, close=False)
        else:
            self._request[requests.OUTCOME] = error.kind.value
            timed_out = error.kind is errors.ErrorKind.REQUEST_TIMEOUT
            self._end_attempt(_attempt_end_of(error), cancel=timed_out)
            events.log(
                LOG,
                events.STREAM_CUT,
                request_id=self._item.request_id,
                target_id=opened.target_id,
                kind=error.kind.value,
                next_sequence=opened.reader.cursor.next_sequence,
                detail=error.detail,
            )
        try:
            await relay.end(opened.reader, error)
            if error is None:
                await opened.reader.read_to_end()
        except ConnectionError:
            # The caller disconnected after its last token.
            pass
        finally:
            opened.reader.close()

    def _record_tokens(self, count: int) -> None:
        self._components.dispatcher.record_tokens(
            self._item.request_id, self._opened.target_id, count
        )

    def _end_attempt(
        self,
        end: policy_api.AttemptEnd,
        cancel: bool = False,
        close: bool = True,
    ) -> None:
        opened = self._opened
        if opened is None or self._ended:
            return
        self._ended = True
        if close:
            opened.reader.close()
        if cancel:
            opened.reader.cancel_generation()
        attempts_module.record_end(
            self._components, self._item.request_id, opened.target_id, end
        )
        self._components.metrics.tokens.add(
            {'route': self._item.route}, opened.reader.cursor.next_sequence
        )


def _attempt_end_of(error: errors.DotterelweirError) -> policy_api.AttemptEnd:
    if error.kind in _CANCELLING_KINDS:
        return policy_api.AttemptEnd.CANCELLED
    return policy_api.AttemptEnd.FAILED
