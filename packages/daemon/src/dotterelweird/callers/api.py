"""Dependencies of the callers' handlers; interface of service calls."""

import abc
from collections.abc import Callable
import random

from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.delivery import resume
from dotterelweir_core.delivery import retries
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import matching
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweird import dispatch
from dotterelweird import metrics as metrics_module
from dotterelweird.callers import inflight
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import api as targets_api

# Finds the route of a request; raises ROUTE_NOT_FOUND.
RouteMatcher = Callable[
    [tables_model.Tables, matching.RequestAttributes], tables_model.Route
]
# Finds a live or leaving target by name. With an incarnation, only a target
# of exactly that incarnation is returned.
TargetQuery = Callable[[str, int | None], targets_model.Target | None]
# Returns the reason why new requests are refused, or None if they are
# accepted.
RefusalReasonQuery = Callable[[], errors.ErrorKind | None]


class ServiceCallHandler(abc.ABC):
    """Answers calls of routes that lead to plain services."""

    @abc.abstractmethod
    async def handle(
        self,
        request: web.Request,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        body: bytes,
    ) -> web.StreamResponse:
        """Answers one call.

        Args:
            request: The caller's request; its body was already read.
            route: The route that matched the request.
            item: The request as the scheduler sees it.
            body: The complete body of the request.

        Returns:
            The response to the caller.

        Raises:
            DotterelweirError: The call has no answer; the server converts
                the error to a problem document.
        """


@attrs.frozen
class CallerComponents:
    """Dependencies of the callers' handlers.

    Attributes:
        settings: Settings of the instance.
        timer: Clock and timers.
        rng: Random source of request ids and jitter.
        dispatcher: Places requests on targets.
        engines: Adapter to engines.
        services: Handler of plain services.
        tables: Returns the current tables.
        match_route: Returns the route of a request.
        find_target: Returns a target by name and incarnation.
        codec: Encodes and verifies event ids.
        refusal_reason: Returns why new requests are refused, or None.
        unready_reason: Returns why the load balancer should send no new
            requests, or None. It returns a reason earlier than
            ``refusal_reason``, so that the balancer stops first.
        metrics: Metrics of the process.
        retry_budget: Limits retries.
        in_flight: Requests that are being answered.
    """

    settings: settings_model.Settings
    timer: timers.TimerService
    rng: random.Random
    dispatcher: dispatch.Dispatcher
    engines: targets_api.EngineClient
    services: ServiceCallHandler
    tables: Callable[[], tables_model.Tables]
    match_route: RouteMatcher
    find_target: TargetQuery
    codec: resume.ResumeCodec
    refusal_reason: RefusalReasonQuery
    unready_reason: RefusalReasonQuery
    metrics: metrics_module.Metrics
    retry_budget: retries.RetryBudget
    in_flight: inflight.InFlight = attrs.field(factory=inflight.InFlight)
