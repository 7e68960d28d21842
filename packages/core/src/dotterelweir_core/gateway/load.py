"""Load and health of each target, as known to this instance.

The load that other instances cause is taken from their load digests, which
are up to one digest period old.
"""

from collections.abc import Callable

import attrs

from dotterelweir_core.gateway import target_speeds

# Time for which a target that refused a request counts as full and is avoided,
# in seconds: about the time in which an engine of the usual size finishes one
# request.
_REFUSAL_AVOID_S = 0.5
# Consecutive failures after which a target is avoided, and for how long, in
# seconds. The time doubles with each further failure, up to the maximum.
_FAILURES_TO_AVOID = 2
_AVOID_S = 0.5
_AVOID_MAX_S = 4.0
# Half-life of the weight of an outcome, in seconds. It is short because
# engines crash, flap and recover within a few seconds.
_OUTCOME_HALF_LIFE_S = 2.0
# Time after the last outcome for which digests still include a target without
# load, in seconds. It spans several digests, in case one is lost.
_OUTCOME_REPORTED_S = 3.0
# Served attempts that are added to the recent ones when the share of failures
# is computed, so that a single failure does not result in a share of 1.
_SERVED_PRIOR = 2.0
# A target counts as failing for all instances if their failed attempts have at
# least this weight (three within half a second, more over a longer time), and
# more than this ratio to the served ones.
_SHARED_FAILURES_MIN = 2.5
_SHARED_FAILURES_PER_SERVED = 2.0


@attrs.define
class Outcomes:
    """Numbers of served, failed and late attempts with exponential decay."""

    _served: float = 0.0
    _failed: float = 0.0
    _updated_s: float = 0.0

    def add(self, served: float, failed: float, now_s: float) -> None:
        """Adds outcomes.

        Args:
            served: Number of attempts that were served.
            failed: Number of attempts that failed.
            now_s: Monotonic time, in seconds.
        """
        self._decay(now_s)
        self._served += served
        self._failed += failed

    def failed_share(self, now_s: float) -> float:
        """Returns the share of recent attempts that failed, from 0 to 1."""
        self._decay(now_s)
        return self._failed / (self._failed + self._served + _SERVED_PRIOR)

    def is_failing(self, now_s: float) -> bool:
        """Whether far more recent attempts failed than were served."""
        self._decay(now_s)
        return (
            self._failed >= _SHARED_FAILURES_MIN
            and self._failed > _SHARED_FAILURES_PER_SERVED * self._served
        )

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** (
            max(0.0, now_s - self._updated_s) / _OUTCOME_HALF_LIFE_S
        )
        self._served *= factor
        self._failed *= factor
        self._updated_s = max(self._updated_s, now_s)


