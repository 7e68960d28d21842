"""Faults that can be injected into the engine."""

import enum

import attrs
import cattrs


class FaultKind(enum.StrEnum):
    """Kind of a fault."""

    DIE = 'die'
    CUT = 'cut'
    STALL = 'stall'
    SLOW = 'slow'
    LEAVE = 'leave'
    REFUSE = 'refuse'
    DUPLICATE_EVENT = 'duplicate-event'
    SKIP_EVENT = 'skip-event'
    WRONG_REQUEST_ID = 'wrong-request-id'
    OTHER_GENERATION = 'other-generation'
    DELAY_HEADERS = 'delay-headers'


# Faults of the whole engine; each of the others affects one response.
ENGINE_FAULTS = frozenset({FaultKind.SLOW, FaultKind.LEAVE})


@attrs.frozen
class Fault:
    """One fault.

    Attributes:
        kind: Kind of the fault.
        at: Index of the event before which the fault occurs in the response:
            0 for the event of the first token, -1 for the end mark.
        on: Responses that are affected: ``start``, ``resume`` or ``any``.
        count: Number of responses that are affected.
        factor: Factor by which ``slow`` multiplies the duration of steps.
        duration_s: Duration of ``stall``, ``delay-headers`` and ``slow``, in
            seconds; None if they do not end.
    """

    kind: FaultKind
    at: int = 0
    on: str = 'start'
    count: int = 1
    factor: float = 10.0
    duration_s: float | None = None


def structure(document: dict) -> Fault:
    """Decodes the body of ``POST /faults``.

    Raises:
        cattrs.BaseValidationError: The body is not a valid fault.
    """
    return cattrs.structure(document, Fault)


class FaultQueue:
    """Queue of faults that have not affected a response yet."""

    def __init__(self) -> None:
        self._waiting: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Adds a fault once for each response that it affects."""
        self._waiting.extend([fault] * fault.count)

    def clear(self) -> None:
        """Removes all faults."""
        self._waiting.clear()

    def take(self, on: str) -> Fault | None:
        """Removes and returns the fault of the next response, or None.

        Args:
            on: Kind of the response, ``start`` or ``resume``.
        """
        for fault in self._waiting:
            if fault.on in (on, 'any'):
                self._waiting.remove(fault)
                return fault
        return None
