"""Parses the headers and bodies of callers' requests."""

import math
import typing

from aiohttp import web
import attrs
import orjson

from dotterelweir_core import errors
from dotterelweir_core.delivery import prompts
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.tables import model as tables_model
from dotterelweird.callers import api

ORGANISATION = web.RequestKey('organisation', str)
REQUEST_ID = web.RequestKey('request_id', str)
ROUTE = web.RequestKey('route', str)
# Whether the idempotency key of the request was claimed for it.
CLAIMED = web.RequestKey('claimed', bool)
# Outcome of the request if the status of its response does not show it.
OUTCOME = web.RequestKey('outcome', str)
CALLER_GONE = 'caller-gone'

REQUEST_ID_HEADER = 'X-Request-Id'
CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATHS = (CHAT_PATH, '/v1/completions')
_LEAST_URGENT = 9


def malformed(detail: str) -> errors.DotterelweirError:
    """Returns the error for a malformed request.

    Args:
        detail: What is malformed, for the caller.
    """
    return errors.DotterelweirError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def parse_object(body: bytes) -> dict[str, typing.Any]:
    """Decodes a JSON object.

    Raises:
        DotterelweirError: MALFORMED_REQUEST for any other body.
    """
    try:
        document = orjson.loads(body)
    except ValueError as error:
        raise malformed(f'the body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise malformed('the body must be a JSON object')
    return document


@attrs.frozen
class CompletionRequest:
    """A parsed chat or text completion request.

    Attributes:
        chat: Whether it is a chat completion.
        streamed: Whether the caller requested a stream.
        model: Name of the model.
        prompt: The prompt as bytes.
        max_output_tokens: The caller's output limit, in tokens, or None.
        document: The decoded body.
    """

    chat: bool
    streamed: bool
    model: str
    prompt: bytes
    max_output_tokens: int | None
    document: dict[str, typing.Any]

    def engine_body(self, body: bytes, output_limit: int | None) -> bytes:
        """Returns the body for the engine, which always streams.

        Args:
            body: The caller's body; returned unchanged if it already has
                the required fields.
            output_limit: Output limit of caller and route, in tokens, or
                None.
        """
        if self.streamed and output_limit == self.max_output_tokens:
            return body
        document = self.document | {'stream': True}
        if output_limit is not None:
            has_completion_limit = 'max_completion_tokens' in document
            name = (
                'max_completion_tokens'
                if has_completion_limit
                else 'max_tokens'
            )
            document[name] = output_limit
        if not self.streamed:
            document['stream_options'] = {'include_usage': True}
        return orjson.dumps(document)


def parse_completion(path: str, body: bytes) -> CompletionRequest:
    """Parses a completion request.

    Args:
        path: URL path, which determines the kind of completion.
        body: The complete body.

    Raises:
        DotterelweirError: MALFORMED_REQUEST.
    """
    document = parse_object(body)
    model = document.get('model', '')
    if not isinstance(model, str):
        raise malformed('"model" must be a string')
    streamed = document.get('stream', False)
    if not isinstance(streamed, bool):
        raise malformed('"stream" must be true or false')
    output_limits = [
        _parse_output_limit(document, name)
        for name in ('max_completion_tokens', 'max_tokens')
    ]
    try:
        prompt = prompts.prompt_bytes(document)
    except ValueError as error:
        raise malformed(str(error)) from error
    given_limits = [
        output_limit
        for output_limit in output_limits
        if output_limit is not None
    ]
    return CompletionRequest(
        path == CHAT_PATH,
        streamed,
        model,
        prompt,
        min(given_limits) if given_limits else None,
        document,
    )


def work_item(
    components: api.CallerComponents,
    request: web.Request,
    route: tables_model.Route,
    completion: CompletionRequest | None,
) -> policy_api.WorkItem:
    """Builds the work item of a request for the scheduler.

    Args:
        components: Dependencies of the callers' handlers.
        request: The caller's request, with its id and organisation set.
        route: The route that matched the request.
        completion: The parsed completion request; None for other calls.

    Raises:
        DotterelweirError: MALFORMED_REQUEST for a bad header.
    """
    now_s = components.timer.monotonic_s()
    prompt = completion.prompt if completion is not None else b''
    output_limit = route.max_output_tokens
    if completion is not None and completion.max_output_tokens is not None:
        output_limit = min(
            completion.max_output_tokens,
            output_limit or completion.max_output_tokens,
        )
    return policy_api.WorkItem(
        request_id=request[REQUEST_ID],
        route=route.name,
        pool=route.pool,
        organisation=request[ORGANISATION],
        priority=_priority(request, route),
        prompt_tokens=prompts.prompt_tokens(prompt),
        max_output_tokens=output_limit,
        prefix_hashes=prompts.prefix_hashes(prompt),
        arrived_s=now_s,
        deadline_s=now_s + _timeout_s(request, route),
        repeatable=route.repeatable,
    )


def _parse_output_limit(
    document: dict[str, typing.Any], name: str
) -> int | None:
    value = document.get(name)
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise malformed(f'"{name}" must be a whole number above 0')
    return value


def _priority(request: web.Request, route: tables_model.Route) -> int:
    text = request.headers.get('X-Request-Priority')
    if text is None:
        return route.priority
    try:
        requested = int(text)
    except ValueError:
        requested = -1
    if not 0 <= requested <= _LEAST_URGENT:
        raise malformed('X-Request-Priority must be a number from 0 to 9')
    return max(route.priority, requested)


def _timeout_s(request: web.Request, route: tables_model.Route) -> float:
    text = request.headers.get('X-Request-Timeout-S')
    if text is None:
        return route.timeout_s
    try:
        requested_s = float(text)
    except ValueError:
        requested_s = math.nan
    if not (math.isfinite(requested_s) and requested_s > 0):
        raise malformed('X-Request-Timeout-S must be a number above 0')
    return min(route.timeout_s, requested_s)
