"""What one instance knows of a pool as a whole."""

import statistics

import attrs

from dotterelweir_core.policy import budgets
from dotterelweir_core.policy import queue
from dotterelweir_core.policy import steptime
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health as targets_health

# Added to both sides of a ratio of request counts, so that a change from
# one request to two is not taken for a doubled load.
_GROWTH_DAMPING = 5.0
_GROWTH_BOUNDS = (0.7, 1.6)


@attrs.define(eq=False)
class PoolView:
    """The targets and the queue of a pool.

    Attributes:
        queue: Requests that wait.
        hedges: Budget of second attempts.
        retries: Budget of further attempts after a failure.
        targets: Its targets.
        local: Targets of the local zone that may get work.
        remote: Targets of other zones that may get work.
        degraded: Whether some of its targets are ejected.
        fit: Step time against batch size.
        running: Own requests at its targets.
        history: Recent values of ``running``.
        running_at_report: ``running`` when each target's report was measured.
        rest_ratio: Expected rest of own requests relative to what they hold.
        step_median_s: Median step time of the targets; 0 if unknown.
        memory_max: Size of the largest memory; 0 if unknown.
    """

    queue: queue.EntryQueue
    hedge_budget: budgets.AttemptBudget
    retry_budget: budgets.AttemptBudget
    targets: dict[str, policy_view.TargetView] = attrs.field(factory=dict)
    local_targets: list[policy_view.TargetView] = attrs.field(factory=list)
    remote_targets: list[policy_view.TargetView] = attrs.field(factory=list)
    degraded: bool = False
    step_time_fit: steptime.StepTimeFit = attrs.field(
        factory=steptime.StepTimeFit
    )
    running: int = 0
    history: policy_view.History = attrs.field(factory=policy_view.History)
    running_at_report: dict[str, int] = attrs.field(factory=dict)
    remaining_ratio: float = 1.0
    step_median_s: float = 0.0
    capacity_max_tokens: int = 0

    def partition_by_zone(self, zone: str) -> None:
        """Splits the targets that may get work by zone."""
        usable = [
            view
            for view in self.targets.values()
            if view.health.current is not targets_health.HealthState.EJECTED
        ]
        self.degraded = len(usable) < len(self.targets)
        self.local_targets = [
            view for view in usable if view.target.zone == zone
        ]
        self.remote_targets = [
            view for view in usable if view.target.zone != zone
        ]

    def growth_since_report(self, view: policy_view.TargetView) -> float:
        """How much own work has grown since a target's report.

        Other instances see the same demand, so their work is assumed to
        have grown by the same factor.
        """
        before = self.running_at_report.get(view.target.target_id)
        if before is None:
            return 1.0
        ratio = (self.running + _GROWTH_DAMPING) / (before + _GROWTH_DAMPING)
        return min(max(ratio, _GROWTH_BOUNDS[0]), _GROWTH_BOUNDS[1])

    def record_snapshot(self, now_s: float) -> None:
        """Keeps how much own work runs now."""
        self.history.add(policy_view.Snapshot(now_s, 0, self.running, 0.0))

    def update_statistics(self, now_s: float) -> None:
        """Takes stock of the targets that run own work."""
        held_tokens, remaining_tokens, steps = 0, 0.0, []
        for view in self.targets.values():
            if not view.attempts:
                continue
            held_tokens += view.held_tokens
            remaining_tokens += view.remaining_tokens
            step_s = view.fresh_step_s(now_s)
            if step_s:
                steps.append(step_s)
        if held_tokens:
            self.remaining_ratio = remaining_tokens / held_tokens
        self.step_median_s = statistics.median(steps) if steps else 0.0
