"""Membership of targets in pools."""

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model


def belongs(
    target: model.Target,
    report: model.LoadReport | None,
    pool: tables_model.Pool,
) -> bool:
    """Tests whether a target belongs to a pool and may have its model loaded.

    Args:
        target: The target.
        report: Its newest load report, if there is one.
        pool: The pool's row in the table.
    """
    if target.service != pool.service:
        return False
    if pool.zones and target.zone not in pool.zones:
        return False
    if pool.target_ids and target.target_id not in pool.target_ids:
        return False
    loaded = report.models if report is not None else ()
    # An engine that reports its models without the pool's model would fail
    # the request. One that reports no models may still have it loaded.
    return not (pool.model and loaded and pool.model not in loaded)
