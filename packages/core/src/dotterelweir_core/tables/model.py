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
# A request that runs for more than a day is taken for a mistyped unit.
TIMEOUT_MAX_S = 86_400.0

# Names appear in log lines, URLs and metric labels.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/@+-]*')


class KeyFormat(enum.StrEnum):
    """Which idempotency keys a route accepts."""

    ANY = 'any'
    UUID7 = 'uuid7'


@attrs.frozen
class Match:
    """Which requests a route takes. An empty field matches everything.

    Attributes:
        path_prefix: Prefix of the URL path.
        models: Names that the request's model field may have.
        organisations: Names of organisations.
    """

    path_prefix: str = '/'
    models: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ()


@attrs.frozen
class Route:
    """Says which requests go to which pool, and how.

    Attributes:
        name: Key of the row.
        match: Which requests the route takes.
        pool: Name of the pool.
        priority: 0 is the most urgent; at most 9.
        timeout_s: Bound on the whole request, in seconds.
        repeatable: Whether a failed call may be sent again.
        max_output_tokens: Bound on the output; None for no bound.
        organisation_limit_tokens_per_s: Bound on the tokens per second of
            each organisation, over all instances; None for no bound.
        key_format: Which idempotency keys are accepted.
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
    """Says which targets serve which model, adapters and version.

    Attributes:
        name: Key of the row.
        kind: Engine or plain service.
        service: Name of the service in the instance list.
        model: Model that the engines serve; empty for a plain service.
        adapters: Adapters that the engines have loaded.
        version: Version of the weights.
        role: Role that the engines have.
        zones: Zones whose targets belong to the pool; empty for all.
        target_ids: Targets that belong to the pool; empty for all.
        checks_fencing: Whether its engines refuse an old fencing number.
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
    """Both tables at one revision.

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
    """One wrong field.

    Attributes:
        table: 'route' or 'pool'.
        row: Name of the row.
        field: Name of the field.
        text: What is wrong with it.
    """

    table: str
    row: str
    field: str
    text: str

    def __str__(self) -> str:
        return f'{self.table} {self.row!r}: {self.field} {self.text}'


def validate(tables: Tables) -> tuple[FieldProblem, ...]:
    """Finds every wrong field of both tables.

    Returns:
        The problems in the order of tables, rows and fields; empty if the
        tables are valid.
    """
    return validate_rows(tables, tables.routes, tables.pools)


def validate_rows(
    tables: Tables, routes: Iterable[str], pools: Iterable[str]
) -> tuple[FieldProblem, ...]:
    """Finds every wrong field of some rows; absent rows have none.

    Args:
        tables: The tables that names are looked up in.
        routes: Names of the routes to check.
        pools: Names of the pools to check.
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
