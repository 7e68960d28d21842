"""Answers calls of routes that lead to plain services."""

import asyncio

from aiohttp import web
import attrs
import multidict

from dotterelweir_core import errors
from dotterelweir_core.claims import keys
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweird.callers import api
from dotterelweird.callers import inflight
from dotterelweird.callers import requests
from dotterelweird.callers import service_attempts
from dotterelweird.claims import api as claims_api
from dotterelweird.targets import headers as header_rules

KEY_HEADER = 'Idempotency-Key'
REPLAYED_HEADER = 'Idempotency-Replayed'
# Headers of a service's response that are set again for each answer.
_REPLACED_HEADERS = frozenset(
    {'content-length', requests.REQUEST_ID_HEADER.lower()}
)


@attrs.define(eq=False)
class _Call:
    """One call, which may continue after its caller disconnects.

    Attributes:
        route: The route that matched the request.
        item: The request as the scheduler sees it.
        request: The request as received from the caller.
        progress: Whether the call may have run.
        claimed: Whether the idempotency key was claimed for this call.
    """

    route: tables_model.Route
    item: policy_api.WorkItem
    request: service_attempts.CallerRequest
    progress: service_attempts.CallProgress = attrs.field(
        factory=service_attempts.CallProgress
    )
    claimed: bool = False


class ServiceCalls(api.ServiceCallHandler):
    """Forwards calls to plain services.

    A call that may have run and is not repeatable continues to its end even
    if its caller disconnects, so that its outcome is recorded for a repeat.
    """

    def __init__(
        self,
        attempts: service_attempts.ServiceAttempts,
        claims: claims_api.Claims,
        in_flight: inflight.InFlight,
    ) -> None:
        """Creates the handler.

        Args:
            attempts: Sends the calls.
            claims: Claims of idempotency keys.
            in_flight: Counts calls, including calls whose caller
                disconnected.
        """
        self._attempts = attempts
        self._claims = claims
        self._in_flight = in_flight
        self._running: set[asyncio.Task] = set()

    async def handle(
        self,
        request: web.Request,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        body: bytes,
    ) -> web.StreamResponse:
        call = _Call(
            route,
            attrs.evolve(item, repeatable=route.repeatable),
            service_attempts.CallerRequest(
                request.method,
                request.rel_url.raw_path_qs,
                tuple(request.headers.items()),
                body,
            ),
        )
        try:
            return await self._run_shielded(call)
        finally:
            request[requests.CLAIMED] = call.claimed

    async def call(
        self,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        request: service_attempts.CallerRequest,
    ) -> web.Response:
        """Makes one call.

        Args:
            route: The route that matched the request.
            item: The request as the scheduler sees it.
            request: The request as received from the caller.

        Returns:
            The response to the caller.

        Raises:
            DotterelweirError: The call has no answer; the error states what
                is known about its execution.
        """
        item = attrs.evolve(item, repeatable=route.repeatable)
        return await self._run_shielded(_Call(route, item, request))

    async def _run_shielded(self, call: _Call) -> web.Response:
        task = asyncio.create_task(self._run(call))
        self._running.add(task)
        task.add_done_callback(self._on_task_done)
        try:
            with self._in_flight.interruptible():
                return await asyncio.shield(task)
        except asyncio.CancelledError:
            _cancel_unless_needed(call, task)
            raise
        except errors.DotterelweirError as error:
            if error.kind is not errors.ErrorKind.SHUTTING_DOWN:
                raise
            _cancel_unless_needed(call, task)
            raise errors.DotterelweirError(
                error.kind,
                error.detail,
                errors.Execution.UNKNOWN
                if call.progress.may_have_run
                else errors.Execution.NOT_RUN,
                error.retry_after_s,
            ) from error

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # The caller may have disconnected. The exception is retrieved so
            # that asyncio does not log it as never retrieved.
            task.exception()

    async def _run(self, call: _Call) -> web.Response:
        with self._in_flight.track_call():
            key = _idempotency_key(call.request.headers)
            if call.route.repeatable or key is None:
                response = await self._attempts.run(
                    call.item, call.request, call.progress, None
                )
                return _build_response(
                    call,
                    response.status,
                    response.headers,
                    response.body,
                )
            claimed = await self._claims.claim(
                claims_api.ClaimRequest(
                    call.item.organisation,
                    call.route,
                    key,
                    _request_hash(call.request),
                    call.item.deadline_s,
                )
            )
            if isinstance(claimed, claims_api.Outcome):
                return _replay(call, claimed)
            return await self._run_claimed(call, claimed)

    async def _run_claimed(
        self, call: _Call, grant: claims_api.Grant
    ) -> web.Response:
        call.claimed = True
        try:
            response = await self._attempts.run(
                call.item, call.request, call.progress, grant
            )
        except BaseException:
            if call.progress.may_have_run:
                grant.end(claims_api.Outcome(errors.Execution.UNKNOWN))
            else:
                grant.release()
            raise
        grant.end(
            claims_api.Outcome(
                errors.Execution.RAN,
                response.status,
                header_rules.end_to_end(response.headers, _REPLACED_HEADERS),
                response.body,
            )
        )
        return _build_response(
            call, response.status, response.headers, response.body
        )


def _cancel_unless_needed(call: _Call, task: asyncio.Task) -> None:
    """Cancels a call that is repeatable or cannot have run."""
    if call.route.repeatable or not call.progress.may_have_run:
        task.cancel()


def _idempotency_key(headers: tuple[tuple[str, str], ...]) -> str | None:
    values = [
        value for name, value in headers if name.lower() == KEY_HEADER.lower()
    ]
    if len(values) > 1:
        raise errors.DotterelweirError(
            errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
            f'The request has {len(values)} {KEY_HEADER} headers',
        )
    return values[0] if values else None


def _request_hash(request: service_attempts.CallerRequest) -> str:
    content_types = [
        value
        for name, value in request.headers
        if name.lower() == 'content-type'
    ]
    return keys.digest(
        request.method.encode(),
        request.path_and_query.encode(),
        ','.join(content_types).encode(),
        request.body,
    )


def _replay(call: _Call, outcome: claims_api.Outcome) -> web.Response:
    if outcome.status is None or outcome.body is None:
        raise errors.DotterelweirError(
            errors.ErrorKind.CLAIM_OUTCOME_UNAVAILABLE,
            '',
            outcome.execution,
        )
    response = _build_response(
        call, outcome.status, outcome.headers, outcome.body
    )
    response.headers[REPLAYED_HEADER] = 'true'
    return response


def _build_response(
    call: _Call,
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> web.Response:
    response_headers: multidict.CIMultiDict[str] = multidict.CIMultiDict(
        header_rules.end_to_end(headers, _REPLACED_HEADERS)
    )
    response_headers[requests.REQUEST_ID_HEADER] = call.item.request_id
    return web.Response(status=status, headers=response_headers, body=body)
