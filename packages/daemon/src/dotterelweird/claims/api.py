"""Interface for claiming idempotency keys of service calls."""

import abc

import attrs

from dotterelweir_core import errors
from dotterelweir_core.tables import model as tables_model


@attrs.frozen
class ClaimRequest:
    """Request to claim the idempotency key of a call.

    Attributes:
        organisation: Name of the organisation.
        route: The route of the call.
        key: The idempotency key as the caller sent it.
        request_hash: Hash of the request; a repeat with another hash is a
            mismatch.
        deadline_s: Deadline of the call, in monotonic seconds.
    """

    organisation: str
    route: tables_model.Route
    key: str
    request_hash: str
    deadline_s: float


@attrs.frozen
class Outcome:
    """Result of a claimed call.

    Attributes:
        execution: Whether the call was executed.
        status: HTTP status; None without a response.
        headers: Headers of the response.
        body: Body of the response; None if it was not recorded.
    """

    execution: errors.Execution
    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Grant(abc.ABC):
    """A granted claim, held by one call.

    The holder calls exactly one of ``release`` and ``end``.
    """

    @abc.abstractmethod
    def check_dispatch(self) -> None:
        """Checks that the call may still be sent to a target.

        Raises:
            DotterelweirError: CLAIMS_UNAVAILABLE (not run) if too much time
                has passed since the claim, for example in a pause of the
                process.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Frees the key; allowed only if the call was certainly not run."""

    @abc.abstractmethod
    def end(self, outcome: Outcome) -> None:
        """Records the outcome for repeats of the call."""


class Claims(abc.ABC):
    """Claims idempotency keys before dispatch."""

    @abc.abstractmethod
    async def claim(self, request: ClaimRequest) -> Grant | Outcome:
        """Claims a key.

        Returns:
            A grant to run the call, or the recorded outcome of an earlier
            call with the same key.

        Raises:
            DotterelweirError: The key is not granted; the call must not be
                run.
        """
