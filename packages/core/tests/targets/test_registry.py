"""Tests of the registry of targets."""

import attrs
import pytest

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model
from dotterelweir_core.targets import registry
from dotterelweir_core.targets import watchers

LIVE = model.TargetState.LIVE
LEAVING = model.TargetState.LEAVING
POOL = tables_model.Pool('llm', model.TargetKind.ENGINE, 'guide-llm')


def target(incarnation=7, host='127.0.0.1', target_id='e1', zone='a'):
    return model.Target(target_id, incarnation, 'guide-llm', zone, host, 80)


def report(incarnation=7, state=LIVE, measured_at_s=0.0, **fields):
    return model.LoadReport(
        'e1', incarnation, state, measured_at_s=measured_at_s, **fields
    )


def assignable(target_registry):
    return [t.incarnation for t in target_registry.targets_for(POOL)]


def list_update(incarnation, state=LIVE, host='127.0.0.1'):
    return lambda target_registry, now_s: target_registry.record_list(
        [(target(incarnation, host), state)], now_s
    )


def answer_without_incarnation(incarnation, state=LIVE):
    return lambda target_registry, now_s: target_registry.record_state(
        target(incarnation), state, now_s
    )


def empty_list_update(target_registry, now_s):
    target_registry.record_list([], now_s)


def answer(incarnation, state=LIVE, sent_ago_s=0.1):
    return lambda target_registry, now_s: target_registry.record_report(
        target(),
        report(incarnation, state, now_s),
        now_s - sent_ago_s,
        now_s,
    )


def peer_report(incarnation, state=LIVE, measured_at_s=0.0):
    return lambda target_registry, now_s: target_registry.record_report(
        target(),
        report(incarnation, state, measured_at_s),
        now_s,
        now_s,
        registry.Source.PEER,
    )


def peer_leaving(incarnation):
    return lambda target_registry, now_s: target_registry.record_leaving(
        'e1', incarnation, now_s
    )


# Each case: the failure that it guards against, the updates with their times
# in seconds, and the incarnations that may get new work afterwards.
CASES = [
    (
        'stale list makes a leaving target live again',
        [(0, list_update(7)), (1, answer(7, LEAVING)), (2, list_update(7))],
        [],
    ),
    (
        'own answer makes a target live that the list shows as leaving',
        [(0, list_update(7, LEAVING)), (1, answer(7)), (2, list_update(7))],
        [],
    ),
    (
        'leaving reported by a peer is lost if it precedes the list',
        [(0, peer_leaving(7)), (1, list_update(7)), (2, answer(7))],
        [],
    ),
    (
        'leaving of the old incarnation applies to the new one',
        [(0, list_update(7)), (1, peer_leaving(7)), (2, answer(8))],
        [8],
    ),
    (
        'stale list restores an old incarnation',
        [
            (0, list_update(7)),
            (1, answer(8)),
            (2, list_update(7)),
            (8, list_update(7)),
        ],
        [8],
    ),
    (
        'stale list restores an old incarnation after a time without answers',
        [
            (0, list_update(7)),
            (1, answer(8)),
            (2, list_update(7)),
            (60, list_update(7)),
        ],
        [],
    ),
    (
        'unknown incarnation in the list replaces one that just answered',
        [(0, list_update(7)), (1, answer(8)), (2, list_update(6))],
        [8],
    ),
    (
        'new incarnation in the list is never adopted',
        [(0, list_update(7)), (1, answer(7)), (5, list_update(8))],
        [8],
    ),
    (
        'late answer of the old incarnation replaces the new one',
        [
            (0, list_update(7)),
            (4, list_update(8)),
            (4.5, answer(7, LIVE, 1.0)),
        ],
        [8],
    ),
    (
        'delayed peer report restores an old incarnation',
        [(0, list_update(8)), (1, answer(8)), (2, peer_report(7, LIVE, 0.5))],
        [8],
    ),
    (
        'peer report of a new incarnation is ignored',
        [
            (0, list_update(7)),
            (1, peer_report(7, LIVE, 1.0)),
            (2, peer_report(8, LIVE, 2.0)),
        ],
        [8],
    ),
    (
        'late answer without incarnation restores the old one',
        [
            (0, list_update(7)),
            (4, list_update(8)),
            (5, answer_without_incarnation(7)),
        ],
        [8],
    ),
    (
        'leaving in an answer without incarnation is ignored',
        [
            (0, list_update(7)),
            (1, answer_without_incarnation(7, LEAVING)),
            (2, list_update(7)),
        ],
        [],
    ),
    (
        'answers without incarnation do not keep an unlisted target',
        [
            (0, list_update(7)),
            (1, empty_list_update),
            (9, answer_without_incarnation(7)),
            (18, empty_list_update),
        ],
        [7],
    ),
    (
        'new incarnation is ignored after the clock of the target went back',
        [
            (0, list_update(7)),
            (1, peer_report(7, LIVE, 9.0)),
            (20, peer_report(8, LIVE, 2.0)),
        ],
        [8],
    ),
    (
        'unlisted target is dropped while it answers',
        [
            (0, list_update(7)),
            (1, empty_list_update),
            (9, answer(7)),
            (18, empty_list_update),
        ],
        [7],
    ),
    (
        'unlisted target without answers is kept',
        [(0, list_update(7)), (1, empty_list_update), (18, empty_list_update)],
        [],
    ),
    (
        'target that is listed again stays gone',
        [
            (0, list_update(7)),
            (1, empty_list_update),
            (18, empty_list_update),
            (19, list_update(7)),
        ],
        [7],
    ),
    (
        'leaving target that is listed again becomes live',
        [
            (0, list_update(7, LEAVING)),
            (1, empty_list_update),
            (18, empty_list_update),
            (19, list_update(7)),
        ],
        [],
    ),
    (
        'replacement at another address waits for a leaving target',
        [
            (0, list_update(7)),
            (1, answer(7, LEAVING)),
            (1.5, list_update(8, LIVE, '127.0.0.2')),
        ],
        [8],
    ),
    (
        'leaving of a listed incarnation is dropped after the retention time',
        [
            (0, list_update(7, LEAVING)),
            (4000, list_update(7)),
            (8000, list_update(7)),
        ],
        [],
    ),
]


