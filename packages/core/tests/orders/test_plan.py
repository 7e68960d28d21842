"""Tests of the desired state of engines."""

import attrs
import pytest

from dotterelweir_core.orders import plan
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model

ENGINE = targets_model.TargetKind.ENGINE
LEAVING = targets_model.TargetState.LEAVING
TARGET = targets_model.Target('e-1', 7, 'llm', 'z1', '127.0.0.1', 1)
REPORT = targets_model.LoadReport(
    'e-1', 7, models=('m',), adapters=('x', 'y'), version='v1', role='both'
)
DESIRED = plan.DesiredState(('m',), ('y', 'x'), 'v1', 'both')


def _pool(name, **fields):
    return tables_model.Pool(name, ENGINE, 'llm', model=name, **fields)


@pytest.mark.parametrize(
    ('pools', 'issuing_pool'),
    [
        ([_pool('b')], 'b'),
        ([_pool('b'), _pool('c')], None),
        ([_pool('b', zones=('z1',)), _pool('c', zones=('z1',))], None),
        ([_pool('b'), _pool('c', zones=('z1',))], 'c'),
        ([_pool('b', zones=('z2',)), _pool('c')], 'c'),
        (
            [_pool('b', zones=('z1',)), _pool('c', target_ids=('e-1',))],
            'c',
        ),
        ([attrs.evolve(_pool('b'), model=''), _pool('c')], 'c'),
        ([attrs.evolve(_pool('b'), service='other')], None),
    ],
)
def test_an_engine_gets_orders_from_one_pool(pools, issuing_pool):
    """Guards against two lease holders that revert each other's orders."""
    pools_by_name = {pool.name: pool for pool in pools}
    issuing_pools = [
        name
        for name in pools_by_name
        if plan.desired_states(name, pools_by_name, [TARGET])
    ]
    assert issuing_pools == ([] if issuing_pool is None else [issuing_pool])


@pytest.mark.parametrize(
    ('changes', 'loads'),
    [
        ({}, None),
        ({'models': ()}, True),
        ({'models': ('m', 'old')}, False),
        ({'version': 'v0'}, True),
        ({'adapters': ('x',)}, True),
        ({'role': 'prefill'}, False),
        ({'models': (), 'state': LEAVING}, None),
        ({'models': (), 'incarnation': 6}, None),
    ],
)
def test_only_engines_that_differ_get_orders(changes, loads):
    """Guards against needless loads and orders to leaving engines."""
    report = attrs.evolve(REPORT, **changes)
    found = plan.reconcile({TARGET: DESIRED}, {'e-1': report})
    assert [each.loads_weights for each in found] == (
        [] if loads is None else [loads]
    )


def test_an_engine_without_a_report_gets_no_order():
    """Guards against orders to engines whose state is unknown."""
    assert plan.reconcile({TARGET: DESIRED}, {}) == ()


def test_unset_pool_fields_keep_the_reported_values():
    """Guards against an order that clears the version of an engine."""
    desired = plan.DesiredState(('m', 'n'), ('x', 'y'), '', '')
    (found,) = plan.reconcile({TARGET: desired}, {'e-1': REPORT})
    assert (found.desired.version, found.desired.role) == ('v1', 'both')
    desired = plan.DesiredState(('m',), ('x', 'y'), '', '')
    assert plan.reconcile({TARGET: desired}, {'e-1': REPORT}) == ()
