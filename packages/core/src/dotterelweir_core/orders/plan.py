"""What engines should have loaded, and the orders that bring them there."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model


@attrs.frozen
class DesiredState:
    """The whole state that an engine should have.

    Attributes:
        models: Models that are loaded.
        adapters: Adapters that are loaded.
        version: Version of the weights; empty for any.
        role: Role of the engine; empty for any.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str


@attrs.frozen
class Order:
    """An order to one engine.

    Attributes:
        desired: The whole state, never a step.
        fencing: Fencing number of the lease under which it is given.
        expires_at_s: When the engine must drop it, in wall seconds.
    """

    desired: DesiredState
    fencing: int
    expires_at_s: float


@attrs.frozen
class Difference:
    """An engine that is not in its desired state.

    Attributes:
        target: The engine.
        desired: What it should have.
        loads_weights: Whether weights must be loaded.
    """

    target: targets_model.Target
    desired: DesiredState
    loads_weights: bool


def lease_name(pool: str) -> str:
    """The lease under which orders for a pool are given."""
    return f'orders/{pool}'


def desired_states(
    pool_name: str,
    pools: Mapping[str, tables_model.Pool],
    targets: Iterable[targets_model.Target],
) -> dict[targets_model.Target, DesiredState]:
    """The desired state of the engines that a pool gives orders to.

    An engine that belongs to several pools is ordered by one of them only,
    as their lease holders would otherwise undo each other's orders: the
    pool that names the target comes first, then one that names its zone. If
    several are left, the tables do not say which model the engine should
    have, and it gets no orders.
    """
    pool = pools[pool_name]
    if not _issues_orders(pool):
        return {}
    desired = DesiredState(
        (pool.model,), tuple(pool.adapters), pool.version, pool.role
    )
    return {
        target: desired
        for target in targets
        if _issuing_pool(target, pools) == pool_name
    }


def reconcile(
    desired: Mapping[targets_model.Target, DesiredState],
    reports: Mapping[str, targets_model.LoadReport],
) -> tuple[Difference, ...]:
    """Compares what engines should have with what they report.

    An engine without a report of its present incarnation gets no order, and
    neither does one that is leaving. What a pool leaves open stays as it is
    reported.
    """
    differences = []
    for target, pool_state in desired.items():
        report = reports.get(target.target_id)
        if (
            report is None
            or report.incarnation != target.incarnation
            or report.state is not targets_model.TargetState.LIVE
        ):
            continue
        desired_state = attrs.evolve(
            pool_state,
            version=pool_state.version or report.version,
            role=pool_state.role or report.role,
        )
        if _matches(desired_state, report):
            continue
        loads_weights = (
            not set(desired_state.models) <= set(report.models)
            or not set(desired_state.adapters) <= set(report.adapters)
            or desired_state.version != report.version
        )
        differences.append(Difference(target, desired_state, loads_weights))
    return tuple(differences)


def _matches(
    desired_state: DesiredState, report: targets_model.LoadReport
) -> bool:
    return (
        set(desired_state.models) == set(report.models)
        and set(desired_state.adapters) == set(report.adapters)
        and desired_state.version == report.version
        and desired_state.role == report.role
    )


def _issues_orders(pool: tables_model.Pool) -> bool:
    return pool.kind is targets_model.TargetKind.ENGINE and bool(pool.model)


def _issuing_pool(
    target: targets_model.Target, pools: Mapping[str, tables_model.Pool]
) -> str | None:
    ranked = sorted(
        (not pool.target_ids, not pool.zones, name)
        for name, pool in pools.items()
        if _issues_orders(pool)
        and pool.service == target.service
        and (not pool.zones or target.zone in pool.zones)
        and (not pool.target_ids or target.target_id in pool.target_ids)
    )
    if not ranked or len(ranked) > 1 and ranked[0][:2] == ranked[1][:2]:
        return None
    return ranked[0][2]
