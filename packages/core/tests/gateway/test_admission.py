"""Tests of admission control and of the prefill rate."""

import pytest

from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

SERVICE = tables.Service(
    'model', 100, tables.EngineSpec(24, 30_000, True, True)
)
ENGINE = targets.Target(
    'e1', 'model', '10.0.0.1', 80, 'a', 24, targets.TargetState.READY
)
NOW_S = 100.0


def demand(prompt=2500, output=10, objective_s=1.5, waited_s=0.0):
    return admission.Demand(prompt, output, objective_s, 1.5, NOW_S - waited_s)


LONG = demand(3000, 900, 4.0)


@pytest.fixture
def loads():
    return load.LoadRegistry()


def admits(loads, requested):
    return admission.Admission(loads).admits(ENGINE, SERVICE, requested, NOW_S)


def test_a_long_run_waits_for_memory_and_a_prefill_bound_one_does_not(loads):
    """Guards against prefill-bound runs queued for memory like long ones.

    In the third deployment, 29 of 193 short generations waited for 1.0 s.
    """
    assert admits(loads, LONG)
    loads.get('e1').tokens = 27_000
    assert not admits(loads, LONG)
    assert admits(loads, demand())


def test_a_run_larger_than_what_is_free_starts_on_an_idle_engine(loads):
    """Guards against runs larger than the memory that are never admitted."""
    assert admits(loads, demand(40_000, 900, 4.0))


def test_a_prompt_that_can_wait_leaves_time_to_urgent_ones(loads):
    """Guards against all queued prompts sent to the first free engine.

    In the third deployment, an engine that had just started got seven
    prompts within 70 ms; the short ones were late behind the long ones.
    """
    loads.get('e1').prefill_tokens = 4000
    assert not admits(loads, LONG)
    assert admits(loads, demand())


def test_prompts_of_other_instances_count(loads):
    """Guards against instances that each fill the same engine."""
    loads.set_peer('i2', {'e1': load.DigestRow(2, 5000, 4000)}, NOW_S)
    assert not admits(loads, LONG)


def test_an_urgent_request_avoids_an_engine_that_makes_it_late(loads):
    """Guards against requests sent to engines where they are late."""
    loads.get('e1').prefill_tokens = 8000
    assert not admits(loads, demand())


def test_a_request_that_is_late_anyway_yields_to_urgent_ones(loads):
    """Guards against late requests that delay the next ones as well."""
    loads.get('e1').prefill_tokens = 4000
    assert admits(loads, demand(waited_s=0.1))
    assert not admits(loads, demand(waited_s=1.4))


def test_an_avoided_engine_admits_nothing(loads):
    """Guards against queued requests released because of a dead engine.

    Its memory counted as free, so the requests were admitted, but they were
    sent to full engines.
    """
    for _ in range(3):
        loads.get('e1').record_unreachable(NOW_S)
    assert not admits(loads, LONG)
    assert not admits(loads, demand())


@pytest.mark.parametrize(
    ('prompt', 'output', 'brief'),
    [
        (2500, 10, True),
        (3000, 900, False),
        # Hints that are zero or far too large.
        (2500, 0, True),
        (0, 0, True),
        (2500, 1_000_000, False),
    ],
)
def test_prefill_bound_runs_have_a_short_output_for_their_prompt(
    prompt, output, brief
):
    """Guards against a criterion that fits only one deployment's sizes."""
    rate = admission.PrefillRate().tokens_per_s
    assert demand(prompt, output).is_prefill_bound(rate) is brief


def test_a_false_size_hardly_moves_the_rate():
    """Guards against a false prompt size that disables admission control."""
    rate = admission.PrefillRate()
    for _ in range(40):
        rate.record(2000, 0.2)
    rate.record(10_000_000, 0.2)
    assert rate.tokens_per_s < 1.5 * 10_000


def test_the_rate_is_learned():
    """Guards against bounds that do not fit the speed of the engines.

    Half of the runs wait for memory; their times do not show the speed.
    """
    rate = admission.PrefillRate()
    for _ in range(40):
        rate.record(2000, 1.0)
        rate.record(2000, 4.0)
    assert 1400 < rate.tokens_per_s < 2100
    rate.record(0, 1.0)
    rate.record(2000, 0.0)
    assert 1400 < rate.tokens_per_s < 2100
