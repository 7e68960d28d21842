"""Tests of the registry of evacuated zones, without a network."""

import itertools
import random

import pytest

from dotterelweir_core.gateway import evacuations


def state(zone='a', active=True, offset=5, era=1):
    return evacuations.Evacuation(zone, active, offset, era)


@pytest.fixture
def registry():
    return evacuations.EvacuationRegistry()


def test_states_have_the_same_result_in_any_order():
    """Guards against instances that differ after reordered findings."""
    states = [
        state(offset=5),
        state(active=False, offset=6),
        state(offset=9),
        state(active=False, offset=2, era=2),
    ]
    for order in itertools.permutations(states):
        one = evacuations.EvacuationRegistry()
        for evacuation in order:
            one.apply(evacuation)
        assert not one.zones
        assert one.find('a') == states[-1]


def test_a_change_is_reported_once(registry):
    """Guards against repeated findings that are logged and sent again."""
    changes = []
    registry.subscribe(lambda evacuation, change: changes.append(change))
    assert registry.apply(state())
    assert not registry.apply(state())
    assert not registry.apply(state(offset=6))
    assert registry.apply(state(active=False, offset=7))
    assert changes == [
        evacuations.Change.EVACUATED,
        evacuations.Change.RESTORED,
    ]


def test_a_snapshot_without_a_zone_restores_it(registry):
    """Guards against zones that stay evacuated after an unread removal."""
    registry.apply(state(offset=5))
    assert registry.apply_snapshot([], [], end=8, era=1)
    assert not registry.zones


def test_an_older_snapshot_does_not_restore_a_zone(registry):
    """Guards against a late answer that hides a newer record."""
    registry.apply(state(offset=8))
    assert not registry.apply_snapshot([], [], end=8, era=1)
    assert registry.zones == {'a'}


@pytest.mark.parametrize('era', [0, 2])
def test_a_snapshot_of_another_era_replaces_all(registry, era):
    """Guards against evacuations that a restored store does not have."""
    registry.apply_snapshot([state(offset=8)], [], end=9, era=1)
    registry.apply_snapshot([state('b', offset=1, era=era)], [], 2, era)
    assert registry.zones == {'b'}
    # A peer that still has the former era.
    registry.apply(state(offset=8, era=1))
    assert registry.zones == {'b'}


def test_an_unreadable_record_leaves_the_zone_as_it_was(registry):
    """Guards against a malformed record that restores or evacuates a zone."""
    registry.apply(state(offset=3))
    registry.apply_snapshot([], ['a', 'b'], end=9, era=1)
    assert registry.zones == {'a'}
    other = evacuations.EvacuationRegistry()
    other.apply_snapshot([], ['a'], end=9, era=1)
    other.apply(state(offset=3))
    assert other.zones == {'a'}


def test_a_cut_off_instance_learns_that_a_zone_was_restored(registry):
    """Guards against an evacuation that only the cut-off instance knows.

    The others have started later and read a snapshot without the zone.
    """
    registry.apply(state(offset=5))
    other = evacuations.EvacuationRegistry()
    other.apply_snapshot([], [], end=8, era=1)
    assert other.fingerprint != registry.fingerprint
    for finding in registry.findings():
        other.apply(finding)
    assert not other.zones
    for finding in other.findings():
        registry.apply(finding)
    assert not registry.zones
    assert other.fingerprint == registry.fingerprint == 0


def test_too_many_zones_are_rejected(registry):
    """Guards against memory that grows with the operator's records."""
    changes = []
    registry.subscribe(lambda evacuation, change: changes.append(change))
    for number in range(70):
        registry.apply(state(f'z{number}', offset=number))
    assert len(registry.zones) == 64
    assert changes[64:] == [evacuations.Change.REJECTED] * 6
    for number in range(64):
        registry.apply(state(f'z{number}', active=False, offset=99))
    for number in range(200):
        registry.apply(state(f'y{number}', active=False, offset=number))
    assert not registry.zones
    assert len(registry.findings()) <= 64


@pytest.mark.parametrize('seed', range(40))
def test_instances_agree_with_the_store_after_any_exchange(seed):
    """Guards against lost changes among losses, restarts and new eras."""
    rng = random.Random(seed)
    era, records = 1, []
    ones = [evacuations.EvacuationRegistry() for _ in range(4)]
    ends = [None] * 4

    def newest():
        return {
            zone: state(zone, active, offset, era)
            for offset, (zone, active) in enumerate(records)
        }

    def read(index):
        if ends[index] is None or ends[index][0] != era:
            kept = [one for one in newest().values() if one.active]
            ones[index].apply_snapshot(kept, [], len(records), era)
        else:
            for offset in range(ends[index][1], len(records)):
                ones[index].apply(state(*records[offset], offset, era))
        ends[index] = (era, len(records))

    for _ in range(60):
        match rng.randrange(6):
            case 0 | 1:
                records.append((rng.choice('abc'), rng.random() < 0.5))
            case 2:
                read(rng.randrange(3))
            case 3:
                sender, receiver = rng.sample(range(4), 2)
                for finding in ones[sender].findings():
                    ones[receiver].apply(finding)
            case 4 if rng.random() < 0.2:
                del records[rng.randrange(len(records) + 1) :]
                era += 1
            case 5 if rng.random() < 0.3:
                restarted = rng.randrange(4)
                ones[restarted] = evacuations.EvacuationRegistry()
                ends[restarted] = None
    expected = {zone for zone, one in newest().items() if one.active}
    for index in range(3):
        read(index)
        assert ones[index].zones == expected
    # The last one never reaches the store and exchanges findings twice.
    for _ in range(2):
        for one, other in itertools.permutations(ones, 2):
            if one.fingerprint != other.fingerprint:
                for finding in one.findings():
                    other.apply(finding)
    assert all(one.zones == expected for one in ones)
