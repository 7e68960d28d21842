"""Desired states of engines and their difference to the reported states."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model as targets_model


@attrs.frozen
class DesiredState:
    """The complete state that an engine should have.

    Attributes:
        models: Models to have loaded.
        adapters: Adapters to have loaded.
        version: Version of the weights; empty for any.
        role: Role of the engine; empty for any.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str


@attrs.frozen
class Order:
    """An order to one engine to reach a desired state.

    Attributes:
        desired: The complete desired state, never a partial change.
        fencing: Fencing token of the lease under which the order is sent.
        expires_at_s: When the engine must discard the order, in seconds
            since the Unix epoch.
    """

    desired: DesiredState
    fencing: int
    expires_at_s: float


@attrs.frozen
class Difference:
    """An engine that is not in its desired state.

    Attributes:
        target: The engine.
        desired: Its desired state; a version or role that the pool leaves
            open has the reported value.
        loads_weights: Whether weights must be loaded.
    """

    target: targets_model.Target
    desired: DesiredState
    loads_weights: bool


def lease_name(pool: str) -> str:
    """Returns the name of the lease that permits orders for a pool."""
    return f'orders/{pool}'


def desired_states(
    pool_name: str,
    pools: Mapping[str, tables_model.Pool],
    targets: Iterable[targets_model.Target],
) -> dict[targets_model.Target, DesiredState]:
    """Returns the desired states of the engines that a pool sends orders to.

    An engine that belongs to several pools gets orders for only one of them,
    because the lease holders of the pools would otherwise revert each other's
    orders. A pool that lists the target id takes precedence over one that
    lists the zone, which takes precedence over other pools. If several pools
    share the highest precedence, the desired model is ambiguous and the
    engine gets no orders.

    Args:
        pool_name: Name of the pool.
        pools: All pools by name.
        targets: The known targets.
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
    """Compares the desired states of engines with their load reports.

    Engines without a report of their current incarnation and engines that
    are leaving are skipped. A version or role that the pool leaves open keeps
    its reported value.

    Args:
        desired: Desired states by engine.
        reports: Latest load reports by target id.

    Returns:
        The engines whose reported state is not the desired state.
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
