"""Rows of the two tables that operators edit."""

import enum

import attrs

from dotterelweir_core.targets import model as targets_model


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
