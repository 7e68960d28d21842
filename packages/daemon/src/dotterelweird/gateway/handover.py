"""Where a generation goes on after its engine."""

import enum

import attrs

from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges

# Bound on the call that stops a run at its old engine, in seconds. A copy
# takes up to a quarter of a second between availability zones.
_STOP_TIMEOUT_S = 0.4


class HandoverWay(enum.Enum):
    """How the memory of a run came to where it goes on."""

    EVACUATED = 'moved before its engine left'
    MOVED = 'moved when its link ended'
    STAYED = 'stopped and kept at its engine'
    BACKUP = 'copy kept meanwhile, engine has no such run'
    BACKUP_UNREACHED = 'copy kept meanwhile, engine not reached'


@attrs.frozen
class Handover:
    """Where a generation goes on.

    Attributes:
        target: The engine.
        copy: The copy of its memory.
        way: How the copy came there.
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
    """Makes sure that a run has stopped, and finds its newest copy.

    A run that went on at a second engine while the first still worked on it
    would run twice.

    Args:
        parts: Shared parts.
        exchange: The request.
        source: The engine that ran it.
        backup: Where its memory is copied to, or was while it ran.
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
