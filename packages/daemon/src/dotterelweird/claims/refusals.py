"""Errors of calls whose idempotency key cannot be claimed."""

from dotterelweir_core import errors

_RETRY_AFTER_S = 1.0


def unavailable(
    detail: str, execution: errors.Execution = errors.Execution.NOT_RUN
) -> errors.DotterelweirError:
    """Returns the error for a claim without a decision of the log.

    Args:
        detail: Human-readable reason in one line.
        execution: Whether the call was executed, as far as known.
    """
    return errors.DotterelweirError(
        errors.ErrorKind.CLAIMS_UNAVAILABLE, detail, execution, _RETRY_AFTER_S
    )


def in_progress() -> errors.DotterelweirError:
    """Returns the error for a key whose earlier call has no outcome yet."""
    return errors.DotterelweirError(
        errors.ErrorKind.CLAIM_IN_PROGRESS,
        '',
        errors.Execution.UNKNOWN,
        _RETRY_AFTER_S,
    )


def mismatch() -> errors.DotterelweirError:
    """Returns the error for a key that a different request has claimed.

    The earlier request may be the same call with another encoding, so the
    execution is unknown rather than "not run".
    """
    return errors.DotterelweirError(
        errors.ErrorKind.CLAIM_MISMATCH, '', errors.Execution.UNKNOWN
    )


def key_expired() -> errors.DotterelweirError:
    """Returns the error for a key that is older than the claim window."""
    return errors.DotterelweirError(
        errors.ErrorKind.IDEMPOTENCY_KEY_EXPIRED, '', errors.Execution.UNKNOWN
    )


def key_in_future() -> errors.DotterelweirError:
    """Returns the error for a key whose time is in the future.

    The execution is unknown: an instance with another clock may have run the
    call.
    """
    return errors.DotterelweirError(
        errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
        'The key carries a time in the future',
        errors.Execution.UNKNOWN,
    )
