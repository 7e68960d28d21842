"""The scheduling policy: connects queue, admission and placement."""

import collections
import heapq
import random

import hdrh.histogram

from dotterelweir_core import errors
from dotterelweir_core.policy import api
from dotterelweir_core.policy import budgets
from dotterelweir_core.policy import lengths
from dotterelweir_core.policy import limits
from dotterelweir_core.policy import placement
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import progress
from dotterelweir_core.policy import queue
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view
from dotterelweir_core.targets import health as targets_health
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes

_RETRY_AFTER_DEFAULT_S = 1.0
_RETRY_AFTER_MAX_S = 60.0
# Placements that are kept to estimate how fast the queue drains.
_DRAIN_WINDOW = 64
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
_FIRST_TOKEN_PERCENTILE = 95.0
_FIRST_TOKEN_SAMPLES_MIN = 20
_FIRST_TOKEN_SAMPLES_MAX = 2_000


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
        self._wall_offset_s = wall_offset_s
        self._youngest_s = float('-inf')
        self._lengths = estimator or lengths.LengthEstimator(
            settings.output_tokens_default
        )
        self._limits = limits.OrganisationLimits()
        self._placer = placement.Placer(settings, rng, zone)
        self._rng = rng
        self._pools: dict[str, policy_pool.PoolView] = {}
        self._views: dict[str, policy_view.TargetView] = {}
        self._placed_s: collections.deque[float] = collections.deque(
            maxlen=_DRAIN_WINDOW
        )
        self._refusals: list[api.Refusal] = []
        self._hedge_due: list[tuple[float, str, str]] = []
        self._hedged: set[str] = set()
        self._first_tokens = _first_token_histogram()
        self._hedge_delay_s = max(1.0, settings.hedge_delay_min_s)
        self._check_due_s = 0.0
        self._in_flight = 0
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
        entry = self._pool(pool)
        entry.targets = {
            target.target_id: self._view(target) for target in targets
        }
        for view in entry.targets.values():
            entry.memory_max = max(entry.memory_max, view.memory_total)
        entry.group(self._zone)
        self._forget_views()
        for waiting in entry.queue.entries():
            refusal = self._hopeless(entry, waiting.item, now_s)
            if refusal is not None:
                entry.queue.drop(waiting.item.request_id)
                self._refusals.append(refusal)

    def submit(self, item: api.WorkItem, now_s: float) -> None:
        pool = self._pool(item.pool)
        refusal = self._hopeless(pool, item, now_s)
        if refusal is None:
            refusal = self._over_limit(pool, item, now_s)
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
        for pool in self._pools.values():
            pool.queue.drop(request_id)

    def decide(self, now_s: float) -> list[api.Decision]:
        self._now_s = now_s
        if now_s >= self._check_due_s:
            self._check(now_s)
        decisions: list[api.Decision] = list(self._refusals)
        self._refusals = []
        for pool in self._pools.values():
            for entry in pool.queue.expired(now_s):
                decisions.append(
                    self._refusal(
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
        for pool in self._pools.values():
            timeout_s = pool.queue.next_timeout_s()
            if timeout_s is not None:
                due.append(min(timeout_s, self._now_s + _QUEUE_RETRY_S))
        if self._in_flight:
            due.append(self._check_due_s)
        if self._hedge_due:
            due.append(self._hedge_due[0][0])
        return min(due, default=None)

    def explain(self, item: api.WorkItem, now_s: float) -> api.Explanation:
        pool = self._pools.get(item.pool) or self._new_pool()
        profile = self._lengths.profile(item.route, item.organisation)
        request = self._request(item, profile)
        candidates = self._placer.all_candidates(pool, request, now_s)
        decision: api.Decision | None = self._hopeless(pool, item, now_s)
        if decision is None:
            state = self._rng.getstate()
            target_id, sampled = self._placer.choose(pool, request, now_s)
            self._rng.setstate(state)
            if target_id is not None:
                decision = self._placement(item, request, target_id, sampled)
        return api.Explanation(decision, candidates)

    def record_report(self, report: model.LoadReport, now_s: float) -> None:
        view = self._views.get(report.target_id)
        if view is None or view.target.incarnation != report.incarnation:
            return
        measured_s = self._measured_s(report, now_s)
        own = view.record_report(report, measured_s)
        for pool in self._pools.values():
            if report.target_id not in pool.targets:
                continue
            pool.memory_max = max(pool.memory_max, view.memory_total)
            before = pool.history.at(measured_s)
            if before is not None:
                pool.running_at_report[report.target_id] = before.running
            if (
                own is not None
                and own.step_s
                and view.health.current is targets_health.HealthState.HEALTHY
            ):
                pool.fit.record(report.running + report.waiting, own.step_s)

    def record_cache_events(
        self,
        target_id: str,
        incarnation: int,
        cache_events: tuple[prefixes.CacheEvent, ...],
        first_available: int,
    ) -> None:
        """Takes note of changes of an engine's prefix cache."""
        view = self._views.get(target_id)
        if view is not None and view.target.incarnation == incarnation:
            view.cache.apply(cache_events, first_available)

    def record_first_token(
        self, request_id: str, target_id: str, now_s: float
    ) -> None:
        view, attempt = self._find(request_id, target_id)
        if view is None or attempt is None or attempt.produced:
            return
        waited_ms = int((now_s - attempt.sent_s) * 1000)
        self._first_tokens.record_value(min(max(waited_ms, 1), 60_000))
        view.record_tokens(attempt, 1, now_s)

    def record_tokens(
        self, request_id: str, target_id: str, count: int, now_s: float
    ) -> None:
        view, attempt = self._find(request_id, target_id)
        if view is not None and attempt is not None and count > 0:
            view.record_tokens(attempt, count, now_s)

    def record_end(
        self,
        request_id: str,
        target_id: str,
        end: api.AttemptEnd,
        now_s: float,
    ) -> None:
        view, _ = self._find(request_id, target_id)
        attempt = view.remove(request_id, now_s) if view else None
        if view is None or attempt is None:
            return
        self._in_flight -= 1
        self._hedged.discard(request_id)
        item = attempt.item
        pool = self._pool(item.pool)
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

    def _pool(self, name: str) -> policy_pool.PoolView:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = self._new_pool()
        return pool

    def _new_pool(self) -> policy_pool.PoolView:
        return policy_pool.PoolView(
            queue.EntryQueue(self._settings.mechanisms.fair_share),
            budgets.AttemptBudget(self._settings.hedge_ratio),
            budgets.AttemptBudget(self._settings.retry_ratio, earned=10.0),
        )

    def _view(self, target: model.Target) -> policy_view.TargetView:
        view = self._views.get(target.target_id)
        if view is None or view.target.incarnation != target.incarnation:
            view = self._views[target.target_id] = policy_view.TargetView(
                target,
                targets_health.TargetHealth(self._settings.probation_after_s),
                prefixes.PrefixIndex(self._settings.prefix_index_max),
            )
        return view

    def _forget_views(self) -> None:
        used = {
            target_id
            for pool in self._pools.values()
            for target_id in pool.targets
        }
        for target_id, view in list(self._views.items()):
            if target_id not in used and not view.attempts:
                del self._views[target_id]

    def _find(
        self, request_id: str, target_id: str
    ) -> tuple[policy_view.TargetView | None, policy_view.Attempt | None]:
        view = self._views.get(target_id)
        return view, view.attempts.get(request_id) if view else None

    def _measured_s(self, report: model.LoadReport, now_s: float) -> float:
        if self._wall_offset_s is not None:
            return min(now_s, report.measured_at_s - self._wall_offset_s)
        self._youngest_s = max(self._youngest_s, report.measured_at_s - now_s)
        return min(now_s, report.measured_at_s - self._youngest_s)

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
        for pool in self._pools.values():
            pool.refresh(now_s)
            pool.snapshot(now_s)
            for view in pool.targets.values():
                if view.attempts:
                    view.snapshot(now_s)
            if self._settings.mechanisms.health and progress.judge(
                pool, self._settings, now_s
            ):
                pool.group(self._zone)
        samples = self._first_tokens.get_total_count()
        if samples >= _FIRST_TOKEN_SAMPLES_MIN:
            waited_ms = self._first_tokens.get_value_at_percentile(
                _FIRST_TOKEN_PERCENTILE
            )
            self._hedge_delay_s = max(
                waited_ms / 1000, self._settings.hedge_delay_min_s
            )
        if samples >= _FIRST_TOKEN_SAMPLES_MAX:
            self._first_tokens = _first_token_histogram()

    def _place_waiting(
        self,
        pool: policy_pool.PoolView,
        now_s: float,
        decisions: list[api.Decision],
    ) -> None:
        blocked = queue.BANDS
        while True:
            heads = [
                entry for entry in pool.queue.heads() if entry.band < blocked
            ]
            if not heads:
                return
            entry = heads[0]
            request = self._request(entry.item, entry.profile)
            target_id, sampled = self._placer.choose(pool, request, now_s)
            if target_id is None:
                # Longer bands have less room still.
                blocked = entry.band
                continue
            pool.queue.take(entry)
            self._placed_s.append(now_s)
            pool.hedges.earn(len(pool.queue) / max(1, len(pool.targets)))
            pool.retries.earn(len(pool.queue) / max(1, len(pool.targets)))
            self._start(pool, entry.item, target_id, now_s)
            decisions.append(
                self._placement(entry.item, request, target_id, sampled)
            )
            if entry.item.repeatable and self._settings.mechanisms.hedging:
                due_s = now_s + self._hedge_delay_s
                heapq.heappush(
                    self._hedge_due, (due_s, entry.item.request_id, target_id)
                )

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
        self._in_flight += 1
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
        while self._hedge_due and self._hedge_due[0][0] <= now_s:
            _, request_id, target_id = heapq.heappop(self._hedge_due)
            _, attempt = self._find(request_id, target_id)
            if (
                attempt is None
                or attempt.produced
                or request_id in self._hedged
            ):
                continue
            item = attempt.item
            pool = self._pool(item.pool)
            request = self._request(item, attempt.profile)
            other_id, sampled = self._placer.choose(
                pool, request, now_s, avoid=target_id
            )
            if other_id is None or not pool.hedges.spend():
                heapq.heappush(
                    self._hedge_due, (now_s + _CHECK_S, request_id, target_id)
                )
                continue
            self._hedged.add(request_id)
            self._start(pool, item, other_id, now_s, hedge=True)
            decisions.append(
                self._placement(item, request, other_id, sampled, hedge=True)
            )

    def _hopeless(
        self, pool: policy_pool.PoolView, item: api.WorkItem, now_s: float
    ) -> api.Refusal | None:
        kinds = errors.ErrorKind
        if not pool.targets:
            return self._refusal(
                item, kinds.POOL_EMPTY, 'no usable target', now_s
            )
        if item.excluded and item.excluded.issuperset(pool.targets):
            return self._refusal(
                item,
                kinds.TARGET_UNREACHABLE,
                'every target of the pool was tried',
                now_s,
            )
        if 0 < pool.memory_max <= item.prompt_tokens:
            return self._refusal(
                item,
                kinds.TOO_LARGE_FOR_POOL,
                f'{item.prompt_tokens} prompt tokens fit in no target',
                now_s,
            )
        return None

    def _over_limit(
        self, pool: policy_pool.PoolView, item: api.WorkItem, now_s: float
    ) -> api.Refusal | None:
        kinds = errors.ErrorKind
        if item.excluded and not pool.retries.spend():
            return self._refusal(
                item,
                kinds.TARGET_FAILED,
                'the budget for further attempts is used up',
                now_s,
            )
        wait_s = self._limits.wait_s(item.route, item.organisation, now_s)
        if wait_s > 0 and not item.excluded:
            return api.Refusal(
                item.request_id,
                kinds.ORGANISATION_LIMIT,
                wait_s,
                f'{item.organisation} is over its token rate',
            )
        waiting = len(pool.queue)
        drain_s = self._drain_s(waiting, now_s)
        if waiting >= self._settings.queue_max_requests or (
            waiting and drain_s > self._settings.queue_timeout_s
        ):
            return self._refusal(
                item,
                kinds.QUEUE_FULL,
                f'{waiting} requests wait',
                now_s,
            )
        return None

    def _refusal(
        self,
        item: api.WorkItem,
        kind: errors.ErrorKind,
        detail: str,
        now_s: float,
    ) -> api.Refusal:
        retry_after_s = None
        if errors.ANSWERS[kind].retryable:
            waiting = len(self._pool(item.pool).queue)
            retry_after_s = min(
                max(self._drain_s(waiting + 1, now_s), 0.1),
                _RETRY_AFTER_MAX_S,
            )
        return api.Refusal(item.request_id, kind, retry_after_s, detail)

    def _drain_s(self, waiting: int, now_s: float) -> float:
        """How long so many requests will wait at the recent rate."""
        if len(self._placed_s) < _DRAIN_WINDOW // 4:
            return _RETRY_AFTER_DEFAULT_S
        span_s = max(now_s - self._placed_s[0], 0.001)
        return waiting * span_s / len(self._placed_s)


def _first_token_histogram() -> hdrh.histogram.HdrHistogram:
    # Milliseconds up to a minute, to two digits.
    return hdrh.histogram.HdrHistogram(1, 60_000, 2)
