"""The callers' HTTP server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
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

LOG = logging.getLogger(__name__)

_KEY_HEADER = 'Idempotency-Key'
_STREAMS_PATH = '/v1/streams'
# The HTTP parser's own limit is above ours, so that a field that is too
# large gets a problem document; beyond it the parser answers 400.
_PARSER_LIMIT_RATIO = 16

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_app(parts: api.CallerParts) -> web.Application:
    """The application of the callers' port."""
    server = _Server(parts)
    app = web.Application(
        middlewares=[server.middleware],
        client_max_size=parts.settings.callers.body_max_bytes,
    )
    app.router.add_get('/healthz', server.health)
    app.router.add_get('/readyz', server.ready)
    app.router.add_route('*', '/{path:.*}', server.dispatch)
    return app


def make_runner(parts: api.CallerParts) -> web.AppRunner:
    """The runner of ``make_app`` with the limits of the settings.

    Handlers are cancelled when their caller disconnects, so that a request
    that still waits for a target leaves the queue.
    """
    limit = parts.settings.callers.header_max_bytes * _PARSER_LIMIT_RATIO
    return web.AppRunner(
        make_app(parts),
        access_log=None,
        handler_cancellation=True,
        max_field_size=limit,
        max_line_size=limit,
    )


class _Server:
    def __init__(self, parts: api.CallerParts) -> None:
        self._parts = parts
        self._settings = parts.settings.callers

    async def health(self, request: web.Request) -> web.Response:
        """Whether the process runs."""
        return web.Response(text='ok\n')

    async def ready(self, request: web.Request) -> web.Response:
        """Whether the balancer should send new requests."""
        kind = self._parts.unready_reason()
        if kind is not None:
            raise errors.DotterelweirError(kind)
        return web.Response(text='ok\n')

    async def dispatch(self, request: web.Request) -> web.StreamResponse:
        """Answers every other request."""
        self._check_headers(request)
        kind = self._parts.refusal_reason()
        if kind is not None:
            raise errors.DotterelweirError(kind)
        request[requests.ORGANISATION] = self._organisation(request)
        if request.path == _STREAMS_PATH and request.method == 'GET':
            return await streams.handle(self._parts, request)
        body = await request.read()
        completion = None
        if request.method == 'POST' and (
            request.path in requests.COMPLETION_PATHS
        ):
            completion = requests.parse_completion(request.path, body)
        return await self._route_request(request, body, completion)

    async def _route_request(
        self,
        request: web.Request,
        body: bytes,
        completion: requests.CompletionRequest | None,
    ) -> web.StreamResponse:
        tables = self._parts.tables()
        organisation = request[requests.ORGANISATION]
        route = self._parts.match_route(
            tables,
            matching.RequestAttributes(
                request.path,
                completion.model if completion is not None else '',
                organisation,
            ),
        )
        item = requests.work_item(self._parts, request, route, completion)
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
            return await self._parts.services.handle(
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
            # No outcome of a stream could be replayed to a repeat.
            raise errors.DotterelweirError(
                errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
                f'route {route.name} runs completions once and takes no '
                'idempotency key',
            )
        return await completions.handle(
            self._parts, request, route, item, completion, body
        )

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Counts requests and makes problem documents of errors."""
        request_id = (
            f'{self._parts.settings.instance_id}-'
            f'{self._parts.rng.getrandbits(64):016x}'
        )
        request[requests.REQUEST_ID] = request_id
        with self._parts.in_flight.track():
            try:
                response = await handler(request)
                self._record_outcome(request, str(response.status))
                return response
            except errors.DotterelweirError as error:
                return self._refuse(request, error)
            except web.HTTPRequestEntityTooLarge:
                limit = self._settings.body_max_bytes
                return self._refuse(
                    request,
                    errors.DotterelweirError(
                        errors.ErrorKind.BODY_TOO_LARGE,
                        f'the body has more than {limit} bytes',
                    ),
                )
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
        self._parts.metrics.refusals.inc({'kind': error.kind.value})
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
        if error.kind is errors.ErrorKind.SHUTTING_DOWN:
            # The next request on this connection would be refused too.
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
        self._parts.metrics.requests.inc({'route': route, 'outcome': outcome})
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
    """The error as the caller of a request with an idempotency key gets it.

    Such a request may be the repeat of one that ran at another instance.
    Only a claim shows that none did, so a refusal before it must not say
    "not run"; a request that can never be accepted is no such repeat.
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
