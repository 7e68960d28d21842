"""Tests of the conclusion that an instance reaches no target."""

import random

import pytest

from dotterelweir_core.gateway import reachability
from dotterelweir_core.gateway import targets


def target(target_id, service):
    return targets.Target(
        *(target_id, service, '10.0.0.1', 80, 'zone-a', 8),
        targets.TargetState.READY,
    )


ENGINES = [target(f'engine-{number}', 'model') for number in range(4)]
SHOPS = [target(f'shop-{number}', 'plain') for number in range(3)]
ALL = [*ENGINES, *SHOPS]


def fail(reach, failed, registered=ALL):
    """Lets connections to targets fail, one after the other."""
    return [reach.record_failed(one, registered, 1.0) for one in failed]


def test_targets_of_two_services_that_fail_in_a_row_are_lost():
    """Guards against an instance that never notices, or notices twice."""
    reach = reachability.TargetReach()
    assert fail(reach, [*SHOPS[:2], *ENGINES]) == [
        *(False, False, True),
        *(False, False, False),
    ]
    assert reach.lost_since_s == 1.0
    assert reach.record_connected()
    assert reach.lost_since_s is None
    assert not reach.record_connected()


def test_one_service_whose_targets_are_down_is_not_all():
    """Guards against requests passed on because of one service."""
    reach = reachability.TargetReach()
    assert not any(fail(reach, SHOPS))


def test_a_connection_between_failures_shows_a_link():
    """Guards against failures of a long time that add up."""
    reach = reachability.TargetReach()
    fail(reach, [SHOPS[0], ENGINES[0]])
    reach.record_connected()
    assert not any(fail(reach, [SHOPS[1], ENGINES[1]]))


def test_one_target_that_fails_often_is_one():
    """Guards against a target that is down and taken for many."""
    reach = reachability.TargetReach()
    assert not any(fail(reach, [SHOPS[0], ENGINES[0]] * 5))


@pytest.mark.parametrize('registered', [SHOPS[:1], SHOPS, ENGINES[:2]])
def test_a_deployment_with_few_targets_can_lose_all(registered):
    """Guards against bounds that a small deployment never reaches."""
    reach = reachability.TargetReach()
    assert fail(reach, registered, registered)[-1]


def test_a_test_goes_to_another_service_first():
    """Guards against tests of targets that are known to be down."""
    reach = reachability.TargetReach()
    rng = random.Random(1)
    fail(reach, [SHOPS[0]])
    assert not reach.is_suspected(ALL)
    fail(reach, [SHOPS[1]])
    assert reach.is_suspected(ALL)
    for _ in range(20):
        assert reach.choose_test(ALL, rng).service == 'model'
    fail(reach, ENGINES[:1])
    for _ in range(20):
        assert reach.choose_test(ALL, rng) not in (*SHOPS[:2], ENGINES[0])
    assert reach.choose_test([], rng) is None


def peer(name, zone='zone-a'):
    return reachability.ForwardingPeer(name, f'10.0.0.{name}', zone)


def choose(peers, in_flight=None, excluded=()):
    return reachability.choose_peer(
        peers, in_flight or {}, 'zone-a', excluded, random.Random(1)
    )


def test_requests_go_to_the_own_zone_and_are_spread():
    """Guards against one instance that gets all, and against far ones."""
    peers = [peer('1', 'zone-b'), peer('2'), peer('3')]
    assert choose(peers).zone == 'zone-a'
    assert choose(peers, {'2': 1, '3': 1}) == peers[0]
    assert choose(peers, excluded={'2', '3'}) == peers[0]
    assert choose([]) is None


def test_the_work_that_another_instance_takes_over_is_bounded():
    """Guards against a partitioned instance that overloads others."""
    assert choose([peer('1')], {'1': 63}) is not None
    assert choose([peer('1')], {'1': 64}) is None
