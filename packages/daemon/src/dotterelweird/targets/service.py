"""Adapter to plain services, over aiohttp."""

import types

import aiohttp
from aiohttp import typedefs
import multidict
import orjson
import yarl

from dotterelweir_core import errors
from dotterelweir_core.targets import model
from dotterelweird import single_send
from dotterelweird.targets import api
from dotterelweird.targets import headers

REQUEST_ID_HEADER = 'X-Request-Id'
STATE_HEADER = 'X-Target-State'
# Headers that are set for each attempt or dropped. The whole body is in
# memory, so Expect would only delay the call.
_SET_PER_ATTEMPT = frozenset(
    {'host', 'content-length', 'expect', REQUEST_ID_HEADER.lower()}
)
_REMOVED_RESPONSE_HEADERS = frozenset({'content-length', STATE_HEADER.lower()})
# Only a response with one of these statuses can state that the target refused
# the call before running it.
_REFUSAL_STATUSES = frozenset({429, 503})
_PROBLEM_TYPE = 'application/problem+json'


async def _mark_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: object,
) -> None:
    context.trace_request_ctx['connected'] = True


class HttpServiceClient(api.ServiceClient):
    """Calls plain services over HTTP.

    A call that is not repeatable uses a new connection. On a pooled
    connection that the service is closing, the call could fail with an unknown
    result.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        """Creates the HTTP sessions; needs a running event loop.

        Args:
            connect_timeout_s: Limit on establishing a connection, in seconds.
        """
        self._connect_timeout_s = connect_timeout_s
        self._pooled_session = self._create_session(force_close=False)
        self._single_use_session = self._create_session(force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled_session.close()
        await self._single_use_session.close()

    async def call(
        self, target: model.Target, request: api.ServiceRequest
    ) -> api.ServiceResponse:
        progress = {'connected': False}
        session = (
            self._pooled_session
            if request.repeatable
            else self._single_use_session
        )
        try:
            async with session.request(
                request.method,
                yarl.URL(
                    target.base_url + request.path_and_query, encoded=True
                ),
                data=request.body or None,
                headers=_request_headers(request),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=request.timeout_s,
                    sock_connect=self._connect_timeout_s,
                ),
                trace_request_ctx=progress,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            # OSError includes TimeoutError.
            raise _call_error(target, error, progress['connected']) from error
        _check_echo(target, request, response)
        _check_refusal(target, response, body)
        return api.ServiceResponse(
            status=response.status,
            headers=headers.end_to_end(
                response.headers.items(), _REMOVED_RESPONSE_HEADERS
            ),
            body=body,
            state=_parse_state(response),
        )

    def _create_session(self, force_close: bool) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_mark_connected)
        trace.on_connection_reuseconn.append(_mark_connected)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=(
                'Accept',
                'Accept-Encoding',
                'Content-Type',
                'User-Agent',
            ),
            trace_configs=[trace],
            middlewares=(single_send.prevent_resend,),
        )


def _request_headers(request: api.ServiceRequest) -> typedefs.LooseHeaders:
    forwarded = headers.end_to_end(request.headers, _SET_PER_ATTEMPT)
    return multidict.CIMultiDict(
        (*forwarded, (REQUEST_ID_HEADER, request.request_id))
    )


def _call_error(
    target: model.Target, error: Exception, connected: bool
) -> errors.DotterelweirError:
    reason = str(error) or type(error).__name__
    if connected:
        return errors.DotterelweirError(
            errors.ErrorKind.TARGET_FAILED,
            f'The call of {target.target_id} broke off: {reason}',
            errors.Execution.UNKNOWN,
        )
    return errors.DotterelweirError(
        errors.ErrorKind.TARGET_UNREACHABLE,
        f'No connection to {target.target_id}: {reason}',
        errors.Execution.NOT_RUN,
    )


def _check_echo(
    target: model.Target,
    request: api.ServiceRequest,
    response: aiohttp.ClientResponse,
) -> None:
    """Rejects a response to another request.

    A response without a request id is accepted, because services need not
    echo it.

    Raises:
        DotterelweirError: TARGET_FAILED if the echoed request id differs.
    """
    echo = response.headers.get(REQUEST_ID_HEADER)
    if echo is not None and echo != request.request_id:
        raise errors.DotterelweirError(
            errors.ErrorKind.TARGET_FAILED,
            f'{target.target_id} answered another request',
            errors.Execution.UNKNOWN,
        )


def _check_refusal(
    target: model.Target, response: aiohttp.ClientResponse, body: bytes
) -> None:
    if (
        response.status not in _REFUSAL_STATUSES
        or response.content_type != _PROBLEM_TYPE
    ):
        return
    try:
        problem = orjson.loads(body)
    except orjson.JSONDecodeError:
        return
    if (
        not isinstance(problem, dict)
        or problem.get('execution') != errors.Execution.NOT_RUN
    ):
        return
    raise errors.DotterelweirError(
        errors.ErrorKind.TARGET_REFUSED,
        f'{target.target_id} refused the call with {response.status}',
        errors.Execution.NOT_RUN,
        _parse_retry_after_s(response.headers.get('Retry-After', '')),
    )


def _parse_retry_after_s(value: str) -> float | None:
    # Retry-After may also hold a date, which is ignored.
    return float(value) if value.isascii() and value.isdigit() else None


def _parse_state(response: aiohttp.ClientResponse) -> model.TargetState:
    try:
        return model.TargetState(response.headers.get(STATE_HEADER, ''))
    except ValueError:
        return model.TargetState.LIVE
