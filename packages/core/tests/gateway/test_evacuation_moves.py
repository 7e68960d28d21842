"""Tests of the choice of runs that move off an evacuated zone."""

import pytest

from dotterelweir_core.gateway import evacuation_moves
from dotterelweir_core.gateway.evacuation_moves import Candidate


def test_the_longest_runs_move_first_and_few_at_once():
    """Guards against moves that fill the memory of the other zones."""
    candidates = [Candidate(name, ord(name) - 90.0) for name in 'bdace']
    assert evacuation_moves.choose(candidates, 0, 0.0) == ['e', 'd']
    assert evacuation_moves.choose(candidates, 1, 0.0) == ['e']
    assert evacuation_moves.choose(candidates, 3, 0.0) == []


@pytest.mark.parametrize('left_s', [0.0, 4.9])
def test_a_run_that_ends_soon_stays(left_s):
    """Guards against copies of runs that end before the zone is unused."""
    assert not evacuation_moves.choose([Candidate('a', left_s)], 0, 0.0)


def test_a_run_without_capacity_is_not_tried_at_once_again():
    """Guards against calls without a pause, and against a blocked turn."""
    candidates = [Candidate('a', 30.0, 9.0), Candidate('b', 6.0)]
    assert evacuation_moves.choose(candidates, 1, 10.0) == ['b']
    assert evacuation_moves.choose(candidates, 1, 11.0) == ['a']


def test_moves_can_be_switched_off(monkeypatch):
    """Guards against moves while the constant is 0."""
    monkeypatch.setattr(evacuation_moves, 'MOVES_MAX', 0)
    assert not evacuation_moves.choose([Candidate('a', 30.0)], 0, 0.0)