@attrs.define
class TargetLoad:
    """Load and health of one target.

    "Own" requests and attempts are those of this instance.

    Attributes:
        running: Own requests in flight.
        tokens: Tokens that own requests in flight are expected to hold.
        backup_tokens: Tokens of backup copies that own requests keep there.
        prefill_tokens: Prompt tokens of own requests that have no first
            event yet.
        peer_running: Requests of other instances in flight.
        peer_tokens: Tokens that the requests and copies of other instances
            are expected to hold.
        peer_prefill_tokens: Prompt tokens of requests of other instances
            that have no first event yet.
        consecutive_failures: Number of consecutive failures of own attempts.
        avoid_until_s: Monotonic time until which the target gets no new work
            if another one can take it, in seconds.
        warm_until_s: Monotonic time at which the warm-up ends, in seconds;
            the target is slow before it.
        last_event_s: Monotonic time of the last event of any stream of the
            target, in seconds.
        served: Number of own attempts that the target has served since this
            instance started.
        failed: Number of own attempts that the target has failed or refused
            since this instance started.
        late: Number of own attempts that the target has served later than
            expected since this instance started.
        all_served: The same as ``served`` with the attempts of other
            instances, for as long as this instance has heard of them.
        all_failed: The same for ``failed``.
        all_late: The same for ``late``.
        last_outcome_s: Monotonic time of the last own outcome, in seconds.
        outcomes: Recent outcomes at all instances.
    """

    running: int = 0
    tokens: int = 0
    backup_tokens: int = 0
    prefill_tokens: int = 0
    peer_running: float = 0.0
    peer_tokens: float = 0.0
    peer_prefill_tokens: float = 0.0
    consecutive_failures: int = 0
    avoid_until_s: float = 0.0
    warm_until_s: float = float('-inf')
    last_event_s: float = float('-inf')
    served: int = 0
    failed: int = 0
    late: int = 0
    all_served: float = 0.0
    all_failed: float = 0.0
    all_late: float = 0.0
    last_outcome_s: float = float('-inf')
    outcomes: Outcomes = attrs.field(factory=Outcomes)

    @property
    def held_tokens(self) -> float:
        """Tokens that runs and copies of all instances will hold."""
        return self.tokens + self.backup_tokens + self.peer_tokens

    @property
    def pending_prefill_tokens(self) -> float:
        """Prompt tokens of all requests that have no first event yet."""
        return self.prefill_tokens + self.peer_prefill_tokens

    def is_avoided(self, now_s: float) -> bool:
        """Whether new work goes to other targets if they can take it."""
        return now_s < self.avoid_until_s or self.outcomes.is_failing(now_s)

    def record_success(self, now_s: float) -> None:
        """Records a served request and ends the avoidance by this instance."""
        self.served += 1
        self.all_served += 1.0
        self.last_outcome_s = now_s
        self.outcomes.add(1.0, 0.0, now_s)
        self.consecutive_failures = 0
        self.avoid_until_s = min(self.avoid_until_s, now_s)

    def record_late(self, now_s: float) -> None:
        """Records that an attempt was served later than expected."""
        self.late += 1
        self.all_late += 1.0
        self.last_outcome_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """Records a refusal for lack of capacity."""
        self._count_failure(now_s)
        self.avoid_until_s = max(self.avoid_until_s, now_s + _REFUSAL_AVOID_S)

    def record_failure(self, now_s: float) -> None:
        """Records a request that the target failed."""
        self._count_failure(now_s)
        self.consecutive_failures += 1
        excess = self.consecutive_failures - _FAILURES_TO_AVOID
        if excess >= 0:
            delay_s = min(_AVOID_MAX_S, _AVOID_S * 2.0 ** min(excess, 8))
            self.avoid_until_s = max(self.avoid_until_s, now_s + delay_s)

    def record_unreachable(self, now_s: float) -> None:
        """Records a failed connect; the target is avoided at once."""
        self.consecutive_failures = max(
            self.consecutive_failures, _FAILURES_TO_AVOID - 1
        )
        self.record_failure(now_s)

    def _count_failure(self, now_s: float) -> None:
        self.failed += 1
        self.all_failed += 1.0
        self.last_outcome_s = now_s
        self.outcomes.add(0.0, 1.0, now_s)


@attrs.frozen
class DigestRow:
    """Load that one instance causes at one target, as sent in its digests.

    Attributes:
        running: Number of requests in flight.
        tokens: Tokens that the requests and their copies are expected to
            hold.
        prefill_tokens: Prompt tokens of requests that have no first event
            yet.
        served: Number of attempts that the target has served since the
            instance started.
        failed: Number of attempts that the target has failed or refused
            since the instance started.
        late: Number of attempts that the target has served later than
            expected since the instance started.
        event_us: Time that the target takes for one event of a stream, or
            for a plain call, in microseconds; 0 if unknown.
        prefill_us: Time that the target takes to prefill 1,000 prompt
            tokens, in microseconds; 0 if unknown.
    """

    running: float = 0.0
    tokens: float = 0.0
    prefill_tokens: float = 0.0
    served: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    event_us: float = 0.0
    prefill_us: float = 0.0


_NO_LOAD = DigestRow()


