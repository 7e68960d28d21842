"""Tests of the learned speeds of targets and of the choices by them."""

import random

import attrs
import pytest

from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets

MODEL = tables.Service('model', 100, tables.EngineSpec(24, 27_000, True, True))
LONG = target_speeds.StreamNeeds(0.18, 3000, False)
SHORT = target_speeds.StreamNeeds(0.18, 2200, True)


def target(name, started_ms=1):
    return targets.Target(
        name,
        'model',
        '10.0.0.1',
        80,
        'a',
        24,
        targets.TargetState.READY,
        started_ms=started_ms,
    )


FAST, SLOW, OTHER = target('fast'), target('slow'), target('other')
ALL = [FAST, SLOW, OTHER]


@pytest.fixture
def loads():
    return load.LoadRegistry()


def play(speeds, engine, gaps_s, from_s=0.0, beside_prefill=False):
    """Plays the events of one stream and returns the time of the last."""
    window = target_speeds.EventWindow(speeds, engine)
    now_s = from_s
    window.add(1, beside_prefill, now_s)
    for gap_s in gaps_s:
        now_s += gap_s
        window.add(1, beside_prefill, now_s)
    return now_s


def learn(speeds, fast_s=0.016, slow_s=0.036):
    """Teaches the speeds of three engines, and the pauses beside a prefill.

    Returns:
        A time at which all is known, in seconds.
    """
    for engine, event_s in ((FAST, fast_s), (SLOW, slow_s), (OTHER, slow_s)):
        play(speeds, engine, [event_s] * 300)
    speeds.view(ALL, 'model', 11.0)
    # One in six events beside a prefill falls into a slow spell.
    play(speeds, SLOW, ([2.05 * slow_s] * 10 + [5.13 * slow_s] * 2) * 20, 11.0)
    play(
        speeds,
        SLOW,
        ([2.05 * slow_s] * 10 + [5.13 * slow_s] * 2) * 20,
        11.0,
        beside_prefill=True,
    )
    play(speeds, SLOW, [slow_s] * 300, 40.0)
    return 60.0


def chosen(loads, needs, now_s, tokens=3744):
    placer = placement.Placer('a', loads, random.Random(1))
    choice = placer.choose(ALL, MODEL, tokens, now_s, needs=needs)
    return choice.target.target_id


def test_a_stall_does_not_change_the_estimate(loads):
    """Guards against a speed learned from one stall of 0.6 s."""
    speeds = loads.speeds
    now_s = play(speeds, SLOW, [0.036] * 60 + [0.09] * 7 + [0.036] * 20)
    assert speeds.own_estimates('slow', now_s)[0] == pytest.approx(36_000)
    now_s = play(speeds, SLOW, [0.036] * 5 + [0.6], now_s)
    assert speeds.own_estimates('slow', now_s)[0] == pytest.approx(36_000)


def test_one_false_sample_does_not_change_the_estimate(loads):
    """Guards against events that a late process reads at once."""
    speeds = loads.speeds
    now_s = play(speeds, SLOW, [0.036] * 60 + [1e-6] * 100 + [0.036] * 5)
    speeds.record_events(SLOW, 1e-6, 1e-6, False, now_s + 1.0)
    assert speeds.own_estimates('slow', now_s + 1.0)[0] == pytest.approx(
        36_000
    )


def test_records_of_removed_targets_expire(loads):
    """Guards against memory that grows with each replaced engine.

    A run and a late digest outlive the removal of the target.
    """
    speeds = loads.speeds
    for number in range(50):
        gone = target(f'gone-{number}')
        play(speeds, gone, [0.036] * 10)
        speeds.discard(gone.target_id)
        play(speeds, gone, [0.036] * 10, 1.0)
        row = load.DigestRow(event_us=36_000)
        loads.set_peer('i2', {f'late-{number}': row}, 2.0)
    speeds.view(ALL, 'model', 200.0)
    assert set(speeds._records) == {'fast', 'slow', 'other'}


def test_plain_calls_go_to_faster_targets(loads):
    """Guards against calls that are late because slow targets get as many."""
    plain = tables.Service('model', 100)
    for index in range(40):
        for engine, taken_s in ((FAST, 0.03), (SLOW, 0.07), (OTHER, 0.07)):
            loads.speeds.record_call(engine, taken_s, 0.2 * index)
    for engine in ALL:
        loads.get(engine.target_id).running = 3
    loads.get('fast').running = 6
    placer = placement.Placer('a', loads, random.Random(1))
    assert placer.choose(ALL, plain, 0, 8.0).target is FAST


