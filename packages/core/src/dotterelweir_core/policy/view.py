"""The state of the targets as one instance sees it.

Own requests are known exactly and without delay. The load from other
instances is known only from load reports, which are a few seconds old. It is
derived from a report by subtracting the own load at the time at which the
report was measured.
"""

import collections

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths
from dotterelweir_core.targets import health as targets_health
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes

# Snapshots of the own load are at least this far apart, and enough of them are
# kept for reports that are a few seconds old.
_SNAPSHOT_INTERVAL_S = 0.1
_SNAPSHOTS_MAX = 60
# Weight of one gap between tokens in the smoothed step time. With 6 own
# streams at an engine, a jump shows after one or two steps.
_GAP_WEIGHT = 0.05
# A smoothed step time that was not updated for this long is stale.
_STEP_STALE_AFTER_S = 1.0


@attrs.define(eq=False)
class Attempt:
    """One attempt to serve a request at a target.

    Attributes:
        item: The request.
        profile: Expected lengths of its route and organisation.
        band: Band of expected output; 0 is short.
        sent_s: Monotonic time of the placement, in seconds.
        hedge: Whether it is a second, parallel attempt.
        produced_tokens: Output tokens that have arrived.
        last_token_s: Monotonic time of the last output token, in seconds.
        remaining_tokens: Output tokens that are still expected.
        next_age: Number of output tokens at which ``remaining_tokens`` is
            estimated again.
    """

    item: api.WorkItem
    profile: lengths.LengthProfile
    band: int
    sent_s: float
    hedge: bool = False
    produced_tokens: int = 0
    last_token_s: float = 0.0
    remaining_tokens: float = 0.0
    next_age: int = 0

    def update_remaining(self) -> float:
        """Estimates the remaining tokens again and returns the change."""
        before = self.remaining_tokens
        self.remaining_tokens = self.profile.expected_remaining(
            self.produced_tokens
        )
        bound = self.item.max_output_tokens
        if bound is not None:
            self.remaining_tokens = min(
                self.remaining_tokens, max(0.0, bound - self.produced_tokens)
            )
        self.next_age = lengths.next_age(self.produced_tokens)
        return self.remaining_tokens - before


@attrs.frozen
class Snapshot:
    """The own load of a target or pool at one time.

    Attributes:
        time_s: Monotonic time of the snapshot, in seconds.
        held_tokens: Tokens that own requests hold in memory.
        running: Number of own requests.
        step_s: Smoothed time between tokens, in seconds; 0 if unknown.
    """

    time_s: float
    held_tokens: int
    running: int
    step_s: float


class History:
    """Keeps recent snapshots, to compare them with delayed load reports."""

    def __init__(self) -> None:
        self._snapshots: collections.deque[Snapshot] = collections.deque(
            maxlen=_SNAPSHOTS_MAX
        )

    def add(self, snapshot: Snapshot) -> None:
        """Adds a snapshot, unless the last one is too recent."""
        last = self._snapshots[-1] if self._snapshots else None
        if (
            last is None
            or snapshot.time_s - last.time_s >= _SNAPSHOT_INTERVAL_S
        ):
            self._snapshots.append(snapshot)

    def at(self, time_s: float) -> Snapshot | None:
        """Returns the last snapshot at or before a time, or else the first."""
        for snapshot in reversed(self._snapshots):
            if snapshot.time_s <= time_s:
                return snapshot
        return self._snapshots[0] if self._snapshots else None


