"""Tests of attempt budgets and organisation limits."""

import pytest

from dotterelweir_core.policy import budgets
from dotterelweir_core.policy import limits


@pytest.mark.parametrize(('load', 'allowed'), [(0.0, 10), (0.5, 5), (1.0, 0)])
def test_a_budget_shrinks_under_load(load, allowed):
    """Guards against retries and hedges that increase an overload."""
    budget = budgets.AttemptBudget(ratio=0.1, burst=20.0, available=0.0)
    for _ in range(105):
        budget.replenish(load)
    spent = 0
    while budget.try_acquire():
        spent += 1
    assert spent == allowed


def test_an_organisation_gets_its_share_of_the_rate():
    """Guards against instances that each grant the whole rate."""
    organisation_limits = limits.OrganisationLimits()
    organisation_limits.set_limits({'guides': 600.0}, instances=6)
    organisation_limits.charge('guides', 'org', 700, 0.0)
    assert organisation_limits.wait_s('guides', 'org', 0.0) == pytest.approx(
        2.01
    )
    assert organisation_limits.wait_s('guides', 'other', 0.0) == 0.0
    assert organisation_limits.wait_s('checks', 'org', 0.0) == 0.0
    assert organisation_limits.wait_s('guides', 'org', 2.1) == 0.0


def test_a_burst_is_bounded_after_a_long_pause():
    """Guards against an idle organisation that accumulates unused tokens."""
    organisation_limits = limits.OrganisationLimits()
    organisation_limits.set_limits({'guides': 100.0}, instances=1)
    organisation_limits.charge('guides', 'org', 1, 0.0)
    organisation_limits.charge('guides', 'org', 600, 10_000.0)
    assert organisation_limits.wait_s('guides', 'org', 10_000.0) > 0
