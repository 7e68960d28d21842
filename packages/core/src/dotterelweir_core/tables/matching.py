"""Choice of the route of a request."""

import attrs

from dotterelweir_core import errors
from dotterelweir_core.tables import model

# A reason is one log line; a route may list thousands of organisations.
NAMES_SHOWN_MAX = 5


@attrs.frozen
class RequestFacts:
    """What routes look at in a request.

    Attributes:
        path: URL path, without the query.
        model: The request's model field; empty if it has none.
        organisation: Name of the organisation.
    """

    path: str
    model: str
    organisation: str


@attrs.frozen
class RouteVerdict:
    """Whether a route takes a request, and why.

    Attributes:
        route: Name of the route.
        matches: Whether every field of its match fits.
        chosen: Whether it is the first route that matches.
        reason: One line for people.
    """

    route: str
    matches: bool
    chosen: bool
    reason: str


def match_route(tables: model.Tables, facts: RequestFacts) -> model.Route:
    """Finds the first route that takes a request.

    Raises:
        DotterelweirError: ROUTE_NOT_FOUND.
    """
    for route in tables.ordered_routes:
        if _matches(route.match, facts):
            return route
    raise errors.DotterelweirError(
        errors.ErrorKind.ROUTE_NOT_FOUND,
        f'no route matches path {facts.path!r}, model {facts.model!r} and '
        f'organisation {facts.organisation!r}',
    )


def explain_match(
    tables: model.Tables, facts: RequestFacts
) -> tuple[RouteVerdict, ...]:
    """Says of every route, in order, why it takes a request or not."""
    verdicts: list[RouteVerdict] = []
    chosen: str | None = None
    for route in tables.ordered_routes:
        obstacles = _obstacles(route.match, facts)
        if obstacles:
            reason = '; '.join(obstacles)
        elif chosen is None:
            reason = 'first route that matches'
        else:
            reason = f'matches, but route {chosen!r} comes first'
        first = not obstacles and chosen is None
        if first:
            chosen = route.name
        verdicts.append(RouteVerdict(route.name, not obstacles, first, reason))
    return tuple(verdicts)


def _matches(match: model.Match, facts: RequestFacts) -> bool:
    return (
        facts.path.startswith(match.path_prefix)
        and (not match.models or facts.model in match.models)
        and (
            not match.organisations
            or facts.organisation in match.organisations
        )
    )


def _obstacles(match: model.Match, facts: RequestFacts) -> list[str]:
    obstacles = []
    if not facts.path.startswith(match.path_prefix):
        obstacles.append(
            f'path {facts.path!r} does not start with {match.path_prefix!r}'
        )
    if match.models and facts.model not in match.models:
        obstacles.append(
            f'model {facts.model!r} is not in {_shown(match.models)}'
        )
    if match.organisations and facts.organisation not in match.organisations:
        obstacles.append(
            f'organisation {facts.organisation!r} is not in '
            f'{_shown(match.organisations)}'
        )
    return obstacles


def _shown(names: tuple[str, ...]) -> str:
    shown = ', '.join(names[:NAMES_SHOWN_MAX])
    rest = len(names) - NAMES_SHOWN_MAX
    return f'{shown} and {rest} more' if rest > 0 else shown
