"""Tests of the health of one target."""

from dotterelweir_core.targets import health

STATES = health.HealthState


def test_a_slow_target_recovers_through_probation():
    """Guards against a target that stays ejected or recovers at once."""
    target = health.TargetHealth(1.0)
    target.record_slow_progress('slow', 10.0)
    assert target.current is STATES.EJECTED
    assert not target.start_probation_if_due(10.9)
    assert target.start_probation_if_due(11.0)
    assert target.current is STATES.PROBATION
    target.record_normal_progress()
    assert target.current is STATES.HEALTHY


def test_a_relapse_doubles_the_time_until_probation():
    """Guards against frequent probes of a target that stays slow."""
    target = health.TargetHealth(1.0)
    target.record_slow_progress('slow', 0.0)
    target.start_probation_if_due(1.0)
    target.record_slow_progress('slow again', 1.0)
    assert not target.start_probation_if_due(2.9)
    assert target.start_probation_if_due(3.0)
    target.record_normal_progress()
    target.record_slow_progress('slow later', 50.0)
    assert target.start_probation_if_due(51.0)
