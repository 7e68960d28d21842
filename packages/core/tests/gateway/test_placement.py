"""Tests of the target selection under load."""

import random

import attrs
import pytest

from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

MODEL = tables.Service('model', 100, tables.EngineSpec(24, 30_000, True, True))
PLAIN = tables.Service('plain', 100)


def target(name, zone='a', state=targets.TargetState.READY):
    return targets.Target(name, 'model', '10.0.0.1', 80, zone, 6, state)


@pytest.fixture
def placer():
    return placement.Placer('a', load.LoadRegistry(), random.Random(1))


def chosen_id(placer, candidates, service=MODEL, tokens=3000, **options):
    choice = placer.choose(candidates, service, tokens, 100.0, **options)
    return choice.target.target_id if choice else None


def test_leaving_and_excluded_targets_are_not_chosen(placer):
    """Guards against requests to draining or excluded targets."""
    leaving = target('t1', state=targets.TargetState.DRAINING)
    assert chosen_id(placer, [leaving]) is None
    assert chosen_id(placer, [leaving, target('t2')], excluded={'t2'}) is None
    assert chosen_id(placer, [leaving, target('t2')]) == 't2'


def test_load_of_other_instances_counts(placer):
    """Guards against instances that all choose the same idle engine."""
    placer.loads.set_peer('i2', {'t1': load.DigestRow(6.0, 9000.0)}, 99.0)
    placer.loads.get('t2').running = 3
    assert chosen_id(placer, [target('t1'), target('t2')]) == 't2'


def test_a_full_memory_is_avoided(placer):
    """Guards against new runs that cause running ones to be preempted.

    One engine runs few long generations and its memory is nearly full;
    another one runs many short generations.
    """
    placer.loads.get('t1').running = 3
    placer.loads.get('t1').tokens = 27_000
    placer.loads.get('t2').running = 8
    placer.loads.get('t2').tokens = 12_000
    assert chosen_id(placer, [target('t1'), target('t2')]) == 't2'


def test_waiting_prompts_are_avoided(placer):
    """Guards against short requests queued behind long prompts."""
    placer.loads.get('t1').running = 2
    placer.loads.get('t1').prefill_tokens = 9_000
    placer.loads.get('t2').running = 5
    assert chosen_id(placer, [target('t1'), target('t2')]) == 't2'


def test_the_own_zone_is_preferred_at_equal_load(placer):
    """Guards against needless traffic between zones, and overload of one."""
    candidates = [target('t1', zone='b'), target('t2')]
    assert chosen_id(placer, candidates) == 't2'
    placer.loads.get('t2').running = 4
    assert chosen_id(placer, candidates) == 't1'


def test_a_failing_target_is_avoided_and_tried_again(placer):
    """Guards against a failing target that is used, or never tried again."""
    failing = placer.loads.get('t1')
    failing.record_failure(99.0)
    assert not placer.choose([target('t1')], PLAIN, 0, 100.0).avoided
    failing.record_failure(99.9)
    placer.loads.get('t2').running = 5
    assert chosen_id(placer, [target('t1'), target('t2')], PLAIN, 0) == 't2'
    # The only target is still used, as it may have recovered.
    assert chosen_id(placer, [target('t1')], PLAIN, 0) == 't1'
    failing.record_success(100.0)
    assert chosen_id(placer, [target('t1'), target('t2')], PLAIN, 0) == 't1'


def test_an_unreachable_target_is_avoided_at_once(placer):
    """Guards against several requests that fail at an unreachable target."""
    placer.loads.get('t1').record_unreachable(99.9)
    placer.loads.get('t2').running = 5
    assert chosen_id(placer, [target('t1'), target('t2')], PLAIN, 0) == 't2'


@pytest.mark.parametrize(('tokens', 'kept'), [(2_000, True), (24_000, False)])
def test_backups_need_free_memory(placer, tokens, kept):
    """Guards against backups that preempt runs while memory is short."""
    for name in ('t1', 't2'):
        placer.loads.get(name).tokens = tokens
    backup = placer.choose_backup(
        [target('t1'), target('t2')], MODEL, 3000, 100.0, {'t1'}
    )
    assert (backup is not None) is kept


