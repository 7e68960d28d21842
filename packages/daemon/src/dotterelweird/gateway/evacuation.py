"""Moves a run away from an engine that leaves.

The run's memory is copied while it goes on; then it is stopped and only
what is new is copied, so that the pause is short.
"""

import logging

import attrs

from dotterelweir_core import events
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges

LOG = logging.getLogger(__name__)

# Destinations that are tried before a run is left where it is.
_DESTINATIONS_MAX = 3
# Bound on a copy while the run goes on, in seconds. An engine may be gone
# 1.5 s after its notice.
_COPY_TIMEOUT_S = 1.2
# Bound on the last copy, in seconds: it holds what was generated since.
_LAST_COPY_TIMEOUT_S = 1.0


@attrs.frozen
class Evacuated:
    """A run was stopped and its memory is at another engine.

    Attributes:
        target: Where it goes on.
        copy: The copy to go on from.
    """

    target: targets.Target
    copy: api.RunCopy


async def evacuate(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    source: targets.Target,
    tokens: int,
) -> Evacuated | None:
    """Moves a run to another engine.

    Args:
        parts: Shared parts.
        exchange: The request.
        source: Where it runs.
        tokens: Tokens that it holds and is expected to need.

    Returns:
        Where it goes on; None if it runs on at the source or has ended.
    """
    tried = {source.target_id}
    for _ in range(_DESTINATIONS_MAX):
        destination = parts.placer.choose_refuge(
            parts.directory.of_service(exchange.service.name),
            exchange.service,
            tokens,
            parts.timers.monotonic_s(),
            tried,
        )
        if destination is None:
            break
        tried.add(destination.target_id)
        move = await _move(parts, exchange, source, destination, False)
        if move.result is api.MoveResult.NO_RUN:
            return None
        if move.result is not api.MoveResult.MOVED:
            continue
        last = await _move(parts, exchange, source, destination, True)
        match last.result:
            case api.MoveResult.NO_RUN:
                return None
            case api.MoveResult.STOPPED:
                copy = api.RunCopy(source.address, last.handle)
                return Evacuated(source, copy)
            case _:
                # The first copy lacks only what was generated since.
                handle = last.handle or move.handle
                copy = api.RunCopy(source.address, handle)
                return Evacuated(destination, copy)
    events.log(
        LOG,
        events.EVACUATION_FAILED,
        request_id=exchange.request.request_id,
        source=source.target_id,
        destinations=len(tried) - 1,
    )
    return None


async def _move(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    source: targets.Target,
    destination: targets.Target,
    final: bool,
) -> api.Move:
    timeout_s = _LAST_COPY_TIMEOUT_S if final else _COPY_TIMEOUT_S
    return await parts.runs.move(
        exchange.request.request_id, source, destination, final, timeout_s
    )