@attrs.define(eq=False)
class TargetView:
    """One target as this instance sees it.

    Attributes:
        target: The target.
        health: State machine of its health.
        prefix_index: Prompt prefixes that it has cached.
        attempts: Own running attempts, by identifier of the request.
        held_tokens: Tokens that own requests hold in its memory.
        remaining_tokens: Output tokens that own requests are still expected
            to produce.
        prefilling: Number of own requests without a first token.
        prefill_tokens: Prompt tokens of the own requests without a first
            token.
        capacity_tokens: Size of its memory in tokens; 0 for a plain service.
        peer_held_tokens: Tokens that requests of other instances held, as
            of the last report.
        peer_running: Number of requests of other instances, as of the last
            report.
        report_measured_s: Monotonic time at which the last report was
            measured, in seconds; None without a report.
        step_s: Smoothed time between tokens, in seconds; 0 if unknown.
        step_updated_s: Monotonic time of the last update of ``step_s``, in
            seconds.
        last_progress_s: Monotonic time at which an own request last produced
            tokens, or was placed on the idle target, in seconds.
        service_time_s: Smoothed duration of calls to a plain service, in
            seconds; 0 if unknown.
        backoff_until_s: Monotonic time before which it gets no new request
            after a refusal, in seconds.
        history: Snapshots of the own load.
    """

    target: model.Target
    health: targets_health.TargetHealth
    prefix_index: prefixes.PrefixIndex
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    held_tokens: int = 0
    remaining_tokens: float = 0.0
    prefilling: int = 0
    prefill_tokens: int = 0
    capacity_tokens: int = 0
    peer_held_tokens: int = 0
    peer_running: int = 0
    report_measured_s: float | None = None
    step_s: float = 0.0
    step_updated_s: float = 0.0
    last_progress_s: float = 0.0
    service_time_s: float = 0.0
    backoff_until_s: float = 0.0
    history: History = attrs.field(factory=History)

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt that was placed on the target."""
        if not self.attempts:
            self.last_progress_s = attempt.sent_s
        self.attempts[attempt.item.request_id] = attempt
        self.held_tokens += attempt.item.prompt_tokens
        self.remaining_tokens += attempt.update_remaining()
        self.prefilling += 1
        self.prefill_tokens += attempt.item.prompt_tokens
        self.record_snapshot(attempt.sent_s)

    def remove(self, request_id: str, now_s: float) -> Attempt | None:
        """Removes an attempt that has ended and returns it.

        Returns:
            The attempt; None if the request has none here.
        """
        attempt = self.attempts.pop(request_id, None)
        if attempt is None:
            return None
        self.held_tokens -= (
            attempt.item.prompt_tokens + attempt.produced_tokens
        )
        self.remaining_tokens -= attempt.remaining_tokens
        if not attempt.produced_tokens:
            self.prefilling -= 1
            self.prefill_tokens -= attempt.item.prompt_tokens
        if not self.attempts:
            self.remaining_tokens = 0.0
        self.record_snapshot(now_s)
        return attempt

    def record_tokens(
        self, attempt: Attempt, count: int, now_s: float
    ) -> None:
        """Records output tokens of an attempt.

        Args:
            attempt: The attempt.
            count: Number of new tokens.
            now_s: Monotonic time of their arrival, in seconds.
        """
        if attempt.produced_tokens:
            gap_s = (now_s - attempt.last_token_s) / count
            if (
                self.step_s
                and now_s - self.step_updated_s < _STEP_STALE_AFTER_S
            ):
                self.step_s += _GAP_WEIGHT * (gap_s - self.step_s)
            else:
                self.step_s = gap_s
            self.step_updated_s = now_s
        else:
            self.prefilling -= 1
            self.prefill_tokens -= attempt.item.prompt_tokens
        attempt.last_token_s = now_s
        attempt.produced_tokens += count
        self.held_tokens += count
        self.last_progress_s = now_s
        attempt.remaining_tokens -= count
        self.remaining_tokens -= count
        if (
            attempt.produced_tokens >= attempt.next_age
            or attempt.remaining_tokens < 1.0
        ):
            self.remaining_tokens += attempt.update_remaining()

    def record_snapshot(self, now_s: float) -> None:
        """Adds a snapshot of the own load to the history."""
        self.history.add(
            Snapshot(now_s, self.held_tokens, len(self.attempts), self.step_s)
        )

    def record_report(
        self, report: model.LoadReport, measured_s: float
    ) -> Snapshot | None:
        """Derives the load from other instances from a load report.

        Args:
            report: The report.
            measured_s: Monotonic time of its measurement, in seconds.

        Returns:
            The own load when the report was measured. None if it is unknown
            or the report is older than the last one.
        """
        if (
            self.report_measured_s is not None
            and measured_s < self.report_measured_s
        ):
            return None
        own = self.history.at(measured_s)
        held_tokens = own.held_tokens if own else 0
        running = own.running if own else 0
        self.capacity_tokens = report.memory_total_tokens
        self.peer_held_tokens = max(0, report.memory_used_tokens - held_tokens)
        self.peer_running = max(0, report.running + report.waiting - running)
        self.report_measured_s = measured_s
        return own

    def fresh_step_s(self, now_s: float) -> float:
        """Returns the smoothed time between tokens; 0 if it is stale."""
        if now_s - self.step_updated_s > _STEP_STALE_AFTER_S:
            return 0.0
        return self.step_s
