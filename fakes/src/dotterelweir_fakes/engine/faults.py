"""Faults that can be injected into the engine."""

import enum

import attrs
import cattrs


class FaultKind(enum.StrEnum):
    """What goes wrong."""

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


# Faults of the whole engine; the others act on one response.
ENGINE_FAULTS = frozenset({FaultKind.SLOW, FaultKind.LEAVE})


@attrs.frozen
class Fault:
    """One fault.

    Attributes:
        kind: What goes wrong.
        at: The event before which it happens in the response; -1 for
            before the end mark. For ``die`` and ``cut``, 0 is before the
            first token.
        on: Which responses it hits: ``start``, ``resume`` or ``any``.
        count: How many responses it hits.
        factor: Slow-down of each step.
        duration_s: How long ``stall``, ``delay-headers`` and ``slow`` last;
            None for ever.
    """

    kind: FaultKind
    at: int = 0
    on: str = 'start'
    count: int = 1
    factor: float = 10.0
    duration_s: float | None = None


def structure(document: dict) -> Fault:
    """Reads a fault from the body of ``POST /faults``."""
    return cattrs.structure(document, Fault)


class FaultQueue:
    """The faults that wait for a response."""

    def __init__(self) -> None:
        self._waiting: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Adds a fault."""
        self._waiting.extend([fault] * fault.count)

    def clear(self) -> None:
        """Removes every fault that has not hit a response yet."""
        self._waiting.clear()

    def take(self, on: str) -> Fault | None:
        """The fault of the next response, if there is one.

        Args:
            on: Kind of the response, ``start`` or ``resume``.
        """
        for fault in self._waiting:
            if fault.on in (on, 'any'):
                self._waiting.remove(fault)
                return fault
        return None
