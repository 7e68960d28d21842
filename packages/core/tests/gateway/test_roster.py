"""Tests of what instances do about the roster in the store."""

from dotterelweir_core.gateway import roster


def entries(*names):
    return [
        roster.Entry(name, f'host-{name}', n) for n, name in enumerate(names)
    ]


def test_members_of_another_group_are_contacted():
    """Guards against two groups of instances that never find each other."""
    plan = roster.Roster('a', 'host-a').apply(
        entries('a', 'b', 'x', 'y'), {'b'}, 0.0
    )
    assert plan.contacts == ('host-x', 'host-y')
    assert not plan.enter
    assert plan.remove == ()


def test_a_group_keeps_three_entries():
    """Guards against a group that the others cannot find, and many writes."""
    own = roster.Roster('a', 'host-a')
    assert own.apply(entries('x', 'y', 'z'), set(), 0.0).enter
    assert own.apply(entries('b', 'c'), {'b', 'c', 'd'}, 0.0).enter
    assert not own.apply(entries('b', 'c', 'd'), {'b', 'c', 'd'}, 0.0).enter


def test_an_entry_at_an_earlier_address_is_replaced():
    """Guards against an instance that others look for elsewhere."""
    own = roster.Roster('a', 'host-new')
    assert own.apply(entries('a', 'b', 'c', 'd'), {'b', 'c', 'd'}, 0.0).enter
    assert not own.is_entered


def test_an_entry_of_an_instance_that_is_not_heard_is_removed_later():
    """Guards against a roster that grows with each replaced instance."""
    own = roster.Roster('a', 'host-a')
    assert own.apply(entries('a', 'x'), set(), 0.0).remove == ()
    assert own.apply(entries('a', 'x'), set(), 61.0).remove == ('x',)
    # It was written again since, by an instance that is alive.
    again = [*entries('a'), roster.Entry('x', 'host-x', 7)]
    assert own.apply(again, set(), 62.0).remove == ()
