"""Resumes streams of generations by event id."""

import contextlib
import logging

from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.delivery import resume
from dotterelweird.callers import api
from dotterelweird.callers import reader as reader_module
from dotterelweird.callers import relay as relay_module
from dotterelweird.callers import requests

LOG = logging.getLogger(__name__)


async def handle(
    components: api.CallerComponents, request: web.Request
) -> web.StreamResponse:
    """Answers ``GET /v1/streams`` with the events after Last-Event-ID.

    Args:
        components: Dependencies of the callers' handlers.
        request: The caller's request, with its id and organisation set.

    Returns:
        The stream after its end.

    Raises:
        DotterelweirError: RESUME_INVALID, RESUME_FORBIDDEN, RESUME_EXPIRED,
            MALFORMED_REQUEST without the header, or the engine cannot be
            reached at present.
    """
    event_id = request.headers.get('Last-Event-ID')
    if event_id is None:
        raise requests.malformed('needs the header Last-Event-ID')
    organisation = request[requests.ORGANISATION]
    position = components.codec.decode(event_id, organisation)
    resume_token = components.codec.encode_resume_token(
        position.ref, organisation
    )
    try:
        with components.in_flight.interruptible():
            reader = await _open_reader(
                components, request, position, resume_token
            )
    except errors.DotterelweirError as error:
        # The generation was started, so the error must not state "not run".
        ran = position.sequence >= 0
        error.execution = (
            errors.Execution.RAN if ran else errors.Execution.UNKNOWN
        )
        raise
    with contextlib.closing(reader):
        return await _relay(components, request, reader)


async def _open_reader(
    components: api.CallerComponents,
    request: web.Request,
    position: resume.Position,
    resume_token: str,
) -> reader_module.GenerationReader:
    ref = position.ref
    target = components.find_target(ref.target_id, ref.incarnation)
    if target is None:
        # This instance may lag behind a restart of the engine. The
        # incarnation is checked when the engine answers.
        target = components.find_target(ref.target_id, None)
    if target is None:
        raise errors.DotterelweirError(
            errors.ErrorKind.RESUME_EXPIRED, 'the engine has gone'
        )
    target = attrs.evolve(target, incarnation=ref.incarnation)
    # The last received event is requested again, because the cursor checks
    # its finish reason if only the end mark follows.
    delivery = components.settings.delivery
    stream = await reader_module.resume_stream(
        components,
        target,
        ref.generation_id,
        max(-1, position.sequence - 1),
        reader_module.resume_backoff(components, delivery.resume_attempts),
    )
    events.log(
        LOG,
        events.GENERATION_RESUMED,
        request_id=request[requests.REQUEST_ID],
        target_id=target.target_id,
        generation_id=ref.generation_id,
        next_sequence=position.sequence + 1,
        reason='requested by the caller',
    )
    components.metrics.resumes.inc({'target': target.target_id})
    return reader_module.make_reader(
        components,
        target,
        stream,
        resume_token,
        request[requests.REQUEST_ID],
        position.sequence + 1,
    )


async def _relay(
    components: api.CallerComponents,
    request: web.Request,
    reader: reader_module.GenerationReader,
) -> web.StreamResponse:
    relay = relay_module.StreamRelay(
        components, request, request[requests.REQUEST_ID]
    )
    error = None
    try:
        await relay.start()
        with components.in_flight.interruptible():
            reader.watch_stalls()
            first_events = await reader.read()
            await relay.run(reader, first_events, lambda count: None)
    except errors.DotterelweirError as exc:
        error = exc
        request[requests.OUTCOME] = error.kind.value
        error.execution = errors.Execution.RAN
    except ConnectionError:
        return relay.response
    try:
        await relay.end(reader, error)
        if error is None:
            await reader.read_to_end()
    except ConnectionError:
        # The caller disconnected after its last token.
        pass
    return relay.response