def test_a_released_load_is_forgotten(placer):
    """Guards against load entries that remain for every past engine."""
    placer.loads.get('t1').running = 1
    placer.loads.discard_if_unused('t1')
    assert placer.loads.own_rows(100.0) == {'t1': load.DigestRow(1)}
    placer.loads.get('t1').running = 0
    placer.loads.discard_if_unused('t1')
    assert placer.loads.own_rows(100.0) == {}


def test_runs_of_a_leaving_engine_spread(placer):
    """Guards against one engine that takes over all runs of another.

    An engine leaves, and the instances that serve its 12 runs each choose
    another engine before they know each other's choices.
    """
    candidates = [target(f't{number}') for number in range(8)]
    for number in range(8):
        placer.loads.get(f't{number}').running = number % 2
    chosen_ids = [
        placer.choose_takeover_target(
            candidates, MODEL, 3000, 100.0, candidates[0]
        ).target_id
        for _ in range(12)
    ]
    assert len(set(chosen_ids)) >= 4
    assert max(chosen_ids.count(name) for name in set(chosen_ids)) <= 6


def test_a_takeover_target_has_free_memory(placer):
    """Guards against the weighted choice of an engine with full memory."""
    for name in ('t1', 't2'):
        placer.loads.get(name).tokens = 26_000
        placer.loads.get(name).running = 8
    chosen_ids = {
        placer.choose_takeover_target(
            [target('t1'), target('t2'), target('t3')],
            MODEL,
            3000,
            100.0,
            target('t0'),
        ).target_id
        for _ in range(20)
    }
    assert chosen_ids == {'t3'}


def test_a_takeover_target_in_the_zone_of_the_run_is_preferred(placer):
    """Guards against moves between zones that end after the source stops."""
    candidates = [target('near', zone='b'), target('far', zone='c')]
    chosen_ids = [
        placer.choose_takeover_target(
            candidates, MODEL, 3000, 100.0, target('t0', zone='b')
        ).target_id
        for _ in range(40)
    ]
    assert chosen_ids.count('near') > 25


def test_a_warming_target_is_avoided(placer):
    """Guards against requests to a target that is slow after its start."""
    placer.loads.get('t1').warm_until_s = 101.0
    placer.loads.get('t2').running = 2
    assert chosen_id(placer, [target('t1'), target('t2')]) == 't2'
    placer.loads.get('t1').warm_until_s = 99.0
    assert chosen_id(placer, [target('t1'), target('t2')]) == 't1'


def test_a_paused_target_gets_nothing_whatever_the_load(placer):
    """Guards against a pause that only adds cost to a target.

    The only engine without a pause is full and fails.
    """
    placer.pause_registry.extend(target('t1'), 101.0)
    full_load = placer.loads.get('t2')
    full_load.running, full_load.tokens = 30, 40_000
    for _ in range(5):
        full_load.record_unreachable(100.0)
    candidates = [target('t1'), target('t2')]
    assert chosen_id(placer, candidates) == 't2'
    assert chosen_id(placer, candidates, excluded={'t2'}) is None
    assert placer.paused_until_s(candidates, {'t2'}) == 101.0
    assert (
        placer.choose_takeover_target(
            candidates, MODEL, 3000, 100.0, candidates[1]
        )
        is None
    )
    choice = placer.choose([target('t1')], MODEL, 3000, 101.0)
    assert choice.target.target_id == 't1'


def test_targets_in_an_evacuated_zone_are_left_out(placer):
    """Guards against choices and capacity that count an evacuated zone."""
    candidates = [target('t1', zone='a'), target('t2', zone='b')]
    evacuation = evacuations.Evacuation('a', True, 1, 1)
    placer.evacuation_registry.apply(evacuation)
    assert [one.target_id for one in placer.ready(candidates)] == ['t2']
    assert [one.target_id for one in placer.usable(candidates, 0.0)] == ['t2']
    placer.evacuation_registry.apply(
        attrs.evolve(evacuation, active=False, offset=2)
    )
    assert len(placer.ready(candidates)) == 2
