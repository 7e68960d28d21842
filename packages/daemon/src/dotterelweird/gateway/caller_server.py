"""Server for callers: decodes, routes, forwards and answers requests."""

import asyncio
from collections.abc import Iterator
import contextlib
import logging

import aiohttp
from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import memory_account
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweird import scopes
from dotterelweird.gateway import api
from dotterelweird.gateway import caller_connections
from dotterelweird.gateway import calls
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import generations
from dotterelweird.gateway import keepers
from dotterelweird.gateway import stopping
from dotterelweird.gateway.callers import bodies

LOG = logging.getLogger(__name__)

# The parser's limit on one header; the tables limit all headers together.
_HEADER_BYTES_MAX = 65_536
# Time for which the rest of a refused request is read and discarded before its
# connection is closed, in seconds. An immediate close would reset the
# connection, and the caller could lose the refusal.
_LINGER_S = 1.0
# Outcome of a request in flight when the process closed its connections.
_CUT_OFF = 'cut-off'


@attrs.define(eq=False)
class _PendingRequest:
    """A request that is being handled.

    Attributes:
        scope: Interrupts the handling of the request.
        exchange: The request; None until it was decoded.
    """

    scope: scopes.Scope
    exchange: exchanges.Exchange | None = None

    @property
    def answer_begun(self) -> bool:
        """Whether part of a streamed answer was sent to the caller."""
        return self.exchange is not None and self.exchange.answer_begun


