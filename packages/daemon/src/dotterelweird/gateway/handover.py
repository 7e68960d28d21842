"""Handover of an interrupted generation to another engine."""

import enum

import attrs

from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import pausing

# Timeout of the call that stops a run at its old engine, in seconds. A copy
# between availability zones takes up to 0.25 s.
_STOP_TIMEOUT_S = 0.4
# Delay before an engine is called again that answered without stopping the
# run or broke the call off, in seconds.
_RETRY_DELAY_S = 0.1


class HandoverWay(enum.Enum):
    """Origin of the copy from which a run continues."""

    EVACUATED = 'moved before its engine left'
    MOVED = 'moved when its link ended'
    STAYED = 'stopped and kept at its engine'
    BACKUP = 'copy kept meanwhile, engine has no such run'
    BACKUP_UNREACHED = 'copy kept meanwhile, engine not reached'
    BACKUP_UNANSWERED = 'copy kept meanwhile, no answer of the engine in time'


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
) -> Handover | None:
    """Stops a run at its engine and finds its newest copy.

    A run that continued at a second engine while the first one still worked
    on it would run twice. Only an engine that cannot be reached is taken as
    stopped without its confirmation. A call that breaks off is repeated: an
    engine that has ended then refuses the connection, a live one answers.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        source: The engine that has the run.
        backup: The engine that keeps a backup of the run's memory, or that
            the memory is copied to now.

    Returns:
        Where the run can continue; None if the engine accepts no call in
        time, answered without stopping the run or kept breaking off the call.
    """
    if not await pausing.wait_for_target(parts, exchange, source):
        return None
    request_id = exchange.request.request_id
    backup_copy = api.RunCopy(backup.address, request_id)
    deadline_s = parts.timers.monotonic_s() + _STOP_TIMEOUT_S
    answered = broken = False
    while True:
        left_s = deadline_s - parts.timers.monotonic_s()
        if left_s <= 0:
            return None
        move = await parts.run_control.move(
            request_id, source, backup, final=True, timeout_s=left_s
        )
        moved_copy = api.RunCopy(source.address, move.handle)
        match move.result:
            case api.MoveResult.MOVED:
                return Handover(backup, moved_copy, HandoverWay.MOVED)
            case api.MoveResult.STOPPED:
                return Handover(source, moved_copy, HandoverWay.STAYED)
            case api.MoveResult.NO_RUN:
                return Handover(backup, backup_copy, HandoverWay.BACKUP)
            case api.MoveResult.UNREACHABLE if not answered:
                way = HandoverWay.BACKUP_UNREACHED
                return Handover(backup, backup_copy, way)
            case api.MoveResult.TIMED_OUT if not (answered or broken):
                way = HandoverWay.BACKUP_UNANSWERED
                return Handover(backup, backup_copy, way)
            case api.MoveResult.BROKEN if not broken:
                broken = True
                # An engine that ends late in the call is called again, too.
                deadline_s = parts.timers.monotonic_s() + _STOP_TIMEOUT_S
            case api.MoveResult.BROKEN:
                pass
            case _:
                answered = True
        left_s = deadline_s - parts.timers.monotonic_s()
        if left_s <= _RETRY_DELAY_S:
            return None
        await timers.sleep(parts.timers, _RETRY_DELAY_S)
        if not await pausing.wait_for_target(parts, exchange, source):
            return None
        if parts.is_paused(source):
            return None
