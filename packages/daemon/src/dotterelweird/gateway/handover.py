"""Handover of an interrupted generation to another engine."""

import enum

import attrs

from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges

# Timeout of the call that stops a run at its old engine, in seconds. A copy
# between availability zones takes up to 0.25 s.
_STOP_TIMEOUT_S = 0.4


class HandoverWay(enum.Enum):
    """Origin of the copy from which a run continues."""

    EVACUATED = 'moved before its engine left'
    MOVED = 'moved when its link ended'
    STAYED = 'stopped and kept at its engine'
    BACKUP = 'copy kept meanwhile, engine has no such run'
    BACKUP_UNREACHED = 'copy kept meanwhile, engine not reached'


@attrs.frozen
class Handover:
    """Engine at which a generation continues, and the copy to start from.

    Attributes:
        target: The engine.
        copy: Copy of the run's memory.
        way: Origin of the copy.
    """

    target: targets.Target
    copy: api.RunCopy
    way: HandoverWay


async def stop_source(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    source: targets.Target,
    backup: targets.Target,
) -> Handover:
    """Stops a run at its engine and finds its newest copy.

    A run that continued at a second engine while the first one still worked
    on it would run twice.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        source: The engine that has the run.
        backup: The engine that keeps a backup of the run's memory, or that
            the memory is copied to now.

    Returns:
        Where the run can continue. Its way is BACKUP_UNREACHED if the engine
        is paused or the call failed.
    """
    request_id = exchange.request.request_id
    backup_copy = api.RunCopy(backup.address, request_id)
    if parts.is_paused(source):
        return Handover(backup, backup_copy, HandoverWay.BACKUP_UNREACHED)
    move = await parts.run_control.move(
        request_id, source, backup, final=True, timeout_s=_STOP_TIMEOUT_S
    )
    moved_copy = api.RunCopy(source.address, move.handle)
    match move.result:
        case api.MoveResult.MOVED:
            return Handover(backup, moved_copy, HandoverWay.MOVED)
        case api.MoveResult.STOPPED:
            return Handover(source, moved_copy, HandoverWay.STAYED)
        case api.MoveResult.NO_RUN:
            return Handover(backup, backup_copy, HandoverWay.BACKUP)
        case _:
            return Handover(backup, backup_copy, HandoverWay.BACKUP_UNREACHED)