class CallerServer:
    """Accepts requests of callers and answers them.

    Args:
        parts: Dependencies shared by all requests.
        keeper: Holds the tables in force.

    Attributes:
        running: Number of requests that are being handled.
        server: The HTTP server for callers.
    """

    def __init__(
        self,
        parts: dependencies.Forwarding,
        keeper: keepers.TablesKeeper,
    ) -> None:
        self._parts = parts
        self._keeper = keeper
        self._calls = calls.CallForwarder(parts)
        self.running = 0
        self._pending: set[_PendingRequest] = set()
        self._ending = False
        self.server = caller_connections.CallerConnections(
            self._handle,
            self._limits,
            parts.timers,
            parts.caller_memory,
            request_factory=self._make_request,
            handler_cancellation=True,
            lingering_time=_LINGER_S,
            access_log=None,
            max_line_size=_HEADER_BYTES_MAX,
            max_field_size=_HEADER_BYTES_MAX,
            auto_decompress=False,
        )

    @property
    def unfinished(self) -> int:
        """Number of requests whose answers have not left the process.

        A request stops running before its answer is written, and an answer
        to a caller that reads slowly waits in the process.
        """
        return max(self.running, self.server.unfinished)

    def answer_pending(self) -> None:
        """Answers every request whose answer has not begun.

        The answer states whether the request may have run. Requests that are
        read later are refused.
        """
        self._ending = True
        for pending in tuple(self._pending):
            if not pending.answer_begun:
                pending.scope.interrupt(_shutdown_error())

    def break_off(self) -> None:
        """Ends every request; answers that have begun stay incomplete."""
        self._ending = True
        for pending in tuple(self._pending):
            pending.scope.interrupt(_shutdown_error())

    def _make_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            # aiohttp refuses bodies of exactly this size as well.
            client_max_size=self._limits().body_bytes + 1,
        )

    def _limits(self) -> gateway_tables.CallerLimits:
        tables = self._keeper.current
        return tables.limits if tables else gateway_tables.CallerLimits()

    async def _handle(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        connection = http_request.protocol
        try:
            await connection.begin_request()
            self._set_running(self.running + 1)
            try:
                response = await self._respond(http_request)
            finally:
                self._set_running(self.running - 1)
            if self._parts.stop_plan.stopping and not response.prepared:
                # The header announces the close. A caller that was not told
                # would use the connection again while it is closed.
                response.force_close()
            if connection.holding.exceeded and not response.prepared:
                # Requests that were sent ahead would be refused in turn.
                response.force_close()
            if bodies.is_large(response):
                connection.begin_answer()
                return await bodies.send_large(
                    http_request, response, connection.record_progress
                )
            return response
        finally:
            connection.end_request()

    def _set_running(self, running: int) -> None:
        self.running = running
        self._parts.statistics.running.set({}, running)

    @contextlib.contextmanager
    def _interruptible(self) -> Iterator[_PendingRequest]:
        """Lets a stop interrupt the block.

        Raises:
            DotterelweirError: SHUTTING_DOWN if a stop ends the request.
        """
        if self._ending:
            raise _shutdown_error()
        with scopes.Scope() as scope:
            pending = _PendingRequest(scope)
            self._pending.add(pending)
            try:
                yield pending
            finally:
                self._pending.discard(pending)

    async def _respond(
        self, http_request: web.BaseRequest
    ) -> web.StreamResponse:
        arrived_s = self._parts.timers.monotonic_s()
        request: api.CallerRequest | None = None
        exchange: exchanges.Exchange | None = None
        outcome = 'cancelled'
        try:
            with self._interruptible() as pending:
                self._parts.caller_memory.charge_body(
                    http_request.protocol.holding,
                    memory_account.REQUEST_BYTES,
                )
                http_request.protocol.interrupt = pending.scope.interrupt
                request = await self._decode(http_request)
                exchange = self._create_exchange(
                    request, arrived_s, http_request.protocol.holding
                )
                exchange.is_forwarded = self._is_forwarded(http_request)
                pending.exchange = exchange
                response = await self._answer(http_request, exchange)
            outcome = str(response.status)
            self._record_duration(exchange, response.status)
        except generations.GenerationLost:
            outcome = 'stream-lost'
            _abort(http_request)
            raise
        except errors.DotterelweirError as exc:
            if exchange is not None and exchange.answer_begun:
                outcome = _CUT_OFF
                _abort(http_request)
                # Any other error is logged with a traceback for each stream.
                raise asyncio.CancelledError from exc
            error = _true_error(exc, exchange)
            outcome = error.kind.value
            response = self._build_refusal(request, error)
            if request is None:
                # The rest of the request was not read.
                response.force_close()
        except asyncio.CancelledError:
            if self._parts.stop_plan.closing:
                outcome = _CUT_OFF
            raise
        finally:
            self._log_end(request, exchange, outcome, arrived_s)
        return response

    def _is_forwarded(self, http_request: web.BaseRequest) -> bool:
        """Whether another instance passed a request on."""
        transport = http_request.transport
        address = transport.get_extra_info('sockname') if transport else None
        port = self._parts.settings.forwarding_port
        return address is not None and address[1] == port

    async def _decode(
        self, http_request: web.BaseRequest
    ) -> api.CallerRequest:
        limits = self._limits()
        _check_sizes(http_request, limits)
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                body = await self._read_body(http_request, limits)
            return self._parts.dialect.decode_request(
                http_request.method,
                http_request.raw_path,
                http_request.raw_headers,
                body,
            )
        except TimeoutError:
            raise errors.DotterelweirError(
                errors.ErrorKind.REQUEST_INCOMPLETE
            ) from None
        except ValueError as exc:
            raise errors.DotterelweirError(
                errors.ErrorKind.MALFORMED_REQUEST, str(exc)
            ) from exc

    async def _read_body(
        self,
        http_request: web.BaseRequest,
        limits: gateway_tables.CallerLimits,
    ) -> bytes:
        connection = http_request.protocol
        try:
            return await bodies.read(
                http_request,
                self._parts.caller_memory,
                connection.holding,
                limits.body_bytes,
                connection.read_large,
            )
        finally:
            connection.read_large(False)

    async def _answer(
        self,
        http_request: web.BaseRequest,
        exchange: exchanges.Exchange,
    ) -> web.StreamResponse:
        self._parts.check_stop(exchange)
        if exchange.route.kind is not gateway_tables.RequestKind.STREAM:
            answered = await self._calls.forward(exchange)
            return self._build_response(answered)
        if http_request.version < aiohttp.HttpVersion11:
            # HTTP/1.0 has no chunks; without them a stream that ends early
            # looks complete.
            raise errors.DotterelweirError(
                errors.ErrorKind.MALFORMED_REQUEST,
                'a stream needs HTTP/1.1',
            )
        generation = generations.Generation(
            self._parts, exchange, http_request
        )
        result = await generation.forward()
        if isinstance(result, exchanges.Answered):
            return self._build_response(result)
        return result

    def _record_duration(
        self, exchange: exchanges.Exchange, status: int
    ) -> None:
        if status == 200:
            taken_s = self._parts.timers.monotonic_s() - exchange.arrived_s
            factor = self._parts.duration_factors.for_service(
                exchange.service.name
            )
            factor.record(exchange.expected_duration_s, taken_s)

    def _create_exchange(
        self,
        request: api.CallerRequest,
        arrived_s: float,
        holding: memory_account.Holding,
    ) -> exchanges.Exchange:
        tables = self._keeper.current
        if tables is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.NOT_READY, retry_after_s=0.5
            )
        route = tables.match(request.host, request.path)
        if route is None:
            raise errors.DotterelweirError(errors.ErrorKind.ROUTE_NOT_FOUND)
        organisation = None
        if tables.organisations is not None and not route.public:
            organisation = tables.organisations.get(request.key)
            if organisation is None:
                raise errors.DotterelweirError(errors.ErrorKind.KEY_UNKNOWN)
        service = tables.services.get(route.pick_service(self._parts.rng))
        if service is None:
            raise errors.DotterelweirError(
                errors.ErrorKind.POOL_EMPTY, retry_after_s=0.5
            )
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        return exchanges.Exchange(
            request,
            route,
            service,
            organisation,
            tables.version,
            arrived_s,
            arrived_s + timeout_s,
            tables.shortest_objective_s(service.name),
            holding,
            tables.is_ordered(service.name),
            shortest_event_gap_s=tables.shortest_event_gap_s(service.name),
            services=tuple(
                tables.services[weighted.name]
                for weighted in route.services
                if weighted.name in tables.services
            ),
        )

    def _build_response(self, answered: exchanges.Answered) -> web.Response:
        response = web.Response(status=answered.status, body=answered.body)
        response.headers.clear()
        for name, value in answered.headers:
            response.headers.add(name, value)
        return response

    def _build_refusal(
        self,
        request: api.CallerRequest | None,
        error: errors.DotterelweirError,
    ) -> web.Response:
        retry_after_s = error.retry_after_s
        return web.Response(
            status=error.response.status,
            text=error.detail + '\n',
            headers=self._parts.dialect.refusal_headers(
                request.request_id if request else '', retry_after_s
            ),
        )

    def _log_end(
        self,
        request: api.CallerRequest | None,
        exchange: exchanges.Exchange | None,
        outcome: str,
        arrived_s: float,
    ) -> None:
        taken_s = self._parts.timers.monotonic_s() - arrived_s
        fields = _log_fields(exchange) if exchange else {}
        stopping_for_s = self._parts.stop_plan.stopping_for_s(arrived_s)
        if stopping_for_s > 0:
            fields['stopping_for_s'] = round(stopping_for_s, 4)
        self._parts.statistics.requests.inc({'outcome': outcome})
        self._parts.statistics.answer_s.observe({}, taken_s)
        events.log(
            LOG,
            events.GATEWAY_REQUEST_ENDED,
            request_id=request.request_id if request else '',
            path=request.path if request else '',
            outcome=outcome,
            taken_s=round(taken_s, 4),
            **fields,
        )


