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
_SNAPSHOT_S = 0.1
_SNAPSHOTS = 60
# Weight of one gap between tokens in the smoothed step time: with 6 own
# streams at an engine a jump shows within one or two steps.
_GAP_WEIGHT = 0.05
# Step times that are older than this say nothing of the present.
_STEP_FRESH_S = 1.0


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
    profile: lengths.Profile
    band: int
    sent_s: float
    hedge: bool = False
    produced: int = 0
    last_token_s: float = 0.0
    rest: float = 0.0
    next_age: int = 0

    def estimate_rest(self) -> float:
        """Estimates the rest again; returns the change."""
        before = self.rest
        self.rest = self.profile.rest(self.produced)
        bound = self.item.max_output_tokens
        if bound is not None:
            self.rest = min(self.rest, max(0.0, bound - self.produced))
        self.next_age = lengths.next_age(self.produced)
        return self.rest - before


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
    held: int
    running: int
    step_s: float


class History:
    """Recent snapshots, to compare with reports from the past."""

    def __init__(self) -> None:
        self._snapshots: collections.deque[Snapshot] = collections.deque(
            maxlen=_SNAPSHOTS
        )

    def add(self, snapshot: Snapshot) -> None:
        """Keeps a snapshot, unless the last one is very recent."""
        last = self._snapshots[-1] if self._snapshots else None
        if last is None or snapshot.time_s - last.time_s >= _SNAPSHOT_S:
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
    cache: prefixes.PrefixIndex
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    held: int = 0
    rest: float = 0.0
    starting: int = 0
    starting_tokens: int = 0
    memory_total: int = 0
    others_held: int = 0
    others_running: int = 0
    reported_s: float | None = None
    step_s: float = 0.0
    step_seen_s: float = 0.0
    progress_s: float = 0.0
    service_s: float = 0.0
    full_until_s: float = 0.0
    history: History = attrs.field(factory=History)

    def add(self, attempt: Attempt) -> None:
        """Takes note of a request that was placed here."""
        if not self.attempts:
            self.progress_s = attempt.sent_s
        self.attempts[attempt.item.request_id] = attempt
        self.held += attempt.item.prompt_tokens
        self.rest += attempt.estimate_rest()
        self.starting += 1
        self.starting_tokens += attempt.item.prompt_tokens
        self.snapshot(attempt.sent_s)

    def remove(self, request_id: str, now_s: float) -> Attempt | None:
        """Takes note of the end of a request."""
        attempt = self.attempts.pop(request_id, None)
        if attempt is None:
            return None
        self.held -= attempt.item.prompt_tokens + attempt.produced
        self.rest -= attempt.rest
        if not attempt.produced:
            self.starting -= 1
            self.starting_tokens -= attempt.item.prompt_tokens
        if not self.attempts:
            self.rest = 0.0
        self.snapshot(now_s)
        return attempt

    def record_tokens(
        self, attempt: Attempt, count: int, now_s: float
    ) -> None:
        """Takes note of tokens of one request."""
        if attempt.produced:
            gap_s = (now_s - attempt.last_token_s) / count
            if self.step_s and now_s - self.step_seen_s < _STEP_FRESH_S:
                self.step_s += _GAP_WEIGHT * (gap_s - self.step_s)
            else:
                self.step_s = gap_s
            self.step_seen_s = now_s
        else:
            self.starting -= 1
            self.starting_tokens -= attempt.item.prompt_tokens
        attempt.last_token_s = now_s
        attempt.produced += count
        self.held += count
        self.progress_s = now_s
        attempt.rest -= count
        self.rest -= count
        if attempt.produced >= attempt.next_age or attempt.rest < 1.0:
            self.rest += attempt.estimate_rest()

    def snapshot(self, now_s: float) -> None:
        """Keeps what own work is there now."""
        self.history.add(
            Snapshot(now_s, self.held, len(self.attempts), self.step_s)
        )

    def record_report(
        self, report: model.LoadReport, measured_s: float
    ) -> Snapshot | None:
        """Splits a report into own work and that of other instances.

        Returns:
            What own work was there when the report was measured.
        """
        if self.reported_s is not None and measured_s < self.reported_s:
            return None
        own = self.history.at(measured_s)
        held = own.held if own else 0
        running = own.running if own else 0
        self.memory_total = report.memory_total_tokens
        self.others_held = max(0, report.memory_used_tokens - held)
        self.others_running = max(0, report.running + report.waiting - running)
        self.reported_s = measured_s
        return own

    def fresh_step_s(self, now_s: float) -> float:
        """The smoothed time between tokens, or 0 if it is old."""
        if now_s - self.step_seen_s > _STEP_FRESH_S:
            return 0.0
        return self.step_s
