"""The scheduler of an instance: combines queue, admission and placement."""

import random

from dotterelweir_core import errors
from dotterelweir_core.policy import api
from dotterelweir_core.policy import directory
from dotterelweir_core.policy import hedging
from dotterelweir_core.policy import lengths
from dotterelweir_core.policy import limits
from dotterelweir_core.policy import placement
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import progress
from dotterelweir_core.policy import queue
from dotterelweir_core.policy import refusals
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes

# Time between two checks of progress. A stall must be detected within half a
# second.
_CHECK_INTERVAL_S = 0.1
# Time between two attempts to place waiting requests without another event.
# Recorded tokens may free capacity without causing a decision.
_QUEUE_RETRY_INTERVAL_S = 0.02
# Engine priorities per route priority. Each band uses one of them.
_PRIORITY_STRIDE = 4
# A target that refused a request gets no new ones for this time, in seconds.
# It is the usual age of a load report.
_REFUSAL_BACKOFF_S = 1.0
# Weight of one call in the smoothed service time.
_SERVICE_TIME_WEIGHT = 0.2


class PolicyScheduler(api.Scheduler):
    """Schedules the requests of one instance.

    Args:
        settings: Settings of the policy.
        rng: Random source of the sampling.
        zone: Availability zone of the instance.
        wall_offset_s: Wall time minus monotonic time in seconds, to convert
            the times of load reports. Without it the report with the least
            delay so far is assumed to have none.
        estimator: Source of expected lengths; a new one by default.
    """

    def __init__(
        self,
        settings: policy_settings.PolicySettings,
        rng: random.Random,
        zone: str,
        wall_offset_s: float | None = None,
        estimator: lengths.LengthEstimator | None = None,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._directory = directory.Directory(settings, wall_offset_s)
        self._estimator = estimator or lengths.LengthEstimator(
            settings.output_tokens_default
        )
        self._limits = limits.OrganisationLimits()
        self._placer = placement.Placer(settings, rng, zone)
        self._rng = rng
        self._refusal_policy = refusals.RefusalPolicy(settings, self._limits)
        self._pending_refusals: list[api.Refusal] = []
        self._hedge_timer = hedging.HedgeTimer(settings.hedge_delay_min_s)
        self._next_check_s = 0.0
        self._now_s = 0.0

    def set_limits(self, rates: dict[str, float], instances: int) -> None:
        """Sets the token rate limits of organisations.

        Args:
            rates: Tokens per second that each organisation may use, by route.
            instances: Number of live instances that share the rates.
        """
        self._limits.set_limits(rates, instances)

    def set_targets(
        self, pool: str, targets: tuple[model.Target, ...], now_s: float
    ) -> None:
        self._directory.set_targets(pool, targets)
        pool_view = self._directory.pool(pool)
        pool_view.partition_by_zone(self._zone)
        for entry in pool_view.queue.entries():
            refusal = self._refusal_policy.refuse_unservable(
                pool_view, entry.item, now_s
            )
            if refusal is not None:
                pool_view.queue.discard(entry.item.request_id)
                self._pending_refusals.append(refusal)

    def submit(self, item: api.WorkItem, now_s: float) -> None:
        pool = self._directory.pool(item.pool)
        refusal = self._refusal_policy.refuse_unservable(pool, item, now_s)
        if refusal is None:
            refusal = self._refusal_policy.refuse_over_limit(pool, item, now_s)
        if refusal is not None:
            self._pending_refusals.append(refusal)
            return
        profile = self._estimator.profile(item.route, item.organisation)
        timeout_at_s = min(
            item.deadline_s, item.arrived_s + self._settings.queue_timeout_s
        )
        band = self._band(item, profile)
        expected_tokens = item.prompt_tokens + self._expected_output(
            item, profile
        )
        pool.queue.add(
            queue.Entry(item, profile, band, timeout_at_s, expected_tokens)
        )

    def cancel(self, request_id: str, now_s: float) -> None:
        for pool in self._directory.pools():
            pool.queue.discard(request_id)

    def decide(self, now_s: float) -> list[api.Decision]:
        self._now_s = now_s
        if now_s >= self._next_check_s:
            self._check_targets(now_s)
        decisions: list[api.Decision] = list(self._pending_refusals)
        self._pending_refusals = []
        for pool in self._directory.pools():
            for entry in pool.queue.pop_expired(now_s):
                decisions.append(
                    self._refusal_policy.make_refusal(
                        pool,
                        entry.item,
                        errors.ErrorKind.QUEUE_TIMEOUT,
                        'no target had room in time',
                        now_s,
                    )
                )
            if len(pool.queue):
                self._place_waiting(pool, now_s, decisions)
        self._start_hedges(now_s, decisions)
        return decisions

    def next_wakeup_s(self) -> float | None:
        if self._pending_refusals:
            return self._now_s
        due = []
        for pool in self._directory.pools():
            timeout_s = pool.queue.next_timeout_s()
            if timeout_s is not None:
                due.append(
                    min(timeout_s, self._now_s + _QUEUE_RETRY_INTERVAL_S)
                )
            if pool.running:
                due.append(self._next_check_s)
        hedge_s = self._hedge_timer.next_due_s()
        if hedge_s is not None:
            due.append(hedge_s)
        return min(due, default=None)

    def explain(self, item: api.WorkItem, now_s: float) -> api.Explanation:
        pool = self._directory.peek(item.pool)
        profile = self._estimator.profile(item.route, item.organisation)
        estimate = self._estimate(item, profile)
        candidates = self._placer.all_candidates(pool, estimate, now_s)
        decision: api.Decision | None = self._refusal_policy.refuse_unservable(
            pool, item, now_s
        )
        if decision is None:
            state = self._rng.getstate()
            target_id, sampled = self._placer.choose(pool, estimate, now_s)
            self._rng.setstate(state)
            if target_id is not None:
                decision = self._placement(item, estimate, target_id, sampled)
        return api.Explanation(decision, candidates)

    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        self._directory.record_report(report, now_s)

    def record_cache_events(
        self,
        target_id: str,
        incarnation: int,
        cache_events: tuple[prefixes.CacheEvent, ...],
        first_available: int,
    ) -> None:
        """Records changes of an engine's prefix cache.

        Args:
            target_id: Name of the target.
            incarnation: Incarnation of the target that reported them.
            cache_events: The changes, in order.
            first_available: Number of the first event that the engine can
                still report.
        """
        view = self._directory.view(target_id)
        if view is not None and view.target.incarnation == incarnation:
            view.prefix_index.apply(cache_events, first_available)

    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        view, attempt = self._directory.attempt(request_id, target_id)
        if view is None or attempt is None or attempt.produced_tokens:
            return
        self._hedge_timer.record_wait(now_s - attempt.sent_s)
        view.record_tokens(attempt, 1, now_s)

    def record_tokens(
        self, request_id: str, target_id: str, count: int, now_s: float
    ) -> None:
        view, attempt = self._directory.attempt(request_id, target_id)
        if view is not None and attempt is not None and count > 0:
            view.record_tokens(attempt, count, now_s)

    def record_end(
        self,
        request_id: str,
        target_id: str,
        end: api.AttemptEnd,
        now_s: float,
    ) -> None:
        view, _ = self._directory.attempt(request_id, target_id)
        attempt = view.remove(request_id, now_s) if view else None
        if view is None or attempt is None:
            return
        self._hedge_timer.forget(request_id)
        item = attempt.item
        pool = self._directory.pool(item.pool)
        pool.running -= 1
        pool.record_snapshot(now_s)
        used_tokens = item.prompt_tokens + attempt.produced_tokens
        self._limits.charge(item.route, item.organisation, used_tokens, now_s)
        expected_tokens = item.prompt_tokens + self._expected_output(
            item, attempt.profile
        )
        pool.queue.correct_usage(
            attempt.band, item.organisation, expected_tokens, used_tokens
        )
        match end:
            case api.AttemptEnd.COMPLETE:
                self._record_completion(view, attempt, now_s)
            case api.AttemptEnd.REFUSED:
                view.backoff_until_s = now_s + _REFUSAL_BACKOFF_S
            case api.AttemptEnd.FAILED:
                if self._settings.mechanisms.health and (
                    progress.record_failure(view, pool, self._settings, now_s)
                ):
                    pool.partition_by_zone(self._zone)

    def _record_completion(
        self,
        view: policy_view.TargetView,
        attempt: policy_view.Attempt,
        now_s: float,
    ) -> None:
        item = attempt.item
        if view.capacity_tokens:
            if self._settings.mechanisms.learned_lengths:
                self._estimator.record(
                    item.route, item.organisation, attempt.produced_tokens
                )
            return
        elapsed_s = now_s - attempt.sent_s
        if view.service_time_s:
            view.service_time_s += _SERVICE_TIME_WEIGHT * (
                elapsed_s - view.service_time_s
            )
        else:
            view.service_time_s = elapsed_s

    def _band(self, item: api.WorkItem, profile: lengths.LengthProfile) -> int:
        high_tokens = profile.high_tokens
        if item.max_output_tokens is not None:
            high_tokens = min(high_tokens, item.max_output_tokens)
        short_tokens = self._settings.short_tokens
        if high_tokens <= short_tokens:
            return queue.SHORT
        if profile.low_tokens <= short_tokens:
            return queue.MEDIUM
        return queue.LONG

    def _expected_output(
        self, item: api.WorkItem, profile: lengths.LengthProfile
    ) -> float:
        expected_tokens = profile.expected_remaining(0)
        if item.max_output_tokens is not None:
            expected_tokens = min(expected_tokens, item.max_output_tokens)
        return expected_tokens

    def _estimate(
        self, item: api.WorkItem, profile: lengths.LengthProfile
    ) -> placement.RequestEstimate:
        expected_output_tokens = self._expected_output(item, profile)
        expected_memory_tokens = (
            item.prompt_tokens
            + self._settings.remaining_share * expected_output_tokens
        )
        return placement.RequestEstimate(
            item,
            self._band(item, profile),
            expected_memory_tokens,
            expected_output_tokens,
        )

    def _check_targets(self, now_s: float) -> None:
        self._next_check_s = now_s + _CHECK_INTERVAL_S
        for pool in self._directory.pools():
            pool.update_statistics(now_s)
            pool.record_snapshot(now_s)
            for view in pool.targets.values():
                if view.attempts:
                    view.record_snapshot(now_s)
            if self._settings.mechanisms.health and progress.update_health(
                pool, self._settings, now_s
            ):
                pool.partition_by_zone(self._zone)
        self._hedge_timer.update_delay()

    def _place_waiting(
        self,
        pool: policy_pool.PoolView,
        now_s: float,
        decisions: list[api.Decision],
    ) -> None:
        blocked: set[int] = set()
        while True:
            heads = [
                entry
                for entry in pool.queue.heads()
                if entry.band not in blocked
            ]
            if not heads:
                return
            entry = heads[0]
            estimate = self._estimate(entry.item, entry.profile)
            target_id, sampled = self._placer.choose(pool, estimate, now_s)
            if target_id is None:
                blocked.add(entry.band)
                if not entry.item.excluded:
                    # The bounds of longer bands are tighter still.
                    blocked.update(range(entry.band, queue.BAND_COUNT))
                continue
            pool.queue.dequeue(entry)
            self._refusal_policy.record_placed(now_s)
            pool.hedge_budget.replenish(
                len(pool.queue) / max(1, len(pool.targets))
            )
            pool.retry_budget.replenish(
                len(pool.queue) / max(1, len(pool.targets))
            )
            self._start_attempt(pool, entry.item, target_id, now_s)
            decisions.append(
                self._placement(entry.item, estimate, target_id, sampled)
            )
            if entry.item.repeatable and self._settings.mechanisms.hedging:
                self._hedge_timer.watch(
                    entry.item.request_id, target_id, now_s
                )

    def _start_attempt(
        self,
        pool: policy_pool.PoolView,
        item: api.WorkItem,
        target_id: str,
        now_s: float,
        hedge: bool = False,
    ) -> None:
        profile = self._estimator.profile(item.route, item.organisation)
        attempt = policy_view.Attempt(
            item, profile, self._band(item, profile), now_s, hedge
        )
        pool.targets[target_id].add(attempt)
        pool.running += 1
        pool.record_snapshot(now_s)

    def _placement(
        self,
        item: api.WorkItem,
        estimate: placement.RequestEstimate,
        target_id: str,
        sampled: tuple[api.Candidate, ...],
        hedge: bool = False,
    ) -> api.Placement:
        priority = item.priority * _PRIORITY_STRIDE
        if self._settings.mechanisms.engine_priority:
            priority += estimate.band
        reason = f'best of {len(sampled)} candidates'
        if hedge:
            reason = f'first token is late; {reason}'
        return api.Placement(
            item.request_id, target_id, priority, reason, sampled, hedge
        )

    def _start_hedges(
        self, now_s: float, decisions: list[api.Decision]
    ) -> None:
        for request_id, target_id in self._hedge_timer.take_due(now_s):
            _, attempt = self._directory.attempt(request_id, target_id)
            if attempt is None or attempt.produced_tokens:
                continue
            item = attempt.item
            pool = self._directory.pool(item.pool)
            estimate = self._estimate(item, attempt.profile)
            other_id, sampled = self._placer.choose(
                pool, estimate, now_s, avoid=target_id
            )
            if other_id is None or not pool.hedge_budget.try_acquire():
                self._hedge_timer.watch(
                    request_id, target_id, now_s, _CHECK_INTERVAL_S
                )
                continue
            self._hedge_timer.record_hedged(request_id)
            self._start_attempt(pool, item, other_id, now_s, hedge=True)
            decisions.append(
                self._placement(item, estimate, other_id, sampled, hedge=True)
            )