def test_a_new_engine_counts_as_average(loads):
    """Guards against a speed that rests on a few or widely spread samples."""
    learn(loads.speeds)
    new = target('new')
    now_s = play(loads.speeds, new, [0.15] * 6, 60.0)
    # Durations with a wide spread say little about their median.
    for index in range(40):
        now_s += 0.2
        loads.speeds.record_call(target('wide'), 0.05 * (index % 20), now_s)
    view = loads.speeds.view([*ALL, new, target('wide')], 'model', now_s)
    assert not view.get('new').known and view.get('new').running == 1.0
    assert not view.get('wide').known
    assert view.get('fast').running == pytest.approx(2.25, rel=0.05)


def test_a_slow_spell_at_the_start_makes_no_engine_slow(loads):
    """Guards against a new engine that is misjudged by its first spell."""
    learn(loads.speeds)
    new = target('new')
    now_s = play(loads.speeds, new, [0.09] * 7, 60.0)
    assert loads.speeds.own_estimates('new', now_s)[0] == 0
    now_s = play(loads.speeds, new, [0.036] * 60, now_s)
    assert loads.speeds.own_estimates('new', now_s)[0] == pytest.approx(36_000)


def test_a_fast_engine_is_known_within_two_seconds_of_one_stream(loads):
    """Guards against engines that are replaced before they are known.

    An instance of a large deployment has one run at an engine at a time.
    """
    learn(loads.speeds)
    new = target('new')
    now_s = play(loads.speeds, new, [0.016] * 110, 60.0)
    assert now_s < 62.0
    view = loads.speeds.view([*ALL, new], 'model', now_s)
    assert view.get('new').running == pytest.approx(
        view.get('fast').running, rel=0.01
    )
    assert view.get('slow').running < 1.0


def test_a_pause_is_expected_before_one_was_measured(loads):
    """Guards against long runs on slow engines until pauses are learned."""
    for engine, event_s in ((FAST, 0.016), (SLOW, 0.036), (OTHER, 0.036)):
        play(loads.speeds, engine, [event_s] * 300)
    view = loads.speeds.view(ALL, 'model', 11.0)
    assert view.pause_s('fast') == pytest.approx(0.08)
    assert view.pause_s('slow') == pytest.approx(0.18)


def test_a_restart_discards_what_is_known(loads):
    """Guards against the speed of a previous start, own or from a peer."""
    now_s = learn(loads.speeds)
    row = load.DigestRow(served=9, event_us=16_000)
    loads.set_peer('i2', {'fast': row}, now_s)
    again = attrs.evolve(FAST, started_ms=2)
    view = loads.speeds.view([again, SLOW, OTHER], 'model', now_s)
    assert not view.get('fast').known
    # A peer that does not know of the new start, and a run of the old one.
    loads.set_peer('i2', {'fast': attrs.evolve(row, served=10)}, now_s + 0.5)
    play(loads.speeds, FAST, [0.016] * 300, now_s)
    view = loads.speeds.view([again, SLOW, OTHER], 'model', now_s + 5.0)
    assert not view.get('fast').known
    loads.set_peer('i2', {'fast': row}, now_s + 6.0)
    view = loads.speeds.view([again, SLOW, OTHER], 'model', now_s + 6.0)
    assert view.get('fast').known


def test_estimates_of_instances_are_merged_and_expire(loads):
    """Guards against one false report, and against reports that never end.

    Digests of all other instances are lost from some moment on: its own
    estimates remain, and the others expire.
    """
    for number in range(30):
        rows = {
            'fast': load.DigestRow(served=20, event_us=16_000),
            'slow': load.DigestRow(served=20, event_us=36_000),
            'other': load.DigestRow(served=20, event_us=36_000),
        }
        loads.set_peer(f'i{number}', rows, 1.0)
    false_row = load.DigestRow(served=10**9, event_us=2**53)
    loads.set_peer('bad', {'fast': false_row}, 1.0)
    view = loads.speeds.view(ALL, 'model', 1.0)
    assert view.get('fast').running == pytest.approx(36 / 16)
    now_s = play(loads.speeds, OTHER, [0.036] * 300, 60.0)
    view = loads.speeds.view(ALL, 'model', now_s)
    assert not view.uneven and set(view.by_target) == {'other'}


def test_the_digest_reports_estimates(loads):
    """Guards against estimates that other instances never learn."""
    now_s = learn(loads.speeds)
    loads.get('fast').running = 1
    assert loads.own_rows(now_s)['fast'].event_us == pytest.approx(16_000)


