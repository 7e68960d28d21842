"""HTTP adapters to the platform's log, instance list and weight store."""

import asyncio
import base64
import binascii
import logging
from typing import Any
import urllib.parse

import aiohttp
import attrs
import orjson

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.targets import model
from dotterelweir_logservice import api

LOG = logging.getLogger(__name__)

# Long enough to read from a slow log. With a wait of 5 s and a pause of 2 s, a
# dead connection delays a change of the tables by at most 15 s of the 18 s
# that it may take.
READ_SLACK_S = 8.0

# Exceptions that aiohttp raises when the server or the network fails.
_NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


# Errors of values with another type or range, or nested so deeply that their
# representation exceeds the recursion limit.
_DECODE_ERRORS = (
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
# Maximum length of what a log line quotes.
_TEXT_CHARS_MAX = 200
_INTEGER_MAX = 2**63 - 1
_PORT_MAX = 65_535


@attrs.frozen
class _Response:
    status: int
    body: bytes


class _Client:
    """Sends HTTP requests to one service of the platform.

    Args:
        session: Session for the requests; the caller closes it.
        base_url: Base URL of the service.
        name: Name of the service, for error messages.
        kind: Kind of the errors of failed requests.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        name: str,
        kind: errors.ErrorKind,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip('/')
        self._service_name = name
        self._error_kind = kind

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        connect_timeout_s: float,
        **options: Any,
    ) -> _Response:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=connect_timeout_s
        )
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                timeout=timeout,
                allow_redirects=False,
                **options,
            ) as response:
                return _Response(response.status, await response.read())
        except _NETWORK_ERRORS as error:
            text = str(error) or type(error).__name__
            raise self.make_error(f'cannot be reached: {text}') from error

    def make_error(self, text: str) -> errors.DotterelweirError:
        return errors.DotterelweirError(
            self._error_kind,
            f'the {self._service_name} {text}',
            errors.Execution.UNKNOWN,
        )

    def decode_json(self, response: _Response) -> Any:
        if response.status != 200:
            raise self.make_error(f'answered with status {response.status}')
        try:
            return orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            raise self.make_error('did not answer with JSON') from error


class HttpLogClient(api.LogClient):
    """The log service over HTTP; a failed append is not retried."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float,
        read_slack_s: float = READ_SLACK_S,
    ) -> None:
        """Creates a client.

        Args:
            session: Session for the requests; the caller closes it.
            base_url: Base URL of the log service.
            timeout_s: Bound on connecting, in seconds.
            read_slack_s: Time that a read may take in addition to the time
                that the log may wait, in seconds.
        """
        self._timeout_s = timeout_s
        self._read_slack_s = read_slack_s
        self._client = _Client(
            session, base_url, 'log', errors.ErrorKind.LOG_UNAVAILABLE
        )

    async def append(
        self, stream: str, records: tuple[bytes, ...], timeout_s: float
    ) -> tuple[int, int]:
        body = {
            'records': [base64.b64encode(r).decode('ascii') for r in records]
        }
        response = await self._client.request(
            'POST',
            _records_path(stream),
            timeout_s,
            min(timeout_s, self._timeout_s),
            data=orjson.dumps(body),
            headers={'Content-Type': 'application/json'},
        )
        document = self._client.decode_json(response)
        try:
            first, last = document['first_offset'], document['last_offset']
        except (KeyError, TypeError) as error:
            raise self._client.make_error(
                'answered without offsets'
            ) from error
        if (
            type(first) is not int
            or type(last) is not int
            or last - first + 1 != len(records)
        ):
            raise self._client.make_error('answered with wrong offsets')
        return first, last

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> api.LogPage:
        response = await self._client.request(
            'GET',
            _records_path(stream),
            self._read_slack_s + wait_s,
            self._timeout_s,
            params={
                'from': str(from_offset),
                'limit': str(limit),
                'wait_s': f'{wait_s:.3f}',
            },
        )
        if response.status == 410:
            raise errors.DotterelweirError(
                errors.ErrorKind.LOG_GAP,
                f'offset {from_offset} of {stream!r} has expired',
            )
        document = self._client.decode_json(response)
        try:
            return _parse_page(document)
        except (*_DECODE_ERRORS, binascii.Error) as error:
            raise self._client.make_error('sent a malformed page') from error


