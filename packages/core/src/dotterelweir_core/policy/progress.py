"""Ejects slow targets of a pool, by the progress of own requests."""

import logging

from dotterelweir_core import events
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health as targets_health

LOG = logging.getLogger(__name__)

# A target at which no own request makes progress for this long is slow, in
# seconds. The limit is longer than a step with the prefill of several prompts,
# and shorter than a second.
_STALL_S = 0.35
# The same limit in median steps of the pool; the longer one applies, for pools
# with long steps.
_STALL_STEPS = 6.0
# Limit while all own requests wait for their first token, in seconds. It is
# longer, as this wait includes the prefill.
_FIRST_TOKEN_STALL_S = 1.0
# A failed attempt does not eject a target at which another own request made
# progress within this time, in seconds.
_FAILURE_STALL_S = 1.0


def slow_reason(
    view: policy_view.TargetView,
    pool: policy_pool.PoolView,
    settings: policy_settings.PolicySettings,
    now_s: float,
) -> str | None:
    """Returns why a target is slow.

    Args:
        view: The target.
        pool: The pool of the target.
        settings: Settings of the policy.
        now_s: Current monotonic time in seconds.

    Returns:
        The reason; None if the target is not slow, runs no own request or
        is a plain service.
    """
    if not view.attempts or not view.capacity_tokens:
        return None
    median_s = pool.step_median_s
    stalled_s = now_s - view.last_progress_s
    if view.prefilling == len(view.attempts):
        if stalled_s > _FIRST_TOKEN_STALL_S:
            return f'no first token for {stalled_s:.1f} s'
        return None
    if stalled_s > max(_STALL_S, _STALL_STEPS * median_s):
        return f'no token for {stalled_s:.1f} s'
    step_s = view.fresh_step_s(now_s)
    reference_s = max(
        median_s, pool.step_time_fit.predict_s(len(view.attempts))
    )
    if step_s and reference_s and step_s > settings.slow_ratio * reference_s:
        return f'step of {step_s:.3f} s, pool {reference_s:.3f} s'
    return None


def update_health(
    pool: policy_pool.PoolView,
    settings: policy_settings.PolicySettings,
    now_s: float,
) -> bool:
    """Updates the health state of every target of a pool.

    Returns:
        Whether the state of any target changed.
    """
    changed = False
    for view in pool.targets.values():
        health = view.health
        before = health.current
        if not view.attempts and before is targets_health.HealthState.HEALTHY:
            continue
        reason = slow_reason(view, pool, settings, now_s)
        if reason is not None:
            changed |= eject(view, pool, settings, reason, now_s)
        elif (
            before is not targets_health.HealthState.HEALTHY
            and view.fresh_step_s(now_s)
            and view.last_progress_s
            > health.probation_due_s - settings.probation_after_s
        ):
            health.record_normal_progress()
        else:
            health.start_probation_if_due(now_s)
        changed |= _log_change(view, before)
    return changed


def eject(
    view: policy_view.TargetView,
    pool: policy_pool.PoolView,
    settings: policy_settings.PolicySettings,
    reason: str,
    now_s: float,
) -> bool:
    """Ejects a target, unless too many of the pool are ejected already.

    Returns:
        Whether the state of the target changed.
    """
    ejected = targets_health.HealthState.EJECTED
    if view.health.current is not ejected:
        count = sum(
            other.health.current is ejected for other in pool.targets.values()
        )
        if count + 1 > settings.ejected_share_max * len(pool.targets):
            return False
    before = view.health.current
    view.health.record_slow_progress(reason, now_s)
    return _log_change(view, before)


def record_failure(
    view: policy_view.TargetView,
    pool: policy_pool.PoolView,
    settings: policy_settings.PolicySettings,
    now_s: float,
) -> bool:
    """Ejects a target after a failed attempt without other progress.

    If other requests make progress there, the failure may be caused by the
    request itself.

    Returns:
        Whether the state of the target changed.
    """
    if view.attempts and now_s - view.last_progress_s < _FAILURE_STALL_S:
        return False
    return eject(view, pool, settings, 'failed without progress', now_s)


def _log_change(
    view: policy_view.TargetView, before: targets_health.HealthState
) -> bool:
    after = view.health.current
    if after is before:
        return False
    events.log(
        LOG,
        events.TARGET_HEALTH_CHANGED,
        target_id=view.target.target_id,
        before=before.value,
        after=after.value,
        reason=view.health.reason,
    )
    return True
