"""Tests of the score of candidates."""

import random

import pytest

from dotterelweir_core.policy import api
from dotterelweir_core.policy import scheduler
from dotterelweir_core.policy import settings
from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes


@pytest.mark.parametrize(
    ('enabled', 'events', 'score_differs'),
    [(True, (0, 1), True), (True, (0, 2), False), (False, (0, 1), False)],
)
def test_a_cached_prefix_counts_until_a_gap(enabled, events, score_differs):
    """Guards against a bonus after a gap in the events, or while off."""
    policy = scheduler.PolicyScheduler(
        settings.PolicySettings(
            mechanisms=settings.Mechanisms(prefix_bonus=enabled)
        ),
        random.Random(1),
        'a',
    )
    targets = tuple(
        model.Target(f't{number}', 1, 'llm', 'a', '127.0.0.1', 1)
        for number in range(2)
    )
    policy.set_targets('llm', targets, 0.0)
    for target in targets:
        report = model.LoadReport(
            target.target_id, 1, memory_total_tokens=10_000
        )
        policy.record_report(report, 0.0)
    stored = prefixes.CacheEventKind.STORED
    first, second = events
    policy.record_cache_events(
        't1',
        1,
        (
            prefixes.CacheEvent(first, stored, 7),
            prefixes.CacheEvent(second, stored, 8),
        ),
        0,
    )
    item = api.WorkItem(
        'r', 'g', 'llm', 'o', 5, 400, None, (7, 9), 0.0, 600.0, True
    )
    scores = {
        candidate.target_id: candidate.score
        for candidate in policy.explain(item, 0.0).candidates
    }
    assert (scores['t1'] < scores['t0']) is score_differs
