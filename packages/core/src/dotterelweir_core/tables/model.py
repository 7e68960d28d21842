"""Rows of the two tables that operators edit, and their validation."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import functools
import math
import re

import attrs

from dotterelweir_core.targets import model as targets_model

NAME_MAX_CHARS = 128
PRIORITY_MAX = 9
ORDER_MAX = 1_000_000
# A timeout above one day is most likely given in the wrong unit.
TIMEOUT_MAX_S = 86_400.0

# Names appear in log lines, URLs and metric labels.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/@+-]*')


class KeyFormat(enum.StrEnum):
    """The form of idempotency keys that a route accepts."""

    ANY = 'any'
    UUID7 = 'uuid7'


@attrs.frozen
class Match:
    """The conditions of a route. An empty field matches every request.

    Attributes:
        path_prefix: Prefix of the URL path.
        models: Accepted values of the request's model field.
        organisations: Names of the accepted organisations.
    """

    path_prefix: str = '/'
    models: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ()


@attrs.frozen
class Route:
    """Maps requests to a pool and sets how they are handled.

    Attributes:
        name: Key of the row.
        match: Conditions that a request must meet.
        pool: Name of the pool.
        priority: Priority from 0, the most urgent, to 9.
        timeout_s: Time limit of the whole request, in seconds.
        repeatable: Whether a failed call may be sent again.
        max_output_tokens: Limit of the output, in tokens; None for no limit.
        organisation_limit_tokens_per_s: Limit of each organisation over all
            instances, in tokens per second; None for no limit.
        key_format: Form of the idempotency keys that are accepted.
        order: Routes are tried by ascending order, then by descending
            length of the path prefix, then by name.
    """

    name: str
    match: Match
    pool: str
    priority: int = 5
    timeout_s: float = 600.0
    repeatable: bool = True
    max_output_tokens: int | None = None
    organisation_limit_tokens_per_s: float | None = None
    key_format: KeyFormat = KeyFormat.ANY
    order: int = 100


@attrs.frozen
class Pool:
    """Defines a group of targets and what they serve.

    Attributes:
        name: Key of the row.
        kind: Whether the targets are engines or plain services.
        service: Name of the service in the instance list.
        model: Model that the engines serve; empty for a plain service.
        adapters: Adapters that the engines have loaded.
        version: Version of the weights.
        role: Role of the engines.
        zones: Availability zones of the pool's targets; empty for all.
        target_ids: Names of the pool's targets; empty for all.
        checks_fencing: Whether the engines reject an old fencing token.
    """

    name: str
    kind: targets_model.TargetKind
    service: str
    model: str = ''
    adapters: tuple[str, ...] = ()
    version: str = ''
    role: str = ''
    zones: tuple[str, ...] = ()
    target_ids: tuple[str, ...] = ()
    checks_fencing: bool = False


@attrs.frozen
class Tables:
    """The tables of routes and pools at one revision.

    Attributes:
        routes: Routes by name.
        pools: Pools by name.
        revision: Offset of the last accepted edit; -1 before the first.
    """

    routes: dict[str, Route] = attrs.field(factory=dict)
    pools: dict[str, Pool] = attrs.field(factory=dict)
    revision: int = -1

    @functools.cached_property
    def ordered_routes(self) -> tuple[Route, ...]:
        """The routes in the order in which they are tried."""
        return tuple(
            sorted(
                self.routes.values(),
                key=lambda route: (
                    route.order,
                    -len(route.match.path_prefix),
                    route.name,
                ),
            )
        )


@attrs.frozen
class FieldProblem:
    """A validation error of one field.

    Attributes:
        table: Name of the table, 'route' or 'pool'.
        row: Name of the row.
        field: Name of the field.
        text: Description of the error.
    """

    table: str
    row: str
    field: str
    text: str

    def __str__(self) -> str:
        return f'{self.table} {self.row!r}: {self.field} {self.text}'


def validate(tables: Tables) -> tuple[FieldProblem, ...]:
    """Validates every field of both tables.

    Returns:
        The problems in the order of tables, rows and fields; empty if the
        tables are valid.
    """
    return validate_rows(tables, tables.routes, tables.pools)


def validate_rows(
    tables: Tables, routes: Iterable[str], pools: Iterable[str]
) -> tuple[FieldProblem, ...]:
    """Validates every field of the named rows; absent rows are skipped.

    Args:
        tables: The tables that contain the rows.
        routes: Names of the routes to validate.
        pools: Names of the pools to validate.

    Returns:
        The problems in the order of tables, rows and fields.
    """
    problems: list[FieldProblem] = []
    for name in sorted(set(routes) & tables.routes.keys()):
        problems.extend(
            FieldProblem('route', name, field, text)
            for field, text in _route_problems(
                name, tables.routes[name], tables.pools
            )
        )
    for name in sorted(set(pools) & tables.pools.keys()):
        problems.extend(
            FieldProblem('pool', name, field, text)
            for field, text in _pool_problems(name, tables.pools[name])
        )
    return tuple(problems)


_Problems = Iterator[tuple[str, str]]


def _route_problems(
    key: str, route: Route, pools: dict[str, Pool]
) -> _Problems:
    yield from _check_key(key, route.name)
    if not route.match.path_prefix.startswith('/'):
        yield (
            'match.path_prefix',
            f'must start with "/", not {route.match.path_prefix!r}',
        )
    yield from _check_names('match.models', route.match.models)
    yield from _check_names('match.organisations', route.match.organisations)
    pool = pools.get(route.pool)
    if pool is None:
        yield 'pool', f'names no pool: {route.pool!r}'
    yield from _check_range('priority', route.priority, 0, PRIORITY_MAX)
    yield from _check_range('order', route.order, -ORDER_MAX, ORDER_MAX)
    if not 0 < route.timeout_s <= TIMEOUT_MAX_S:
        yield (
            'timeout_s',
            f'must be above 0 and at most {TIMEOUT_MAX_S:g}, '
            f'not {route.timeout_s!r}',
        )
    tokens = route.max_output_tokens
    if tokens is not None and tokens < 1:
        yield 'max_output_tokens', f'must be at least 1, not {tokens!r}'
    limit = route.organisation_limit_tokens_per_s
    if limit is not None and not (math.isfinite(limit) and limit > 0):
        yield (
            'organisation_limit_tokens_per_s',
            f'must be above 0, not {limit!r}',
        )


def _pool_problems(key: str, pool: Pool) -> _Problems:
    yield from _check_key(key, pool.name)
    yield from _check_name('service', pool.service)
    yield from _check_names('adapters', pool.adapters)
    yield from _check_names('zones', pool.zones)
    yield from _check_names('target_ids', pool.target_ids)
    if pool.kind is targets_model.TargetKind.ENGINE:
        yield from _check_name('model', pool.model)
        for field in ('version', 'role'):
            if getattr(pool, field):
                yield from _check_name(field, getattr(pool, field))
        return
    for field in ('model', 'adapters', 'version', 'role', 'checks_fencing'):
        if getattr(pool, field):
            yield field, 'is only for a pool of engines'


def _check_key(key: str, name: str) -> _Problems:
    if key != name:
        yield 'name', f'must be the key of the row, not {name!r}'
    yield from _check_name('name', name)


def _check_name(field: str, name: str) -> _Problems:
    if not name:
        yield field, 'must not be empty'
    elif len(name) > NAME_MAX_CHARS:
        yield field, f'must have at most {NAME_MAX_CHARS} characters'
    elif not _NAME.fullmatch(name):
        yield (
            field,
            f'must start with a letter or digit and have only letters, '
            f'digits and ._:/@+- in it, not {name!r}',
        )


def _check_names(field: str, names: tuple[str, ...]) -> _Problems:
    for index, name in enumerate(names):
        yield from _check_name(f'{field}[{index}]', name)
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield field, f'names {name!r} more than once'


def _check_range(
    field: str, value: int, minimum: int, maximum: int
) -> _Problems:
    if not minimum <= value <= maximum:
        yield field, f'must be from {minimum} to {maximum}, not {value!r}'
