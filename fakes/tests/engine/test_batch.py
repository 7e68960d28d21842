"""Tests of the engine's batching."""

import random

from dotterelweir_core import timers
from dotterelweir_fakes.engine import batch
from dotterelweir_fakes.engine import cache
from dotterelweir_fakes.engine import tokens


def _batcher(**options):
    timer = timers.VirtualTimerService()
    engine_options = batch.EngineOptions(**options)
    prefix_cache = cache.PrefixCache(timer, random.Random(1), 4, 0.5, 0.0)
    return timer, batch.Batcher(engine_options, timer, prefix_cache)


def _generation(name, priority=5, prompt=10, output=20):
    return batch.Generation(
        generation_id=name,
        request_id=name,
        priority=priority,
        prompt_tokens=prompt,
        prefix_hashes=(),
        output_tokens=output,
        finish_reason='stop',
        writer=tokens.EventWriter(name, 'm', True),
    )


def test_full_memory_preempts_the_least_urgent_and_loses_no_token():
    """Guards against missing preemption and tokens repeated after it."""
    timer, batcher = _batcher(memory_tokens=60)
    urgent = _generation('urgent', priority=0)
    late = _generation('late', priority=9)
    batcher.add(late)
    batcher.add(urgent)
    leads = []
    while not (urgent.done and late.done):
        timer.advance(0.001)
        assert batcher.memory_used_tokens <= 60
        leads.append(urgent.produced_tokens - late.produced_tokens)
    assert batcher.preemptions == 0
    timer, batcher = _batcher(memory_tokens=48)
    urgent = _generation('urgent', priority=0)
    late = _generation('late', priority=9)
    batcher.add(late)
    batcher.add(urgent)
    while not urgent.done:
        timer.advance(0.001)
        assert batcher.memory_used_tokens <= 48
    assert batcher.preemptions == 1
    assert not late.done
    timer.advance(10.0)
    assert late.events[:-1] == [late.writer.token(i) for i in range(20)]


def test_step_time_grows_with_the_batch():
    """Guards against step times that do not depend on the load."""
    end_times_s = []
    for count in (1, 20):
        timer, batcher = _batcher(step_s=0.01, step_per_sequence_s=0.01)
        generations = [_generation(f'g{i}') for i in range(count)]
        for generation in generations:
            batcher.add(generation)
        while not all(generation.done for generation in generations):
            timer.advance(0.01)
        end_times_s.append(timer.monotonic_s())
    assert end_times_s[1] > 5 * end_times_s[0]


def test_cache_events_are_delayed_and_numbered_in_order():
    """Guards against cache events that are published before their delay."""
    timer = timers.VirtualTimerService()
    prefix_cache = cache.PrefixCache(timer, random.Random(1), 2, 0.5, 0.0)
    prefix_cache.store((1, 2))
    prefix_cache.store((3,))
    assert prefix_cache.events_from(0)['events'] == []
    timer.advance(1.0)
    events = prefix_cache.events_from(0)['events']
    assert [event['sequence'] for event in events] == [0, 1, 2, 3]
    assert events[-1] == {'sequence': 3, 'kind': 'removed', 'prefix_hash': 2}
    assert prefix_cache.cached_tokens((1, 2)) == 64
