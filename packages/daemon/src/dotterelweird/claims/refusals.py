"""The errors of calls whose idempotency key cannot be claimed."""

from dotterelweir_core import errors

_RETRY_AFTER_S = 1.0


def unavailable(
    detail: str, execution: errors.Execution = errors.Execution.NOT_RUN
) -> errors.DotterelweirError:
    """The error while the log does not decide.

    Args:
        detail: One line for people.
        execution: What is known of the call.
    """
    return errors.DotterelweirError(
        errors.ErrorKind.CLAIMS_UNAVAILABLE, detail, execution, _RETRY_AFTER_S
    )


def in_progress() -> errors.DotterelweirError:
    """The error for a call whose key is claimed and has no outcome."""
    return errors.DotterelweirError(
        errors.ErrorKind.CLAIM_IN_PROGRESS,
        '',
        errors.Execution.UNKNOWN,
        _RETRY_AFTER_S,
    )


def mismatch() -> errors.DotterelweirError:
    """The error for a key that another request has claimed.

    The earlier request may be this one in another spelling, so this is not
    "not run".
    """
    return errors.DotterelweirError(
        errors.ErrorKind.CLAIM_MISMATCH, '', errors.Execution.UNKNOWN
    )


def key_expired() -> errors.DotterelweirError:
    """The error for a key that is older than the window."""
    return errors.DotterelweirError(
        errors.ErrorKind.IDEMPOTENCY_KEY_EXPIRED, '', errors.Execution.UNKNOWN
    )


def key_in_future() -> errors.DotterelweirError:
    """The error for a key from the future.

    An instance with another clock may have run the call.
    """
    return errors.DotterelweirError(
        errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
        'The key carries a time in the future',
        errors.Execution.UNKNOWN,
    )
