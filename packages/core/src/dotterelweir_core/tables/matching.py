"""Matching of requests to routes."""

import attrs

from dotterelweir_core import errors
from dotterelweir_core.tables import model

# Keeps a reason to one log line; a route may list thousands of organisations.
NAMES_SHOWN_MAX = 5


@attrs.frozen
class RequestAttributes:
    """The attributes of a request that routes match on.

    Attributes:
        path: URL path without the query.
        model: The request's model field; empty if there is none.
        organisation: Name of the organisation.
    """

    path: str
    model: str
    organisation: str


@attrs.frozen
class MatchResult:
    """The result of matching a request against one route.

    Attributes:
        route: Name of the route.
        matches: Whether the request meets every condition of the route.
        chosen: Whether the route is the first one that matches.
        reason: Human-readable explanation in one line.
    """

    route: str
    matches: bool
    chosen: bool
    reason: str


def match_route(
    tables: model.Tables, attributes: RequestAttributes
) -> model.Route:
    """Finds the first route that matches a request.

    Raises:
        DotterelweirError: ROUTE_NOT_FOUND if no route matches.
    """
    for route in tables.ordered_routes:
        if _matches(route.match, attributes):
            return route
    raise errors.DotterelweirError(
        errors.ErrorKind.ROUTE_NOT_FOUND,
        f'no route matches path {attributes.path!r}, '
        f'model {attributes.model!r} and '
        f'organisation {attributes.organisation!r}',
    )


def explain_match(
    tables: model.Tables, attributes: RequestAttributes
) -> tuple[MatchResult, ...]:
    """Explains for every route, in order, why it matches or not."""
    results: list[MatchResult] = []
    chosen: str | None = None
    for route in tables.ordered_routes:
        mismatches = _mismatches(route.match, attributes)
        if mismatches:
            reason = '; '.join(mismatches)
        elif chosen is None:
            reason = 'first route that matches'
        else:
            reason = f'matches, but route {chosen!r} comes first'
        first = not mismatches and chosen is None
        if first:
            chosen = route.name
        results.append(MatchResult(route.name, not mismatches, first, reason))
    return tuple(results)


def _matches(match: model.Match, attributes: RequestAttributes) -> bool:
    return (
        attributes.path.startswith(match.path_prefix)
        and (not match.models or attributes.model in match.models)
        and (
            not match.organisations
            or attributes.organisation in match.organisations
        )
    )


def _mismatches(
    match: model.Match, attributes: RequestAttributes
) -> list[str]:
    mismatches = []
    if not attributes.path.startswith(match.path_prefix):
        mismatches.append(
            f'path {attributes.path!r} does not start with '
            f'{match.path_prefix!r}'
        )
    if match.models and attributes.model not in match.models:
        mismatches.append(
            f'model {attributes.model!r} is not in '
            f'{_format_names(match.models)}'
        )
    if (
        match.organisations
        and attributes.organisation not in match.organisations
    ):
        mismatches.append(
            f'organisation {attributes.organisation!r} is not in '
            f'{_format_names(match.organisations)}'
        )
    return mismatches


def _format_names(names: tuple[str, ...]) -> str:
    shown = ', '.join(names[:NAMES_SHOWN_MAX])
    rest = len(names) - NAMES_SHOWN_MAX
    return f'{shown} and {rest} more' if rest > 0 else shown