def test_long_runs_fill_fast_engines_first(loads):
    """Guards against long runs whose events are late on a slow engine."""
    now_s = learn(loads.speeds)
    fast = loads.get('fast')
    fast.running, fast.tokens, fast.prefill_tokens = 6, 6 * 3744, 3000
    assert chosen(loads, LONG, now_s) == 'fast'
    assert loads.speeds.last('model').pause_s('slow') > 0.18
    assert loads.speeds.last('model').pause_s('fast') < 0.1


def test_prompts_are_not_prefilled_beside_streams_that_they_stall(loads):
    """Guards against short runs that make long ones late.

    While another slow engine is idle, it takes the prompt; the fast engine
    does so before an engine with streams.
    """
    now_s = learn(loads.speeds)
    loads.get('slow').running, loads.get('fast').running = 1, 2
    assert chosen(loads, SHORT, now_s, 2212) == 'other'
    loads.get('other').running = 2
    assert chosen(loads, SHORT, now_s, 2212) == 'fast'


def test_without_an_engine_within_the_limit_requests_are_served(loads):
    """Guards against requests refused because all engines are too slow."""
    now_s = learn(loads.speeds)
    placer = placement.Placer('a', loads, random.Random(1))
    loads.get('slow').running = loads.get('other').running = 3
    choice = placer.choose(
        [SLOW, OTHER], MODEL, 3744, now_s, excluded={'fast'}, needs=LONG
    )
    assert choice is not None and choice.pause_s > 0.18


def test_a_takeover_prefers_a_fast_engine(loads):
    """Guards against runs moved to an engine that makes them late."""
    now_s = learn(loads.speeds)
    placer = placement.Placer('a', loads, random.Random(1))
    loads.get('fast').running = 4
    assert all(
        placer.choose_takeover_target(
            ALL, MODEL, 3744, now_s, OTHER, needs=LONG
        )
        is FAST
        for _ in range(50)
    )


def test_the_backlog_counts_in_time_of_the_engine(loads):
    """Guards against a backlog that a slow engine cannot prefill in time."""
    now_s = learn(loads.speeds)
    control = admission.Admission(loads)
    demand = admission.Demand(2200, 12, 1.5, 1.5, now_s, 0.18)
    for engine in ALL:
        loads.get(engine.target_id).prefill_tokens = 8000
    assert control.admits(FAST, MODEL, demand, now_s)
    assert not control.admits(SLOW, MODEL, demand, now_s)


def test_a_long_run_waits_shortly_for_a_fast_engine(loads):
    """Guards against long runs sent to a slow engine at once, or kept long."""
    now_s = learn(loads.speeds)
    control = admission.Admission(loads)
    loads.get('fast').tokens = 26_000
    long = admission.Demand(3000, 744, 1.8, 1.5, now_s, 0.18)
    short = admission.Demand(2200, 12, 1.5, 1.5, now_s, 0.18)
    assert not control.has_capacity(ALL, MODEL, long, now_s)
    assert control.has_capacity(ALL, MODEL, short, now_s)
    assert control.has_capacity(ALL, MODEL, long, now_s + 0.4)
    without_limit = attrs.evolve(long, event_gap_s=0.0)
    assert control.has_capacity(ALL, MODEL, without_limit, now_s)


def test_a_passed_over_engine_is_told_from_no_capacity(loads):
    """Guards against requests that block others while an engine is free."""
    now_s = learn(loads.speeds)
    control = admission.Admission(loads)
    long = admission.Demand(3000, 744, 1.8, 1.5, now_s, 0.18)
    loads.get('fast').tokens = 26_000
    found = control.find_capacity(ALL, MODEL, long, now_s)
    assert found is admission.Capacity.DEFERRED
    for engine in ALL:
        loads.get(engine.target_id).tokens = 26_000
    found = control.find_capacity(ALL, MODEL, long, now_s)
    assert found is admission.Capacity.NONE


@pytest.mark.parametrize('needs', [LONG, SHORT, None])
def test_choices_among_equal_engines_do_not_change(loads, needs):
    """Guards against other choices where speeds differ by up to 15 %.

    The costs must be those of a registry that has learned nothing.
    """
    now_s = learn(loads.speeds, fast_s=0.032)
    rng = random.Random(7)
    for _ in range(200):
        unlearned = load.LoadRegistry()
        for engine in ALL:
            running = rng.randrange(8)
            for registry in (loads, unlearned):
                engine_load = registry.get(engine.target_id)
                engine_load.running = running
                engine_load.tokens = 3700 * running
                engine_load.prefill_tokens = 1000 * (running % 3)
        choices = [
            placement.Placer('b', registry, random.Random(3)).choose(
                ALL, MODEL, 3744, now_s, needs=needs
            )
            for registry in (loads, unlearned)
        ]
        assert choices[0].target == choices[1].target
        assert choices[0].cost == choices[1].cost
