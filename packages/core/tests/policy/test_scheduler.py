"""Tests of the scheduler as a whole."""

import random

import attrs
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
    policy = scheduler.PolicyScheduler(
        settings.PolicySettings(**changes), random.Random(1), 'a'
    )
    policy.set_targets('llm', tuple(targets), 0.0)
    for target in targets:
        policy.record_report(
            model.LoadReport(
                target.target_id, 1, memory_total_tokens=memory_tokens
            ),
            0.0,
        )
    return policy


def test_a_request_waits_for_memory_and_is_placed_when_it_is_free():
    """Guards against placing a request without enough free memory."""
    policy = make_scheduler([make_target('t1')], memory_tokens=1_000)
    policy.submit(make_item('r1', prompt_tokens=600), 0.0)
    policy.submit(make_item('r2', prompt_tokens=600), 0.0)
    assert [entry.request_id for entry in policy.decide(0.0)] == ['r1']
    policy.record_end('r1', 't1', api.AttemptEnd.COMPLETE, 1.0)
    assert [entry.request_id for entry in policy.decide(1.0)] == ['r2']


def test_a_request_that_waited_too_long_is_refused_at_once():
    """Guards against requests that stay queued past their timeout."""
    policy = make_scheduler(
        [make_target('t1')], memory_tokens=1_000, queue_timeout_s=2.0
    )
    policy.submit(make_item('r1', prompt_tokens=600), 0.0)
    policy.submit(make_item('r2', prompt_tokens=600), 0.0)
    policy.decide(0.0)
    now_s, decisions = 0.0, []
    while not decisions:
        now_s = policy.next_wakeup_s()
        decisions = policy.decide(now_s)
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
def test_unservable_requests_are_refused_at_once(targets, changes, kind):
    """Guards against queueing requests that no target can serve."""
    policy = make_scheduler(targets)
    policy.submit(make_item('r1', **changes), 0.0)
    (refusal,) = policy.decide(0.0)
    assert refusal.kind is kind


def test_the_local_zone_comes_first():
    """Guards against unnecessary traffic between zones."""
    targets = [make_target('t1', 'b'), make_target('t2', 'a')]
    policy = make_scheduler(targets)
    policy.submit(make_item('r1'), 0.0)
    (placement,) = policy.decide(0.0)
    assert placement.target_id == 't2'


def test_explain_changes_nothing():
    """Guards against queries that influence later decisions."""
    targets = [make_target(f't{number}') for number in range(9)]
    explained, plain = make_scheduler(targets), make_scheduler(targets)
    for number in range(20):
        item = make_item(f'r{number}')
        explained.explain(item, 0.0)
        for policy in (explained, plain):
            policy.submit(item, 0.0)
        assert explained.decide(0.0) == plain.decide(0.0)


def place(policy, item, now_s):
    policy.submit(item, now_s)
    (placement,) = policy.decide(now_s)
    return placement


def deliver_tokens(policy, placed, start_s, steps, step_s):
    """Records tokens of placed requests, step by step.

    Args:
        policy: The scheduler.
        placed: Identifiers of the requests at each target.
        start_s: Time of the first step, in seconds.
        steps: Number of steps over all targets.
        step_s: Step time of each target, in seconds.

    Returns:
        The time of the last step, in seconds.
    """
    due = {target_id: start_s for target_id in placed}
    for _ in range(steps):
        target_id = min(due, key=due.get)
        due[target_id] += step_s[target_id]
        for request_id in placed[target_id]:
            policy.record_tokens(request_id, target_id, 1, due[target_id])
        policy.decide(due[target_id])
    return max(due.values())


def make_loaded_scheduler(count, slow_ids, requests_per_target=6):
    targets = [make_target(f't{number}') for number in range(count)]
    policy = make_scheduler(targets, memory_tokens=1_000_000)
    placed = {target.target_id: [] for target in targets}
    for number in range(count * requests_per_target):
        placement = place(policy, make_item(f's{number}'), 0.0)
        placed[placement.target_id].append(placement.request_id)
        policy.record_first_token(
            placement.request_id, placement.target_id, 0.0
        )
    step_s = {
        target_id: 0.25 if target_id in slow_ids else 0.04
        for target_id in placed
    }
    now_s = deliver_tokens(policy, placed, 0.0, 80 * count, step_s)
    return policy, now_s


def test_a_slow_target_gets_no_new_work():
    """Guards against placing new requests on a straggler."""
    policy, now_s = make_loaded_scheduler(6, {'t2'})
    placements = [
        place(policy, make_item(f'n{number}'), now_s) for number in range(12)
    ]
    assert 't2' not in {placement.target_id for placement in placements}
    reasons = {
        candidate.target_id: candidate.reason
        for candidate in policy.explain(make_item('x'), now_s).candidates
    }
    assert 'ejected' in reasons['t2']


