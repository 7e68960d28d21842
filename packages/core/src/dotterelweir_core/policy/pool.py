"""The state of a pool as one instance sees it."""

import statistics

import attrs

from dotterelweir_core.policy import budgets
from dotterelweir_core.policy import queue
from dotterelweir_core.policy import steptime
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health as targets_health

# Added to both counts of the growth ratio, so that a change from one request
# to two does not count as a doubled load.
_GROWTH_DAMPING = 5.0
# Minimum and maximum growth factor that is assumed.
_GROWTH_BOUNDS = (0.7, 1.6)


@attrs.define(eq=False)
class PoolView:
    """The targets and the queue of a pool.

    Attributes:
        queue: Requests that wait for a target.
        hedge_budget: Budget of second, parallel attempts.
        retry_budget: Budget of further attempts after a failure.
        targets: The targets of the pool, by name.
        local_targets: Targets in the zone of the instance that are not
            ejected.
        remote_targets: Targets in other zones that are not ejected.
        degraded: Whether any target is ejected.
        step_time_fit: Step time as a function of batch size.
        running: Number of own attempts that run at the targets.
        history: Recent values of ``running``.
        running_at_report: Value of ``running`` when the last report of each
            target was measured, by name of the target.
        remaining_ratio: Expected remaining tokens of own requests relative
            to the tokens that they hold.
        step_median_s: Median step time of the targets in seconds; 0 if
            unknown.
        capacity_max_tokens: Memory size of the largest target, in tokens; 0
            if unknown.
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
        """Updates the local and remote targets, without ejected ones."""
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
        """Returns the growth factor of own load since a target's report.

        Other instances receive the same demand, so their load is assumed to
        have grown by the same factor.
        """
        before = self.running_at_report.get(view.target.target_id)
        if before is None:
            return 1.0
        ratio = (self.running + _GROWTH_DAMPING) / (before + _GROWTH_DAMPING)
        return min(max(ratio, _GROWTH_BOUNDS[0]), _GROWTH_BOUNDS[1])

    def record_snapshot(self, now_s: float) -> None:
        """Records the number of own running attempts."""
        self.history.add(policy_view.Snapshot(now_s, 0, self.running, 0.0))

    def update_statistics(self, now_s: float) -> None:
        """Updates the statistics over the targets that run own requests."""
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
