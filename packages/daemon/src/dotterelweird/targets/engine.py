"""Adapters to engines and to load reports, over HTTP."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import logging
import os
import random
import typing

import aiohttp
import attrs
import cattrs
import orjson

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.targets import model
from dotterelweird import scopes
from dotterelweird import single_send
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import api

LOG = logging.getLogger(__name__)

# Called with the target in the incarnation that answered, its state and the
# monotonic time in seconds at which the request was sent.
AnswerCallback = Callable[[model.Target, model.TargetState, float], None]

# Limit on the bytes that are read of an error response.
_ERROR_BODY_MAX_BYTES = 65_536
# Below the 5 s after which some servers close idle connections. For a request
# that is sent while its connection is being closed, it is unknown whether it
# ran.
_KEEPALIVE_S = 4.0
_CLIENT_ERROR_STATUSES = frozenset({400, 404, 405, 411, 413, 415, 422})


def make_session(
    delivery: settings_model.Delivery,
) -> aiohttp.ClientSession:
    """Creates the HTTP session of the target adapters.

    The reader pauses a connection once it holds twice ``read_bufsize`` (an
    eighth of ``stream_buffer_bytes``). One more read, which is limited to
    another eighth, may follow, so that at most a quarter of the buffer of a
    stream is held here.

    Args:
        delivery: Settings of attempts and streams.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=_KEEPALIVE_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=delivery.connect_timeout_s
        ),
        read_bufsize=max(512, delivery.stream_buffer_bytes // 16),
        auto_decompress=False,
        middlewares=(single_send.prevent_resend,),
    )


