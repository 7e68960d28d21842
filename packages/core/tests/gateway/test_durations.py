"""Tests of the factor between usual and observed durations."""

import pytest

from dotterelweir_core.gateway import durations


def test_the_factor_follows_slow_requests_faster_than_fast_ones():
    """Guards against an estimate that forgets slow targets too soon."""
    factor = durations.DurationFactor()
    factor.record(1.0, 2.0)
    slow = factor.value
    factor.record(1.0, 1.0)
    assert 1.0 < slow - 0.1 < factor.value < slow


@pytest.mark.parametrize(
    ('usual_s', 'taken_s'), [(1.0, 0.1), (0.0, 5.0), (1.0, 0.0)]
)
def test_no_sample_makes_requests_shorter_than_usual(usual_s, taken_s):
    """Guards against requests that are expected to take no time."""
    factor = durations.DurationFactor()
    factor.record(usual_s, taken_s)
    assert factor.value == 1.0


def test_one_false_length_does_not_determine_the_factor():
    """Guards against a stop that refuses everything after one wrong hint."""
    factor = durations.DurationFactor()
    factor.record(0.7, 700.0)
    assert factor.value <= 1.5
