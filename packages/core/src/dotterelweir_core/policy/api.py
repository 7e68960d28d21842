"""The boundary of the scheduling policy.

The daemon and the measurement drive the same ``Scheduler``: time is passed
in as monotonic seconds, and the scheduler does no I/O.
"""

import abc
import enum

import attrs

from dotterelweir_core import errors
from dotterelweir_core.targets import model


@attrs.frozen
class WorkItem:
    """A request that waits for a target.

    Attributes:
        request_id: Unique name of the request.
        route: Name of the route.
        pool: Name of the pool.
        organisation: Name of the organisation.
        priority: Priority of the route; 0 is the most urgent.
        prompt_tokens: Size of the prompt, in tokens.
        max_output_tokens: Bound on the output, in tokens, if there is one.
        prefix_hashes: Hashes of the prompt's prefixes, shortest first.
        arrived_s: When the request arrived.
        deadline_s: When the request is given up.
        repeatable: Whether another attempt is allowed after one failed.
        excluded: Targets that already failed this request.
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
    """A target that was considered.

    Attributes:
        target_id: Name of the target.
        score: Cost of the target, in seconds; lower is better.
        reason: Why it was chosen, passed over or excluded.
    """

    target_id: str
    score: float
    reason: str


@attrs.frozen
class Placement:
    """A request and the target that it goes to.

    Attributes:
        request_id: Name of the request.
        target_id: Name of the target.
        engine_priority: Priority for the engine; 0 is the most urgent.
        reason: Why this target, one line.
        candidates: The targets that were considered.
        hedge: Whether this is a second, parallel attempt.
    """

    request_id: str
    target_id: str
    engine_priority: int
    reason: str
    candidates: tuple[Candidate, ...] = ()
    hedge: bool = False


@attrs.frozen
class Refusal:
    """A request that is given up, to be answered at once.

    Attributes:
        request_id: Name of the request.
        kind: Kind of error.
        retry_after_s: When to come back, in seconds.
        detail: One line for people.
    """

    request_id: str
    kind: errors.ErrorKind
    retry_after_s: float | None
    detail: str


Decision = Placement | Refusal


@attrs.frozen
class Explanation:
    """What the scheduler would decide now.

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

    Times are monotonic seconds.
    """

    @abc.abstractmethod
    def set_targets(
        self, pool: str, targets: tuple[model.Target, ...], now_s: float
    ) -> None:
        """Sets the targets of a pool that may get new work."""

    @abc.abstractmethod
    def submit(self, item: WorkItem, now_s: float) -> None:
        """Adds a request to the queue."""

    @abc.abstractmethod
    def cancel(self, request_id: str, now_s: float) -> None:
        """Removes a request from the queue, if it is still there."""

    @abc.abstractmethod
    def decide(self, now_s: float) -> list[Decision]:
        """Takes every decision that can be taken now."""

    @abc.abstractmethod
    def next_wakeup_s(self) -> float | None:
        """When ``decide`` has something to do without another event."""

    @abc.abstractmethod
    def explain(self, item: WorkItem, now_s: float) -> Explanation:
        """What would be decided for a request now; changes nothing."""

    @abc.abstractmethod
    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        """Takes note of a load report, whose age may be large."""

    @abc.abstractmethod
    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        """Takes note of the first token of a request."""

    @abc.abstractmethod
    def record_tokens(
        self, request_id: str, target_id: str, count: int, now_s: float
    ) -> None:
        """Takes note of further tokens of a request."""

    @abc.abstractmethod
    def record_end(
        self, request_id: str, target_id: str, end: AttemptEnd, now_s: float
    ) -> None:
        """Takes note of the end of an attempt and frees what it held."""
