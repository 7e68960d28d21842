"""Keeps the requests of all instances within the limits of targets.

Every request to a limited target, control calls included, needs a turn from
the target's coordinator, see ``dotterelweir_core.gateway.turns``. A target is
limited if it names a limit, or while it is paced after its start, see
``dotterelweir_core.gateway.pace``; the lower rate applies.
"""

import asyncio
from collections.abc import Callable
import itertools
import logging
import math

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import pace as gateway_pace
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import turns
from dotterelweird import timers as loop_timers
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)

# Time for which an answer of a coordinator is awaited before it is asked once
# more, in seconds. A datagram may be lost, and a busy instance answers late.
_ANSWER_TIMEOUT_S = 0.06
_ASKS_MAX = 2
# Time for which a coordinator that did not answer is not asked, in seconds.
_SILENT_S = 1.0
# Longest time after which the limit of a target is looked at again during a
# wait for a turn, in seconds.
_TURN_CHECK_S = 0.1
# Delays after which a changed limit is sent again, in seconds; a datagram may
# be lost. They last until a peer that was cut off counts as silent, and so as
# new when it returns.
_NEWS_DELAYS_S = (0.1, 0.5, 1.0, 2.0)
# Shortest time between two changes of one limit that are sent, in seconds. A
# target may name another limit in each answer.
_NEWS_INTERVAL_S = 0.2
# Maximum number of limited targets that are kept; the oldest are evicted
# first. A large deployment has fewer targets.
_TARGETS_MAX = 4_096
# Share of the instances above which a coordinator gives urgent turns at a
# paced target.
_URGENT_SHARE_MIN = 0.5
# Time after which a turn at a paced target that was not used yet lapses, in
# seconds. Requests of an instance that was frozen would reach the target
# together.
_TURN_LATE_MAX_S = 0.3

# Origin of a statement in an answer to this instance, in logs.
_OWN = 'own'
# Origins of the news that a target is cold, other than the addresses of peers.
STARTED = 'started'
STATED = 'stated'
RESTORED = 'restored'
_OWN_ORIGINS = frozenset({STARTED, STATED, RESTORED})

LimiterMessage = (
    rate_limits.LimitStatement
    | gateway_pace.PaceNotice
    | turns.TurnRequest
    | turns.TurnAnswer
)


@attrs.define(eq=False)
class _PendingRequest:
    """A request for a turn that a coordinator has not answered yet."""

    host: str
    answer: asyncio.Future


@attrs.define
class _LimitedTarget:
    """State of one limited target.

    Attributes:
        next_turn_s: Monotonic time before which the coordinator has no free
            turn, in seconds.
        limit_per_s: Limit by which this instance gave the last turn, in
            requests per second.
        schedule: Turns that this instance gives as a coordinator; None if it
            was not asked yet.
        news_sent_s: Monotonic time at which news of the limit was sent last,
            in seconds.
        news_timers: Sends of the newest change that are still due.
    """

    next_turn_s: float = float('-inf')
    limit_per_s: float = 0.0
    schedule: turns.TurnSchedule | None = None
    news_sent_s: float = float('-inf')
    news_timers: list[timers.TimerHandle] = attrs.field(factory=list)


