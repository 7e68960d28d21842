"""HTTP interface of the platform's stand-in."""

import base64
import binascii
from typing import Any

from aiohttp import web
import attrs
import cattrs
import orjson

from dotterelweir_core import timers
from dotterelweir_fakes.platform import instances
from dotterelweir_fakes.platform import log
from dotterelweir_fakes.platform import weights

BODY_MAX_BYTES = 33_554_432
PAGE_MAX_RECORDS = 1_000
WAIT_MAX_S = 60.0

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


class Platform:
    """The three services of the platform.

    Args:
        timer: Source of time.
        options: Limits of the log; None for the defaults.
        instances_lag_s: Delay until a change is visible in the instance
            list, in seconds.
        weights_loads_per_s: Starts of weight loads permitted per second.

    Attributes:
        log: The log.
        instances: The instance list.
        weights: The weight store.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        options: log.LogOptions | None = None,
        instances_lag_s: float = 0.0,
        weights_loads_per_s: float = 1.0,
    ) -> None:
        memory = log.MemoryLog(timer, options or log.LogOptions())
        self.log = log.LogService(timer, memory)
        self.instances = instances.MemoryInstances(timer, instances_lag_s)
        self.weights = weights.MemoryWeights(timer, weights_loads_per_s)

    def faults(self) -> dict[str, Any]:
        """Returns the active faults, by name of the service."""
        return {
            'log': attrs.asdict(self.log.faults),
            'instances': attrs.asdict(self.instances.faults),
            'weights': attrs.asdict(self.weights.faults),
        }

    def change_faults(self, changes: dict[str, dict[str, Any]]) -> None:
        """Sets some faults and leaves all others unchanged.

        Args:
            changes: New values of faults by field, by name of the service.

        Raises:
            ValueError: A name or a value is invalid; nothing is changed.
        """
        merged = self.faults()
        for service, fields in changes.items():
            if service not in merged or not isinstance(fields, dict):
                raise ValueError(f'wrong service {service!r}')
            merged[service].update(fields)
        log_faults = _structure(merged['log'], log.LogFaults)
        instances_faults = _structure(
            merged['instances'], instances.InstancesFaults
        )
        weights_faults = _structure(merged['weights'], weights.WeightsFaults)
        self.instances.faults = instances_faults
        self.weights.faults = weights_faults
        self.log.set_faults(log_faults)


PLATFORM = web.AppKey('platform', Platform)

_ROUTES = web.RouteTableDef()


def create_app(platform: Platform) -> web.Application:
    """Creates the HTTP application of a platform."""
    app = web.Application(client_max_size=BODY_MAX_BYTES)
    app[PLATFORM] = platform
    app.add_routes(_ROUTES)
    return app


@_ROUTES.post('/v1/logs/{stream}/records')
async def _append(request: web.Request) -> web.StreamResponse:
    document = await _read_document(request)
    try:
        records = tuple(
            base64.b64decode(record, validate=True)
            for record in document['records']
        )
    except (KeyError, TypeError, ValueError, binascii.Error):
        return _problem(400, 'records must be a list of base64 strings')
    if not records:
        return _problem(400, 'records is empty')
    service = request.app[PLATFORM].log
    try:
        first, last = await service.append(
            request.match_info['stream'], records
        )
    except log.LogRefusedError as error:
        return _problem(error.status, str(error))
    except log.ResponseLostError:
        return _abort_connection(request)
    return _json({'first_offset': first, 'last_offset': last})


@_ROUTES.get('/v1/logs/{stream}/records')
async def _read(request: web.Request) -> web.StreamResponse:
    try:
        from_offset = int(request.query.get('from', '0'))
        limit = int(request.query.get('limit', '100'))
        wait_s = float(request.query.get('wait_s', '0'))
    except ValueError:
        return _problem(400, 'from, limit and wait_s must be numbers')
    if limit < 1 or not 0 <= wait_s <= WAIT_MAX_S:
        return _problem(400, 'limit or wait_s is out of range')
    try:
        page = await request.app[PLATFORM].log.read(
            request.match_info['stream'],
            from_offset,
            min(limit, PAGE_MAX_RECORDS),
            wait_s,
        )
    except log.LogRefusedError as error:
        return _problem(error.status, str(error))
    records = [
        {
            'offset': record.offset,
            'time_s': record.time_s,
            'data': base64.b64encode(record.data).decode('ascii'),
        }
        for record in page.records
    ]
    return _json(
        {
            'first_available_offset': page.first_available_offset,
            'end_offset': page.end_offset,
            'records': records,
        }
    )


@_ROUTES.get('/v1/instances')
async def _list(request: web.Request) -> web.Response:
    service = request.app[PLATFORM].instances
    if service.faults.down:
        return _problem(503, 'outage')
    return _json([attrs.asdict(row) for row in service.rows()])


@_ROUTES.put('/v1/instances/{target_id}')
async def _put_instance(request: web.Request) -> web.Response:
    document = await _read_document(request)
    document['target_id'] = request.match_info['target_id']
    try:
        row = _structure(document, instances.InstanceRow)
    except ValueError as error:
        return _problem(400, str(error))
    request.app[PLATFORM].instances.put(row)
    return web.Response(status=204)


@_ROUTES.delete('/v1/instances/{target_id}')
async def _delete_instance(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    platform.instances.delete(request.match_info['target_id'])
    return web.Response(status=204)


@_ROUTES.get('/v1/weights/{model:.+}')
async def _weights(request: web.Request) -> web.Response:
    service = request.app[PLATFORM].weights
    if service.faults.down:
        return _problem(503, 'outage')
    return _json(attrs.asdict(service.grant()))


@_ROUTES.get('/faults')
async def _get_faults(request: web.Request) -> web.Response:
    return _json(request.app[PLATFORM].faults())


@_ROUTES.post('/faults')
async def _post_faults(request: web.Request) -> web.Response:
    document = await _read_document(request)
    try:
        request.app[PLATFORM].change_faults(document)
    except ValueError as error:
        return _problem(400, str(error))
    return web.Response(status=204)


async def _read_document(request: web.Request) -> dict[str, Any]:
    try:
        document = orjson.loads(await request.read())
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text='not JSON') from error
    if not isinstance(document, dict):
        raise web.HTTPBadRequest(text='not a JSON object')
    return document


def _structure(document: dict[str, Any], cls: type) -> Any:
    try:
        return _CONVERTER.structure(document, cls)
    except (cattrs.BaseValidationError, TypeError) as error:
        problems = '; '.join(cattrs.transform_error(error))
        raise ValueError(problems) from error


def _abort_connection(request: web.Request) -> web.Response:
    # The append took effect, but the client only gets a closed connection.
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _json(document: object) -> web.Response:
    return web.Response(
        body=orjson.dumps(document), content_type='application/json'
    )


def _problem(status: int, title: str) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps({'status': status, 'title': title}),
        content_type='application/problem+json',
    )
