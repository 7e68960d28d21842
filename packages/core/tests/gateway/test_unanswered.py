"""Tests of requests that ended without an answer at their targets."""

import attrs
import pytest

from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import unanswered

TARGET = targets.Target(
    't', 's', '10.0.0.1', 80, 'a', 8, targets.TargetState.READY, started_ms=100
)
LATER_START = attrs.evolve(TARGET, started_ms=200)
LEAVING = attrs.evolve(TARGET, state=targets.TargetState.DRAINING)


@pytest.fixture
def requests():
    """A request that was sent at 1 s and given up at 2 s."""
    registry = unanswered.UnansweredRequests()
    record(registry)
    return registry


def record(registry, registered=TARGET):
    return registry.record(
        TARGET, unanswered.Unanswered('key', 1.0, 2.0), registered, 2.0
    )


def sign_of(registry, before, after, now_s=4.0):
    return registry.sign_of(targets.TargetChange('t', before, after), now_s)


def test_another_start_shows_an_end(requests):
    """Guards against an engine that is back before its entry goes."""
    sign = sign_of(requests, TARGET, LATER_START)
    assert sign is unanswered.Sign.RESTARTED
    target, taken = requests.take('t', 4.0)
    assert target == TARGET
    assert [request.request for request in taken] == ['key']
    assert unanswered.end_s(taken) == 1.0


def test_a_removal_needs_a_test(requests):
    """Guards against blame for an engine that leaves without saying so."""
    assert sign_of(requests, TARGET, None) is unanswered.Sign.REMOVED


def test_what_happened_before_the_request_was_given_up_is_known():
    """Guards against an end that is read before its requests time out."""
    registry = unanswered.UnansweredRequests()
    assert record(registry, LATER_START) is unanswered.Sign.RESTARTED
    registry = unanswered.UnansweredRequests()
    sign_of(registry, TARGET, None, 1.5)
    assert record(registry, None) is unanswered.Sign.REMOVED


def test_a_planned_departure_is_no_end(requests):
    """Guards against requests that are blamed for a planned stop."""
    assert sign_of(requests, LEAVING, None) is None
    assert requests.take('t', 4.0) is None


def test_a_target_that_answers_was_only_slow(requests):
    """Guards against requests that are blamed for a later end."""
    requests.record_answer(TARGET, 3.0)
    assert sign_of(requests, TARGET, None) is None
    # The answer may come from a start that is not registered yet.
    sign = sign_of(requests, None, LATER_START, 4.5)
    assert sign is unanswered.Sign.RESTARTED
    requests.record_answer(TARGET, 3.0)
    assert sign_of(requests, TARGET, LATER_START, 6.0) is None


def test_a_target_that_returns_as_it_was_had_not_ended(requests):
    """Guards against blame for a target that was cut off from the store."""
    sign_of(requests, TARGET, None)
    assert sign_of(requests, None, TARGET, 6.0) is unanswered.Sign.RETURNED


def test_requests_are_forgotten(requests):
    """Guards against blame for an end much later."""
    assert sign_of(requests, TARGET, LATER_START, 18.0) is None
