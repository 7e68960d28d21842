"""Interface of the scheduling policy.

The daemon and the measurement use the same ``Scheduler``. It does no I/O
and reads no clock: callers pass the time as monotonic seconds.
"""

import abc
import enum

import attrs

from dotterelweir_core import errors
from dotterelweir_core.targets import model


@attrs.frozen
class WorkItem:
    """A request that is to be placed on a target.

    Attributes:
        request_id: Unique identifier of the request.
        route: Name of the route.
        pool: Name of the pool.
        organisation: Name of the organisation.
        priority: Priority of the route; 0 is the most urgent.
        prompt_tokens: Size of the prompt, in tokens.
        max_output_tokens: Upper bound on the output, in tokens; None if the
            output is unbounded.
        prefix_hashes: Hashes of the prompt's prefixes, shortest first.
        arrived_s: Monotonic time of arrival, in seconds.
        deadline_s: Monotonic time after which the request is refused, in
            seconds.
        repeatable: Whether the request may be sent to more than one target:
            again after a failed attempt, or as a hedge.
        excluded: Targets at which an attempt of this request has failed.
    """

    request_id: str
    route: str
    pool: str
    organisation: str
    priority: int
    prompt_tokens: int
    max_output_tokens: int | None
    prefix_hashes: tuple[int, ...]
    arrived_s: float
    deadline_s: float
    repeatable: bool
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Candidate:
    """A target that was considered for a request.

    Attributes:
        target_id: Name of the target.
        score: Estimated cost of the target, in seconds; lower is better.
        reason: The load of the target, or why it cannot take the request.
    """

    target_id: str
    score: float
    reason: str


@attrs.frozen
class Placement:
    """A decision to send a request to a target.

    Attributes:
        request_id: Identifier of the request.
        target_id: Name of the target.
        engine_priority: Priority that is passed to the engine; 0 is the
            most urgent.
        reason: Why the target was chosen, in one line.
        candidates: The targets that were considered.
        hedge: Whether this is a second attempt, parallel to the first.
    """

    request_id: str
    target_id: str
    engine_priority: int
    reason: str
    candidates: tuple[Candidate, ...] = ()
    hedge: bool = False


@attrs.frozen
class Refusal:
    """A decision to refuse a request.

    Attributes:
        request_id: Identifier of the request.
        kind: Kind of the error that is answered.
        retry_after_s: Time after which the caller may retry, in seconds;
            None if the error is not retryable.
        detail: Human-readable explanation, in one line.
    """

    request_id: str
    kind: errors.ErrorKind
    retry_after_s: float | None
    detail: str


Decision = Placement | Refusal


@attrs.frozen
class Explanation:
    """The decision that the scheduler would take for a request now.

    Attributes:
        decision: The placement or refusal; None if the request would wait.
        candidates: Every target of the pool, with its score and reason.
    """

    decision: Decision | None
    candidates: tuple[Candidate, ...]


class AttemptEnd(enum.StrEnum):
    """How an attempt at a target ended."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'


class Scheduler(abc.ABC):
    """Decides which request goes to which target, and when.

    All times are monotonic, in seconds.
    """

    @abc.abstractmethod
    def set_targets(
        self, pool: str, targets: tuple[model.Target, ...], now_s: float
    ) -> None:
        """Sets the targets of a pool that may get new requests."""

    @abc.abstractmethod
    def submit(self, item: WorkItem, now_s: float) -> None:
        """Adds a request to the queue of its pool.

        If it is refused at once, ``decide`` returns the refusal.
        """

    @abc.abstractmethod
    def cancel(self, request_id: str, now_s: float) -> None:
        """Removes a request from the queue, if it is still queued."""

    @abc.abstractmethod
    def decide(self, now_s: float) -> list[Decision]:
        """Returns every placement and refusal that is due now."""

    @abc.abstractmethod
    def next_wakeup_s(self) -> float | None:
        """Returns when ``decide`` must be called without another event.

        Returns:
            Monotonic time in seconds; None if only another event can lead
            to a decision.
        """

    @abc.abstractmethod
    def explain(self, item: WorkItem, now_s: float) -> Explanation:
        """Returns what would be decided for a request; changes nothing."""

    @abc.abstractmethod
    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        """Records a load report, which may be several seconds old."""

    @abc.abstractmethod
    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        """Records the first token of an attempt."""

    @abc.abstractmethod
    def record_tokens(
        self, request_id: str, target_id: str, count: int, now_s: float
    ) -> None:
        """Records further tokens of an attempt."""

    @abc.abstractmethod
    def record_end(
        self, request_id: str, target_id: str, end: AttemptEnd, now_s: float
    ) -> None:
        """Records the end of an attempt and releases its resources."""
