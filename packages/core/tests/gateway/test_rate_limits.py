"""Tests of the limits on the request rates of targets."""

import math

import pytest

from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import targets

TARGET = targets.Target(
    'shop-1', 'plain', '10.0.0.1', 80, 'zone-a', 8, targets.TargetState.READY
)
NO_LIMIT = rate_limits.UNLIMITED


def state(rate_per_s, sent_age_s, received_age_s=0.0):
    return rate_limits.LimitStatement(
        TARGET.target_id, 0, rate_per_s, sent_age_s, received_age_s
    )


@pytest.fixture
def registry():
    """Returns a registry with a limit of 2/s that was read at 10 s."""
    limits = rate_limits.LimitRegistry()
    assert limits.apply(state(2.0, 0.5), 10.0)
    return limits


@pytest.mark.parametrize('rate_per_s', [5.0, 0.0, NO_LIMIT])
def test_a_later_answer_replaces_a_limit(registry, rate_per_s):
    """Guards against limits that neither rise, fall nor end."""
    assert registry.apply(state(rate_per_s, 0.5), 11.0)
    assert registry.rate_per_s(TARGET) == rate_per_s


@pytest.mark.parametrize('rate_per_s', [5.0, NO_LIMIT])
def test_an_overtaken_answer_does_not_raise_a_limit(registry, rate_per_s):
    """Guards against an answer from before the limit that ends it."""
    assert not registry.apply(state(rate_per_s, 0.8), 10.2)
    assert registry.rate_per_s(TARGET) == 2.0


def test_the_lower_of_two_concurrent_limits_applies(registry):
    """Guards against a rate above one that the target may have named last."""
    assert registry.apply(state(1.0, 0.8), 10.2)
    assert registry.rate_per_s(TARGET) == 1.0
    # Sent before the arrival of the lower limit, after that of the first.
    assert not registry.apply(state(2.0, 0.2), 10.3)
    assert registry.rate_per_s(TARGET) == 1.0


def test_news_that_is_older_than_the_limit_is_ignored(registry):
    """Guards against old news of an instance that was frozen or cut off."""
    assert not registry.apply(state(0.5, 9.0, 8.0), 17.0)
    assert not registry.apply(state(NO_LIMIT, 9.0, 8.0), 17.0)
    assert registry.rate_per_s(TARGET) == 2.0


def test_an_answer_with_an_unknown_send_does_not_raise_a_limit(registry):
    """Guards against control calls, whose answers are not ordered."""
    assert not registry.apply(state(5.0, math.inf), 20.0)
    assert registry.apply(state(1.0, math.inf), 21.0)


def test_a_limit_belongs_to_one_start_of_a_target(registry):
    """Guards against a limit that outlives the restart of its target."""
    restarted = targets.Target(
        *('shop-1', 'plain', '10.0.0.1', 80, 'zone-a', 8),
        targets.TargetState.READY,
        started_ms=5,
    )
    assert registry.is_limited(TARGET)
    assert not registry.is_limited(restarted)
