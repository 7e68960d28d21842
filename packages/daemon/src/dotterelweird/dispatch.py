"""Passes requests to the scheduler and its decisions to the requests."""

import asyncio
from collections.abc import Callable
import logging

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.policy import api as policy_api
from dotterelweir_core.targets import model as targets_model

LOG = logging.getLogger(__name__)

# Longest gap between two ticks that does not count as a pause, in seconds.
# After a longer gap the states of targets may be stale, so requests wait until
# the targets have been polled again. With one poll a second and the timeout of
# a poll, a leaving target gets no new work after 3 s.
PAUSE_THRESHOLD_S = 1.0
_TICK_PERIOD_S = 0.2

HedgeCallback = Callable[[policy_api.Placement], None]


class Dispatcher:
    """Submits requests to the scheduler and returns their placements.

    Each request calls ``place`` once per attempt and then records the
    progress and the end of that attempt.
    """

    def __init__(
        self,
        scheduler: policy_api.Scheduler,
        timer: timers.TimerService,
        hold_s: float = 1.0,
    ) -> None:
        """Creates a dispatcher; ``start`` begins the detection of pauses.

        Args:
            scheduler: Decides on placements.
            timer: Clock and timers.
            hold_s: Time without placements after a pause of the process, in
                seconds.
        """
        self._scheduler = scheduler
        self._timer = timer
        self._hold_s = hold_s
        self._held_until_s = 0.0
        self._last_tick_s: float | None = None
        self._tick_timer: timers.TimerHandle | None = None
        self._waiting: dict[
            str, tuple[policy_api.WorkItem, asyncio.Future]
        ] = {}
        self._hedge_callbacks: dict[str, HedgeCallback] = {}
        self._wakeup_timer: timers.TimerHandle | None = None
        self._attempts_running = 0

    @property
    def attempts_running(self) -> int:
        """Number of attempts that were placed and have not ended."""
        return self._attempts_running

    @property
    def requests_waiting(self) -> int:
        """Number of requests that wait for a placement."""
        return len(self._waiting)

    def start(self) -> None:
        """Starts the timer that detects pauses of the process."""
        self._last_tick_s = self._timer.monotonic_s()
        self._tick_timer = self._timer.call_every(
            _TICK_PERIOD_S, self._detect_pause
        )

    def stop(self) -> None:
        """Cancels the timers."""
        for handle in (self._tick_timer, self._wakeup_timer):
            if handle is not None:
                handle.cancel()

    def explain(self, item: policy_api.WorkItem) -> policy_api.Explanation:
        """Returns what the scheduler would decide for a request now.

        Args:
            item: The request; it is not submitted.
        """
        return self._scheduler.explain(item, self._timer.monotonic_s())

    async def place(
        self,
        item: policy_api.WorkItem,
        on_hedge: HedgeCallback | None = None,
    ) -> policy_api.Placement:
        """Waits until the request is placed.

        Args:
            item: The request.
            on_hedge: Called with the placement of a second, parallel attempt
                if the scheduler decides on one later.

        Returns:
            The placement of the attempt.

        Raises:
            DotterelweirError: The request is refused; it did not run.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting[item.request_id] = (item, future)
        if on_hedge is not None:
            self._hedge_callbacks[item.request_id] = on_hedge
        self._scheduler.submit(item, self._timer.monotonic_s())
        self._schedule()
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel_request(item.request_id, future)
            raise
        finally:
            self._waiting.pop(item.request_id, None)

    def set_targets(
        self, pool: str, targets: tuple[targets_model.Target, ...]
    ) -> None:
        """Sets the targets of a pool that may receive new work."""
        self._scheduler.set_targets(pool, targets, self._timer.monotonic_s())
        self._schedule()

    def record_report(self, report: targets_model.LoadReport) -> None:
        """Passes a load report to the scheduler."""
        self._scheduler.record_report(report, self._timer.monotonic_s())
        self._schedule()

    def record_first_token(self, request_id: str, target_id: str) -> None:
        """Records the first token of an attempt."""
        self._hedge_callbacks.pop(request_id, None)
        self._scheduler.record_first_token(
            request_id, target_id, self._timer.monotonic_s()
        )

    def record_tokens(
        self, request_id: str, target_id: str, count: int
    ) -> None:
        """Records further tokens of an attempt."""
        self._scheduler.record_tokens(
            request_id, target_id, count, self._timer.monotonic_s()
        )

    def record_end(
        self, request_id: str, target_id: str, end: policy_api.AttemptEnd
    ) -> None:
        """Records the end of an attempt."""
        self._hedge_callbacks.pop(request_id, None)
        self._attempts_running -= 1
        self._scheduler.record_end(
            request_id, target_id, end, self._timer.monotonic_s()
        )
        self._schedule()

    def _cancel_request(self, request_id: str, future: asyncio.Future) -> None:
        self._hedge_callbacks.pop(request_id, None)
        if future.done() and not future.cancelled():
            # The placement and the cancellation came in the same iteration
            # of the event loop.
            if future.exception() is None:
                placement = future.result()
                self.record_end(
                    request_id,
                    placement.target_id,
                    policy_api.AttemptEnd.CANCELLED,
                )
            return
        self._scheduler.cancel(request_id, self._timer.monotonic_s())

    def _detect_pause(self) -> None:
        now_s = self._timer.monotonic_s()
        if self._last_tick_s is None:
            return
        paused_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if paused_s > PAUSE_THRESHOLD_S:
            self._held_until_s = now_s + self._hold_s
            events.log(
                LOG, events.PLACEMENTS_HELD, paused_s=round(paused_s, 1)
            )

    def _schedule(self) -> None:
        # After a pause, requests may be handled before the periodic callback.
        self._detect_pause()
        held_s = self._held_until_s - self._timer.monotonic_s()
        if held_s > 0.0:
            if self._wakeup_timer is not None:
                self._wakeup_timer.cancel()
            self._wakeup_timer = self._timer.call_after(held_s, self._schedule)
            return
        for decision in self._scheduler.decide(self._timer.monotonic_s()):
            match decision:
                case policy_api.Placement():
                    self._apply_placement(decision)
                case policy_api.Refusal():
                    self._apply_refusal(decision)
        self._schedule_wakeup()

    def _apply_placement(self, placement: policy_api.Placement) -> None:
        self._attempts_running += 1
        events.log(
            LOG,
            events.TARGET_CHOSEN,
            request_id=placement.request_id,
            target_id=placement.target_id,
            engine_priority=placement.engine_priority,
            reason=placement.reason,
            hedge=placement.hedge,
            candidates=[
                f'{candidate.target_id} {candidate.score:.3f} '
                f'{candidate.reason}'
                for candidate in placement.candidates
            ],
        )
        on_hedge = self._hedge_callbacks.get(placement.request_id)
        if placement.hedge and on_hedge is not None:
            on_hedge(placement)
            return
        _, future = self._waiting.get(placement.request_id, (None, None))
        if placement.hedge or future is None or future.done():
            # The request has ended; releases the scheduler's reservation.
            self._attempts_running -= 1
            self._scheduler.record_end(
                placement.request_id,
                placement.target_id,
                policy_api.AttemptEnd.CANCELLED,
                self._timer.monotonic_s(),
            )
            return
        future.set_result(placement)

    def _apply_refusal(self, refusal: policy_api.Refusal) -> None:
        self._hedge_callbacks.pop(refusal.request_id, None)
        _, future = self._waiting.get(refusal.request_id, (None, None))
        if future is None or future.done():
            return
        future.set_exception(
            errors.DotterelweirError(
                refusal.kind,
                refusal.detail,
                errors.Execution.NOT_RUN,
                refusal.retry_after_s,
            )
        )

    def _schedule_wakeup(self) -> None:
        if self._wakeup_timer is not None:
            self._wakeup_timer.cancel()
            self._wakeup_timer = None
        due_s = self._scheduler.next_wakeup_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._timer.monotonic_s())
            self._wakeup_timer = self._timer.call_after(
                delay_s, self._schedule
            )