def _abort(http_request: web.BaseRequest) -> None:
    """Aborts the connection of a partial answer.

    A regular close would make it look complete.
    """
    if http_request.transport is not None:
        http_request.transport.abort()


def _shutdown_error() -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.SHUTTING_DOWN,
        retry_after_s=stopping.RETRY_AFTER_S,
    )


def _true_error(
    error: errors.DotterelweirError, exchange: exchanges.Exchange | None
) -> errors.DotterelweirError:
    """Returns the error that a caller may be sent.

    Args:
        error: The error that ended the request.
        exchange: The request; None if it was not matched to a route.

    Returns:
        The error. In place of a refusal by a stop, which states that the
        request has not run, an error that promises nothing if a target may
        have started to run it.
    """
    if error.kind is not errors.ErrorKind.SHUTTING_DOWN:
        return error
    if exchange is None or not exchange.may_be_running:
        return error
    return errors.DotterelweirError(
        errors.ErrorKind.REQUEST_TIMEOUT,
        'the instance stops before the answer is complete',
        execution=errors.Execution.UNKNOWN,
    )


def _log_fields(exchange: exchanges.Exchange) -> dict[str, object]:
    """Returns the log fields that show whether a request met its objective."""
    route = exchange.route
    fields: dict[str, object] = {
        'route': route.name,
        'service': exchange.service.name,
        'objective_s': route.objective_s,
    }
    if route.kind is gateway_tables.RequestKind.STREAM:
        fields |= {
            'event_gap_s': route.event_gap_s,
            'tokens': exchange.tokens,
            **exchange.timing(),
        }
    return fields


def _check_sizes(
    http_request: web.BaseRequest, limits: gateway_tables.CallerLimits
) -> None:
    """Checks the size of the headers and the announced size of the body.

    Raises:
        DotterelweirError: One of them is over its limit.
    """
    header_bytes = sum(
        len(name) + len(value) for name, value in http_request.raw_headers
    )
    if header_bytes > limits.header_bytes:
        raise errors.DotterelweirError(errors.ErrorKind.HEADERS_TOO_LARGE)
    if (http_request.content_length or 0) > limits.body_bytes:
        raise errors.DotterelweirError(errors.ErrorKind.BODY_TOO_LARGE)
