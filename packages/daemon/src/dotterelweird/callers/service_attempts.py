"""Places calls of plain services on targets and makes the attempts."""

import asyncio
from collections.abc import Callable
import logging

import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.delivery import retries
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.targets import model as targets_model
from dotterelweird import dispatch
from dotterelweird.callers import api
from dotterelweird.callers import end_guard
from dotterelweird.claims import api as claims_api
from dotterelweird.targets import api as targets_api

LOG = logging.getLogger(__name__)

StateCallback = Callable[
    [targets_model.Target, targets_model.TargetState], None
]


@attrs.frozen
class CallerRequest:
    """The request as received from the caller.

    Attributes:
        method: HTTP method.
        path_and_query: URL path and query, still percent-encoded.
        headers: All headers, in order; names may repeat.
        body: The complete body.
    """

    method: str
    path_and_query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.define
class CallProgress:
    """What is known of a call while it runs.

    Read by ``ServiceCalls`` when the caller disconnects or the instance
    stops.

    Attributes:
        may_have_run: Whether bytes of the call may have reached a target.
    """

    may_have_run: bool = False


class ServiceAttempts:
    """Sends calls to plain services.

    A repeatable call is retried on another target within the retry budget.
    Any other call is sent again only if no connection was made, so that no
    byte of the call can have reached a target.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        client: targets_api.ServiceClient,
        find_target: api.TargetQuery,
        timer: timers.TimerService,
        budget: retries.RetryBudget,
        on_state: StateCallback,
    ) -> None:
        """Creates an object without running attempts.

        Args:
            dispatcher: Places requests on targets.
            client: Adapter to plain services.
            find_target: Returns a target by name and incarnation.
            timer: Clock and timers.
            budget: Limits the retries.
            on_state: Called with the state that a target reports of itself.
        """
        self._dispatcher = dispatcher
        self._client = client
        self._find_target = find_target
        self._timer = timer
        self._budget = budget
        self._on_state = on_state
        self._guard = end_guard.EndGuard(timer)

    async def run(
        self,
        item: policy_api.WorkItem,
        request: CallerRequest,
        progress: CallProgress,
        grant: claims_api.Grant | None,
    ) -> targets_api.ServiceResponse:
        """Makes attempts until one succeeds or no retry is allowed.

        Args:
            item: The request as the scheduler sees it.
            request: The request as received from the caller.
            progress: Updated before and after each attempt.
            grant: The claim of the call's idempotency key, or None.

        Returns:
            The response of the target.

        Raises:
            DotterelweirError: The call has no answer; the error's execution
                covers all attempts.
        """
        self._budget.record_request()
        key = engine_ends.request_key(
            '', request.path_and_query, item.organisation, request.body
        )
        failure: errors.DotterelweirError | None = None
        attempt = 0
        while True:
            attempt += 1
            blocked = self._guard.find_error(key, item.request_id)
            if blocked is not None:
                raise failure or blocked
            try:
                placement = await self._dispatcher.place(item)
            except errors.DotterelweirError as error:
                raise (failure or error) from error
            try:
                response = await self._attempt(
                    placement, item, request, attempt, progress, grant
                )
                self._guard.record_answer(key)
                return response
            except errors.DotterelweirError as error:
                failure = _error_to_report(failure, error)
                events.log(
                    LOG,
                    events.SERVICE_ATTEMPT_FAILED,
                    request_id=item.request_id,
                    attempt=attempt,
                    target_id=placement.target_id,
                    code=error.kind.value,
                    execution=error.execution.value,
                )
                await self._record_lost_connection(placement, key, error)
                if not self._may_retry(item, error):
                    raise failure from error
            item = attrs.evolve(
                item, excluded=item.excluded | {placement.target_id}
            )

    async def _record_lost_connection(
        self,
        placement: policy_api.Placement,
        key: str,
        error: errors.DotterelweirError,
    ) -> None:
        if error.kind is not errors.ErrorKind.TARGET_FAILED:
            return
        target = self._find_target(placement.target_id, None)
        if target is not None:
            await self._guard.record_lost_connection(target, key)

    def _may_retry(
        self, item: policy_api.WorkItem, error: errors.DotterelweirError
    ) -> bool:
        if self._timer.monotonic_s() >= item.deadline_s:
            return False
        match error.kind:
            case errors.ErrorKind.TARGET_UNREACHABLE:
                return self._budget.take()
            case (
                errors.ErrorKind.TARGET_FAILED
                | errors.ErrorKind.TARGET_REFUSED
            ):
                return item.repeatable and self._budget.take()
            case _:
                return False

    async def _attempt(
        self,
        placement: policy_api.Placement,
        item: policy_api.WorkItem,
        request: CallerRequest,
        attempt: int,
        progress: CallProgress,
        grant: claims_api.Grant | None,
    ) -> targets_api.ServiceResponse:
        end = policy_api.AttemptEnd.CANCELLED
        may_have_run_before = progress.may_have_run
        try:
            target = self._usable_target(placement, item, grant)
            end = policy_api.AttemptEnd.FAILED
            progress.may_have_run = True
            response = await self._client.call(
                target, self._build_request(item, request, attempt)
            )
            end = policy_api.AttemptEnd.COMPLETE
        except errors.DotterelweirError as error:
            if error.kind is errors.ErrorKind.TARGET_REFUSED:
                end = policy_api.AttemptEnd.REFUSED
            if error.execution is errors.Execution.NOT_RUN:
                progress.may_have_run = may_have_run_before
            raise self._translate_timeout(item, error) from error
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
        target = self._find_target(placement.target_id, None)
        if target is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.TARGET_UNREACHABLE,
                f'{placement.target_id} is gone',
            )
        if grant is not None:
            grant.check_dispatch()
        return target

    def _build_request(
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

    def _translate_timeout(
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


def _error_to_report(
    earlier: errors.DotterelweirError | None,
    latest: errors.DotterelweirError,
) -> errors.DotterelweirError:
    """Returns the error to report after several failed attempts.

    The last attempt shows nothing about an earlier one that may have run, so
    the error of the earlier one is kept.

    Args:
        earlier: The error to report for the earlier attempts, or None.
        latest: The error of the last attempt.
    """
    if earlier is None or earlier.execution is errors.Execution.NOT_RUN:
        return latest
    return earlier
