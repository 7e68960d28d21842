"""Admission control: whether a target can take another request."""

import attrs

from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health as targets_health


@attrs.define
class ProjectedLoad:
    """The projected load that all instances put on one target.

    Attributes:
        projected_tokens: Tokens that are expected to be held in memory at
            the same time.
        capacity_tokens: Size of the target's memory in tokens; 0 for a
            plain service.
        running: Number of requests at the target.
        step_s: Expected time between tokens, in seconds; 0 if unknown.
    """

    projected_tokens: float
    capacity_tokens: int
    running: float
    step_s: float

    @property
    def memory_utilisation(self) -> float:
        """The projected share of the memory that is in use."""
        return (
            self.projected_tokens / self.capacity_tokens
            if self.capacity_tokens
            else 0.0
        )


def project_load(
    view: policy_view.TargetView,
    pool: policy_pool.PoolView,
    settings: policy_settings.PolicySettings,
    now_s: float,
) -> ProjectedLoad:
    """Projects the load of a target from own requests and its last report.

    Args:
        view: The target.
        pool: The pool of the target.
        settings: Settings of the policy.
        now_s: Current monotonic time in seconds.
    """
    running = float(len(view.attempts))
    projected_tokens = (
        view.held_tokens + settings.remaining_share * view.remaining_tokens
    )
    if settings.mechanisms.peer_work and view.report_measured_s is not None:
        growth = pool.growth_since_report(view)
        running += view.peer_running * growth
        remaining_share = settings.remaining_share * pool.remaining_ratio
        projected_tokens += (
            view.peer_held_tokens * growth * (1.0 + remaining_share)
        )
    step_s = max(
        view.fresh_step_s(now_s), pool.step_time_fit.predict_s(running)
    )
    return ProjectedLoad(
        projected_tokens, view.capacity_tokens, running, step_s
    )


def rejection_reason(
    view: policy_view.TargetView,
    pool: policy_pool.PoolView,
    load: ProjectedLoad,
    expected_memory_tokens: float,
    band: int,
    waited_s: float,
    settings: policy_settings.PolicySettings,
    now_s: float,
) -> str | None:
    """Returns why a target cannot take a request now.

    Args:
        view: The target.
        pool: The pool of the target.
        load: The projected load of the target.
        expected_memory_tokens: Tokens that the request is expected to hold
            in memory.
        band: Band of the request's expected output.
        waited_s: Time since the request arrived, in seconds.
        settings: Settings of the policy.
        now_s: Current monotonic time in seconds.

    Returns:
        The reason, or None if the target can take the request.
    """
    match view.health.current:
        case targets_health.HealthState.EJECTED:
            return f'ejected: {view.health.reason}'
        case targets_health.HealthState.PROBATION:
            if view.prefilling:
                return 'on probation'
    if now_s < view.backoff_until_s:
        return 'refused work'
    if not view.capacity_tokens:
        if len(view.attempts) >= settings.in_flight_max:
            return 'too many in flight'
        return None
    if load.running < 1.0:
        return None
    mechanisms = settings.mechanisms
    index = (
        band
        if mechanisms.reserved_room
        else len(settings.step_time_share_max) - 1
    )
    if (
        mechanisms.memory_admission
        and load.projected_tokens + expected_memory_tokens
        > settings.memory_utilisation_max[index] * load.capacity_tokens
    ):
        return 'no memory'
    if mechanisms.step_admission:
        bound_s = (
            settings.step_time_share_max[index]
            * settings.inter_token_objective_s
        )
        late_s = max(0.0, waited_s - settings.step_relax_after_s)
        relax_s = settings.step_relax_s
        if pool.degraded:
            relax_s = min(relax_s, settings.step_relax_degraded_s)
        bound_s *= 1.0 + late_s / relax_s
        if load.step_s + pool.step_time_fit.slope_s > bound_s:
            return 'batch too large'
    return None