class _PlatformService:
    """A service of the platform other than the log.

    Args:
        session: Session for the requests; the caller closes it.
        base_url: Base URL of the service.
        timeout_s: Bound on a whole request, in seconds.
    """

    _NAME = ''

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float,
    ) -> None:
        self._timeout_s = timeout_s
        self._client = _Client(
            session,
            base_url,
            self._NAME,
            errors.ErrorKind.PLATFORM_UNAVAILABLE,
        )


class HttpInstanceList(_PlatformService, api.InstanceList):
    """The instance list over HTTP."""

    _NAME = 'instance list'

    async def fetch(self) -> tuple[api.ListedInstance, ...]:
        """Reads the whole list; a malformed row is logged and skipped.

        Raises:
            DotterelweirError: PLATFORM_UNAVAILABLE if the list cannot be
                read.
        """
        response = await self._client.request(
            'GET', '/v1/instances', self._timeout_s, self._timeout_s
        )
        document = self._client.decode_json(response)
        if not isinstance(document, list):
            raise self._client.make_error('did not send a list')
        listed = []
        for row in document:
            try:
                listed.append(_parse_row(row))
            except _DECODE_ERRORS as error:
                events.log(
                    LOG,
                    events.INSTANCE_ROW_SKIPPED,
                    row=_describe_row(row),
                    error=repr(error)[:_TEXT_CHARS_MAX],
                )
        return tuple(listed)


class HttpWeightStore(_PlatformService, api.WeightStore):
    """The weight store over HTTP."""

    _NAME = 'weight store'

    async def grant(self, model_name: str) -> api.WeightGrant:
        """Requests permission to load a model.

        Args:
            model_name: Name of the model.

        Raises:
            DotterelweirError: PLATFORM_UNAVAILABLE if the weight store does
                not answer as expected.
        """
        path = f'/v1/weights/{urllib.parse.quote(model_name)}'
        response = await self._client.request(
            'GET', path, self._timeout_s, self._timeout_s
        )
        document = self._client.decode_json(response)
        try:
            return api.WeightGrant(
                int(document['size_bytes']), float(document['permitted_at_s'])
            )
        except (KeyError, TypeError, ValueError) as error:
            raise self._client.make_error('sent a malformed grant') from error


def _records_path(stream: str) -> str:
    return f'/v1/logs/{urllib.parse.quote(stream, safe="")}/records'


def _parse_page(document: Any) -> api.LogPage:
    records = tuple(
        api.LogRecord(
            _require_integer(record['offset']),
            float(record['time_s']),
            base64.b64decode(record['data'], validate=True),
        )
        for record in document['records']
    )
    for before, after in zip(records, records[1:], strict=False):
        if after.offset <= before.offset:
            raise ValueError('offsets do not increase')
    return api.LogPage(
        _require_integer(document['first_available_offset']),
        _require_integer(document['end_offset']),
        records,
    )


def _require_integer(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= _INTEGER_MAX:
        raise ValueError(f'not an integer of 0 or more: {value!r}')
    return value


def _describe_row(row: Any) -> str:
    try:
        return str(row)[:_TEXT_CHARS_MAX]
    except RecursionError:
        return 'nested too deeply'


def _parse_row(row: Any) -> api.ListedInstance:
    port = _require_integer(row['port'])
    if not 1 <= port <= _PORT_MAX:
        raise ValueError(f'not a port: {port}')
    target = model.Target(
        target_id=_require_text(row['target_id']),
        incarnation=_require_integer(row['incarnation']),
        service=_require_text(row['service']),
        zone=_require_text(row['zone']),
        host=_require_text(row['host']),
        port=port,
    )
    return api.ListedInstance(target, model.TargetState(row['state']))


def _require_text(value: Any) -> str:
    if type(value) is not str or not value:
        raise ValueError(f'not a non-empty string: {value!r}')
    return value
