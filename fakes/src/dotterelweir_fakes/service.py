"""Stand-in for a plain service that counts executions.

``PUT /faults`` sets faults, ``PUT /state`` sets the state, and
``GET /counts`` returns the counts. Each request on any other path is one
execution. It is counted by ``X-Request-Id`` and by business key: the header
``X-Business-Key`` or, without it, the field ``key`` of a JSON body.
"""

import asyncio
import collections
from collections.abc import Callable
import enum
import os

from aiohttp import web
import attrs
import click
import orjson

REQUEST_ID_HEADER = 'X-Request-Id'
BUSINESS_KEY_HEADER = 'X-Business-Key'
STATE_HEADER = 'X-Target-State'


class Fault(enum.StrEnum):
    """A fault of one call.

    The faults whose names end in ``before`` prevent the execution;
    ``refuse`` also does, with a response that reports it.
    """

    CUT_BEFORE = 'cut-before'
    CUT_AFTER = 'cut-after'
    CUT_IN_ANSWER = 'cut-in-answer'
    CRASH_BEFORE = 'crash-before'
    CRASH_AFTER = 'crash-after'
    REFUSE = 'refuse'
    UNAVAILABLE = 'unavailable'
    WRONG_ECHO = 'wrong-echo'


@attrs.define
class ServiceState:
    """State of one running service.

    Attributes:
        target_id: Name of the target.
        incarnation: Number that differs between runs of the target.
        state: ``live`` or ``leaving``.
        delay_s: Delay of each call before its execution, in seconds.
        faults: Faults of the next calls, in the order of the calls.
        by_request_id: Number of executions, by request id.
        by_business_key: Number of executions, by business key.
        running: Number of calls in progress.
        gate: Blocks calls before their execution until it is set; None to
            block none. Used by tests in the same process.
        on_crash: Called for the crash faults; ends the process by default.
            Tests in the same process replace it.
    """

    target_id: str = 'service-1'
    incarnation: int = 1
    state: str = 'live'
    delay_s: float = 0.0
    faults: collections.deque[Fault] = attrs.field(factory=collections.deque)
    by_request_id: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    by_business_key: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    running: int = 0
    gate: asyncio.Event | None = None
    on_crash: Callable[[], None] = lambda: os._exit(70)


STATE = web.AppKey('state', ServiceState)


def create_app(state: ServiceState) -> web.Application:
    """Creates the HTTP application of a service."""
    app = web.Application()
    app[STATE] = state
    app.router.add_get('/v1/load', _load)
    app.router.add_get('/counts', _counts)
    app.router.add_put('/faults', _set_faults)
    app.router.add_put('/state', _set_state)
    app.router.add_route('*', '/{path:.*}', _call)
    return app


async def _load(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return _json(
        state,
        {
            'target_id': state.target_id,
            'incarnation': state.incarnation,
            'state': state.state,
            'running': state.running,
            'waiting': 0,
        },
    )


async def _counts(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return _json(
        state,
        {
            'by_request_id': state.by_request_id,
            'by_business_key': state.by_business_key,
        },
    )


async def _set_faults(request: web.Request) -> web.Response:
    state = request.app[STATE]
    document = orjson.loads(await request.read())
    state.delay_s = float(document.get('delay_s', 0.0))
    state.faults = collections.deque(
        Fault(name) for name in document.get('faults', [])
    )
    return _json(state, {})


async def _set_state(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.state = orjson.loads(await request.read())['state']
    return _json(state, {})


async def _call(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    fault = state.faults.popleft() if state.faults else None
    state.running += 1
    try:
        body = await request.read()
        if state.delay_s:
            await asyncio.sleep(state.delay_s)
        if state.gate is not None:
            await state.gate.wait()
        return await _execute(state, request, body, fault)
    finally:
        state.running -= 1


async def _execute(
    state: ServiceState,
    request: web.Request,
    body: bytes,
    fault: Fault | None,
) -> web.StreamResponse:
    match fault:
        case Fault.CRASH_BEFORE:
            state.on_crash()
            return _abort_connection(request)
        case Fault.CUT_BEFORE:
            return _abort_connection(request)
        case Fault.REFUSE:
            return _json(
                state,
                {'title': 'Busy', 'status': 503, 'execution': 'not run'},
                503,
                'application/problem+json',
            )
    request_id = request.headers.get(REQUEST_ID_HEADER, '')
    business_key = _business_key(request, body)
    state.by_request_id[request_id] += 1
    state.by_business_key[business_key] += 1
    content = {
        'key': business_key,
        'execution_number': state.by_business_key[business_key],
        'target_id': state.target_id,
    }
    match fault:
        case Fault.CRASH_AFTER:
            state.on_crash()
            return _abort_connection(request)
        case Fault.CUT_AFTER:
            return _abort_connection(request)
        case Fault.CUT_IN_ANSWER:
            return await _cut_within_body(request)
        case Fault.UNAVAILABLE:
            return _json(state, {'title': 'Overloaded'}, 503)
    response = _json(state, content)
    response.headers[REQUEST_ID_HEADER] = (
        'another' if fault is Fault.WRONG_ECHO else request_id
    )
    return response


def _business_key(request: web.Request, body: bytes) -> str:
    if BUSINESS_KEY_HEADER in request.headers:
        return request.headers[BUSINESS_KEY_HEADER]
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ''
    return str(parsed.get('key', '')) if isinstance(parsed, dict) else ''


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _cut_within_body(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={'Content-Length': '1000'})
    await response.prepare(request)
    await response.write(b'{"key"')
    if request.transport is not None:
        request.transport.close()
    return response


def _json(
    state: ServiceState,
    value: object,
    status: int = 200,
    content_type: str = 'application/json',
) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(value),
        content_type=content_type,
        headers={STATE_HEADER: state.state},
    )


@click.command('service')
@click.option('--host', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, help='0: chosen by the system.')
@click.option('--target-id', required=True)
@click.option('--service', 'service_name', required=True)
@click.option('--zone', required=True)
@click.option('--incarnation', type=int, default=1, show_default=True)
def command(
    host: str,
    port: int,
    target_id: str,
    service_name: str,
    zone: str,
    incarnation: int,
) -> None:
    """Runs a plain service that counts its executions, until SIGTERM."""
    click.echo(f'{service_name} {target_id} in {zone} listens on {port}')
    state = ServiceState(target_id, incarnation)
    web.run_app(create_app(state), host=host, port=port, print=None)
