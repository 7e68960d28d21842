"""Chooses targets, with a wait for a pause or a turn if it is short enough."""

from collections.abc import Sequence
import logging

from dotterelweir_core import events
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import run_record

LOG = logging.getLogger(__name__)

# Share of the remaining time that a wait may take; the rest is for the answer.
_WAIT_SHARE_MAX = 0.5
# Latest end of a wait after the arrival, as a multiple of the objective.
# Callers give up a stream without a first event after four times the
# objective.
_WAIT_FACTOR_MAX = 2.5
# Longest wait for a pause in the middle of a stream, in seconds. Callers give
# up a stream after two seconds without an event.
STREAM_WAIT_MAX_S = 1.5
# Longest time after which the pause of a target that is waited for is looked
# at again, in seconds.
_PAUSE_CHECK_S = 0.1
# Time between two looks for a place at brittle targets, in seconds.
_PLACE_CHECK_S = 0.01


def blocked_remaining_s(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> float:
    """Returns the time for which only pauses and limits delay a request.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.

    Returns:
        The time until the first target that was not tried yet accepts the
        request, in seconds; 0 if such a target accepts it now, or if there
        is none.
    """
    ready = parts.placer.ready(parts.candidates(exchange), exchange.tried)
    if not ready:
        return 0.0
    accepted_s = min(
        max(
            parts.placer.pause_registry.pause_end_s(target),
            parts.limiter.next_turn_s(target),
        )
        for target in ready
    )
    return max(0.0, accepted_s - parts.timers.monotonic_s())


async def wait_for_target(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    target: targets.Target,
    wait_max_s: float = STREAM_WAIT_MAX_S,
) -> bool:
    """Waits until an engine accepts a call or a request for a generation.

    The engine may extend its pause, or begin one, at any moment of the wait.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        target: The engine.
        wait_max_s: Longest wait, in seconds.

    Returns:
        Whether the engine may be sent a request now; False as soon as its
        pause, or the wait for a turn, is too long.
    """
    until_s = parts.timers.monotonic_s() + wait_max_s
    while True:
        now_s = parts.timers.monotonic_s()
        pause_end_s = parts.placer.pause_registry.pause_end_s(target)
        if pause_end_s > until_s:
            return False
        if pause_end_s > now_s:
            await timers.sleep(
                parts.timers, min(pause_end_s - now_s, _PAUSE_CHECK_S)
            )
            continue
        granted = await parts.limiter.acquire(
            target, exchange.request.request_id, until_s - now_s, urgent=True
        )
        if not granted:
            return False
        if not parts.gate.is_paused(target):
            return True


async def choose_way(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    ways: Sequence[run_record.Way],
) -> run_record.Way | None:
    """Chooses the engine at which a stopped run continues.

    The run is lost without one of them, so that the wait may take all the
    time of the request.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        ways: The engines with their copies, in order of preference.

    Returns:
        The first one that accepts the run; None if none does in time.
    """
    while True:
        now_s = parts.timers.monotonic_s()
        left_s = exchange.deadline_s - now_s
        usable = [
            way
            for way in ways
            if parts.gate.find_lasting_obstacle(
                way.target,
                resumes=True,
                stream_version=exchange.stream_version,
            )
            is None
        ]
        pauses_s = [
            parts.placer.pause_registry.pause_end_s(way.target) - now_s
            for way in usable
        ]
        if not usable or left_s <= 0 or min(pauses_s) > left_s:
            return None
        for way, pause_s in zip(usable, pauses_s, strict=True):
            if pause_s > 0:
                continue
            granted = await parts.limiter.acquire(
                way.target,
                exchange.request.request_id,
                left_s if len(usable) == 1 else STREAM_WAIT_MAX_S,
                urgent=True,
            )
            if granted and not parts.gate.is_paused(way.target):
                return way
        await timers.sleep(parts.timers, _PAUSE_CHECK_S)


async def choose_target(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> placement.Choice | None:
    """Chooses a target that was not tried yet, after a wait if necessary.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.

    Returns:
        The choice, with a turn if the target limits its request rate; None if
        no target accepts the request in time.

    Raises:
        DotterelweirError: The process is stopping and would cut the request
            off.
    """
    parts.check_stop(exchange)
    choice = await _choose_with_turn(parts, exchange)
    if choice is None and await _wait_for_pause_end(parts, exchange):
        parts.check_stop(exchange)
        choice = await _choose_with_turn(parts, exchange)
    if choice is None:
        choice = await _choose_with_turn(
            parts, exchange, _wait_max_s(parts, exchange)
        )
        parts.check_stop(exchange)
    if choice is None and parts.placer.brittle.is_brittle(
        exchange.service.name
    ):
        choice = await _wait_for_place(parts, exchange)
        parts.check_stop(exchange)
    return choice


async def _wait_for_place(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> placement.Choice | None:
    """Waits until a brittle target has a place, unless that is too late.

    Returns:
        The choice; None if no target has a place in time.
    """
    until_s = parts.timers.monotonic_s() + _wait_max_s(parts, exchange)
    choice = None
    while choice is None and parts.timers.monotonic_s() < until_s:
        if not parts.placer.ready(parts.candidates(exchange), exchange.tried):
            return None
        await timers.sleep(parts.timers, _PLACE_CHECK_S)
        choice = await _choose_with_turn(parts, exchange)
    return choice


async def _choose_with_turn(
    parts: dependencies.Forwarding,
    exchange: exchanges.Exchange,
    wait_max_s: float = 0.0,
) -> placement.Choice | None:
    """Chooses a target and obtains a turn if it limits its request rate.

    Args:
        parts: Dependencies shared by all requests.
        exchange: The request.
        wait_max_s: Longest wait for a turn, in seconds.

    Returns:
        The choice; None if no target accepts the request in time.
    """
    refused: set[str] = set()
    advised: set[str] = set()
    while True:
        choice = parts.choose(exchange, exchange.tried | refused)
        if choice is None:
            # Only learned paces are left as obstacles. They spare a target
            # while others can serve, and refuse no caller.
            choice = parts.choose(
                exchange, exchange.tried | (refused - advised)
            )
            if choice is None or choice.target.target_id not in advised:
                return None
            return choice
        target = choice.target
        granted = await parts.limiter.acquire(
            target, exchange.request.request_id, wait_max_s
        )
        # The target may have left or paused while a turn was obtained.
        if granted and parts.gate.accepts(target):
            return choice
        refused.add(target.target_id)
        if parts.limiter.is_only_advised(target) and parts.gate.accepts(
            target
        ):
            advised.add(target.target_id)


def _wait_max_s(
    parts: dependencies.Forwarding, exchange: exchanges.Exchange
) -> float:
    """Returns the longest wait for a target that is not too late."""
    now_s = parts.timers.monotonic_s()
    return max(
        0.0,
        min(
            _WAIT_SHARE_MAX * (exchange.deadline_s - now_s),
            exchange.arrived_s
            + _WAIT_FACTOR_MAX * exchange.route.objective_s
            - now_s,
        ),
    )


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
    pause_end_s = parts.placer.paused_until_s(
        parts.candidates(exchange), exchange.tried
    )
    if pause_end_s is None:
        return False
    wait_s = pause_end_s - parts.timers.monotonic_s()
    if not 0.0 < wait_s <= _wait_max_s(parts, exchange):
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
