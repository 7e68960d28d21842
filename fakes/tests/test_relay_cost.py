"""Tests of the comparison with a bare relay."""

from dotterelweir_fakes import relay_cost


def test_the_comparison_completes():
    """Guards against a measurement that breaks when the daemon changes.

    The ratio is not checked: so few tokens give no reliable CPU cost.
    """
    cost = relay_cost.run(streams=20, tokens=20, rounds=1)
    assert cost.bare_us > 0
    assert cost.relay_us > 0
    assert cost.relay_first_ms > cost.direct_first_ms
