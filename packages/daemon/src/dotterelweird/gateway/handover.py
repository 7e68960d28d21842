"""Handover of an interrupted generation to another engine."""

import enum
import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import pausing

LOG = logging.getLogger(__name__)

# Timeout of the call that stops a run at its old engine, in seconds. A copy
# between availability zones takes up to 0.25 s.
_STOP_TIMEOUT_S = 0.4
# Delay before an engine is called again that answered without stopping the
# run or broke the call off, in seconds.
_RETRY_DELAY_S = 0.1
# Time since the last event of any stream within which an engine that accepts
# no connection counts as working, in seconds; shorter than the timeout of a
# connection.
_HEARD_S = 0.1


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

    @property
    def is_confirmed(self) -> bool:
        """Whether the engine before stopped the run and keeps its memory."""
        return self.way in (
            HandoverWay.EVACUATED,
            HandoverWay.MOVED,
            HandoverWay.STAYED,
        )


async def stop_source(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    source: targets.Target,
    backup: targets.Target,
    link_ended: bool = True,
) -> Handover | None:
    """Stops a run at its engine and finds its newest copy.

    A run that continued at a second engine while the first one still worked
    on it would run twice. Only an engine that cannot be reached is taken as
    stopped without its confirmation, and only if none of its streams shows
    that it works on. A call that breaks off is repeated: an engine that has
    ended then refuses the connection, a live one answers. Once the link has
    ended, a call without an answer is repeated, too; before, a run that was
    stopped ends its link.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        source: The engine that has the run.
        backup: The engine that keeps a backup of the run's memory, or that
            the memory is copied to now.
        link_ended: Whether the link to the engine has ended.

    Returns:
        Where the run can continue; None if the engine accepts no call in
        time, answered without stopping the run, answered no call or kept
        breaking off the call.
    """
    results: list[api.MoveResult] = []
    found = await _call_until_stopped(
        parts, exchange, source, backup, link_ended, results
    )
    if found is None:
        parts.statistics.unstopped_runs.inc({})
        events.log(
            LOG,
            events.RUN_NOT_STOPPED,
            request_id=exchange.request.request_id,
            source=source.target_id,
            results=[result.value for result in results],
        )
    return found


async def _call_until_stopped(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    source: targets.Target,
    backup: targets.Target,
    link_ended: bool,
    results: list[api.MoveResult],
) -> Handover | None:
    """Calls an engine until it has stopped a run or the time is up.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        source: The engine that has the run.
        backup: The engine that keeps a copy.
        link_ended: Whether the link to the engine has ended.
        results: Gets the result of each call.
    """
    if not await pausing.wait_for_target(parts, exchange, source):
        return None
    request_id = exchange.request.request_id
    backup_copy = api.RunCopy(backup.address, request_id)
    deadline_s = parts.timers.monotonic_s() + _STOP_TIMEOUT_S
    # Whether a call was answered, and whether one was accepted in vain.
    answered = accepted = False
    while True:
        left_s = deadline_s - parts.timers.monotonic_s()
        if left_s <= 0:
            return None
        call = exchanges.RunCall(
            source.target_id, True, parts.timers.monotonic_s()
        )
        exchange.run_calls.append(call)
        move = await parts.run_control.move(
            request_id, source, backup, final=True, timeout_s=left_s
        )
        call.result = move.result.value
        results.append(move.result)
        moved_copy = api.RunCopy(source.address, move.handle)
        match move.result:
            case api.MoveResult.MOVED:
                return Handover(backup, moved_copy, HandoverWay.MOVED)
            case api.MoveResult.STOPPED:
                return Handover(source, moved_copy, HandoverWay.STAYED)
            case api.MoveResult.NO_RUN:
                return Handover(backup, backup_copy, HandoverWay.BACKUP)
            case api.MoveResult.REFUSED | api.MoveResult.UNREACHABLE if (
                not answered and _has_ended(parts, source, move.result)
            ):
                way = HandoverWay.BACKUP_UNREACHED
                return Handover(backup, backup_copy, way)
            case api.MoveResult.TIMED_OUT if not link_ended:
                return None
            case api.MoveResult.BROKEN | api.MoveResult.TIMED_OUT if (
                not accepted
            ):
                accepted = True
                # An engine that ends late in the call is called again, too.
                deadline_s = parts.timers.monotonic_s() + _STOP_TIMEOUT_S
            case (
                api.MoveResult.BROKEN
                | api.MoveResult.TIMED_OUT
                | api.MoveResult.REFUSED
                | api.MoveResult.UNREACHABLE
            ):
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


def _has_ended(
    parts: dependencies.Forwarding,
    source: targets.Target,
    result: api.MoveResult,
) -> bool:
    """Whether a call without a connection shows that an engine has ended.

    Args:
        parts: Dependencies shared by all requests.
        source: The engine.
        result: Result of the call.
    """
    if result is api.MoveResult.REFUSED:
        return True
    # A full accept queue also leaves a connection unanswered.
    now_s = parts.timers.monotonic_s()
    return now_s - parts.loads.get(source.target_id).last_event_s > _HEARD_S
