"""Errors for requests that no target answered, and their Retry-After."""

from dotterelweir_core import errors
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import pausing

# Bounds of the time after which a refused caller may retry, in seconds. The
# time is random within them, so that callers refused together do not retry
# together.
_RETRY_AFTER_MIN_S = 0.15
_RETRY_AFTER_MAX_S = 0.6
# Most of the remaining time that Retry-After may take, as a share. Callers
# retry only if it is at most a third of the time they have left.
_RETRY_AFTER_SHARE_MAX = 0.3


def retry_after_s(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    accepted_in_s: float = 0.0,
) -> float:
    """Returns the time after which the caller may retry, in seconds.

    If only pauses and limits of targets keep the request from being sent, the
    time lasts until the first of them accepts it, however long that is.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        accepted_in_s: Time until the request is likely to be accepted, in
            seconds; 0 if that is not known. The callers are spread over a
            further time of this length, in which the queue gets shorter.
    """
    blocked_s = pausing.blocked_remaining_s(parts, exchange)
    if blocked_s:
        return blocked_s + parts.rng.uniform(0.0, _RETRY_AFTER_MIN_S)
    remaining_s = exchange.deadline_s - parts.timers.monotonic_s()
    retry_after_max_s = max(0.0, _RETRY_AFTER_SHARE_MAX * remaining_s)
    earliest_s = max(_RETRY_AFTER_MIN_S, accepted_in_s)
    latest_s = max(_RETRY_AFTER_MAX_S, 2.0 * accepted_in_s)
    if accepted_in_s > 0 and latest_s > retry_after_max_s:
        # Not all of them at the bound: they would come back together.
        latest_s = retry_after_max_s
        earliest_s = min(earliest_s, 0.5 * retry_after_max_s)
    return min(retry_after_max_s, parts.rng.uniform(earliest_s, latest_s))


def error_for_outcome(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    last_outcome: exchanges.Outcome | None,
) -> errors.DotterelweirError:
    """Returns the error for a request that no target answered.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        last_outcome: How the last attempt ended; None if there was none.
    """
    if exchange.may_have_run:
        timed_out = isinstance(last_outcome, exchanges.TimedOut)
        kind = (
            errors.ErrorKind.REQUEST_TIMEOUT
            if timed_out
            else errors.ErrorKind.TARGET_FAILED
        )
        return errors.DotterelweirError(
            kind, execution=errors.Execution.UNKNOWN
        )
    match last_outcome:
        case None if parts.is_limited(exchange):
            kind = errors.ErrorKind.TARGET_LIMITED
        case None:
            kind = errors.ErrorKind.POOL_EMPTY
        case exchanges.NeverSent():
            kind = errors.ErrorKind.TARGET_UNREACHABLE
        case _:
            kind = errors.ErrorKind.TARGET_REFUSED
    return errors.DotterelweirError(
        kind, retry_after_s=retry_after_s(parts, exchange)
    )
