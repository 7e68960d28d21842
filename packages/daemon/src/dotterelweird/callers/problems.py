"""Builds problem documents and the events that end incomplete streams."""

import logging
import math
import typing

from aiohttp import web
import orjson

from dotterelweir_core import errors
from dotterelweir_core import events

LOG = logging.getLogger(__name__)


def document(
    error: errors.DotterelweirError, request_id: str, **extra: typing.Any
) -> dict[str, typing.Any]:
    """Builds the problem document of an error.

    Args:
        error: The error.
        request_id: Id of the request.
        **extra: Additional members of the document.
    """
    members = {
        'type': f'urn:dotterelweir:{error.kind.value}',
        'title': error.response.title,
        'status': error.response.status,
        'code': error.kind.value,
        'detail': error.detail,
        'execution': error.execution.value,
        'request_id': request_id,
    }
    return members | extra


def response(error: errors.DotterelweirError, request_id: str) -> web.Response:
    """Builds the HTTP response to an error.

    Args:
        error: The error.
        request_id: Id of the request.
    """
    headers = {'X-Request-Id': request_id}
    if error.response.retryable:
        # HTTP defines the relative form of Retry-After in whole seconds only.
        delay_s = 1.0 if error.retry_after_s is None else error.retry_after_s
        headers['Retry-After'] = str(max(0, math.ceil(delay_s)))
    return web.Response(
        status=error.response.status,
        body=orjson.dumps(document(error, request_id)),
        headers=headers,
        content_type='application/problem+json',
    )


def error_event(error: errors.DotterelweirError, request_id: str) -> bytes:
    """Builds the event that ends a stream with an incomplete answer.

    Args:
        error: Why the answer is incomplete.
        request_id: Id of the request.
    """
    members = document(error, request_id, complete=False)
    return b'event: error\ndata: %s\n\n' % orjson.dumps(members)


def handover_event(event_id: bytes, request_id: str) -> bytes:
    """Builds the event that makes the caller resume at another instance.

    Args:
        event_id: Id of the last event that was sent.
        request_id: Id of the request.
    """
    members = {
        'resume': '/v1/streams',
        'last_event_id': event_id.decode(),
        'request_id': request_id,
    }
    return b'id: %s\nevent: handover\ndata: %s\n\n' % (
        event_id,
        orjson.dumps(members),
    )


def log_unexpected_error(request_id: str) -> errors.DotterelweirError:
    """Logs the exception being handled and returns the error to report.

    The execution of the error is unknown, as the exception may have been
    raised before or after the request ran.

    Args:
        request_id: Id of the request.
    """
    event = events.UNEXPECTED_ERROR
    LOG.log(
        event.level,
        event.name,
        exc_info=True,
        extra={'event': event.number, 'fields': {'request_id': request_id}},
    )
    return errors.DotterelweirError(
        errors.ErrorKind.INTERNAL, execution=errors.Execution.UNKNOWN
    )