class HttpEngineStream(api.EngineStream):
    """The event stream of one HTTP response.

    Args:
        response: The response, with its body still unread.
        generation_id: Id of the generation at the engine.
        incarnation: Incarnation of the engine that responded.
        state: State that the engine reported in the response.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        generation_id: str,
        incarnation: int,
        state: model.TargetState,
    ) -> None:
        self._response = response
        self._readany = response.content.readany
        self.generation_id = generation_id
        self.incarnation = incarnation
        self.state = state

    def chunks(self) -> AsyncIterator[bytes]:
        return self

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            chunk = await self._readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise _target_failed(_describe_cause(exc)) from exc
        if not chunk:
            raise StopAsyncIteration
        return chunk

    def close(self) -> None:
        # At the end of the body the connection has been returned to the pool
        # already; closing the response then has no effect.
        self._response.close()


class HttpEngineClient(api.EngineClient):
    """Calls engines over HTTP.

    Args:
        session: Session from ``make_session``.
        delivery: Settings of attempts and streams.
        timer: Clock and timers.
        rng: Random source of the ids of resume requests.
        on_answer: Called for each response that matches its request.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        delivery: settings_model.Delivery,
        timer: timers.TimerService,
        rng: random.Random,
        on_answer: AnswerCallback | None = None,
    ) -> None:
        self._session = session
        self._cancel_timeout_s = delivery.stall_timeout_s
        self._read_max_bytes = max(1024, delivery.stream_buffer_bytes // 8)
        self._timer = timer
        self._rng = rng
        self._on_answer = on_answer

    async def start(
        self, target: model.Target, request: api.GenerationRequest
    ) -> api.EngineStream:
        headers = {
            'Content-Type': 'application/json',
            'Accept': 'text/event-stream',
            'X-Request-Id': request.request_id,
            'X-Priority': str(request.engine_priority),
            'X-Resume-Window-S': f'{request.resume_window_s:g}',
        }
        return await self._open_stream(
            target,
            'POST',
            request.path,
            headers,
            request.timeout_s,
            request.body,
        )

    async def resume(
        self,
        target: model.Target,
        generation_id: str,
        last_sequence: int,
        timeout_s: float,
    ) -> api.EngineStream:
        headers = {
            'Accept': 'text/event-stream',
            'Last-Event-ID': str(last_sequence),
            'X-Request-Id': f'resume-{self._rng.getrandbits(64):016x}',
        }
        path = f'/v1/generations/{generation_id}/events'
        stream = await self._open_stream(
            target, 'GET', path, headers, timeout_s, None
        )
        if stream.generation_id not in ('', generation_id):
            stream.close()
            raise _target_failed('the answer belongs to another generation')
        if stream.incarnation != target.incarnation:
            stream.close()
            raise errors.DotterelweirError(
                errors.ErrorKind.RESUME_EXPIRED,
                'another incarnation answered',
                errors.Execution.UNKNOWN,
            )
        return stream

    async def cancel(self, target: model.Target, generation_id: str) -> None:
        url = f'{target.base_url}/v1/generations/{generation_id}'
        timeout_error = _target_failed(
            f'no answer within {self._cancel_timeout_s:g} s'
        )
        with scopes.deadline(
            self._timer, self._cancel_timeout_s, timeout_error
        ):
            try:
                async with self._session.delete(url) as response:
                    if response.status >= 500:
                        raise _target_failed(
                            f'cancel answered {response.status}'
                        )
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as exc:
                raise _target_unreachable(exc) from exc
            except (aiohttp.ClientError, OSError) as exc:
                raise _target_failed(_describe_cause(exc)) from exc

    async def _open_stream(
        self,
        target: model.Target,
        method: str,
        path: str,
        headers: dict[str, str],
        timeout_s: float,
        body: bytes | None,
    ) -> HttpEngineStream:
        sent_s = self._timer.monotonic_s()
        timeout_error = _target_failed(
            f'no response headers within {timeout_s:g} s'
        )
        with scopes.deadline(self._timer, timeout_s, timeout_error):
            try:
                response = await self._session.request(
                    method,
                    target.base_url + path,
                    headers=headers,
                    data=body,
                    allow_redirects=False,
                )
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as exc:
                raise _target_unreachable(exc) from exc
            except (aiohttp.ClientError, OSError) as exc:
                raise _target_failed(_describe_cause(exc)) from exc
            try:
                return await self._check_response(
                    target, response, headers, sent_s
                )
            except BaseException:
                response.close()
                raise

    async def _check_response(
        self,
        target: model.Target,
        response: aiohttp.ClientResponse,
        headers: dict[str, str],
        sent_s: float,
    ) -> HttpEngineStream:
        request_id = headers['X-Request-Id']
        echo = response.headers.get('X-Request-Id')
        resuming = 'Last-Event-ID' in headers
        generation_id = response.headers.get('X-Generation-Id', '')
        # Engines need not echo the request id on a resume. The response is
        # then identified by its generation id, which the caller checks.
        echoed = echo == request_id or (
            resuming
            and echo is None
            and (generation_id != '' or response.status != 200)
        )
        if not echoed:
            events.log(
                LOG,
                events.ANSWER_REJECTED,
                request_id=request_id,
                target_id=target.target_id,
                answered_request_id=echo,
            )
            raise _target_failed('the answer belongs to another request')
        state = _parse_state(response)
        incarnation = _parse_incarnation(response, target)
        if self._on_answer is not None:
            self._on_answer(
                attrs.evolve(target, incarnation=incarnation), state, sent_s
            )
        if response.status != 200:
            raise await _response_error(response, resuming)
        if not generation_id and not resuming:
            raise _target_failed('the answer names no generation')
        self._limit_read_size(response)
        return HttpEngineStream(response, generation_id, incarnation, state)

    def _limit_read_size(self, response: aiohttp.ClientResponse) -> None:
        """Limits the size of one read, which by default is up to 256 KB."""
        connection = response.connection
        if connection is None or connection.transport is None:
            return
        if hasattr(connection.transport, 'max_size'):
            connection.transport.max_size = self._read_max_bytes


class HttpLoadClient(api.LoadClient):
    """Reads load reports over HTTP.

    Args:
        session: Session from ``make_session``.
        timer: Clock and timers.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timer: timers.TimerService
    ) -> None:
        self._session = session
        self._timer = timer

    async def load(
        self, target: model.Target, timeout_s: float
    ) -> model.LoadReport:
        timeout_error = _target_failed(
            f'no load report within {timeout_s:g} s'
        )
        with scopes.deadline(self._timer, timeout_s, timeout_error):
            try:
                url = f'{target.base_url}/v1/load'
                async with self._session.get(url) as response:
                    if response.status != 200:
                        raise _target_failed(
                            f'load answered {response.status}'
                        )
                    document = orjson.loads(await response.read())
                return cattrs.structure(document, model.LoadReport)
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as exc:
                raise _target_unreachable(exc) from exc
            except (
                aiohttp.ClientError,
                OSError,
                ValueError,
                cattrs.BaseValidationError,
            ) as exc:
                raise _target_failed(
                    f'no load report: {_describe_cause(exc)}'
                ) from exc


def _target_failed(detail: str) -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.TARGET_FAILED, detail, errors.Execution.UNKNOWN
    )


def _target_unreachable(cause: Exception) -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.TARGET_UNREACHABLE,
        f'no connection: {_describe_cause(cause)}',
    )


def _describe_cause(error: Exception) -> str:
    """Describes a failure without addresses, because callers see the text."""
    # asyncio includes the address in strerror, so only errno is used.
    number = getattr(getattr(error, 'os_error', error), 'errno', None)
    return os.strerror(number) if number else type(error).__name__


def _parse_state(response: aiohttp.ClientResponse) -> model.TargetState:
    if response.headers.get('X-Target-State') == 'leaving':
        return model.TargetState.LEAVING
    return model.TargetState.LIVE


def _parse_incarnation(
    response: aiohttp.ClientResponse, target: model.Target
) -> int:
    try:
        return int(response.headers['X-Incarnation'])
    except (KeyError, ValueError):
        return target.incarnation


async def _response_error(
    response: aiohttp.ClientResponse, resuming: bool
) -> errors.DotterelweirError:
    """Returns the error for a response with a status other than 200."""
    document = await _read_problem(response)
    execution = errors.Execution.UNKNOWN
    if document.get('execution') == errors.Execution.NOT_RUN.value:
        execution = errors.Execution.NOT_RUN
    detail = str(document.get('detail') or document.get('title') or '')
    detail = f'{response.status} {detail}'.strip()
    if resuming and response.status in (404, 410):
        kind = errors.ErrorKind.RESUME_EXPIRED
    elif response.status in (429, 503) and (
        execution is errors.Execution.NOT_RUN
    ):
        kind = errors.ErrorKind.TARGET_REFUSED
    elif response.status in _CLIENT_ERROR_STATUSES:
        kind = errors.ErrorKind.MALFORMED_REQUEST
    else:
        kind = errors.ErrorKind.TARGET_FAILED
        execution = errors.Execution.UNKNOWN
    return errors.DotterelweirError(
        kind, detail, execution, _parse_retry_after_s(response)
    )


async def _read_problem(
    response: aiohttp.ClientResponse,
) -> dict[str, typing.Any]:
    try:
        body = b''
        while len(body) < _ERROR_BODY_MAX_BYTES:
            chunk = await response.content.readany()
            if not chunk:
                break
            body += chunk
        document = orjson.loads(body)
    except (aiohttp.ClientError, OSError, ValueError):
        return {}
    return document if isinstance(document, dict) else {}


def _parse_retry_after_s(response: aiohttp.ClientResponse) -> float | None:
    try:
        return float(response.headers['Retry-After'])
    except (KeyError, ValueError):
        return None
