"""Tests of what brittle targets are sent."""

import pytest

from dotterelweir_core.gateway import brittleness
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import targets

SHOP = targets.Target(
    *('shop-1', 'plain', '10.0.0.1', 80, 'zone-a', 6),
    targets.TargetState.READY,
)


@pytest.fixture
def brittle():
    """Returns the registry with one brittle service, stated at 10 s."""
    registry = brittleness.BrittleServices()
    assert registry.apply('plain', 3.0, 9.9, 10.0)
    return registry


def accepts(brittle, running, peer_running, count, now_s=20.0):
    return brittle.accepts(
        SHOP,
        load.TargetLoad(running=running, peer_running=peer_running),
        brittleness.Places(count, 6.0),
        now_s,
    )


@pytest.mark.parametrize('instances', [1, 4, 6, 7, 67])
def test_all_instances_together_have_the_places_of_a_target(instances):
    """Guards against places that are dealt twice, or to nobody."""
    counts = [
        brittleness.deal_places(6, instances, rank).count
        for rank in range(instances)
    ]
    assert sum(counts) == 6
    assert max(counts) - min(counts) <= 1


def test_a_part_of_a_divided_network_uses_its_share():
    """Guards against two parts that each fill the target."""
    counts = [
        brittleness.deal_places(6, 3 / 0.5, rank).count for rank in range(3)
    ]
    assert sum(counts) == 3


def test_own_places_are_used_whatever_others_do(brittle):
    """Guards against requests that wait because of old news of others."""
    assert accepts(brittle, 1, 6.0, 2)
    assert not accepts(brittle, 2, 4.0, 2)


def test_one_more_is_sent_to_a_target_that_seems_half_empty(brittle):
    """Guards against instances without places that refuse everything."""
    assert accepts(brittle, 0, 2.0, 0)
    assert not accepts(brittle, 0, 3.0, 0)
    assert not accepts(brittle, 1, 0.0, 0)


def test_a_refusal_ends_that_for_a_while(brittle):
    """Guards against refusals by a target that has less room than slots."""
    brittle.record_refusal(SHOP, 20.0)
    # Six instances share three refusals a second.
    assert not accepts(brittle, 0, 0.0, 0, 21.9)
    assert accepts(brittle, 0, 0.0, 0, 22.1)
    assert accepts(brittle, 0, 0.0, 1, 20.0)


def test_other_services_are_not_bounded():
    """Guards against a bound where no target has stated anything."""
    registry = brittleness.BrittleServices()
    registry.record_refusal(SHOP, 20.0)
    assert accepts(registry, 9, 9.0, 0)


def test_only_a_later_request_ends_the_statement(brittle):
    """Guards against an answer that crossed the first statement."""
    assert not brittle.apply('plain', None, 9.9, 10.1)
    assert brittle.is_brittle('plain')
    assert not brittle.apply('plain', 5.0, 10.0, 10.2)
    assert brittle.apply('plain', None, 10.3, 10.4)
    assert not brittle.is_brittle('plain')
