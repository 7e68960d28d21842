"""Tests of what is known of the software versions that began streams."""

import pytest

from dotterelweir_core.gateway import stream_origins
from dotterelweir_core.gateway import targets

LIFETIME_S = 12.0
WALL_S = 1_800_000_000.0


def statement(request_id='request-1', version='v1', lifetime_s=LIFETIME_S):
    return stream_origins.OriginStatement(
        request_id, stream_origins.StreamOrigin('model', version), lifetime_s
    )


def target(target_id, version, started_s=WALL_S - 1000, **changes):
    fields = {
        'service': 'model',
        'host': '10.0.0.1',
        'port': 80,
        'zone': 'zone-a',
        'slots': 8,
        'state': targets.TargetState.READY,
        'started_ms': int(started_s * 1000),
        'software_version': version,
    }
    return targets.Target(target_id, **fields | changes)


class Targets:
    """A directory and the history of its versions."""

    def __init__(self):
        self.directory = targets.TargetDirectory()
        self.history = stream_origins.VersionHistory(self.directory)
        self.offset = 0

    def set(self, target_id, now_s, new_target):
        """Registers or removes a target.

        Returns:
            Whether the service has a further version.
        """
        self.offset += 1
        change = self.directory.apply(target_id, new_target, self.offset)
        return self.history.apply(change, now_s)

    def versions(self, now_s):
        return self.history.versions('model', LIFETIME_S, now_s)


def test_an_origin_is_known_for_its_lifetime():
    """Guards against origins that are kept without end, or lost early."""
    registry = stream_origins.OriginRegistry()
    registry.record(statement(), 0.0)
    assert registry.find('request-1', 11.9).software_version == 'v1'
    assert registry.find('request-1', 12.0) is None
    assert registry.find('request-2', 0.0) is None
    registry.record(statement('request-2'), 12.0)
    assert len(registry) == 1


def test_a_stream_that_goes_on_is_known_for_longer():
    """Guards against a second take-up after the lifetime of the first."""
    registry = stream_origins.OriginRegistry()
    registry.record(statement(), 0.0)
    registry.record(statement(), 10.0)
    assert registry.find('request-1', 21.0) is not None


def test_the_number_of_origins_is_bounded():
    """Guards against memory that grows with the number of streams."""
    registry = stream_origins.OriginRegistry()
    for number in range(10_000):
        registry.record(statement(f'request-{number}'), 0.0)
    assert len(registry) == 8_192
    assert registry.find('request-9999', 0.0) is not None


def test_only_own_streams_are_stated_to_others():
    """Guards against statements that instances send around without end."""
    registry = stream_origins.OriginRegistry()
    registry.record(statement('request-1'), 0.0, is_own=True)
    registry.record(statement('request-2'), 0.0)
    assert registry.own_statements('model', 1.0) == (statement('request-1'),)
    assert registry.own_statements('plain', 1.0) == ()
    assert registry.own_statements('model', 13.0) == ()


def test_a_version_that_has_left_counts_for_the_lifetime_of_a_stream():
    """Guards against the last version taken for that of older streams."""
    known = Targets()
    known.set('engine-1', 0.0, target('engine-1', 'v1'))
    assert known.set('engine-2', 5.0, target('engine-2', 'v2'))
    known.set('engine-1', 20.0, None)
    assert known.versions(31.0) == {'v1', 'v2'}
    assert known.versions(33.0) == {'v2'}


def test_a_version_has_left_with_its_last_target():
    """Guards against a version that is lost with any of its targets."""
    known = Targets()
    known.set('engine-1', 0.0, target('engine-1', 'v1'))
    known.set('engine-2', 0.0, target('engine-2', 'v1'))
    known.set('engine-1', 20.0, None)
    known.set('engine-2', 30.0, None)
    known.set('engine-3', 30.0, target('engine-3', 'v2'))
    assert known.versions(41.0) == {'v1', 'v2'}


def test_a_target_that_returns_at_another_version_counts_for_both():
    """Guards against a version that is replaced under one id."""
    known = Targets()
    known.set('engine-1', 0.0, target('engine-1', 'v1'))
    known.set('engine-1', 20.0, target('engine-1', 'v2', WALL_S))
    assert known.versions(21.0) == {'v1', 'v2'}


def test_a_further_version_is_noticed_once():
    """Guards against statements that are sent with each new target."""
    known = Targets()
    assert not known.set('engine-1', 0.0, target('engine-1', 'v1'))
    assert not known.set('engine-2', 0.0, target('engine-2', 'v1'))
    assert known.set('engine-3', 0.0, target('engine-3', 'v2'))
    assert not known.set('engine-4', 0.0, target('engine-4', 'v2'))
    draining = target('engine-3', 'v2', state=targets.TargetState.DRAINING)
    assert not known.set('engine-3', 1.0, draining)


def test_an_instance_knows_all_versions_after_a_lifetime():
    """Guards against an instance that vouches for a time before its start."""
    known = Targets()
    assert not known.history.is_complete(LIFETIME_S, 100.0)
    known.history.begin(100.0)
    known.history.begin(105.0)
    assert not known.history.is_complete(LIFETIME_S, 111.9)
    assert known.history.is_complete(LIFETIME_S, 112.0)


@pytest.mark.parametrize(
    ('started_s', 'calm'),
    [(WALL_S - 1000, True), (WALL_S - 20, False), (0.0, False)],
)
def test_a_version_may_have_left_when_a_target_started(started_s, calm):
    """Guards against a guess while targets are being replaced."""
    known = Targets()
    known.set('engine-1', 0.0, target('engine-1', 'v1'))
    known.set('engine-2', 0.0, target('engine-2', 'v1', started_s))
    assert not known.history.is_calm('model', LIFETIME_S, WALL_S)
    known.history.begin(0.0)
    assert known.history.is_calm('model', LIFETIME_S, WALL_S) is calm


def test_holders_are_asked_after_instances_have_joined():
    """Guards against ranks that change for all when one instance joins."""
    ids = [f'instance-{number}' for number in range(370)]
    holders = stream_origins.rank_holders(ids, 'request-1', 4)
    ids += [f'further-{number}' for number in range(20)]
    asked = stream_origins.rank_holders(ids, 'request-1', 8)
    assert set(holders) <= set(asked)


def test_streams_are_spread_over_the_holders():
    """Guards against a few instances that hold the origins of all."""
    ids = [f'instance-{number}' for number in range(20)]
    counts = dict.fromkeys(ids, 0)
    for number in range(1_000):
        for holder in stream_origins.rank_holders(ids, f'r{number}', 4):
            counts[holder] += 1
    assert max(counts.values()) < 300
