"""Tests of the engine model, the figures and complete runs."""

import math

import attrs
import pytest

from dotterelweir_core.policy import settings
from dotterelweir_core.targets import model
from dotterelweir_fakes.measurement import campaign
from dotterelweir_fakes.measurement import engine
from dotterelweir_fakes.measurement import measures
from dotterelweir_fakes.measurement import policies
from dotterelweir_fakes.measurement import workload

TARGET = model.Target('e', 1, 'llm', 'a', '127.0.0.1', 1)


def make_engine(**changes):
    return engine.Engine(TARGET, engine.EngineCosts(**changes))


def add(engine_model, order, prompt=100, output=10, priority=5, hashes=()):
    tokens = []
    sequence = engine.Sequence(
        priority,
        order,
        prompt,
        output,
        hashes,
        tuple(80 for _ in hashes),
        tokens.append,
    )
    engine_model.add(sequence)
    return sequence, tokens


def run(engine_model, steps=10_000):
    now_s = 0.0
    while engine_model.has_work and steps:
        now_s += engine_model.start_step()
        engine_model.finish_step(now_s)
        steps -= 1
    return now_s


def test_every_token_is_produced_once_despite_preemption():
    """Guards against an engine model that loses or repeats tokens."""
    engine_model = make_engine(memory_tokens=700)
    work = [add(engine_model, number, output=200) for number in range(5)]
    run(engine_model)
    assert [len(tokens) for _, tokens in work] == [200] * 5
    assert engine_model.preemptions > 0
    assert engine_model.held_tokens == 0


def test_the_least_urgent_and_newest_request_is_preempted():
    """Guards against an engine model that ignores priorities."""
    engine_model = make_engine(memory_tokens=500)
    add(engine_model, 0, output=150, priority=9)
    _, urgent = add(engine_model, 1, output=150, priority=0)
    _, newest = add(engine_model, 2, output=150, priority=9)
    run(engine_model)
    assert urgent[-1] < newest[-1]
    gaps = [b - a for a, b in zip(urgent, urgent[1:], strict=False)]
    assert max(gaps) < 0.1


def test_a_cached_prefix_saves_prefill():
    """Guards against a prefix cache that does not shorten the prefill."""
    engine_model = make_engine()
    add(engine_model, 0, hashes=(1,), output=1)
    cold_s = run(engine_model)
    add(engine_model, 1, hashes=(1,), output=1)
    assert run(engine_model) < cold_s
    assert [event.prefix_hash for event in engine_model.cache_events] == [1]


def test_steps_take_longer_in_larger_batches_and_when_slowed():
    """Guards against engine models whose steps take no longer under load."""
    engine_model = make_engine()
    add(engine_model, 0)
    small_s = engine_model.start_step()
    for number in range(1, 40):
        add(engine_model, number)
    assert engine_model.start_step() > small_s
    engine_model.slow_factor = 5.0
    assert engine_model.start_step() > 5 * small_s


@pytest.mark.parametrize(
    ('values', 'percent', 'expected'),
    [
        ([1.0, 2.0, 3.0, 4.0], 50, 2.0),
        ([1.0] * 99 + [math.inf], 99, 1.0),
        ([1.0] * 98 + [math.inf] * 2, 99, math.inf),
    ],
)
def test_percentiles_count_refused_requests(values, percent, expected):
    """Guards against latencies that improve because requests are refused."""
    assert measures.percentile(values, percent) == expected


def test_runs_are_reproducible_and_policies_get_the_same_arrivals(monkeypatch):
    """Guards against figures that cannot be reproduced or compared."""
    short = workload.Scenario('short', (workload.Phase(4.0, 0.4),))
    monkeypatch.setitem(workload.SCENARIOS, 'short', short)
    tasks = [
        campaign.Task('zwojex', 'short', name, 7)
        for name in (*policies.BASELINES, policies.CHOSEN, policies.IDEAL)
    ]
    first = [campaign.run_task(task) for task in tasks]
    assert first == [campaign.run_task(task) for task in tasks]
    assert len({figures['requests'] for figures in first}) == 1
    assert all(figures['unfinished'] == 0 for figures in first)
    assert all(figures['refused'] == 0 for figures in first)


def test_every_mechanism_can_be_switched(monkeypatch):
    """Guards against an ablation that fails for one of the mechanisms."""
    short = workload.Scenario('short', (workload.Phase(6.0, 1.5),))
    monkeypatch.setitem(workload.SCENARIOS, 'short', short)
    for field in attrs.fields(settings.Mechanisms):
        other = not getattr(settings.Mechanisms(), field.name)
        mechanisms = settings.Mechanisms(**{field.name: other})
        task = campaign.Task(
            'zwojex',
            'short',
            policies.CHOSEN,
            7,
            settings.PolicySettings(mechanisms=mechanisms),
        )
        assert campaign.run_task(task)['requests'] > 50
