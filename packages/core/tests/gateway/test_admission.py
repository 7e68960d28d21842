"""When a generation may be sent to an engine."""

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
def book():
    return load.LoadBook()


def admits(book, wanted):
    return admission.Admission(book).admits(ENGINE, SERVICE, wanted, NOW_S)


def test_a_long_run_waits_for_memory_and_a_brief_one_does_not(book):
    """Guards against brief runs in one line with those that hold memory.

    Seen on the third site: 29 of 193 short generations waited for 1.0 s.
    """
    assert admits(book, LONG)
    book.get('e1').tokens = 27_000
    assert not admits(book, LONG)
    assert admits(book, demand())


def test_a_run_larger_than_what_is_free_starts_on_an_idle_engine(book):
    """Guards against runs that wait for ever."""
    assert admits(book, demand(40_000, 900, 4.0))


def test_a_prompt_that_can_wait_leaves_time_to_urgent_ones(book):
    """Guards against all waiting prompts at the first engine with room.

    Seen on the third site: seven prompts within 70 ms at an engine that had
    just come, the short ones late for the long ones before them.
    """
    book.get('e1').prefill_tokens = 4000
    assert not admits(book, LONG)
    assert admits(book, demand())


def test_prompts_of_other_instances_count(book):
    """Guards against instances that fill the same engine together."""
    book.set_peer('i2', {'e1': load.DigestRow(2, 5000, 4000)}, NOW_S)
    assert not admits(book, LONG)


def test_an_urgent_request_avoids_an_engine_that_makes_it_late(book):
    """Guards against requests sent where they cannot be on time."""
    book.get('e1').prefill_tokens = 8000
    assert not admits(book, demand())


def test_a_request_that_is_late_anyway_yields_to_urgent_ones(book):
    """Guards against late requests that make the next ones late, too."""
    book.get('e1').prefill_tokens = 4000
    assert admits(book, demand(waited_s=0.1))
    assert not admits(book, demand(waited_s=1.4))


def test_an_avoided_engine_has_no_room(book):
    """Guards against waiting requests released by an engine that is dead.

    It seems empty, but they were sent to the full ones.
    """
    for _ in range(3):
        book.get('e1').record_unreachable(NOW_S)
    assert not admits(book, LONG)
    assert not admits(book, demand())


@pytest.mark.parametrize(
    ('prompt', 'output', 'brief'),
    [
        (2500, 10, True),
        (3000, 900, False),
        # Hints of nothing and of far too much.
        (2500, 0, True),
        (0, 0, True),
        (2500, 1_000_000, False),
    ],
)
def test_brief_runs_are_those_whose_output_is_short_for_their_prompt(
    prompt, output, brief
):
    """Guards against a bound that fits one site's sizes only."""
    rate = admission.PromptRate().tokens_per_s
    assert demand(prompt, output).is_brief(rate) is brief


def test_a_false_size_hardly_moves_the_rate():
    """Guards against admission without bounds for what one caller claims."""
    rate = admission.PromptRate()
    for _ in range(40):
        rate.record(2000, 0.2)
    rate.record(10_000_000, 0.2)
    assert rate.tokens_per_s < 1.5 * 10_000


def test_the_rate_is_learned():
    """Guards against bounds for engines of another speed.

    Half of the runs wait for memory, which says nothing of the speed.
    """
    rate = admission.PromptRate()
    for _ in range(40):
        rate.record(2000, 1.0)
        rate.record(2000, 4.0)
    assert 1400 < rate.tokens_per_s < 2100
    rate.record(0, 1.0)
    rate.record(2000, 0.0)
    assert 1400 < rate.tokens_per_s < 2100