class TargetLimiter:
    """Obtains and gives turns at targets that limit their request rate.

    Args:
        instance_id: Id of this instance.
        timer_service: The timer service.
        stats: Metrics of the process.
        send: Sends a message to the instance at an IP address.
        broadcast: Sends a message to all instances.
        view: Returns the other instances.
        pace: Paces of all targets.

    Attributes:
        limits: Limits of all targets.
        pace: Paces of all targets.
    """

    def __init__(
        self,
        instance_id: str,
        timer_service: timers.TimerService,
        stats: statistics.Statistics,
        send: Callable[[str, LimiterMessage], None],
        broadcast: Callable[[LimiterMessage], None],
        view: Callable[[], peer_view.PeerView],
        pace: gateway_pace.PaceRegistry | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._timers = timer_service
        self._statistics = stats
        self._send = send
        self._broadcast = broadcast
        self._view = view
        self.limits = rate_limits.LimitRegistry()
        self.pace = pace or gateway_pace.PaceRegistry()
        self._targets: bounded_map.BoundedMap[
            tuple[str, int], _LimitedTarget
        ] = bounded_map.BoundedMap(_TARGETS_MAX)
        self._pending: dict[int, _PendingRequest] = {}
        self._numbers = itertools.count(1)
        # Monotonic time until which a coordinator is not asked, by its id.
        self._silent_until_s: dict[str, float] = {}
        # Coordinators by target, for the peers that they were ranked among.
        self._ranked_peers: tuple[peer_view.Peer, ...] = ()
        self._ranked: dict[str, tuple[str, ...]] = {}

    def is_limited(self, target: targets.Target) -> bool:
        """Whether requests to a target need a turn now."""
        return self._rate_per_s(target) < rate_limits.UNLIMITED

    def is_only_advised(self, target: targets.Target) -> bool:
        """Whether only a learned pace limits a target.

        A request that no other target accepts is sent all the same: the pace
        spares a target, but no caller is refused or delayed for it.
        """
        return not self.limits.is_limited(
            target
        ) and self.pace.is_only_learned(
            *_key(target), self._timers.monotonic_s()
        )

    def _rate_per_s(self, target: targets.Target) -> float:
        return min(
            self.limits.rate_per_s(target),
            self.pace.rate_per_s(*_key(target), self._timers.monotonic_s()),
        )

    # What targets and other instances state.

    def report(self, statement: rate_limits.LimitStatement) -> None:
        """Applies a statement in an answer to this instance.

        Args:
            statement: The statement.
        """
        if self._apply(statement, _OWN):
            self._schedule_news(statement.target_id, statement.started_ms)

    def _apply(
        self, statement: rate_limits.LimitStatement, origin: str
    ) -> bool:
        if not self.limits.apply(statement, self._timers.elapsed_s()):
            return False
        # The time of the next turn belongs to the previous rate.
        key = (statement.target_id, statement.started_ms)
        self._target(key).next_turn_s = float('-inf')
        rate_per_s = statement.rate_per_s
        self._statistics.notices.inc({'kind': 'limit'})
        events.log(
            LOG,
            events.TARGET_LIMIT_CHANGED,
            target_id=statement.target_id,
            rate_per_s=rate_per_s
            if rate_per_s < rate_limits.UNLIMITED
            else None,
            origin=origin,
        )
        return True

    def _schedule_news(self, target_id: str, started_ms: int) -> None:
        """Sends a changed limit to all instances, several times."""
        key = (target_id, started_ms)
        entry = self._target(key)
        for timer in entry.news_timers:
            timer.cancel()
        now_s = self._timers.monotonic_s()
        first_s = max(0.0, entry.news_sent_s + _NEWS_INTERVAL_S - now_s)
        if not first_s:
            self._send_news(key)
        delays_s = [first_s] if first_s else []
        delays_s += [first_s + delay_s for delay_s in _NEWS_DELAYS_S]
        entry.news_timers = [
            self._timers.call_after(delay_s, lambda: self._send_news(key))
            for delay_s in delays_s
        ]

    def _send_news(self, key: tuple[str, int]) -> None:
        statement = self.limits.statement(*key, self._timers.elapsed_s())
        if statement is not None:
            self._target(key).news_sent_s = self._timers.monotonic_s()
            self._broadcast(statement)

    def handle_message(self, message: LimiterMessage, host: str) -> None:
        """Handles a message of another instance.

        Args:
            message: The message.
            host: IP address of the instance.
        """
        match message:
            case rate_limits.LimitStatement():
                self._apply(message, host)
            case gateway_pace.PaceNotice():
                self.apply_pace(message, host)
            case turns.TurnRequest():
                self._apply(message.statement, host)
                if message.pace is not None:
                    self.apply_pace(message.pace, host)
                self._send(host, self._answer(message))
            case turns.TurnAnswer():
                pending = self._pending.get(message.number)
                if pending is None or pending.host != host:
                    return
                if not pending.answer.done():
                    pending.answer.set_result(message)

    # What is known of paces.

    def apply_pace(self, notice: gateway_pace.PaceNotice, origin: str) -> None:
        """Applies what another instance knows of a target's pace.

        Args:
            notice: The notice.
            origin: IP address of the instance.
        """
        if self.pace.apply(notice, self._timers.monotonic_s()):
            self.record_cold(notice.target_id, notice.started_ms, origin)

    def send_pace(self, target: targets.Target) -> None:
        """Sends what is known of a target's pace to all, several times."""

        def send() -> None:
            notice = self.pace.notice(
                *_key(target), self._timers.monotonic_s()
            )
            if notice is not None:
                self._broadcast(notice)

        send()
        for delay_s in _NEWS_DELAYS_S:
            self._timers.call_after(delay_s, send)

    def record_cold(
        self, target_id: str, started_ms: int, origin: str
    ) -> None:
        """Records that a target is cold, which it was not before.

        Args:
            target_id: Id of the target.
            started_ms: Wall time of its start, in milliseconds.
            origin: How this instance has learned of it.
        """
        key = (target_id, started_ms)
        now_s = self._timers.monotonic_s()
        self._target(key).next_turn_s = float('-inf')
        self._statistics.cold_targets.inc(
            {'origin': origin if origin in _OWN_ORIGINS else 'peer'}
        )
        events.log(
            LOG,
            events.TARGET_COLD,
            target_id=target_id,
            left_s=round(self.pace.cold_left_s(*key, now_s), 3),
            rate_per_s=self.pace.rate_per_s(*key, now_s),
            origin=origin,
        )

    # Turns that this instance needs.

    def next_turn_s(self, target: targets.Target) -> float:
        """Returns the monotonic time of the next free turn, as known here.

        Args:
            target: The target.

        Returns:
            Time in seconds; minus infinity if the target has no limit or
            may have a free turn now.
        """
        if not self.is_limited(target):
            return float('-inf')
        return self._target(_key(target)).next_turn_s

    async def acquire(
        self,
        target: targets.Target,
        request_id: str,
        wait_max_s: float = 0.0,
        urgent: bool = False,
    ) -> bool:
        """Obtains a turn for one request, and waits for it.

        Args:
            target: The target.
            request_id: Id of the caller's request, for logs.
            wait_max_s: Longest wait for the turn, in seconds.
            urgent: Whether work that has begun is lost without the turn.

        Returns:
            Whether the request may be sent now.
        """
        if not self.is_limited(target):
            return True
        known = self._target(_key(target))
        now_s = self._timers.monotonic_s()
        if known.next_turn_s - now_s > wait_max_s and not urgent:
            return False
        until_s = now_s + wait_max_s
        while True:
            wait_max_s = max(0.0, until_s - self._timers.monotonic_s())
            asked_s = self._timers.elapsed_s()
            answer = await self._ask_coordinators(target, wait_max_s, urgent)
            granted = answer is not None and answer.granted
            if not self.is_limited(target):
                # The coordinator has newer news of the target.
                return True
            decision = 'unanswered'
            if answer is not None:
                decision = 'granted' if granted else 'refused'
            self._record_decision(target, request_id, decision, answer, urgent)
            if not granted:
                return False
            if await self._wait_for_turn(target, answer.wait_s):
                if not self._is_late(target, asked_s + answer.wait_s):
                    return True
            # The limit has fallen meanwhile, and the turn was one of the
            # earlier limit; or the turn is too old.
            self._record_decision(target, request_id, 'lapsed', None, urgent)

    def _is_late(self, target: targets.Target, turn_s: float) -> bool:
        """Whether a turn at a paced target is too old to be used.

        Args:
            target: The target.
            turn_s: Earliest time of the turn, in seconds, by a clock that
                counts suspensions.
        """
        late_s = self._timers.elapsed_s() - turn_s
        if late_s <= _TURN_LATE_MAX_S or not self.pace.is_paced(
            *_key(target), self._timers.monotonic_s()
        ):
            return False
        events.log(
            LOG,
            events.TURN_LATE,
            target_id=target.target_id,
            late_s=round(late_s, 3),
        )
        return True

    async def _wait_for_turn(
        self, target: targets.Target, wait_s: float
    ) -> bool:
        """Waits for a turn.

        Args:
            target: The target.
            wait_s: Time until the turn, in seconds.

        Returns:
            Whether the turn may be used; False as soon as the limit of the
            target falls.
        """
        rate_per_s = self._rate_per_s(target)
        turn_s = self._timers.monotonic_s() + wait_s
        while (left_s := turn_s - self._timers.monotonic_s()) > 0:
            await loop_timers.sleep(self._timers, min(left_s, _TURN_CHECK_S))
            if self._rate_per_s(target) < rate_per_s:
                return False
        return True

    def _record_decision(
        self,
        target: targets.Target,
        request_id: str,
        decision: str,
        answer: turns.TurnAnswer | None,
        urgent: bool,
    ) -> None:
        self._statistics.limit_turns.inc({'decision': decision})
        events.log(
            LOG,
            events.TURN_DECIDED,
            request_id=request_id,
            target_id=target.target_id,
            rate_per_s=self._rate_per_s(target),
            decision=decision,
            wait_s=None if answer is None else round(answer.wait_s, 3),
            urgent=urgent,
        )

    async def _ask_coordinators(
        self, target: targets.Target, wait_max_s: float, urgent: bool
    ) -> turns.TurnAnswer | None:
        """Asks the coordinators in turn until one answers."""
        hosts = {peer.instance_id: peer.host for peer in self._view().peers}
        ranked = self._rank_coordinators(target.target_id)
        for coordinator in ranked:
            now_s = self._timers.monotonic_s()
            if now_s < self._silent_until_s.get(coordinator, now_s):
                continue
            request = turns.TurnRequest(
                next(self._numbers),
                self.limits.statement(*_key(target), self._timers.elapsed_s())
                or _no_limit(*_key(target)),
                wait_max_s,
                urgent,
                self.pace.notice(*_key(target), now_s),
            )
            if coordinator == self._instance_id:
                answer = self._answer(request)
            else:
                answer = await self._ask(hosts[coordinator], request)
            if answer is not None:
                self._apply(answer.statement, hosts.get(coordinator, _OWN))
                if not answer.granted:
                    self._record_refusal(
                        target, answer, is_first=coordinator == ranked[0]
                    )
                return answer
            self._silent_until_s[coordinator] = (
                self._timers.monotonic_s() + _SILENT_S
            )
        return None

    def _record_refusal(
        self,
        target: targets.Target,
        answer: turns.TurnAnswer,
        is_first: bool,
    ) -> None:
        """Records when the next turn is free.

        A coordinator of a lower rank gives few turns, and only until the
        first one answers again.
        """
        wait_s = answer.wait_s if is_first else min(answer.wait_s, _SILENT_S)
        now_s = self._timers.monotonic_s()
        self._target(_key(target)).next_turn_s = now_s + wait_s

    async def _ask(
        self, host: str, request: turns.TurnRequest
    ) -> turns.TurnAnswer | None:
        """Asks one coordinator; returns None if it does not answer."""
        answer = asyncio.get_running_loop().create_future()
        self._pending[request.number] = _PendingRequest(host, answer)
        try:
            for _ in range(_ASKS_MAX):
                self._send(host, request)
                await asyncio.wait({answer}, timeout=_ANSWER_TIMEOUT_S)
                if answer.done():
                    return answer.result()
            return None
        finally:
            del self._pending[request.number]

    # Turns that this instance gives.

    def _answer(self, request: turns.TurnRequest) -> turns.TurnAnswer:
        """Gives a turn as a coordinator, or refuses it."""
        statement = request.statement
        key = (statement.target_id, statement.started_ms)
        known = self.limits.statement(*key, self._timers.elapsed_s())
        known = known or statement
        now_s = self._timers.monotonic_s()
        pace_per_s = self.pace.rate_per_s(*key, now_s)
        limit_per_s = min(known.rate_per_s, pace_per_s)
        if limit_per_s == rate_limits.UNLIMITED:
            return turns.TurnAnswer(request.number, True, 0.0, known)
        view = self._view()
        rank = None
        if view.is_informed:
            rank = self._own_rank(statement.target_id)
        share, burst_s = view.reachable_share, turns.BURST_S
        if pace_per_s < rate_limits.UNLIMITED:
            burst_s = turns.PACED_BURST_S
        rate_per_s = share * turns.turn_rate_per_s(limit_per_s, rank)
        entry = self._target(key)
        if entry.schedule is None:
            # Without a pace, the first turn is due after a whole interval.
            phase = 1.0
            if pace_per_s < rate_limits.UNLIMITED:
                phase = turns.phase_of(self._instance_id, statement.target_id)
            entry.schedule = turns.TurnSchedule(
                rate_per_s, now_s + (phase - 1.0) / rate_per_s, burst_s
            )
        entry.schedule.set_rate(rate_per_s, now_s, burst_s)
        if limit_per_s < entry.limit_per_s:
            # Who waits for a turn of the earlier limit asks again.
            entry.schedule.cancel_turns(now_s)
        entry.limit_per_s = limit_per_s
        # Urgent turns are not shared among the parts of a divided network, so
        # that only one part may give them at a paced target.
        may_hurry = rank == 0 and (
            pace_per_s == rate_limits.UNLIMITED or share > _URGENT_SHARE_MIN
        )
        wait_s = entry.schedule.reserve(
            now_s, request.wait_max_s, request.urgent and may_hurry
        )
        return turns.TurnAnswer(
            request.number,
            wait_s is not None,
            entry.schedule.wait_s(now_s) if wait_s is None else wait_s,
            known,
        )

    def _own_rank(self, target_id: str) -> int | None:
        ranked = self._rank_coordinators(target_id)
        if self._instance_id not in ranked:
            return None
        return ranked.index(self._instance_id)

    def _rank_coordinators(self, target_id: str) -> tuple[str, ...]:
        peers = self._view().peers
        if peers is not self._ranked_peers:
            self._ranked_peers = peers
            self._ranked.clear()
        ranked = self._ranked.get(target_id)
        if ranked is None:
            instance_ids = [peer.instance_id for peer in peers]
            ranked = self._ranked[target_id] = turns.rank_coordinators(
                [self._instance_id, *instance_ids], target_id
            )
        return ranked

    def _target(self, key: tuple[str, int]) -> _LimitedTarget:
        entry = self._targets.get(key)
        if entry is None:
            entry = _LimitedTarget()
            self._targets.put(key, entry)
        return entry


def _key(target: targets.Target) -> tuple[str, int]:
    return target.target_id, target.started_ms


def _no_limit(target_id: str, started_ms: int) -> rate_limits.LimitStatement:
    """Returns a statement that says nothing about the limit of a target."""
    return rate_limits.LimitStatement(
        target_id, started_ms, rate_limits.UNLIMITED, math.inf
    )
