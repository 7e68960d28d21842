"""HTTP server for callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any

from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import memory_account
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import matching
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model
from dotterelweird.callers import api
from dotterelweird.callers import completions
from dotterelweird.callers import problems
from dotterelweird.callers import requests
from dotterelweird.callers import service_calls
from dotterelweird.callers import streams
from dotterelweird.gateway import caller_connections
from dotterelweird.gateway.callers import bodies
from dotterelweird.gateway.callers import memory as caller_memory

LOG = logging.getLogger(__name__)

_KEY_HEADER = 'Idempotency-Key'
_STREAMS_PATH = '/v1/streams'
# Ratio of the HTTP parser's limit to the configured one. The parser's limit is
# higher so that a field that is too large is answered with a problem document;
# above its own limit the parser answers with status 400.
_PARSER_LIMIT_RATIO = 16
# Time for which an idle connection is kept, in seconds. It is the default of
# the HTTP library: balancers keep connections for less, so that they close
# them first and no request crosses the close.
_IDLE_TIMEOUT_S = 3_630.0
# Time from the first byte of a head to its end, in seconds.
_HEAD_TIMEOUT_S = 75.0
_BYTES_PER_MB = 1_000_000
# Time for handlers that still run when the port closes, and again after their
# cancellation. Requests in flight have ended before, so these only refuse.
_SHUTDOWN_TIMEOUT_S = 0.1

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_app(components: api.CallerComponents) -> web.Application:
    """Creates the web application of the callers' port."""
    server = _Server(components)
    app = web.Application(
        middlewares=[server.middleware],
        client_max_size=components.settings.callers.body_max_bytes,
    )
    app.on_response_prepare.append(server.announce_close)
    app.router.add_get('/healthz', server.health)
    app.router.add_get('/readyz', server.ready)
    app.router.add_route('*', '/{path:.*}', server.dispatch)
    return app


class _BoundedRunner(web.AppRunner):
    """Serves an application with bounds on what its callers take."""

    def __init__(
        self,
        app: web.Application,
        components: api.CallerComponents,
        **kwargs: Any,
    ) -> None:
        super().__init__(app, **kwargs)
        self._components = components

    async def _make_server(self) -> web.Server:
        # It also starts the application.
        await super()._make_server()
        components, settings = self._components, self._components.settings
        memory = caller_memory.CallerMemory(
            memory_account.MemoryAccount.for_process(
                int(_BYTES_PER_MB * settings.callers.memory_mb),
                settings.callers.fds_max,
            ),
            components.timer,
            components.rng,
            components.metrics.memory_refusals,
            components.metrics.closed_callers,
        )
        limits = gateway_tables.CallerLimits(
            header_bytes=_PARSER_LIMIT_RATIO
            * settings.callers.header_max_bytes,
            body_bytes=settings.callers.body_max_bytes,
            header_timeout_s=_HEAD_TIMEOUT_S,
            idle_timeout_s=_IDLE_TIMEOUT_S,
        )
        # aiohttp has no public way to choose the server of an application.
        return caller_connections.CallerConnections(
            self._app._handle,
            lambda: limits,
            components.timer,
            memory,
            request_factory=self._app._make_request,
            **self._kwargs,
        )


def make_runner(components: api.CallerComponents) -> web.AppRunner:
    """Creates the runner of ``make_app`` with the configured limits.

    Handlers are cancelled when their caller disconnects, so that a request
    that waits for a target leaves the queue.
    """
    limit = components.settings.callers.header_max_bytes * _PARSER_LIMIT_RATIO
    return _BoundedRunner(
        make_app(components),
        components,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        max_field_size=limit,
        max_line_size=limit,
    )


