"""Tests of the detection of prompt parts that crash engines."""

import math

import pytest

from dotterelweir_core.gateway import quarantine


def crash(number, *parts, target_id=None, request_id=None):
    return quarantine.PromptCrash(
        request_id or f'request-{number}',
        target_id or f'engine-{number}',
        frozenset(parts),
    )


def sound(*parts, age_s=0.0):
    return quarantine.SoundParts(dict.fromkeys(parts, age_s))


def quarantine_after(findings, interval_s=1.0):
    """Returns a quarantine with findings, one each interval from 1 s on."""
    prompts = quarantine.PromptQuarantine()
    for number, finding in enumerate(findings):
        prompts.apply(finding, 1.0 + number * interval_s)
    return prompts


def blocked(prompts, *parts, now_s=20.0):
    return bool(prompts.find_blocks(parts, now_s))


TWO = [crash(1, 'first', 'rare', 'bad'), crash(2, 'first', 'rare', 'bad')]


@pytest.mark.parametrize(
    ('findings', 'parts', 'expected'),
    [
        ([], ('bad',), False),
        (TWO[:1], ('first', 'rare', 'bad'), False),
        (TWO, ('first', 'rare', 'bad'), True),
        # Sound requests with some of the parts are served.
        (TWO, ('first', 'rare'), False),
        (TWO, ('first', 'other'), False),
        (TWO, (), False),
        # Cleared parts are not needed for a block.
        ([*TWO, sound('first', 'rare')], ('other', 'bad'), True),
        # Further crashes with other parts narrow the blame.
        (
            [*TWO, crash(3, 'x', 'bad'), crash(4, 'y', 'bad')],
            ('z', 'bad'),
            True,
        ),
        # An unrelated crash does not protect the part.
        ([*TWO, crash(3, 'x', 'y')], ('first', 'rare', 'bad'), True),
        ([*TWO, crash(3, 'first')], ('first', 'rare', 'bad'), True),
        # Nor does it widen the blame to what the prompts share.
        ([*TWO, crash(3, 'first', 'x')], ('first', 'other'), False),
        ([crash(3, 'first', 'x'), *TWO], ('first', 'other'), False),
        ([crash(1, 'a', 'b'), crash(2, 'a', 'c')], ('a', 'd'), True),
        # Different prompts whose common part crashes engines.
        (
            [
                crash(1, 'a', 'b'),
                crash(2, 'a', 'b'),
                crash(3, 'a', 'c'),
                crash(4, 'a', 'c'),
            ],
            ('a', 'd'),
            True,
        ),
        ([crash(1, 'a'), sound('a'), crash(2, 'a')], ('a',), False),
        ([crash(1, 'a'), crash(2, 'a'), sound('a')], ('a',), False),
        # Parts that engines have written with need more crashes, of which a
        # further event clears the earlier ones.
        ([sound('a'), crash(1, 'a'), crash(2, 'a')], ('a',), False),
        (
            [sound('a'), crash(1, 'a'), crash(2, 'a'), crash(3, 'a')],
            ('a',),
            True,
        ),
        (
            [sound('a'), *[crash(n, 'a') for n in range(2)], sound('a')]
            + [crash(n, 'a') for n in range(2, 4)],
            ('a',),
            False,
        ),
        # A common sound part beside a part that crashes engines.
        (
            [sound('a', 'b'), crash(1, 'a', 'bad'), crash(2, 'a', 'b')],
            ('a', 'c'),
            False,
        ),
        # An innocent request that ends with the engine of a guilty one.
        (
            [*TWO, crash(3, 'first', 'x', target_id='engine-1')],
            ('first', 'other'),
            False,
        ),
    ],
)
def test_requests_that_would_crash_engines_are_blocked(
    findings, parts, expected
):
    """Guards against crashes one after the other, and blocked sound ones."""
    assert blocked(quarantine_after(findings), *parts) is expected


def test_one_end_is_no_evidence_against_what_was_in_flight_there():
    """Guards against blocks because of one engine, whatever it had."""
    findings = [crash(n, 'a', target_id='e') for n in range(3)]
    assert not blocked(quarantine_after(findings, interval_s=0.1), 'a')