@pytest.mark.parametrize(
    ('steps', 'expected'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_update_sequence(steps, expected):
    """Guards against the failure that the case is named after."""
    target_registry = registry.TargetRegistry()
    for now_s, update in steps:
        update(target_registry, now_s)
    assert assignable(target_registry) == expected


def test_both_incarnations_in_one_list():
    """Guards against a current incarnation that depends on row order."""
    rows = [(target(8), LIVE), (target(7), LEAVING)]
    for order in (rows, rows[::-1]):
        target_registry = registry.TargetRegistry()
        target_registry.record_list(order, 0.0)
        assert assignable(target_registry) == [8]
        assert target_registry.get('e1', 7).incarnation == 7


def test_report_of_another_target_at_the_address_is_ignored():
    """Guards against a report that is credited to the address's old target."""
    target_registry = registry.TargetRegistry()
    target_registry.record_list([(target(), LIVE)], 0.0)
    other = attrs.evolve(report(9, LEAVING), target_id='e2')
    target_registry.record_report(target(), other, 0.5, 1.0)
    assert assignable(target_registry) == [7]


@pytest.mark.parametrize(
    ('fields', 'loaded', 'expected'),
    [
        ({'zones': ('b',)}, (), []),
        ({'zones': ('a',)}, (), [7]),
        ({'target_ids': ('e2',)}, (), []),
        ({'service': 'other'}, (), []),
        ({'model': 'm'}, ('n',), []),
        ({'model': 'm'}, ('m', 'n'), [7]),
        ({'model': 'm'}, (), [7]),
    ],
)
def test_pool_membership(fields, loaded, expected):
    """Guards against work that is sent to a target outside the pool."""
    target_registry = registry.TargetRegistry()
    target_registry.record_list([(target(), LIVE)], 0.0)
    target_registry.record_report(target(), report(models=loaded), 0.5, 1.0)
    pool = attrs.evolve(POOL, **fields)
    assert [
        t.incarnation for t in target_registry.targets_for(pool)
    ] == expected


def test_peer_report_keeps_the_loaded_models():
    """Guards against a compact peer report that drops the loaded models."""
    target_registry = registry.TargetRegistry()
    target_registry.record_list([(target(), LIVE)], 0.0)
    target_registry.record_report(target(), report(models=('m',)), 0.5, 1.0)
    compact = report(measured_at_s=1.0, running=4)
    target_registry.record_report(
        target(), compact, 2.0, 2.0, registry.Source.PEER
    )
    assert target_registry.status('e1').report.models == ('m',)
    assert target_registry.status('e1').report.running == 4


def test_subscribers_are_notified_once_per_change():
    """Guards against repeated or missing notifications."""
    target_registry = registry.TargetRegistry()
    states = []
    unsubscribe = target_registry.subscribe(
        lambda change: states.append(change.state.value)
    )
    for now_s in range(3):
        target_registry.record_list([(target(), LIVE)], now_s)
        target_registry.record_leaving('e1', 6, now_s)
    for now_s in range(3, 6):
        target_registry.record_leaving('e1', 7, now_s)
    assert states == ['live', 'leaving']
    unsubscribe()
    target_registry.record_list([(target(8), LIVE)], 20.0)
    assert len(states) == 2


def test_leaving_records_of_unknown_targets_are_bounded():
    """Guards against memory use that grows with each reported incarnation."""
    target_registry = registry.TargetRegistry()
    for incarnation in range(registry.UNKNOWN_LEAVING_MAX + 100):
        target_registry.record_leaving('e1', incarnation, 0.0)
    target_registry.expire(1.0)
    assert len(target_registry.leaving()) == registry.UNKNOWN_LEAVING_MAX
    target_registry.expire(registry.RETENTION_S + 2.0)
    assert target_registry.leaving() == ()


def test_an_instance_change_reassigns_few_targets():
    """Guards against a restart that reassigns most targets."""
    instances = [f'i{n}' for n in range(53)]
    names = [f'e{n}' for n in range(243)]
    before = {n: watchers.choose_watchers(n, instances, 2) for n in names}
    after = {
        n: watchers.choose_watchers(n, reversed(instances[1:]), 2)
        for n in names
    }
    moved = [n for n in names if before[n] != after[n]]
    assert all('i0' in before[n] for n in moved)
    assert 0 < len(moved) < 40
    assert len(watchers.choose_watchers('e1', instances, 0)) == 53