class _Server:
    def __init__(self, components: api.CallerComponents) -> None:
        self._components = components
        self._settings = components.settings.callers

    async def health(self, request: web.Request) -> web.Response:
        """Answers 200 while the process runs."""
        return web.Response(text='ok\n')

    async def ready(self, request: web.Request) -> web.Response:
        """Answers 200 if the load balancer should send new requests.

        Raises:
            DotterelweirError: It should send none.
        """
        kind = self._components.unready_reason()
        if kind is not None:
            raise errors.DotterelweirError(kind)
        return web.Response(text='ok\n')

    async def announce_close(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Closes connections after their next answer while stopping.

        A further request on the connection would soon be refused, or cross
        the close of the connection.
        """
        unready_kind = self._components.unready_reason()
        if unready_kind is errors.ErrorKind.SHUTTING_DOWN:
            response.force_close()
            response.headers['Connection'] = 'close'

    async def dispatch(self, request: web.Request) -> web.StreamResponse:
        """Answers all requests other than health checks.

        Raises:
            DotterelweirError: The request is refused or has no answer.
        """
        self._check_headers(request)
        kind = self._components.refusal_reason()
        if kind is not None:
            raise errors.DotterelweirError(kind)
        request[requests.ORGANISATION] = self._organisation(request)
        if request.path == _STREAMS_PATH and request.method == 'GET':
            return await streams.handle(self._components, request)
        body = await self._read_body(request)
        completion = None
        if request.method == 'POST' and (
            request.path in requests.COMPLETION_PATHS
        ):
            completion = requests.parse_completion(request.path, body)
        return await self._route_request(request, body, completion)

    async def _read_body(self, request: web.Request) -> bytes:
        connection = request.protocol
        with self._components.in_flight.interruptible() as scope:
            connection.interrupt = scope.interrupt
            connection.memory.charge_body(
                connection.holding, memory_account.REQUEST_BYTES
            )
            try:
                return await bodies.read(
                    request,
                    connection.memory,
                    connection.holding,
                    self._settings.body_max_bytes,
                    connection.read_large,
                )
            finally:
                connection.read_large(False)

    async def _route_request(
        self,
        request: web.Request,
        body: bytes,
        completion: requests.CompletionRequest | None,
    ) -> web.StreamResponse:
        tables = self._components.tables()
        organisation = request[requests.ORGANISATION]
        route = self._components.match_route(
            tables,
            matching.RequestAttributes(
                request.path,
                completion.model if completion is not None else '',
                organisation,
            ),
        )
        item = requests.work_item(self._components, request, route, completion)
        events.log(
            LOG,
            events.ROUTE_CHOSEN,
            request_id=item.request_id,
            route=route.name,
            pool=route.pool,
            organisation=organisation,
            revision=tables.revision,
        )
        request[requests.ROUTE] = route.name
        pool = tables.pools.get(route.pool)
        if pool is None:
            raise errors.DotterelweirError(errors.ErrorKind.POOL_EMPTY)
        if pool.kind is targets_model.TargetKind.SERVICE:
            return await self._components.services.handle(
                request, route, item, body
            )
        return await self._answer_completion(
            request, route, item, body, completion
        )

    async def _answer_completion(
        self,
        request: web.Request,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        body: bytes,
        completion: requests.CompletionRequest | None,
    ) -> web.StreamResponse:
        if completion is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.ROUTE_NOT_FOUND,
                f'route {route.name} leads to engines, which have no such '
                'path',
            )
        if not route.repeatable and _KEY_HEADER in request.headers:
            # The outcome of a stream is not stored, so it could not be
            # replayed to a repeated request.
            raise errors.DotterelweirError(
                errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
                f'route {route.name} runs completions once and takes no '
                'idempotency key',
            )
        return await completions.handle(
            self._components, request, route, item, completion, body
        )

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Tracks requests and converts errors to problem documents."""
        request_id = (
            f'{self._components.settings.instance_id}-'
            f'{self._components.rng.getrandbits(64):016x}'
        )
        request[requests.REQUEST_ID] = request_id
        connection = request.protocol
        try:
            await connection.begin_request()
            return await self._track(request, handler)
        finally:
            connection.end_request()

    async def _track(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        with self._components.in_flight.track():
            try:
                response = await handler(request)
                self._record_outcome(request, str(response.status))
                return response
            except errors.DotterelweirError as error:
                return self._refuse(request, error)
            except (ConnectionError, asyncio.CancelledError):
                self._record_outcome(request, requests.CALLER_GONE)
                raise
            except Exception:
                return self._fail(request)

    def _refuse(
        self, request: web.Request, error: errors.DotterelweirError
    ) -> web.Response:
        request_id = request[requests.REQUEST_ID]
        error = _error_for_keyed_request(request, error)
        self._components.metrics.refusals.inc({'kind': error.kind.value})
        events.log(
            LOG,
            events.REQUEST_REFUSED,
            request_id=request_id,
            path=request.path,
            kind=error.kind.value,
            execution=error.execution.value,
            detail=error.detail,
        )
        self._record_outcome(request, error.kind.value)
        response = problems.response(error, request_id)
        if request.protocol.holding.exceeded:
            # What else was sent on the connection would be refused in turn.
            response.force_close()
        return response

    def _fail(self, request: web.Request) -> web.Response:
        request_id = request[requests.REQUEST_ID]
        error = problems.log_unexpected_error(request_id)
        self._record_outcome(request, error.kind.value)
        return problems.response(error, request_id)

    def _record_outcome(self, request: web.Request, outcome: str) -> None:
        route = request.get(requests.ROUTE)
        if route is None:
            return
        outcome = request.get(requests.OUTCOME, outcome)
        self._components.metrics.requests.inc(
            {'route': route, 'outcome': outcome}
        )
        events.log(
            LOG,
            events.REQUEST_ENDED,
            request_id=request[requests.REQUEST_ID],
            route=route,
            outcome=outcome,
        )

    def _check_headers(self, request: web.Request) -> None:
        limit = self._settings.header_max_bytes
        for name, value in request.raw_headers:
            if len(name) + len(value) > limit:
                raise errors.DotterelweirError(
                    errors.ErrorKind.HEADERS_TOO_LARGE,
                    f'a header field has more than {limit} bytes',
                )

    def _organisation(self, request: web.Request) -> str:
        name = request.headers.get(
            self._settings.organisation_header,
            self._settings.default_organisation,
        )
        if not name:
            raise errors.DotterelweirError(
                errors.ErrorKind.ORGANISATION_MISSING
            )
        return name


def _error_for_keyed_request(
    request: web.Request, error: errors.DotterelweirError
) -> errors.DotterelweirError:
    """Returns the error to report, given the request's idempotency key.

    A request with a key may repeat one that ran at another instance. Only a
    claim of the key excludes such an earlier run, so a refusal before the
    claim must not state "not run". A request that can never be accepted cannot
    repeat one that ran, so its error stays as it is.

    Args:
        request: The caller's request.
        error: The error that ended the request.
    """
    has_key = service_calls.KEY_HEADER in request.headers
    if (
        has_key
        and error.execution is errors.Execution.NOT_RUN
        and error.response.retryable
        and not request.get(requests.CLAIMED, False)
    ):
        return errors.DotterelweirError(
            error.kind,
            error.detail,
            errors.Execution.UNKNOWN,
            error.retry_after_s,
        )
    return error
