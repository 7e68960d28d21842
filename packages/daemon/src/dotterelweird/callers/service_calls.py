"""Calls of plain services on behalf of callers."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import logging

from aiohttp import web
import attrs
import multidict

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.claims import keys
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweird import claims_api
from dotterelweird import dispatch
from dotterelweird.callers import retry_budget
from dotterelweird.targets import api as targets_api
from dotterelweird.targets import headers as header_rules

LOG = logging.getLogger(__name__)

KEY_HEADER = 'Idempotency-Key'
REPLAYED_HEADER = 'Idempotency-Replayed'

StateCallback = Callable[
    [targets_model.Target, targets_model.TargetState], None
]


@attrs.frozen
class CallerRequest:
    """What the caller sent.

    Attributes:
        method: HTTP method.
        path_and_query: URL path and query, still percent-encoded.
        headers: All headers, in order; names may repeat.
        body: The whole body.
    """

    method: str
    path_and_query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceCalls:
    """Sends calls to plain services.

    A call on a repeatable route is retried on another target within a
    budget. Any other call is sent again only if no connection was made, so
    that no byte of it can have left.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        client: targets_api.ServiceClient,
        targets: Mapping[str, targets_model.Target],
        claims: claims_api.Claims,
        timer: timers.TimerService,
        budget: retry_budget.RetryBudget,
        on_state: StateCallback,
    ) -> None:
        """Creates the handler.

        Args:
            dispatcher: Places requests on targets.
            client: Adapter to plain services.
            targets: Known targets by target_id.
            claims: Claims of idempotency keys.
            timer: Source of time.
            budget: Bounds the retries.
            on_state: Told what a target says of its own state.
        """
        self._dispatcher = dispatcher
        self._client = client
        self._targets = targets
        self._claims = claims
        self._timer = timer
        self._budget = budget
        self._on_state = on_state
        self._running: set[asyncio.Task] = set()

    async def handle(
        self,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        request: CallerRequest,
    ) -> web.Response:
        """Makes the call and returns its answer.

        Raises:
            DotterelweirError: The call has no answer; the error says what
                is known of its execution.
        """
        self._budget.record_request()
        item = attrs.evolve(item, repeatable=route.repeatable)
        if route.repeatable:
            return _answer(await self._send(item, request, None), False)
        # A caller that disconnects must not abandon a call half-way, whose
        # outcome a repeat asks for.
        task = asyncio.create_task(self._run_once(route, item, request))
        self._running.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    def _forget(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # The caller may be gone; retrieves the error so that asyncio
            # does not report it as lost.
            task.exception()

    async def _run_once(
        self,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        request: CallerRequest,
    ) -> web.Response:
        key = _idempotency_key(request.headers)
        if key is None:
            return _answer(await self._send(item, request, None), False)
        claimed = await self._claims.claim(
            claims_api.ClaimRequest(
                item.organisation, route, key, _request_hash(request)
            )
        )
        if isinstance(claimed, claims_api.Outcome):
            return _replay(claimed)
        try:
            response = await self._send(item, request, claimed)
        except errors.DotterelweirError as error:
            if error.execution is errors.Execution.NOT_RUN:
                claimed.release()
            else:
                claimed.end(claims_api.Outcome(error.execution))
            raise
        except BaseException:
            claimed.end(claims_api.Outcome(errors.Execution.UNKNOWN))
            raise
        claimed.end(
            claims_api.Outcome(
                errors.Execution.RAN,
                response.status,
                response.headers,
                response.body,
            )
        )
        return _answer(response, False)

    async def _send(
        self,
        item: policy_api.WorkItem,
        request: CallerRequest,
        grant: claims_api.Grant | None,
    ) -> targets_api.ServiceResponse:
        failure: errors.DotterelweirError | None = None
        attempt = 0
        while True:
            attempt += 1
            try:
                placement = await self._dispatcher.place(item)
            except errors.DotterelweirError as error:
                raise (failure or error) from error
            try:
                return await self._attempt(
                    placement, item, request, attempt, grant
                )
            except errors.DotterelweirError as error:
                failure = _worse(failure, error)
                events.log(
                    LOG,
                    events.SERVICE_ATTEMPT_FAILED,
                    request_id=item.request_id,
                    attempt=attempt,
                    target_id=placement.target_id,
                    code=error.kind.value,
                    execution=error.execution.value,
                )
                if not self._may_retry(item, error):
                    raise failure from error
            item = attrs.evolve(
                item, excluded=item.excluded | {placement.target_id}
            )

    def _may_retry(
        self, item: policy_api.WorkItem, error: errors.DotterelweirError
    ) -> bool:
        if self._timer.monotonic_s() >= item.deadline_s:
            return False
        match error.kind:
            case errors.ErrorKind.TARGET_UNREACHABLE:
                return self._budget.try_spend()
            case (
                errors.ErrorKind.TARGET_FAILED
                | errors.ErrorKind.TARGET_REFUSED
            ):
                return item.repeatable and self._budget.try_spend()
            case _:
                return False

    async def _attempt(
        self,
        placement: policy_api.Placement,
        item: policy_api.WorkItem,
        request: CallerRequest,
        attempt: int,
        grant: claims_api.Grant | None,
    ) -> targets_api.ServiceResponse:
        end = policy_api.AttemptEnd.CANCELLED
        try:
            target = self._usable_target(placement, item, grant)
            end = policy_api.AttemptEnd.FAILED
            response = await self._client.call(
                target, self._request(item, request, attempt)
            )
            end = policy_api.AttemptEnd.COMPLETE
        except errors.DotterelweirError as error:
            if error.kind is errors.ErrorKind.TARGET_REFUSED:
                end = policy_api.AttemptEnd.REFUSED
            raise self._timed_out(item, error) from error
        except asyncio.CancelledError:
            end = policy_api.AttemptEnd.CANCELLED
            raise
        finally:
            self._dispatcher.record_end(
                item.request_id, placement.target_id, end
            )
        self._on_state(target, response.state)
        return response

    def _usable_target(
        self,
        placement: policy_api.Placement,
        item: policy_api.WorkItem,
        grant: claims_api.Grant | None,
    ) -> targets_model.Target:
        if self._timer.monotonic_s() >= item.deadline_s:
            raise errors.DotterelweirError(errors.ErrorKind.REQUEST_TIMEOUT)
        target = self._targets.get(placement.target_id)
        if target is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.TARGET_UNREACHABLE,
                f'{placement.target_id} is gone',
            )
        if grant is not None:
            grant.check_dispatch()
        return target

    def _request(
        self,
        item: policy_api.WorkItem,
        request: CallerRequest,
        attempt: int,
    ) -> targets_api.ServiceRequest:
        return targets_api.ServiceRequest(
            request_id=f'{item.request_id}.{attempt}',
            method=request.method,
            path_and_query=request.path_and_query,
            headers=request.headers,
            body=request.body,
            timeout_s=item.deadline_s - self._timer.monotonic_s(),
            repeatable=item.repeatable,
        )

    def _timed_out(
        self, item: policy_api.WorkItem, error: errors.DotterelweirError
    ) -> errors.DotterelweirError:
        if (
            error.kind is not errors.ErrorKind.TARGET_FAILED
            or self._timer.monotonic_s() < item.deadline_s
        ):
            return error
        return errors.DotterelweirError(
            errors.ErrorKind.REQUEST_TIMEOUT, '', error.execution
        )


