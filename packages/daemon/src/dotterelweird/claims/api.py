"""Base classes between service calls and the claims of idempotency keys."""

import abc

import attrs

from dotterelweir_core import errors
from dotterelweir_core.tables import model as tables_model


@attrs.frozen
class ClaimRequest:
    """A call that wants to claim its idempotency key.

    Attributes:
        organisation: Name of the organisation.
        route: The route of the call.
        key: The idempotency key as the caller sent it.
        request_hash: Hash of everything that makes the call this call.
        deadline_s: When the call is given up, in monotonic seconds.
    """

    organisation: str
    route: tables_model.Route
    key: str
    request_hash: str
    deadline_s: float


@attrs.frozen
class Outcome:
    """How a claimed call ended.

    Attributes:
        execution: Whether it ran.
        status: HTTP status; None if there is no answer.
        headers: Headers of the answer.
        body: Body of the answer; None if it was not kept.
    """

    execution: errors.Execution
    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Grant(abc.ABC):
    """A granted claim, held by one call.

    Exactly one of ``release`` and ``end`` is called.
    """

    @abc.abstractmethod
    def check_dispatch(self) -> None:
        """Checks that the call may still be sent to a target.

        Raises:
            DotterelweirError: CLAIMS_UNAVAILABLE (not run) if the holder
                was paused or waited for too long.
        """

    @abc.abstractmethod
    def release(self) -> None:
        """Frees the key; only for a call that certainly did not run."""

    @abc.abstractmethod
    def end(self, outcome: Outcome) -> None:
        """Records the outcome for repeats of the call."""


class Claims(abc.ABC):
    """Claims idempotency keys before dispatch."""

    @abc.abstractmethod
    async def claim(self, request: ClaimRequest) -> Grant | Outcome:
        """Claims a key.

        Returns:
            A grant to run the call, or the recorded answer of an earlier
            call with the same key.

        Raises:
            DotterelweirError: The call must not be run.
        """
