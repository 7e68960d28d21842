"""The scheduling policy: connects queue, admission and placement."""

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

# Between two checks of progress. A stall must show within half a second.
_CHECK_S = 0.1
# Between two tries to place waiting work when nothing else happens: room
# also appears by tokens, which cause no decision of their own.
_QUEUE_RETRY_S = 0.02
# Engine priorities of one route priority, one per band.
_PRIORITY_STRIDE = 4
# A target that refused gets no new work for the age of a usual report.
_REFUSED_S = 1.0
_SERVICE_WEIGHT = 0.2


class PolicyScheduler(api.Scheduler):
    """Schedules the requests of one instance.

    Args:
        settings: Settings of the policy.
        rng: Random source of the sampled choices.
        zone: Availability zone of the instance.
        wall_offset_s: Wall time minus monotonic time, to date load reports.
            Without it the youngest report counts as measured just now.
        estimator: Source of expected lengths, if not learned here.
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
        self._lengths = estimator or lengths.LengthEstimator(
            settings.output_tokens_default
        )
        self._limits = limits.OrganisationLimits()
        self._placer = placement.Placer(settings, rng, zone)
        self._rng = rng
        self._refusal_policy = refusals.RefusalPolicy(settings, self._limits)
        self._refusals: list[api.Refusal] = []
        self._hedges = hedging.HedgeTimer(settings.hedge_delay_min_s)
        self._check_due_s = 0.0
        self._now_s = 0.0

    def set_limits(self, rates: dict[str, float], instances: int) -> None:
        """Sets the token rates of organisations.

        Args:
            rates: Tokens per second of each organisation, by route.
            instances: Live instances that share the rates.
        """
        self._limits.set_limits(rates, instances)

    def set_targets(
        self, pool: str, targets: tuple[model.Target, ...], now_s: float
    ) -> None:
        self._directory.set_targets(pool, targets)
        entry = self._directory.pool(pool)
        entry.group(self._zone)
        for waiting in entry.queue.entries():
            refusal = self._refusal_policy.hopeless(entry, waiting.item, now_s)
            if refusal is not None:
                entry.queue.drop(waiting.item.request_id)
                self._refusals.append(refusal)

    def submit(self, item: api.WorkItem, now_s: float) -> None:
        pool = self._directory.pool(item.pool)
        refusal = self._refusal_policy.hopeless(pool, item, now_s)
        if refusal is None:
            refusal = self._refusal_policy.over_limit(pool, item, now_s)
        if refusal is not None:
            self._refusals.append(refusal)
            return
        profile = self._lengths.profile(item.route, item.organisation)
        give_up_s = min(
            item.deadline_s, item.arrived_s + self._settings.queue_timeout_s
        )
        band = self._band(item, profile)
        need = item.prompt_tokens + self._output(item, profile)
        pool.queue.add(queue.Entry(item, profile, band, give_up_s, need))

    def cancel(self, request_id: str, now_s: float) -> None:
        for pool in self._directory.pools():
            pool.queue.drop(request_id)

    def decide(self, now_s: float) -> list[api.Decision]:
        self._now_s = now_s
        if now_s >= self._check_due_s:
            self._check(now_s)
        decisions: list[api.Decision] = list(self._refusals)
        self._refusals = []
        for pool in self._directory.pools():
            for entry in pool.queue.expired(now_s):
                decisions.append(
                    self._refusal_policy.make(
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
        if self._refusals:
            return self._now_s
        due = []
        for pool in self._directory.pools():
            timeout_s = pool.queue.next_timeout_s()
            if timeout_s is not None:
                due.append(min(timeout_s, self._now_s + _QUEUE_RETRY_S))
            if pool.running:
                due.append(self._check_due_s)
        hedge_s = self._hedges.next_due_s()
        if hedge_s is not None:
            due.append(hedge_s)
        return min(due, default=None)

    def explain(self, item: api.WorkItem, now_s: float) -> api.Explanation:
        pool = self._directory.peek(item.pool)
        profile = self._lengths.profile(item.route, item.organisation)
        request = self._request(item, profile)
        candidates = self._placer.all_candidates(pool, request, now_s)
        decision: api.Decision | None = self._refusal_policy.hopeless(
            pool, item, now_s
        )
        if decision is None:
            state = self._rng.getstate()
            target_id, sampled = self._placer.choose(pool, request, now_s)
            self._rng.setstate(state)
            if target_id is not None:
                decision = self._placement(item, request, target_id, sampled)
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
        """Takes note of changes of an engine's prefix cache."""
        view = self._directory.view(target_id)
        if view is not None and view.target.incarnation == incarnation:
            view.cache.apply(cache_events, first_available)

    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        view, attempt = self._directory.attempt(request_id, target_id)
        if view is None or attempt is None or attempt.produced:
            return
        self._hedges.record_wait(now_s - attempt.sent_s)
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
        self._hedges.forget(request_id)
        item = attempt.item
        pool = self._directory.pool(item.pool)
        pool.running -= 1
        pool.snapshot(now_s)
        used = item.prompt_tokens + attempt.produced
        self._limits.charge(item.route, item.organisation, used, now_s)
        expected = item.prompt_tokens + self._output(item, attempt.profile)
        pool.queue.settle(attempt.band, item.organisation, expected, used)
        match end:
            case api.AttemptEnd.COMPLETE:
                self._record_complete(view, attempt, now_s)
            case api.AttemptEnd.REFUSED:
                view.full_until_s = now_s + _REFUSED_S
            case api.AttemptEnd.FAILED:
                if self._settings.mechanisms.health and (
                    progress.record_failure(view, pool, self._settings, now_s)
                ):
                    pool.group(self._zone)

    def _record_complete(
        self,
        view: policy_view.TargetView,
        attempt: policy_view.Attempt,
        now_s: float,
    ) -> None:
        item = attempt.item
        if view.memory_total:
            if self._settings.mechanisms.learned_lengths:
                self._lengths.record(
                    item.route, item.organisation, attempt.produced
                )
            return
        taken_s = now_s - attempt.sent_s
        if view.service_s:
            view.service_s += _SERVICE_WEIGHT * (taken_s - view.service_s)
        else:
            view.service_s = taken_s

    def _band(self, item: api.WorkItem, profile: lengths.Profile) -> int:
        high = profile.high
        if item.max_output_tokens is not None:
            high = min(high, item.max_output_tokens)
        short = self._settings.short_tokens
        if high <= short:
            return queue.SHORT
        if profile.low <= short:
            return queue.MEDIUM
        return queue.LONG

    def _output(self, item: api.WorkItem, profile: lengths.Profile) -> float:
        expected = profile.rest(0)
        if item.max_output_tokens is not None:
            expected = min(expected, item.max_output_tokens)
        return expected

    def _request(
        self, item: api.WorkItem, profile: lengths.Profile
    ) -> placement.Request:
        output = self._output(item, profile)
        need = item.prompt_tokens + self._settings.rest_share * output
        return placement.Request(item, self._band(item, profile), need, output)

    def _check(self, now_s: float) -> None:
        self._check_due_s = now_s + _CHECK_S
        for pool in self._directory.pools():
            pool.refresh(now_s)
            pool.snapshot(now_s)
            for view in pool.targets.values():
                if view.attempts:
                    view.snapshot(now_s)
            if self._settings.mechanisms.health and progress.judge(
                pool, self._settings, now_s
            ):
                pool.group(self._zone)
        self._hedges.refresh()

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
            request = self._request(entry.item, entry.profile)
            target_id, sampled = self._placer.choose(pool, request, now_s)
            if target_id is None:
                blocked.add(entry.band)
                if not entry.item.excluded:
                    # Longer bands have less room still.
                    blocked.update(range(entry.band, queue.BANDS))
                continue
            pool.queue.take(entry)
            self._refusal_policy.record_placed(now_s)
            pool.hedges.earn(len(pool.queue) / max(1, len(pool.targets)))
            pool.retries.earn(len(pool.queue) / max(1, len(pool.targets)))
            self._start(pool, entry.item, target_id, now_s)
            decisions.append(
                self._placement(entry.item, request, target_id, sampled)
            )
            if entry.item.repeatable and self._settings.mechanisms.hedging:
                self._hedges.watch(entry.item.request_id, target_id, now_s)

    def _start(
        self,
        pool: policy_pool.PoolView,
        item: api.WorkItem,
        target_id: str,
        now_s: float,
        hedge: bool = False,
    ) -> None:
        profile = self._lengths.profile(item.route, item.organisation)
        attempt = policy_view.Attempt(
            item, profile, self._band(item, profile), now_s, hedge
        )
        pool.targets[target_id].add(attempt)
        pool.running += 1
        pool.snapshot(now_s)

    def _placement(
        self,
        item: api.WorkItem,
        request: placement.Request,
        target_id: str,
        sampled: tuple[api.Candidate, ...],
        hedge: bool = False,
    ) -> api.Placement:
        priority = item.priority * _PRIORITY_STRIDE
        if self._settings.mechanisms.engine_priority:
            priority += request.band
        reason = f'best of {len(sampled)} candidates'
        if hedge:
            reason = f'first token is late; {reason}'
        return api.Placement(
            item.request_id, target_id, priority, reason, sampled, hedge
        )

    def _start_hedges(
        self, now_s: float, decisions: list[api.Decision]
    ) -> None:
        for request_id, target_id in self._hedges.take_due(now_s):
            _, attempt = self._directory.attempt(request_id, target_id)
            if attempt is None or attempt.produced:
                continue
            item = attempt.item
            pool = self._directory.pool(item.pool)
            request = self._request(item, attempt.profile)
            other_id, sampled = self._placer.choose(
                pool, request, now_s, avoid=target_id
            )
            if other_id is None or not pool.hedges.spend():
                self._hedges.watch(request_id, target_id, now_s, _CHECK_S)
                continue
            self._hedges.record_hedged(request_id)
            self._start(pool, item, other_id, now_s, hedge=True)
            decisions.append(
                self._placement(item, request, other_id, sampled, hedge=True)
            )
