"""Choice of a target among a few sampled candidates."""

import random

import attrs

from dotterelweir_core.policy import admission
from dotterelweir_core.policy import api
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view

# Targets of other zones that are looked at besides local ones.
_REMOTE_SAMPLE = 2
# The score weighs the time of this many tokens after the first.
_SCORED_TOKENS = 32
# Seconds per token of the request in a full memory: a request of 1,000
# tokens at 80% fill costs 0.13 s, like a step that is 4 ms longer.
_MEMORY_COST_S = 2e-4


@attrs.frozen
class Request:
    """What placement needs to know of a request.

    Attributes:
        item: The request.
        band: Band of its expected output.
        need: Tokens that it is expected to hold.
        output: Tokens that it is expected to produce.
    """

    item: api.WorkItem
    band: int
    need: float
    output: float


class Placer:
    """Scores and chooses targets.

    Args:
        settings: Settings of the policy.
        rng: Random source of the samples.
        zone: Availability zone of the instance.
    """

    def __init__(
        self,
        settings: policy_settings.PolicySettings,
        rng: random.Random,
        zone: str,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._zone = zone

    def choose(
        self,
        pool: policy_pool.PoolView,
        request: Request,
        now_s: float,
        avoid: str = '',
    ) -> tuple[str | None, tuple[api.Candidate, ...]]:
        """Chooses a target with room.

        Args:
            pool: The pool.
            request: The request.
            now_s: Now.
            avoid: A target that is left out.

        Returns:
            The target, or None if no sampled one has room, and the
            candidates that were looked at, best first.
        """
        best, best_score = None, float('inf')
        candidates = []
        for view in self._sample(pool):
            target_id = view.target.target_id
            if target_id == avoid or target_id in request.item.excluded:
                continue
            load, reason = self._judge(view, pool, request, now_s)
            score = self._score(view, load, request)
            if reason is None:
                reason = f'{load.running:.0f} running, {load.fill:.0%} full'
                if score < best_score:
                    best, best_score = target_id, score
            candidates.append(api.Candidate(target_id, score, reason))
        candidates.sort(key=lambda candidate: candidate.score)
        return best, tuple(candidates)

    def _judge(
        self,
        view: policy_view.TargetView,
        pool: policy_pool.PoolView,
        request: Request,
        now_s: float,
    ) -> tuple[admission.Load, str | None]:
        """The projected load of a target, and why it has no room."""
        load = admission.project(view, pool, self._settings, now_s)
        reason = admission.obstacle(
            view,
            pool,
            load,
            request.need,
            request.band,
            now_s - request.item.arrived_s,
            self._settings,
            now_s,
        )
        return load, reason

    def all_candidates(
        self, pool: policy_pool.PoolView, request: Request, now_s: float
    ) -> tuple[api.Candidate, ...]:
        """Every target of the pool with its score and reason."""
        candidates = []
        for view in pool.targets.values():
            load, reason = self._judge(view, pool, request, now_s)
            if view.target.target_id in request.item.excluded:
                reason = 'failed this request before'
            candidates.append(
                api.Candidate(
                    view.target.target_id,
                    self._score(view, load, request),
                    reason
                    or f'{load.running:.0f} running, {load.fill:.0%} full',
                )
            )
        return tuple(candidates)

    def _sample(
        self, pool: policy_pool.PoolView
    ) -> list[policy_view.TargetView]:
        size = self._settings.sample_size
        if not self._settings.mechanisms.local_first:
            every = pool.local + pool.remote
            return self._rng.sample(every, min(size, len(every)))
        local = self._rng.sample(pool.local, min(size, len(pool.local)))
        remote_size = max(_REMOTE_SAMPLE, size - len(local))
        return local + self._rng.sample(
            pool.remote, min(remote_size, len(pool.remote))
        )

    def _score(
        self,
        view: policy_view.TargetView,
        load: admission.Load,
        request: Request,
    ) -> float:
        settings = self._settings
        score = 0.0 if view.target.zone == self._zone else settings.zone_cost_s
        if not view.memory_total:
            service_s = view.service_s or 0.01
            return score + service_s * (len(view.attempts) + 1)
        prefill_s = settings.prefill_s_per_token
        score += prefill_s * (
            view.starting_tokens + request.item.prompt_tokens
        )
        hashes = request.item.prefix_hashes
        if hashes and settings.mechanisms.prefix_bonus:
            matched = view.cache.matched(hashes) / len(hashes)
            score -= min(
                settings.prefix_bonus_max_s,
                matched * request.item.prompt_tokens * prefill_s,
            )
        score += load.step_s * min(request.output, _SCORED_TOKENS)
        return score + load.fill**2 * request.need * _MEMORY_COST_S
