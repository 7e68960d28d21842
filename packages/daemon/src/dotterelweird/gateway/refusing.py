"""Refusals: what a caller is told, and when it may come back."""

from dotterelweir_core import errors
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import pausing

# Bounds of the time after which a caller may come back, in seconds. Callers
# that were refused together come back spread over the range.
_RETRY_AFTER_MIN_S = 0.15
_RETRY_AFTER_MAX_S = 0.6
# Callers heed a Retry-After of up to a third of the time they have left.
_RETRY_AFTER_SHARE_MAX = 0.3


def retry_after_s(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> float:
    """When the caller may come back, in seconds.

    If only pauses of targets keep the request from being sent, that is
    after the first of them, however far away.
    """
    pause_s = pausing.pause_remaining_s(parts, exchange)
    if pause_s:
        return pause_s + parts.rng.uniform(0.0, _RETRY_AFTER_MIN_S)
    remaining_s = exchange.deadline_s - parts.timers.monotonic_s()
    retry_after_max_s = max(0.0, _RETRY_AFTER_SHARE_MAX * remaining_s)
    return min(
        retry_after_max_s,
        parts.rng.uniform(_RETRY_AFTER_MIN_S, _RETRY_AFTER_MAX_S),
    )


def error_for_outcome(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    last_outcome: exchanges.Outcome | None,
) -> errors.DotterelweirError:
    """The error for a request that got no answer of a target.

    Args:
        parts: Shared parts.
        exchange: The request.
        last_outcome: How its last attempt ended; None if there was none.
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
        case None:
            kind = errors.ErrorKind.POOL_EMPTY
        case exchanges.NeverSent():
            kind = errors.ErrorKind.TARGET_UNREACHABLE
        case _:
            kind = errors.ErrorKind.TARGET_REFUSED
    return errors.DotterelweirError(
        kind, retry_after_s=retry_after_s(parts, exchange)
    )
