"""Tests of the addresses at which an instance looks for others."""

from dotterelweir_core.gateway import contacts


def test_a_seed_is_kept_while_the_settings_name_it():
    """Guards against a seed that is given up and later returns."""
    book = contacts.ContactBook('10.0.0.1')
    book.set_seeds(['10.0.0.1', '10.0.0.2'], 0.0)
    assert book.hosts(10_000.0) == ['10.0.0.2']
    assert book.set_seeds(['10.0.0.3'], 10_000.0) == {'10.0.0.3'}
    assert book.hosts(10_000.0) == ['10.0.0.3']


def test_other_addresses_are_forgotten():
    """Guards against datagrams to all instances that ever existed."""
    book = contacts.ContactBook('10.0.0.1')
    book.add('10.0.0.2', 0.0)
    book.record_lost('10.0.0.3', 0.0, left=True)
    book.record_lost('10.0.0.4', 0.0, left=False)
    assert len(book.hosts(59.0)) == 3
    assert book.hosts(61.0) == ['10.0.0.2', '10.0.0.4']
    assert book.hosts(601.0) == []


def test_only_addresses_that_never_answered_are_unheard():
    """Guards against shares that count instances that have stopped."""
    book = contacts.ContactBook('10.0.0.1')
    book.add('10.0.0.2', 0.0)
    book.add('10.0.0.3', 0.0)
    book.record_heard('10.0.0.3')
    book.record_lost('10.0.0.3', 1.0, left=True)
    assert book.unheard_count(2.0) == 1
    assert book.unheard_count(61.0) == 0
    # Named again: it may exist after all.
    book.add('10.0.0.2', 70.0)
    assert book.unheard_count(70.0) == 1
