"""Tests of the loads and outcomes that instances share."""

import pytest

from dotterelweir_core.gateway import load


@pytest.fixture
def registry():
    return load.LoadRegistry()


def test_load_of_peers_is_summed_and_forgotten(registry):
    """Guards against load that is counted twice or never removed."""
    for _ in range(2):
        registry.set_peer('i1', {'t': load.DigestRow(2, 500, 100)}, 1.0)
    registry.set_peer('i2', {'t': load.DigestRow(1, 50)}, 1.0)
    seen = registry.get('t')
    assert (seen.peer_running, seen.peer_tokens) == (3, 550)
    registry.set_peer('i1', {}, 2.0)
    assert (seen.peer_running, seen.peer_prefill_tokens) == (1, 0)
    registry.drop_peer('i2')
    assert (seen.peer_running, seen.peer_tokens) == (0, 0)


def test_a_target_that_failed_others_is_avoided(registry):
    """Guards against instances that each have to fail at a bad target."""
    for peer_id in ('i1', 'i2', 'i3'):
        registry.set_peer(peer_id, {}, 1.0)
        registry.set_peer(peer_id, {'t': load.DigestRow(failed=1)}, 1.1)
    assert registry.get('t').is_avoided(1.2)
    assert not registry.get('other').is_avoided(1.2)
    assert not registry.get('t').is_avoided(9.0)


def test_a_target_that_serves_others_is_not_avoided(registry):
    """Guards against a good target avoided after a few failed requests."""
    registry.set_peer('i1', {}, 1.0)
    registry.set_peer('i1', {'t': load.DigestRow(served=4, failed=4)}, 1.1)
    assert not registry.get('t').is_avoided(1.2)
    assert 0 < registry.get('t').outcomes.failed_share(1.2) < 0.5


def test_old_outcomes_of_a_new_peer_do_not_count(registry):
    """Guards against old failures that count when an instance joins."""
    registry.set_peer('i1', {'t': load.DigestRow(failed=50)}, 1.0)
    assert not registry.get('t').is_avoided(1.0)
    registry.set_peer('i1', {'t': load.DigestRow(failed=51)}, 1.1)
    assert not registry.get('t').is_avoided(1.1)


def test_outcomes_count_once_after_a_gap(registry):
    """Guards against outcomes counted again when a row reappears."""
    registry.set_peer('i1', {}, 1.0)
    registry.set_peer('i1', {'t': load.DigestRow(failed=2)}, 1.1)
    registry.set_peer('i1', {}, 1.2)
    registry.set_peer('i1', {'t': load.DigestRow(failed=2)}, 1.3)
    assert not registry.get('t').is_avoided(1.3)


def test_outcomes_stay_in_digests_for_a_while(registry):
    """Guards against failures that no digest includes."""
    registry.get('t').record_failure(1.0)
    assert registry.own_rows(1.5) == {'t': load.DigestRow(failed=1)}
    assert registry.own_rows(9.0) == {}
