"""Waits for the end of a target's requested pause, if that is soon enough."""

import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges

LOG = logging.getLogger(__name__)

# Share of the remaining time that a wait may take; the rest is for the answer.
_WAIT_SHARE_MAX = 0.5
# Latest end of a wait after the arrival, as a multiple of the objective.
# Callers give up a stream without a first event after four times the
# objective.
_WAIT_FACTOR_MAX = 2.5
# Longest wait for a pause in the middle of a stream, in seconds. Callers give
# up a stream after two seconds without an event.
_STREAM_WAIT_MAX_S = 1.5


def pause_remaining_s(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> float:
    """Returns the time for which only pauses keep a request from being sent.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.

    Returns:
        The time until the first pause of a target that was not tried yet
        ends, in seconds; 0 if such a target has no pause, or if there is
        none.
    """
    pause_end_s = parts.placer.paused_until_s(
        parts.directory.of_service(exchange.service.name), exchange.tried
    )
    if pause_end_s is None:
        return 0.0
    return max(0.0, pause_end_s - parts.timers.monotonic_s())


async def wait_for_target(
    parts: dependencies.Forwarding, target: targets.Target
) -> bool:
    """Waits for the pause of the only engine that can continue a generation.

    Args:
        parts: Dependencies shared by all requests.
        target: The engine.

    Returns:
        Whether the pause has ended; False without a wait if it is too long.
    """
    now_s = parts.timers.monotonic_s()
    wait_s = parts.placer.pause_registry.pause_end_s(target) - now_s
    if wait_s > _STREAM_WAIT_MAX_S:
        return False
    if wait_s > 0:
        await timers.sleep(parts.timers, wait_s)
    return True


async def choose_target(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> placement.Choice | None:
    """Chooses a target that was not tried yet, after a pause if necessary.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.

    Returns:
        The choice; None if no target accepts the request in time.

    Raises:
        DotterelweirError: The process is stopping and would cut the request
            off.
    """
    parts.check_stop(exchange)
    choice = parts.choose(exchange, exchange.tried)
    if choice is None and await _wait_for_pause_end(parts, exchange):
        parts.check_stop(exchange)
        choice = parts.choose(exchange, exchange.tried)
    return choice


async def _wait_for_pause_end(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> bool:
    """Waits for the end of the first pause, unless that would be too late.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.

    Returns:
        Whether it waited, so that a target may accept the request now.
    """
    wait_s = pause_remaining_s(parts, exchange)
    now_s = parts.timers.monotonic_s()
    wait_max_s = min(
        _WAIT_SHARE_MAX * (exchange.deadline_s - now_s),
        exchange.arrived_s
        + _WAIT_FACTOR_MAX * exchange.route.objective_s
        - now_s,
    )
    if not 0.0 < wait_s <= wait_max_s:
        return False
    events.log(
        LOG,
        events.WAITED_FOR_PAUSE,
        request_id=exchange.request.request_id,
        service=exchange.service.name,
        wait_s=round(wait_s, 3),
    )
    await timers.sleep(parts.timers, wait_s)
    return True
