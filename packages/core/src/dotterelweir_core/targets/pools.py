"""Which targets belong to a pool."""

from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model


def belongs(
    target: model.Target,
    report: model.LoadReport | None,
    pool: tables_model.Pool,
) -> bool:
    """Whether a target belongs to a pool and has its model loaded.

    Args:
        target: The target.
        report: Its newest load report, if there is one.
        pool: The row of the pool.
    """
    if target.service != pool.service:
        return False
    if pool.zones and target.zone not in pool.zones:
        return False
    if pool.target_ids and target.target_id not in pool.target_ids:
        return False
    loaded = report.models if report is not None else ()
    # An engine that names its models and lacks the pool's would fail the
    # request; one that names none is given the benefit of the doubt.
    return not (pool.model and loaded and pool.model not in loaded)
