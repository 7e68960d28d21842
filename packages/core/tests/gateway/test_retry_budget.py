"""Tests of the retry budgets that instances share."""

import pytest

from dotterelweir_core.gateway import retry_budget

ALLOWANCE = 0.2 * 200 + 40


def make_budgets(ever_seen=4, reachable=1):
    budgets = retry_budget.BudgetRegistry(0.2, 40.0, 10.0)
    budgets.instance_counts.ever_seen = ever_seen
    budgets.instance_counts.reachable = reachable
    return budgets


def drain(budgets, now_s=0.0, urgent=True):
    taken = 0
    while budgets.take('s', now_s, urgent):
        taken += 1
    return taken


def test_isolated_instances_stay_within_the_allowance():
    """Guards against more retries in total than the operator allows."""
    sent = 0
    for _ in range(4):
        budgets = make_budgets()
        for _ in range(50):
            budgets.for_service('s').record_request(0.0)
        sent += drain(budgets, 1.0)
    assert 0.7 * ALLOWANCE <= sent <= ALLOWANCE


@pytest.mark.parametrize('users', [1, 2, 4])
def test_connected_instances_share_the_whole_allowance(users):
    """Guards against streams lost while most of the budget is unused.

    All runs of the failed engine belong to ``users`` of the instances.
    """
    fleet = [make_budgets(reachable=4) for _ in range(4)]
    for budgets in fleet:
        for _ in range(50):
            budgets.for_service('s').record_request(0.0)

    def exchange_counts():
        for number, budgets in enumerate(fleet):
            for other in fleet:
                if other is not budgets:
                    other.set_peer(f'i{number}', budgets.own_counts(), 1.0)

    for budgets in fleet:
        for number in range(4):
            budgets.set_peer(f'i{number}', {'s': retry_budget.Counts()}, 0.0)
    exchange_counts()
    sent = 0
    while True:
        taken = sum(budgets.take('s', 1.0, True) for budgets in fleet[:users])
        if not taken:
            break
        sent += taken
        exchange_counts()
    assert 0.7 * ALLOWANCE <= sent <= ALLOWANCE


def test_each_side_of_a_partition_keeps_to_its_share():
    """Guards against two sides that each use the whole budget."""
    both = drain(make_budgets(reachable=2)) + drain(make_budgets(reachable=2))
    assert 0.7 * 40 <= both <= 40


def test_normal_retries_leave_a_share_to_urgent_ones():
    """Guards against streams lost because plain calls were retried."""
    budgets = make_budgets()
    drain(budgets, urgent=False)
    assert budgets.take('s', 0.0, urgent=True)


def test_the_window_slides():
    """Guards against a budget that never refills."""
    budgets = make_budgets()
    drain(budgets)
    assert not budgets.take('s', 9.9, urgent=True)
    assert budgets.take('s', 10.1, urgent=True)


def test_more_instances_get_smaller_shares():
    """Guards against instances that each use the whole burst."""
    assert not make_budgets(ever_seen=41).take('s', 0.0, urgent=True)


def test_retries_of_other_instances_count_once():
    """Guards against totals counted again with each digest."""
    budgets = make_budgets(ever_seen=2, reachable=2)
    for _ in range(3):
        budgets.set_peer('i1', {'s': retry_budget.Counts(0, 10)}, 0.0)
    assert drain(budgets) == 22


def test_a_restarted_peer_counts_from_zero():
    """Guards against retries masked by the totals from before a restart."""
    budgets = make_budgets(ever_seen=2, reachable=2)
    budgets.set_peer('i1', {'s': retry_budget.Counts(0, 10)}, 0.0)
    budgets.drop_peer('i1')
    budgets.set_peer('i1', {'s': retry_budget.Counts(0, 5)}, 0.0)
    assert drain(budgets) == 17


def test_a_taken_retry_notifies_the_listeners():
    """Guards against instances that learn of retries too late."""
    budgets = make_budgets()
    notified = []
    budgets.subscribe(lambda: notified.append(budgets.own_counts()))
    budgets.take('s', 0.0, urgent=True)
    assert notified == [{'s': retry_budget.Counts(0, 1)}]