def test_a_further_end_of_a_restarted_engine_counts():
    """Guards against crashes of an engine that starts under its id again."""
    findings = [crash(n, 'a', target_id='e') for n in range(2)]
    assert blocked(quarantine_after(findings, interval_s=3.0), 'a')


def test_engines_that_end_together_block_no_prompt():
    """Guards against blocks after ends with a cause of their own."""
    findings = [crash(n, 'a', 'b') for n in range(4)]
    assert not blocked(quarantine_after(findings, interval_s=0.1), 'a', 'b')


def test_a_request_that_ends_two_engines_at_once_blocks_its_prompt():
    """Guards against restarts of one request that crash further engines."""
    findings = [crash(n, 'a', request_id='r') for n in range(2)]
    assert blocked(quarantine_after(findings, interval_s=0.1), 'a')


def test_a_block_ends():
    """Guards against a prompt that is blocked for good."""
    prompts = quarantine_after(TWO)
    assert blocked(prompts, 'first', 'rare', 'bad', now_s=600.9)
    assert not blocked(prompts, 'first', 'rare', 'bad', now_s=601.0)


def test_a_blocked_prompt_is_tried_twice():
    """Guards against sound prompts that nothing clears, and many trials."""
    prompts = quarantine_after(TWO)

    def trial_s():
        (block,) = prompts.find_blocks(['first', 'rare', 'bad'], 20.0)
        return block.trial_s

    assert trial_s() == 5.0
    prompts.apply(crash(3, 'first', 'rare', 'bad'), 6.0)
    assert trial_s() == 36.0
    # An end at the same moment is not one of a further trial.
    prompts.apply(crash(4, 'first', 'rare', 'bad'), 6.6)
    assert trial_s() == 36.6
    prompts.apply(crash(5, 'first', 'rare', 'bad'), 40.0)
    assert trial_s() == math.inf


def test_only_what_matters_is_stated():
    """Guards against findings that instances send back and forth."""
    prompts = quarantine.PromptQuarantine()
    prompts.record_written(['a', 'c'], 1.0)
    assert prompts.unstated(1.0) is None
    assert prompts.apply(crash(1, 'a', 'b'), 2.0)
    assert not prompts.apply(crash(1, 'a', 'b'), 3.0)
    # The part was sound before the end.
    assert prompts.unstated(3.0) == sound('a', age_s=2.0)
    assert prompts.apply(prompts.unstated(3.0), 3.0)
    assert prompts.unstated(3.0) is None
    # It is sound after the end, too, which clears it.
    prompts.record_written(['a'], 4.0)
    assert prompts.unstated(4.0) == sound('a')
    assert prompts.apply(prompts.unstated(4.0), 4.0)
    prompts.record_written(['a'], 5.0)
    assert prompts.unstated(5.0) is None
    (known,) = prompts.crashes(8, 5.0)
    assert known.parts == {'b'}
    prompts.record_written(['b'], 6.0)
    assert prompts.crashes(8, 6.0) == ()


def test_a_block_does_not_last_longer_where_it_is_learned_late():
    """Guards against blocks that each restarted instance prolongs."""
    first = quarantine_after(TWO)
    second = quarantine.PromptQuarantine()
    for finding in first.crashes(8, 500.0):
        second.apply(finding, 20.0)
    assert blocked(second, *TWO[0].parts, now_s=120.0)
    assert not blocked(second, *TWO[0].parts, now_s=121.5)
    assert first.crashes(8, 602.0) == ()


def test_a_repeated_report_clears_what_its_sender_has_cleared():
    """Guards against instances that suspect different parts for good."""
    prompts = quarantine_after([*TWO, crash(1, 'bad'), crash(2, 'bad')])
    assert blocked(prompts, 'bad')


def test_crashes_on_one_prompt_are_judged_quickly():
    """Guards against a judgement that holds the event loop."""
    findings = [
        crash(number, *(f'{number * part % 61}' for part in range(1, 17)))
        for number in range(64)
    ]
    assert blocked(quarantine_after(findings), *map(str, range(61)))
