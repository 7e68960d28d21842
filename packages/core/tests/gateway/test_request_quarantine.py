"""Tests of the blocks of requests under which targets end."""

import pytest

from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import request_quarantine


@pytest.fixture
def quarantine():
    """Returns a quarantine without any finding."""
    return request_quarantine.RequestQuarantine()


def end(quarantine, now_s, name, *keys):
    quarantine.apply(engine_ends.EndReport(name, 0, frozenset(keys)), now_s)


def blocked(quarantine, now_s, *keys):
    return [key for key in keys if quarantine.find_block(key, now_s)]


def test_a_request_is_blocked_after_its_third_end(quarantine):
    """Guards against one request that ends target after target."""
    end(quarantine, 1.0, 'shop-1', 'bad', 'a')
    end(quarantine, 2.0, 'shop-2', 'bad', 'b')
    assert not blocked(quarantine, 2.0, 'bad', 'a', 'b')
    end(quarantine, 3.0, 'shop-3', 'bad')
    assert blocked(quarantine, 3.0, 'bad', 'a', 'b') == ['bad']
    assert quarantine.find_block('bad', 3.0).ends == 3


def test_an_answered_request_is_cleared(quarantine):
    """Guards against a popular request that is at many ends of others."""
    for number in range(9):
        now_s = float(number)
        end(quarantine, now_s, f'shop-{number}', 'popular')
        quarantine.apply(
            request_quarantine.SoundRequest('popular'), now_s + 0.5
        )
    assert not blocked(quarantine, 9.0, 'popular')


def test_an_answer_here_counts_before_it_is_stated(quarantine):
    """Guards against popular requests that are refused for a moment."""
    for number in range(3):
        end(quarantine, 2.0, f'shop-{number}', 'popular')
    quarantine.record_answer('popular', 2.5)
    assert not blocked(quarantine, 3.0, 'popular')


def test_the_end_of_a_target_that_lives_is_forgotten(quarantine):
    """Guards against requests that are blamed for a partition."""
    for number in range(3):
        end(quarantine, 2.0, f'shop-{number}', 'sound')
    assert blocked(quarantine, 3.0, 'sound') == ['sound']
    quarantine.retract_end('shop-0', 0, 4.0)
    assert not blocked(quarantine, 4.0, 'sound')
    # Another instance reports it again, as it has not learned of it yet.
    late = engine_ends.EndReport('shop-0', 0, frozenset(['sound']), 3.0)
    quarantine.apply(late, 5.0)
    assert not blocked(quarantine, 5.0, 'sound')


def test_an_earlier_answer_tells_two_requests_apart(quarantine):
    """Guards against a popular request that is blamed with the guilty one."""
    quarantine.apply(request_quarantine.SoundRequest('popular'), 1.0)
    for number in range(3):
        end(quarantine, 2.0, f'shop-{number}', 'popular', 'bad')
    assert blocked(quarantine, 3.0, 'bad', 'popular') == ['bad']


def test_ends_of_a_blocked_request_are_not_held_against_others(quarantine):
    """Guards against sound requests that are blocked one after another."""
    for number in range(4):
        end(quarantine, 2.0, f'shop-{number}', 'bad', 'sound')
    end(quarantine, 3.0, 'shop-5', 'bad')
    assert blocked(quarantine, 3.0, 'bad', 'sound') == ['bad']


def test_two_guilty_requests_are_both_blocked(quarantine):
    """Guards against a request that hides behind another one."""
    for number in range(5):
        end(quarantine, 1.0, f'shop-{number}', 'bad', 'worse')
    for number in range(5, 9):
        end(quarantine, 2.0, f'shop-{number}', 'worse')
    for number in range(9, 12):
        end(quarantine, 3.0, f'shop-{number}', 'bad')
    assert blocked(quarantine, 3.0, 'bad', 'worse') == ['bad', 'worse']


def test_a_request_that_was_answered_before_can_become_guilty(quarantine):
    """Guards against an old answer that clears a request for good."""
    quarantine.apply(request_quarantine.SoundRequest('bad'), 1.0)
    for number in range(3):
        end(quarantine, 2.0, f'shop-{number}', 'bad')
    assert blocked(quarantine, 2.0, 'bad') == ['bad']


def test_a_block_ends(quarantine):
    """Guards against a request that stays blocked for good."""
    for number in range(3):
        end(quarantine, 1.0, f'shop-{number}', 'bad')
    assert blocked(quarantine, 600.0, 'bad')
    assert not blocked(quarantine, 602.0, 'bad')


def test_an_answer_is_stated_only_if_it_changes_something(quarantine):
    """Guards against datagrams to all instances for each answer."""
    quarantine.record_answer('sound', 1.0)
    assert quarantine.unstated_answer('sound', 1.0) is None
    end(quarantine, 2.0, 'shop-1', 'sound')
    answer = quarantine.unstated_answer('sound', 2.0)
    assert answer == request_quarantine.SoundRequest('sound', 1.0)
    quarantine.apply(answer, 2.0)
    assert quarantine.unstated_answer('sound', 2.0) is None
    quarantine.record_answer('sound', 3.0)
    quarantine.apply(quarantine.unstated_answer('sound', 3.0), 3.0)
    quarantine.record_answer('sound', 4.0)
    assert quarantine.unstated_answer('sound', 4.0) is None
    assert quarantine.unstated_answer('unknown', 4.0) is None


@pytest.mark.parametrize(('answered', 'delay_s'), [(True, 5.0), (False, 30.0)])
def test_a_blocked_request_is_tried_once(quarantine, answered, delay_s):
    """Guards against blame for targets that ended together by themselves."""
    if answered:
        quarantine.apply(request_quarantine.SoundRequest('sound'), 1.0)
    for number in range(5):
        end(quarantine, 2.0 + 0.1 * number, f'shop-{number}', 'sound')
    assert quarantine.find_block('sound', 3.0).trial_s == 2.4 + delay_s
    end(quarantine, 2.5 + delay_s, 'shop-9', 'sound')
    block = quarantine.find_block('sound', 3.0 + delay_s)
    assert block.trial_s > block.until_s


def test_a_started_instance_learns_of_repeated_requests_only(quarantine):
    """Guards against floods of ends that nobody has to know."""
    for number in range(200):
        end(quarantine, 1.0, f'shop-{number}', f'once-{number}')
    assert quarantine.findings(24, 2.0) == ()
    quarantine.apply(request_quarantine.SoundRequest('bad'), 1.0)
    for number in range(3):
        end(quarantine, 2.0, f'engine-{number}', 'bad', f'other-{number}')
    started = request_quarantine.RequestQuarantine()
    for finding in quarantine.findings(24, 3.0):
        started.apply(finding, 3.0)
    assert started.find_block('bad', 3.0) == quarantine.find_block('bad', 3.0)
