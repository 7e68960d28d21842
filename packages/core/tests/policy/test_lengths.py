"""Tests of the estimates of output lengths."""

import random

import pytest

from dotterelweir_core.policy import lengths


def record_outputs(estimator, route, organisation, values):
    for value in values:
        estimator.record(route, organisation, value)


def test_a_new_organisation_falls_back_to_its_route():
    """Guards against the default estimate on a route with samples."""
    estimator = lengths.LengthEstimator(256)
    assert estimator.profile('checks', 'new').expected_remaining(0) == 256
    record_outputs(estimator, 'checks', 'old', [10] * 40)
    assert estimator.profile('checks', 'new').expected_remaining(0) < 16
    assert estimator.profile('guides', 'old').expected_remaining(0) == 256


def test_an_organisation_has_its_own_estimate():
    """Guards against estimates dominated by one large organisation."""
    estimator = lengths.LengthEstimator(256)
    record_outputs(estimator, 'guides', 'large', [800] * 400)
    record_outputs(estimator, 'guides', 'small', [100] * 40)
    small = estimator.profile('guides', 'small').expected_remaining(0)
    assert 80 < small < 130
    assert estimator.profile('guides', 'large').expected_remaining(0) > 600


def test_the_expected_remainder_grows_with_age_for_heavy_tails():
    """Guards against underestimating the remainder of long outputs."""
    rng = random.Random(1)
    estimator = lengths.LengthEstimator(256)
    record_outputs(
        estimator,
        'guides',
        'org',
        [int(50 * rng.paretovariate(1.2)) for _ in range(400)],
    )
    profile = estimator.profile('guides', 'org')
    assert (
        profile.expected_remaining(0)
        < profile.expected_remaining(400)
        < profile.expected_remaining(3_000)
    )
    assert profile.expected_remaining(100_000) >= 10_000


def test_old_lengths_are_forgotten():
    """Guards against estimates that do not adapt to a new model."""
    estimator = lengths.LengthEstimator(256)
    record_outputs(estimator, 'guides', 'org', [1_000] * 500)
    record_outputs(estimator, 'guides', 'org', [50] * 1_100)
    assert estimator.profile('guides', 'org').expected_remaining(0) < 100


@pytest.mark.parametrize('produced', [0, 1, 15, 16, 31, 32, 1_000, 1 << 22])
def test_the_next_age_is_where_the_estimate_changes(produced):
    """Guards against running outputs that keep a stale estimate."""
    following = lengths.next_age(produced)
    assert following > produced
    if produced < 1 << 16:
        assert lengths.age_index(following) > lengths.age_index(produced)
        assert lengths.age_index(following - 1) == lengths.age_index(produced)
