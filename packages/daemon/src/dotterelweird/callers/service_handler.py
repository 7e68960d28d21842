"""Passes callers' requests on to the calls of plain services."""

from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweird.callers import api
from dotterelweird.callers import inflight
from dotterelweird.callers import service_calls


class HttpServiceCallHandler(api.ServiceCallHandler):
    """Answers calls of plain services.

    Args:
        calls: Makes the calls.
        in_flight: Ends calls that still run at the drain deadline.
    """

    def __init__(
        self,
        calls: service_calls.ServiceCalls,
        in_flight: inflight.InFlight,
    ) -> None:
        self._calls = calls
        self._in_flight = in_flight

    async def handle(
        self,
        request: web.Request,
        route: tables_model.Route,
        item: policy_api.WorkItem,
        body: bytes,
    ) -> web.StreamResponse:
        caller_request = service_calls.CallerRequest(
            request.method,
            request.raw_path,
            tuple(request.headers.items()),
            body,
        )
        try:
            with self._in_flight.interruptible():
                response = await self._calls.handle(
                    route, item, caller_request
                )
        except errors.DotterelweirError as error:
            if error.kind is errors.ErrorKind.SHUTTING_DOWN:
                # The call may have been sent when it was ended.
                error.execution = errors.Execution.UNKNOWN
            raise
        response.headers.setdefault('X-Request-Id', item.request_id)
        return response
