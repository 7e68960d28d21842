"""The closed list of error kinds and the HTTP response of each one."""

import enum

import attrs


class Execution(enum.StrEnum):
    """Whether a request was executed at a target."""

    NOT_RUN = 'not run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """Every kind of error that is reported to callers and operators.

    The value is the stable error code in problem documents.
    """

    MALFORMED_REQUEST = 'malformed-request'
    BODY_TOO_LARGE = 'body-too-large'
    HEADERS_TOO_LARGE = 'headers-too-large'
    REQUEST_INCOMPLETE = 'request-incomplete'
    ORGANISATION_MISSING = 'organisation-missing'
    KEY_UNKNOWN = 'key-unknown'
    ROUTE_NOT_FOUND = 'route-not-found'
    POOL_EMPTY = 'pool-empty'
    QUEUE_FULL = 'queue-full'
    QUEUE_TIMEOUT = 'queue-timeout'
    ORGANISATION_LIMIT = 'organisation-limit'
    TOO_LARGE_FOR_POOL = 'too-large-for-pool'
    PROMPT_BLOCKED = 'prompt-blocked'
    REQUEST_BLOCKED = 'request-blocked'
    REQUEST_TIMEOUT = 'request-timeout'
    TARGET_UNREACHABLE = 'target-unreachable'
    TARGET_REFUSED = 'target-refused'
    TARGET_LIMITED = 'target-limited'
    TARGET_FAILED = 'target-failed'
    GENERATION_LOST = 'generation-lost'
    STREAM_ORIGIN_UNKNOWN = 'stream-origin-unknown'
    RESUME_INVALID = 'resume-invalid'
    RESUME_FORBIDDEN = 'resume-forbidden'
    RESUME_EXPIRED = 'resume-expired'
    CLAIMS_UNAVAILABLE = 'claims-unavailable'
    CLAIM_IN_PROGRESS = 'claim-in-progress'
    CLAIM_MISMATCH = 'claim-mismatch'
    CLAIM_OUTCOME_UNAVAILABLE = 'claim-outcome-unavailable'
    IDEMPOTENCY_KEY_INVALID = 'idempotency-key-invalid'
    IDEMPOTENCY_KEY_EXPIRED = 'idempotency-key-expired'
    NOT_READY = 'not-ready'
    SHUTTING_DOWN = 'shutting-down'
    LOG_UNAVAILABLE = 'log-unavailable'
    LOG_GAP = 'log-gap'
    MEMORY_SHORT = 'memory-short'
    PLATFORM_UNAVAILABLE = 'platform-unavailable'
    PEER_REJECTED = 'peer-rejected'
    SETTINGS_INVALID = 'settings-invalid'
    INTERNAL = 'internal'


@attrs.frozen
class ErrorResponse:
    """The HTTP response to one kind of error.

    Attributes:
        status: HTTP status code.
        title: Summary of the error in one line.
        retryable: Whether the response carries a Retry-After header.
    """

    status: int
    title: str
    retryable: bool = False


RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(
        400, 'The request is malformed'
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, 'The request body is too large'
    ),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
        431, 'The headers are too large'
    ),
    ErrorKind.REQUEST_INCOMPLETE: ErrorResponse(
        408, 'The request was not sent in time', True
    ),
    ErrorKind.ORGANISATION_MISSING: ErrorResponse(
        401, 'The request names no organisation'
    ),
    ErrorKind.KEY_UNKNOWN: ErrorResponse(401, 'The key is not known'),
    ErrorKind.ROUTE_NOT_FOUND: ErrorResponse(
        404, 'No route matches the request'
    ),
    ErrorKind.POOL_EMPTY: ErrorResponse(
        503, 'The pool has no usable target', True
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(429, 'The queue is full', True),
    ErrorKind.QUEUE_TIMEOUT: ErrorResponse(
        503, 'No target had room for the request in time', True
    ),
    ErrorKind.MEMORY_SHORT: ErrorResponse(
        503, 'The instance has no memory left for the request', True
    ),
    ErrorKind.PROMPT_BLOCKED: ErrorResponse(
        503, 'Engines have crashed on a part of the prompt', True
    ),
    ErrorKind.REQUEST_BLOCKED: ErrorResponse(
        503, 'Several targets have ended under this request', True
    ),
    ErrorKind.ORGANISATION_LIMIT: ErrorResponse(
        429, 'The organisation is over its limit', True
    ),
    ErrorKind.TOO_LARGE_FOR_POOL: ErrorResponse(
        413, 'No target can hold a request of this size'
    ),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(
        504, 'The request timed out', True
    ),
    ErrorKind.TARGET_UNREACHABLE: ErrorResponse(
        503, 'No target could be reached', True
    ),
    ErrorKind.TARGET_REFUSED: ErrorResponse(
        503, 'The targets refused the request', True
    ),
    ErrorKind.TARGET_LIMITED: ErrorResponse(
        503, 'The targets accept no further request in time', True
    ),
    ErrorKind.TARGET_FAILED: ErrorResponse(502, 'The target failed', True),
    ErrorKind.GENERATION_LOST: ErrorResponse(
        502, 'The generation ended before its answer was complete', True
    ),
    ErrorKind.STREAM_ORIGIN_UNKNOWN: ErrorResponse(
        503, 'The software version that began the stream is not known', True
    ),
    ErrorKind.RESUME_INVALID: ErrorResponse(400, 'The event id is not valid'),
    ErrorKind.RESUME_FORBIDDEN: ErrorResponse(
        403, 'The event id belongs to another organisation'
    ),
    ErrorKind.RESUME_EXPIRED: ErrorResponse(
        410, 'The generation is no longer available'
    ),
    ErrorKind.CLAIMS_UNAVAILABLE: ErrorResponse(
        503, 'The idempotency key cannot be claimed now', True
    ),
    ErrorKind.CLAIM_IN_PROGRESS: ErrorResponse(
        409, 'A call with this idempotency key has not ended', True
    ),
    ErrorKind.CLAIM_MISMATCH: ErrorResponse(
        422, 'The idempotency key was used for another request'
    ),
    ErrorKind.CLAIM_OUTCOME_UNAVAILABLE: ErrorResponse(
        409, 'The call ended and its answer was not kept'
    ),
    ErrorKind.IDEMPOTENCY_KEY_INVALID: ErrorResponse(
        400, 'The idempotency key does not have the required form'
    ),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: ErrorResponse(
        410, 'The idempotency key is older than the claim window'
    ),
    ErrorKind.NOT_READY: ErrorResponse(503, 'The instance is not ready', True),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(
        503, 'The instance is shutting down', True
    ),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(
        503, 'The log is unavailable', True
    ),
    ErrorKind.LOG_GAP: ErrorResponse(503, 'The log has a gap', True),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, 'The platform is unavailable', True
    ),
    ErrorKind.PEER_REJECTED: ErrorResponse(
        403, 'The peer request was rejected'
    ),
    ErrorKind.SETTINGS_INVALID: ErrorResponse(
        500, 'The settings are not valid'
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, 'Internal error'),
}


class DotterelweirError(Exception):
    """An expected error that is reported to the caller of a request.

    Attributes:
        kind: Kind of the error; its value is the stable error code.
        detail: Description in one line; the title of the kind if none is
            given.
        execution: Whether the request was executed at a target.
        retry_after_s: Delay before a retry is useful, in seconds; None if
            no delay is known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        execution: Execution = Execution.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{kind.value}: {detail or RESPONSES[kind].title}')
        self.kind = kind
        self.detail = detail or RESPONSES[kind].title
        self.execution = execution
        self.retry_after_s = retry_after_s

    @property
    def response(self) -> ErrorResponse:
        """The HTTP response to this kind of error."""
        return RESPONSES[self.kind]
