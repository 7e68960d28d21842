"""Tests of the scheduler as a whole."""

import random

import pytest

from dotterelweir_core import errors
from dotterelweir_core.policy import api
from dotterelweir_core.policy import scheduler
from dotterelweir_core.policy import settings
from dotterelweir_core.targets import model


def make_target(target_id, zone='a'):
    return model.Target(target_id, 1, 'llm', zone, '127.0.0.1', 1)


def make_item(request_id, **changes):
    fields = {
        'route': 'guides',
        'pool': 'llm',
        'organisation': 'org',
        'priority': 5,
        'prompt_tokens': 100,
        'max_output_tokens': None,
        'prefix_hashes': (),
        'arrived_s': 0.0,
        'deadline_s': 600.0,
        'repeatable': True,
    }
    fields.update(changes)
    return api.WorkItem(request_id, **fields)


def make_scheduler(targets, memory_tokens=10_000, **changes):
    scheduled = scheduler.PolicyScheduler(
        settings.PolicySettings(**changes), random.Random(1), 'a'
    )
    scheduled.set_targets('llm', tuple(targets), 0.0)
    for target in targets:
        scheduled.record_report(
            model.LoadReport(
                target.target_id, 1, memory_total_tokens=memory_tokens
            ),
            0.0,
        )
    return scheduled


def test_a_request_waits_for_memory_and_is_placed_when_it_is_free():
    """Guards against work that is sent where it cannot fit."""
    scheduled = make_scheduler([make_target('t1')], memory_tokens=1_000)
    scheduled.submit(make_item('r1', prompt_tokens=600), 0.0)
    scheduled.submit(make_item('r2', prompt_tokens=600), 0.0)
    assert [entry.request_id for entry in scheduled.decide(0.0)] == ['r1']
    scheduled.record_end('r1', 't1', api.AttemptEnd.COMPLETE, 1.0)
    assert [entry.request_id for entry in scheduled.decide(1.0)] == ['r2']


def test_a_request_that_waited_too_long_is_refused_at_once():
    """Guards against requests that are held without an answer."""
    scheduled = make_scheduler(
        [make_target('t1')], memory_tokens=1_000, queue_timeout_s=2.0
    )
    scheduled.submit(make_item('r1', prompt_tokens=600), 0.0)
    scheduled.submit(make_item('r2', prompt_tokens=600), 0.0)
    scheduled.decide(0.0)
    now_s, decisions = 0.0, []
    while not decisions:
        now_s = scheduled.next_wakeup_s()
        decisions = scheduled.decide(now_s)
    assert now_s == 2.0
    (refusal,) = decisions
    assert refusal.kind is errors.ErrorKind.QUEUE_TIMEOUT
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize(
    ('targets', 'changes', 'kind'),
    [
        ([], {}, errors.ErrorKind.POOL_EMPTY),
        (
            [make_target('t1')],
            {'prompt_tokens': 20_000},
            errors.ErrorKind.TOO_LARGE_FOR_POOL,
        ),
        (
            [make_target('t1')],
            {'excluded': frozenset({'t1'})},
            errors.ErrorKind.TARGET_UNREACHABLE,
        ),
    ],
)
def test_hopeless_requests_are_refused_at_once(targets, changes, kind):
    """Guards against waiting for what cannot happen."""
    scheduled = make_scheduler(targets)
    scheduled.submit(make_item('r1', **changes), 0.0)
    (refusal,) = scheduled.decide(0.0)
    assert refusal.kind is kind


def test_the_local_zone_comes_first():
    """Guards against needless traffic between zones."""
    targets = [make_target('t1', 'b'), make_target('t2', 'a')]
    scheduled = make_scheduler(targets)
    scheduled.submit(make_item('r1'), 0.0)
    (placement,) = scheduled.decide(0.0)
    assert placement.target_id == 't2'


def test_explain_changes_nothing():
    """Guards against queries that influence later decisions."""
    targets = [make_target(f't{number}') for number in range(9)]
    explained, plain = make_scheduler(targets), make_scheduler(targets)
    for number in range(20):
        item = make_item(f'r{number}')
        explained.explain(item, 0.0)
        for scheduled in (explained, plain):
            scheduled.submit(item, 0.0)
        assert explained.decide(0.0) == plain.decide(0.0)