def test_at_most_a_third_of_a_pool_is_ejected():
    """Guards against ejecting most of a pool when all of it is slow."""
    policy, now_s = make_loaded_scheduler(9, {'t0', 't1', 't2', 't3'})
    ejected = [
        candidate
        for candidate in policy.explain(make_item('x'), now_s).candidates
        if 'ejected' in candidate.reason
    ]
    assert len(ejected) == 3


def test_a_late_first_token_is_hedged_once_and_elsewhere():
    """Guards against unbounded hedges and hedges to the same target."""
    targets = [make_target('t1'), make_target('t2')]
    policy = make_scheduler(targets)
    first = place(policy, make_item('r1'), 0.0)
    hedges = []
    for step in range(1, 60):
        hedges += policy.decide(step * 0.1)
    assert [hedge.hedge for hedge in hedges] == [True]
    assert hedges[0].target_id != first.target_id


@pytest.mark.parametrize('case', ['not repeatable', 'first token'])
def test_work_that_must_not_run_twice_is_not_hedged(case):
    """Guards against hedging a call that may run only once.

    A request that has its first token must not be hedged either.
    """
    targets = [make_target('t1'), make_target('t2')]
    policy = make_scheduler(targets)
    item = make_item('r1', repeatable=case != 'not repeatable')
    placement = place(policy, item, 0.0)
    if case == 'first token':
        policy.record_first_token('r1', placement.target_id, 0.05)
    decisions = [policy.decide(step * 0.1) for step in range(1, 60)]
    assert not any(decisions)


def test_short_work_is_admitted_where_long_work_waits():
    """Guards against short requests queued behind long ones."""
    policy = make_scheduler([make_target('t1')], memory_tokens=10_000)
    for number in range(30):
        policy.submit(make_item(f'l{number}', prompt_tokens=400), 0.0)
    placed = policy.decide(0.0)
    assert 0 < len(placed) < 30
    item = make_item('s', max_output_tokens=16, prompt_tokens=100)
    short = place(policy, item, 0.1)
    assert short.request_id == 's'
    assert short.engine_priority < placed[0].engine_priority
    long = make_item('x', prompt_tokens=400)
    assert policy.explain(long, 0.1).decision is None


def test_retries_end_with_their_budget():
    """Guards against retries that amplify a failure."""
    targets = [make_target(f't{number}') for number in range(3)]
    policy = make_scheduler(targets)
    kinds = []
    for number in range(30):
        item = make_item(f'r{number}', excluded=frozenset({'t0'}))
        policy.submit(item, 0.0)
        for decision in policy.decide(0.0):
            kinds.append(getattr(decision, 'kind', None))
    assert errors.ErrorKind.TARGET_FAILED in kinds
    assert kinds.count(None) < 20


def test_an_organisation_over_its_limit_gets_a_retry_time():
    """Guards against one organisation that exhausts the pool."""
    policy = make_scheduler([make_target('t1')])
    policy.set_limits({'guides': 60.0}, instances=6)
    place(policy, make_item('r1'), 0.0)
    policy.record_first_token('r1', 't1', 0.1)
    policy.record_tokens('r1', 't1', 99, 1.0)
    policy.record_end('r1', 't1', api.AttemptEnd.COMPLETE, 1.0)
    policy.submit(make_item('r2'), 1.0)
    (refusal,) = policy.decide(1.0)
    assert refusal.kind is errors.ErrorKind.ORGANISATION_LIMIT
    assert 10.0 < refusal.retry_after_s < 30.0


def test_a_new_incarnation_starts_without_the_old_attempts():
    """Guards against counting the requests of a previous incarnation."""
    policy = make_scheduler([make_target('t1')], memory_tokens=1_000)
    place(policy, make_item('r1', prompt_tokens=600), 0.0)
    successor = attrs.evolve(make_target('t1'), incarnation=2)
    policy.set_targets('llm', (successor,), 1.0)
    policy.record_end('r1', 't1', api.AttemptEnd.FAILED, 1.0)
    report = model.LoadReport('t1', 2, memory_total_tokens=1_000)
    policy.record_report(report, 1.0)
    assert policy.decide(1.0) == []
    assert policy.next_wakeup_s() is None or policy.decide(9.0) == []
    item = make_item('r2', prompt_tokens=600)
    assert place(policy, item, 9.0).target_id == 't1'


def test_a_failed_target_gets_no_new_work():
    """Guards against sending requests to a target that has failed."""
    targets = [make_target(f't{number}') for number in range(4)]
    policy = make_scheduler(targets)
    first = place(policy, make_item('r1'), 0.0)
    policy.record_end('r1', first.target_id, api.AttemptEnd.FAILED, 0.1)
    later = {
        place(policy, make_item(f'n{number}'), 0.2).target_id
        for number in range(12)
    }
    assert first.target_id not in later
