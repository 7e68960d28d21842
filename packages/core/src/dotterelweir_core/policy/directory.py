"""Holds the state of the pools and targets that one instance knows."""

from dotterelweir_core.policy import budgets
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import queue
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health as targets_health
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes

# Retries that are available at the start. Without them the first failures
# could not be retried, as no earlier requests have filled the budget.
_INITIAL_RETRIES = 10.0


class Directory:
    """Finds pools, targets and attempts by name.

    Args:
        settings: Settings of the policy.
        wall_offset_s: Wall time minus monotonic time in seconds, to convert
            the times of load reports. Without it the report with the least
            delay so far is assumed to have none.
    """

    def __init__(
        self,
        settings: policy_settings.PolicySettings,
        wall_offset_s: float | None,
    ) -> None:
        self._settings = settings
        self._wall_offset_s = wall_offset_s
        self._largest_wall_offset_s = float('-inf')
        self._pools: dict[str, policy_pool.PoolView] = {}
        self._views: dict[str, policy_view.TargetView] = {}

    def pools(self) -> list[policy_pool.PoolView]:
        """Returns all pools."""
        return list(self._pools.values())

    def pool(self, name: str) -> policy_pool.PoolView:
        """Returns a pool; creates it if it does not exist."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = self._new_pool()
        return pool

    def peek(self, name: str) -> policy_pool.PoolView:
        """Returns a pool, or for an unknown name an empty, unstored one."""
        return self._pools.get(name) or self._new_pool()

    def set_targets(
        self, name: str, targets: tuple[model.Target, ...]
    ) -> None:
        """Sets the targets of a pool.

        A target that is in no pool any more and has no running attempt is
        removed.
        """
        pool = self.pool(name)
        pool.targets = {
            target.target_id: self._get_or_create_view(target)
            for target in targets
        }
        for view in pool.targets.values():
            pool.capacity_max_tokens = max(
                pool.capacity_max_tokens, view.capacity_tokens
            )
        used = {
            target_id
            for other in self._pools.values()
            for target_id in other.targets
        }
        for target_id, view in list(self._views.items()):
            if target_id not in used and not view.attempts:
                del self._views[target_id]

    def view(self, target_id: str) -> policy_view.TargetView | None:
        """Returns a target, or None if it is unknown."""
        return self._views.get(target_id)

    def attempt(
        self, request_id: str, target_id: str
    ) -> tuple[policy_view.TargetView | None, policy_view.Attempt | None]:
        """Returns a target and an attempt at it, each None if unknown."""
        view = self._views.get(target_id)
        return view, view.attempts.get(request_id) if view else None

    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        """Records a load report; ignores one of another incarnation."""
        view = self._views.get(report.target_id)
        if view is None or view.target.incarnation != report.incarnation:
            return
        measured_s = self._to_monotonic_s(report, now_s)
        own = view.record_report(report, measured_s)
        for pool in self._pools.values():
            if report.target_id not in pool.targets:
                continue
            pool.capacity_max_tokens = max(
                pool.capacity_max_tokens, view.capacity_tokens
            )
            before = pool.history.at(measured_s)
            if before is not None:
                pool.running_at_report[report.target_id] = before.running
            if (
                own is not None
                and own.step_s
                and view.health.current is targets_health.HealthState.HEALTHY
            ):
                pool.step_time_fit.record(
                    report.running + report.waiting, own.step_s
                )

    def _new_pool(self) -> policy_pool.PoolView:
        settings = self._settings
        return policy_pool.PoolView(
            queue.EntryQueue(settings.mechanisms.fair_share),
            budgets.AttemptBudget(settings.hedge_ratio),
            budgets.AttemptBudget(
                settings.retry_ratio, available=_INITIAL_RETRIES
            ),
        )

    def _get_or_create_view(
        self, target: model.Target
    ) -> policy_view.TargetView:
        view = self._views.get(target.target_id)
        if view is None or view.target.incarnation != target.incarnation:
            # The ends of attempts at the previous incarnation will not be
            # recorded, so they are subtracted here.
            for attempt in view.attempts.values() if view else ():
                self.pool(attempt.item.pool).running -= 1
            view = self._views[target.target_id] = policy_view.TargetView(
                target,
                targets_health.TargetHealth(self._settings.probation_after_s),
                prefixes.PrefixIndex(self._settings.prefix_index_max),
            )
        return view

    def _to_monotonic_s(self, report: model.LoadReport, now_s: float) -> float:
        if self._wall_offset_s is not None:
            return min(now_s, report.measured_at_s - self._wall_offset_s)
        self._largest_wall_offset_s = max(
            self._largest_wall_offset_s, report.measured_at_s - now_s
        )
        return min(now_s, report.measured_at_s - self._largest_wall_offset_s)
