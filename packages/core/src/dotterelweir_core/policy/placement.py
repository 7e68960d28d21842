"""Chooses a target among a few sampled candidates."""

import random

import attrs

from dotterelweir_core.policy import admission
from dotterelweir_core.policy import api
from dotterelweir_core.policy import pool as policy_pool
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.policy import view as policy_view

# Minimum number of targets in other zones that are sampled as well.
_REMOTE_SAMPLE_MIN = 2
# The score includes the expected time of at most this many output tokens.
_SCORED_TOKENS = 32
# Cost of each expected token of a request when the memory is full, in seconds.
# It is multiplied by the square of the utilisation: at 80%, a request of 1,000
# tokens costs 0.13 s.
_MEMORY_COST_S_PER_TOKEN = 2e-4


@attrs.frozen
class RequestEstimate:
    """A request and its expected use of resources.

    Attributes:
        item: The request.
        band: Band of its expected output.
        expected_memory_tokens: Tokens that it is expected to hold in memory.
        expected_output_tokens: Tokens that it is expected to produce.
    """

    item: api.WorkItem
    band: int
    expected_memory_tokens: float
    expected_output_tokens: float


class Placer:
    """Scores and chooses targets.

    Args:
        settings: Settings of the policy.
        rng: Random source of the sampling.
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
        estimate: RequestEstimate,
        now_s: float,
        avoid: str = '',
    ) -> tuple[str | None, tuple[api.Candidate, ...]]:
        """Chooses the target with the best score that can take a request.

        Args:
            pool: The pool.
            estimate: The request and its expected use of resources.
            now_s: Current monotonic time in seconds.
            avoid: Name of a target that is not considered.

        Returns:
            The name of the target, or None if no sampled target can take
            the request, and the candidates in order of score, best first.
        """
        best, best_score = None, float('inf')
        candidates = []
        for view in self._sample(pool):
            target_id = view.target.target_id
            if target_id == avoid or target_id in estimate.item.excluded:
                continue
            load, reason = self._evaluate(view, pool, estimate, now_s)
            score = self._score(view, load, estimate)
            if reason is None:
                reason = (
                    f'{load.running:.0f} running, '
                    f'{load.memory_utilisation:.0%} full'
                )
                if score < best_score:
                    best, best_score = target_id, score
            candidates.append(api.Candidate(target_id, score, reason))
        candidates.sort(key=lambda candidate: candidate.score)
        return best, tuple(candidates)

    def _evaluate(
        self,
        view: policy_view.TargetView,
        pool: policy_pool.PoolView,
        estimate: RequestEstimate,
        now_s: float,
    ) -> tuple[admission.ProjectedLoad, str | None]:
        """Returns a target's projected load and why it cannot take a request.

        The reason is None if the target can take the request.
        """
        load = admission.project_load(view, pool, self._settings, now_s)
        reason = admission.rejection_reason(
            view,
            pool,
            load,
            estimate.expected_memory_tokens,
            estimate.band,
            now_s - estimate.item.arrived_s,
            self._settings,
            now_s,
        )
        return load, reason

    def all_candidates(
        self,
        pool: policy_pool.PoolView,
        estimate: RequestEstimate,
        now_s: float,
    ) -> tuple[api.Candidate, ...]:
        """Returns every target of a pool with its score and reason."""
        candidates = []
        for view in pool.targets.values():
            load, reason = self._evaluate(view, pool, estimate, now_s)
            if view.target.target_id in estimate.item.excluded:
                reason = 'failed this request before'
            candidates.append(
                api.Candidate(
                    view.target.target_id,
                    self._score(view, load, estimate),
                    reason
                    or f'{load.running:.0f} running, '
                    f'{load.memory_utilisation:.0%} full',
                )
            )
        return tuple(candidates)

    def _sample(
        self, pool: policy_pool.PoolView
    ) -> list[policy_view.TargetView]:
        size = self._settings.sample_size
        if not self._settings.mechanisms.local_first:
            all_targets = pool.local_targets + pool.remote_targets
            return self._rng.sample(all_targets, min(size, len(all_targets)))
        local = self._rng.sample(
            pool.local_targets, min(size, len(pool.local_targets))
        )
        remote_size = max(_REMOTE_SAMPLE_MIN, size - len(local))
        return local + self._rng.sample(
            pool.remote_targets, min(remote_size, len(pool.remote_targets))
        )

    def _score(
        self,
        view: policy_view.TargetView,
        load: admission.ProjectedLoad,
        estimate: RequestEstimate,
    ) -> float:
        settings = self._settings
        score = 0.0 if view.target.zone == self._zone else settings.zone_cost_s
        if not view.capacity_tokens:
            service_time_s = view.service_time_s or 0.01
            return score + service_time_s * (len(view.attempts) + 1)
        prefill_s = settings.prefill_s_per_token
        score += prefill_s * (
            view.prefill_tokens + estimate.item.prompt_tokens
        )
        hashes = estimate.item.prefix_hashes
        if hashes and settings.mechanisms.prefix_bonus:
            matched_share = view.prefix_index.match_length(hashes) / len(
                hashes
            )
            score -= min(
                settings.prefix_bonus_max_s,
                matched_share * estimate.item.prompt_tokens * prefill_s,
            )
        score += load.step_s * min(
            estimate.expected_output_tokens, _SCORED_TOKENS
        )
        return (
            score
            + load.memory_utilisation**2
            * estimate.expected_memory_tokens
            * _MEMORY_COST_S_PER_TOKEN
        )
