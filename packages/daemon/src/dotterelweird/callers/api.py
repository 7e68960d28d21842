"""What the callers' side is made of, and the boundary to service calls."""

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
# Finds a live or leaving target; a given incarnation must be that one.
TargetQuery = Callable[[str, int | None], targets_model.Target | None]
# The reason why new requests are refused, or None.
RefusalReasonQuery = Callable[[], errors.ErrorKind | None]


class ServiceCallHandler(abc.ABC):
    """Answers calls of plain services."""

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
            request: The caller's request; its body was read already.
            route: The route that matched.
            item: The request as the scheduler sees it.
            body: The whole body.

        Raises:
            DotterelweirError: The call has no answer; the server makes a
                problem document of it.
        """


@attrs.frozen
class CallerParts:
    """Everything that the callers' handlers use.

    Attributes:
        settings: Settings of the instance.
        timer: Source of time.
        rng: Random source of request ids and of jitter.
        dispatcher: Places requests.
        engines: Adapter to engines.
        services: Handler of plain services.
        tables: Query of the current tables.
        match_route: Query of the route of a request.
        find_target: Query of a target.
        codec: Encodes and verifies event ids.
        refusal_reason: Query whether new requests are refused.
        unready_reason: Query whether the balancer should send none; it turns so
            before requests are refused.
        metrics: Metrics of the process.
        retry_budget: Bounds retries.
        in_flight: The requests that are being answered.
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