class LoadRegistry:
    """Loads of all targets that this instance or its peers use.

    Attributes:
        speeds: Learned speeds of the targets.
    """

    def __init__(self) -> None:
        self.speeds = target_speeds.SpeedRegistry()
        self._loads: dict[str, TargetLoad] = {}
        # By instance and target: the load in the newest digest, and the counts
        # of served, failed and late attempts that were reported last.
        self._peer_rows: dict[str, dict[str, DigestRow]] = {}
        self._peer_counts: dict[
            str, dict[str, tuple[float, float, float]]
        ] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a function to call when a generation's load changes."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Calls the listeners after the load of a generation has changed."""
        for listener in self._listeners:
            listener()

    def get(self, target_id: str) -> TargetLoad:
        """Returns the load of a target, an empty one if it is not known."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def discard_if_unused(self, target_id: str) -> None:
        """Removes a target unless own requests or copies are still there."""
        load = self._loads.get(target_id)
        if load is None or load.running or load.backup_tokens:
            return
        del self._loads[target_id]
        for by_target in (
            *self._peer_rows.values(),
            *self._peer_counts.values(),
        ):
            by_target.pop(target_id, None)

    def own_rows(self, now_s: float) -> dict[str, DigestRow]:
        """Returns the load that this instance causes, by target.

        Targets without such load are included for some time after their
        last outcome.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return {
            target_id: DigestRow(
                load.running,
                load.tokens + load.backup_tokens,
                load.prefill_tokens,
                load.served,
                load.failed,
                load.late,
                *self.speeds.own_estimates(target_id, now_s),
            )
            for target_id, load in self._loads.items()
            if load.running
            or load.backup_tokens
            or now_s - load.last_outcome_s < _OUTCOME_REPORTED_S
        }

    def set_peer(
        self, peer_id: str, rows: dict[str, DigestRow], now_s: float
    ) -> None:
        """Replaces the load that another instance causes.

        Args:
            peer_id: Name of the other instance.
            rows: Load in its digest, by target.
            now_s: Monotonic time, in seconds.
        """
        before = self._peer_rows.get(peer_id, {})
        if rows == before and peer_id in self._peer_counts:
            return
        for target_id in before.keys() - rows.keys():
            self._apply_change(
                self.get(target_id), before[target_id], _NO_LOAD
            )
        for target_id, row in rows.items():
            load = self.get(target_id)
            self._apply_change(load, before.get(target_id, _NO_LOAD), row)
            self.speeds.set_peer(
                peer_id,
                target_id,
                row.event_us,
                row.prefill_us,
                row.served,
                now_s,
            )
        self._peer_rows[peer_id] = rows
        self._add_outcomes(peer_id, rows, now_s)

    def _add_outcomes(
        self, peer_id: str, rows: dict[str, DigestRow], now_s: float
    ) -> None:
        """Adds the outcomes at another instance since its last digest."""
        counts = self._peer_counts.get(peer_id)
        if counts is None:
            # The first digest of the instance: its outcomes may be old.
            counts = self._peer_counts[peer_id] = {
                target_id: (row.served, row.failed, row.late)
                for target_id, row in rows.items()
            }
        for target_id, row in rows.items():
            known = counts.get(target_id, (0.0, 0.0, 0.0))
            counts[target_id] = (row.served, row.failed, row.late)
            served, failed, late = (
                max(0.0, count - before)
                for count, before in zip(counts[target_id], known, strict=True)
            )
            load = self.get(target_id)
            load.outcomes.add(served, failed, now_s)
            load.all_served += served
            load.all_failed += failed
            load.all_late += late

    def drop_peer(self, peer_id: str) -> None:
        """Removes the load and the outcome counts of another instance."""
        for target_id, old in self._peer_rows.pop(peer_id, {}).items():
            self._apply_change(self.get(target_id), old, _NO_LOAD)
        self._peer_counts.pop(peer_id, None)

    def _apply_change(
        self, load: TargetLoad, old: DigestRow, new: DigestRow
    ) -> None:
        load.peer_running += new.running - old.running
        load.peer_tokens += new.tokens - old.tokens
        load.peer_prefill_tokens += new.prefill_tokens - old.prefill_tokens
