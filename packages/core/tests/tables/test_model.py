"""Tests of the validation of both tables."""

import math

import pytest

from dotterelweir_core.tables import model
from dotterelweir_core.targets import model as targets_model

ENGINE = targets_model.TargetKind.ENGINE
SERVICE = targets_model.TargetKind.SERVICE


def make_tables(routes=(), pools=()):
    return model.Tables(
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
    )


GUIDE = model.Pool('guide', ENGINE, 'guide-llm', model='guide-7b')


def test_valid_tables_have_no_problem():
    """Guards against validation that rejects valid tables."""
    route = model.Route('g', model.Match('/v1/', ('guide-7b',)), 'guide')
    shop = model.Pool('shop', SERVICE, 'dealer-shop')
    assert model.validate(make_tables([route], [GUIDE, shop])) == ()


@pytest.mark.parametrize(
    ('fields', 'wrong'),
    [
        ({'pool': 'absent'}, ['pool']),
        ({'match': model.Match('v1')}, ['match.path_prefix']),
        ({'match': model.Match('/', ('a', ''))}, ['match.models[1]']),
        ({'match': model.Match('/', (), ('a', 'a'))}, ['match.organisations']),
        ({'priority': -1}, ['priority']),
        ({'priority': 10}, ['priority']),
        ({'order': 1_000_001}, ['order']),
        ({'timeout_s': 0.0}, ['timeout_s']),
        ({'timeout_s': math.inf}, ['timeout_s']),
        ({'timeout_s': math.nan}, ['timeout_s']),
        ({'max_output_tokens': 0}, ['max_output_tokens']),
        (
            {'organisation_limit_tokens_per_s': math.nan},
            ['organisation_limit_tokens_per_s'],
        ),
        ({'name': 'other'}, ['name']),
    ],
)
def test_wrong_route_fields_are_named(fields, wrong):
    """Guards against an invalid route that comes into force."""
    route = model.Route(
        **{'name': 'r', 'match': model.Match(), 'pool': 'guide', **fields}
    )
    tables = model.Tables({'r': route}, {'guide': GUIDE})
    assert [problem.field for problem in model.validate(tables)] == wrong


@pytest.mark.parametrize(
    ('fields', 'wrong'),
    [
        ({'service': ''}, ['service']),
        ({'model': ''}, ['model']),
        ({'model': 'a b'}, ['model']),
        ({'zones': ('a', 'a')}, ['zones']),
        ({'target_ids': ('',)}, ['target_ids[0]']),
        ({'version': 'x' * 129}, ['version']),
        (
            {'kind': SERVICE, 'role': 'x', 'checks_fencing': True},
            ['model', 'role', 'checks_fencing'],
        ),
    ],
)
def test_wrong_pool_fields_are_named(fields, wrong):
    """Guards against an invalid pool that comes into force."""
    base = {'name': 'p', 'kind': ENGINE, 'service': 's', 'model': 'm'}
    tables = model.Tables({}, {'p': model.Pool(**{**base, **fields})})
    assert [problem.field for problem in model.validate(tables)] == wrong


def test_all_problems_of_both_tables_are_found_at_once():
    """Guards against validation that stops at the first invalid field."""
    route = model.Route('r', model.Match('x'), 'absent', priority=11)
    pool = model.Pool('p', ENGINE, '', model='')
    problems = model.validate(make_tables([route], [pool]))
    assert [(p.table, p.row, p.field) for p in problems] == [
        ('route', 'r', 'match.path_prefix'),
        ('route', 'r', 'pool'),
        ('route', 'r', 'priority'),
        ('pool', 'p', 'service'),
        ('pool', 'p', 'model'),
    ]
    assert str(problems[1]) == "route 'r': pool names no pool: 'absent'"