def _worse(
    earlier: errors.DotterelweirError | None,
    latest: errors.DotterelweirError,
) -> errors.DotterelweirError:
    """The error to report, given that earlier attempts failed too.

    A later attempt that did not run says nothing of an earlier one that may
    have run.
    """
    if earlier is None or earlier.execution is errors.Execution.NOT_RUN:
        return latest
    return earlier


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


def _request_hash(request: CallerRequest) -> str:
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


def _replay(outcome: claims_api.Outcome) -> web.Response:
    if outcome.status is None or outcome.body is None:
        raise errors.DotterelweirError(
            errors.ErrorKind.CLAIM_OUTCOME_UNAVAILABLE,
            '',
            outcome.execution,
        )
    return _answer(
        targets_api.ServiceResponse(
            outcome.status,
            outcome.headers,
            outcome.body,
            targets_model.TargetState.LIVE,
        ),
        True,
    )


def _answer(
    response: targets_api.ServiceResponse, replayed: bool
) -> web.Response:
    passed_back: multidict.CIMultiDict[str] = multidict.CIMultiDict(
        header_rules.end_to_end(
            response.headers, frozenset({'content-length'})
        )
    )
    if replayed:
        passed_back[REPLAYED_HEADER] = 'true'
    return web.Response(
        status=response.status, headers=passed_back, body=response.body
    )
