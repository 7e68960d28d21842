"""Problem documents and the events that end an incomplete stream."""

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
    """The problem document of an error.

    Args:
        error: The error.
        request_id: Name of the request.
        **extra: Further members.
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
    """The HTTP answer to an error."""
    headers = {'X-Request-Id': request_id}
    if error.response.retryable:
        # Whole seconds are the only relative form that HTTP has.
        delay_s = 1.0 if error.retry_after_s is None else error.retry_after_s
        headers['Retry-After'] = str(max(0, math.ceil(delay_s)))
    return web.Response(
        status=error.response.status,
        body=orjson.dumps(document(error, request_id)),
        headers=headers,
        content_type='application/problem+json',
    )


def error_event(error: errors.DotterelweirError, request_id: str) -> bytes:
    """The event that ends a stream whose answer is not complete."""
    members = document(error, request_id, complete=False)
    return b'event: error\ndata: %s\n\n' % orjson.dumps(members)


def handover_event(event_id: bytes, request_id: str) -> bytes:
    """The event that tells the caller to resume at another instance.

    Args:
        event_id: Id of the last event that was sent.
        request_id: Name of the request.
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
    """Logs the exception being handled and gives the error to answer.

    After an unexpected exception nothing is certain about the request.
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
