"""What one instance knows of its targets.

Own requests are known exactly and at once. The work of other instances is
known only from load reports that are a few seconds old, so a report is
split: what this instance had there at the time of measurement is subtracted,
and the rest is other instances' work.
"""

import collections

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.policy import lengths
from dotterelweir_core.targets import health as targets_health
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes

# Snapshots of own work, taken at most this often and kept long enough for
# reports that are a few seconds old.
_SNAPSHOT_INTERVAL_S = 0.1
_SNAPSHOTS_MAX = 60
# Weight of one gap between tokens in the smoothed step time: with 6 own
# streams at an engine a jump shows within one or two steps.
_GAP_WEIGHT = 0.05
# Step times that are older than this say nothing of the present.
_STEP_STALE_AFTER_S = 1.0


@attrs.define(eq=False)
class Attempt:
    """One request at one target.

    Attributes:
        item: The request.
        profile: Expected lengths of its route and organisation.
        band: Band of expected output; 0 is short.
        sent_s: When it was placed.
        hedge: Whether it is a second attempt.
        produced: Tokens that have arrived.
        last_token_s: When the last of them arrived.
        rest: Tokens that are expected to come.
        next_age: Produced tokens at which ``rest`` is estimated again.
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
        """Estimates the rest again; returns the change."""
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
    """Own work at one moment.

    Attributes:
        time_s: When it was taken.
        held: Tokens of own requests in memory.
        running: Own requests.
        step_s: Smoothed time between tokens; 0 if unknown.
    """

    time_s: float
    held_tokens: int
    running: int
    step_s: float


class History:
    """Recent snapshots, to compare with reports from the past."""

    def __init__(self) -> None:
        self._snapshots: collections.deque[Snapshot] = collections.deque(
            maxlen=_SNAPSHOTS_MAX
        )

    def add(self, snapshot: Snapshot) -> None:
        """Keeps a snapshot, unless the last one is very recent."""
        last = self._snapshots[-1] if self._snapshots else None
        if (
            last is None
            or snapshot.time_s - last.time_s >= _SNAPSHOT_INTERVAL_S
        ):
            self._snapshots.append(snapshot)

    def at(self, time_s: float) -> Snapshot | None:
        """The last snapshot at or before a time, or the first one."""
        for snapshot in reversed(self._snapshots):
            if snapshot.time_s <= time_s:
                return snapshot
        return self._snapshots[0] if self._snapshots else None


@attrs.define(eq=False)
class TargetView:
    """One target as this instance sees it.

    Attributes:
        target: The target.
        health: Its state machine.
        cache: Prefixes that it has cached.
        attempts: Own requests there, by request.
        held: Tokens of own requests in its memory.
        rest: Tokens that own requests are expected to add.
        starting: Own requests without a first token.
        starting_tokens: Prompt tokens of those.
        memory_total: Size of its memory in tokens; 0 if it has none.
        others_held: Tokens of other instances, when last reported.
        others_running: Requests of other instances, when last reported.
        reported_s: When the last report was measured; None without one.
        step_s: Smoothed time between tokens; 0 if unknown.
        step_seen_s: When ``step_s`` was last updated.
        progress_s: When work last started or made progress.
        service_s: Smoothed duration of calls to a plain service.
        full_until_s: No new work before, after a refusal.
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
        """Takes note of a request that was placed here."""
        if not self.attempts:
            self.last_progress_s = attempt.sent_s
        self.attempts[attempt.item.request_id] = attempt
        self.held_tokens += attempt.item.prompt_tokens
        self.remaining_tokens += attempt.update_remaining()
        self.prefilling += 1
        self.prefill_tokens += attempt.item.prompt_tokens
        self.record_snapshot(attempt.sent_s)

    def remove(self, request_id: str, now_s: float) -> Attempt | None:
        """Takes note of the end of a request."""
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
        """Takes note of tokens of one request."""
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
        """Keeps what own work is there now."""
        self.history.add(
            Snapshot(now_s, self.held_tokens, len(self.attempts), self.step_s)
        )

    def record_report(
        self, report: model.LoadReport, measured_s: float
    ) -> Snapshot | None:
        """Splits a report into own work and that of other instances.

        Returns:
            What own work was there when the report was measured.
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
        """The smoothed time between tokens, or 0 if it is old."""
        if now_s - self.step_updated_s > _STEP_STALE_AFTER_S:
            return 0.0
        return self.step_s
