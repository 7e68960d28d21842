"""Tests of the matching of requests to routes."""

import pytest

from dotterelweir_core import errors
from dotterelweir_core.tables import matching
from dotterelweir_core.tables import model

ROUTES = [
    model.Route('any', model.Match('/v1/'), 'p', order=200),
    model.Route('long-prefix', model.Match('/v1/chat/'), 'p'),
    model.Route('short-prefix', model.Match('/v1/'), 'p', order=100),
    model.Route('by-model', model.Match('/v1/', ('m1', 'm2')), 'p', order=1),
    model.Route('by-org', model.Match('/v1/', (), ('o1',)), 'p', order=2),
    model.Route('a-same', model.Match('/v2/'), 'p'),
    model.Route('b-same', model.Match('/v2/'), 'p'),
]
TABLES = model.Tables({route.name: route for route in ROUTES})


@pytest.mark.parametrize(
    ('attributes', 'expected'),
    [
        (('/v1/chat/x', 'm2', 'o1'), 'by-model'),
        (('/v1/chat/x', 'm3', 'o1'), 'by-org'),
        (('/v1/chat/x', '', 'o2'), 'long-prefix'),
        (('/v1/embed', '', 'o2'), 'short-prefix'),
        (('/v2/x', '', ''), 'a-same'),
        (('/v3', 'm1', 'o1'), None),
    ],
)
def test_first_route_in_order_takes_the_request(attributes, expected):
    """Guards against a request that is sent to the wrong pool."""
    request = matching.RequestAttributes(*attributes)
    results = matching.explain_match(TABLES, request)
    chosen = [result.route for result in results if result.chosen]
    if expected is None:
        with pytest.raises(errors.DotterelweirError) as caught:
            matching.match_route(TABLES, request)
        assert caught.value.kind is errors.ErrorKind.ROUTE_NOT_FOUND
        assert chosen == []
    else:
        assert matching.match_route(TABLES, request).name == expected
        assert chosen == [expected]
    assert len(results) == len(ROUTES)


def test_every_route_gets_a_reason():
    """Guards against a route without a reason in the explanation."""
    attributes = matching.RequestAttributes('/v1/x', 'm1', 'o2')
    reasons = {
        result.route: result.reason
        for result in matching.explain_match(TABLES, attributes)
    }
    assert reasons['by-model'] == 'first route that matches'
    assert reasons['by-org'] == "organisation 'o2' is not in o1"
    assert reasons['any'] == "matches, but route 'by-model' comes first"
    assert 'does not start with' in reasons['a-same']
