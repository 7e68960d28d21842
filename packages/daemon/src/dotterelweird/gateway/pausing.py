"""Waits for targets that asked for a pause, if one ends in time."""

import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges

LOG = logging.getLogger(__name__)

# Share of the time left that a wait may take: the rest is for the answer.
_WAIT_SHARE_MAX = 0.5
# Longest wait after the arrival, as a multiple of the objective. Callers give
# up a stream without a first event after four times the objective.
_WAIT_FACTOR_MAX = 2.5
# Longest gap within a stream for a pause, in seconds: callers give a stream
# up after two.
_STREAM_WAIT_MAX_S = 1.5


def pause_remaining_s(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> float:
    """Time until a pause ends that alone keeps a request from being sent.

    Returns:
        The time in seconds; 0 if no target is paused, or if the request
        cannot be sent after a pause either.
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
    """Waits for the one engine that a generation can go on at.

    Returns:
        Whether the engine takes requests, now or after a short pause.
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
    """Chooses a target that was not tried, after a pause if need be.

    Returns:
        The choice; None if no target takes the request in time.

    Raises:
        DotterelweirError: The process stops and would cut the request off.
    """
    choice = parts.choose(exchange, exchange.tried)
    if choice is None and await _wait_for_pause_end(parts, exchange):
        parts.check_stop(exchange)
        choice = parts.choose(exchange, exchange.tried)
    return choice


async def _wait_for_pause_end(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> bool:
    """Waits for the end of a pause, unless that would be too late.

    Returns:
        Whether it waited, so that a target may be free now.
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
