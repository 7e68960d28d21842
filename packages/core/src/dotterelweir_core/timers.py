"""The timer service, the only source of time for all other modules."""

import abc
import heapq
import itertools
import random
import typing

import attrs

Callback = typing.Callable[[], None]


class TimerHandle(abc.ABC):
    """A scheduled call that can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the call; cancelling it again has no effect."""


class TimerService(abc.ABC):
    """Provides clocks, delayed callbacks and periodic callbacks."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Returns the time of a monotonic clock, in seconds."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Returns the wall-clock time, in seconds since the Unix epoch."""

    def elapsed_s(self) -> float:
        """Returns the time of a clock that never stands still, in seconds.

        Unlike the monotonic clock, it counts the time for which the machine
        is suspended.
        """
        return self.monotonic_s()

    @abc.abstractmethod
    def call_after(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Schedules one call of a function.

        Args:
            delay_s: Delay from now, in seconds; at least 0.
            callback: The function to call, without arguments.

        Returns:
            A handle that cancels the call.
        """

    def call_every(
        self,
        period_s: float,
        callback: Callback,
        jitter_ratio: float = 0.0,
        rng: random.Random | None = None,
    ) -> TimerHandle:
        """Calls a function periodically until the handle is cancelled.

        The next call is also scheduled when the function raises.

        Args:
            period_s: Time between two calls, in seconds; above 0.
            callback: The function to call, without arguments.
            jitter_ratio: Fraction of the period by which each period is
                randomly shortened or lengthened at most, so that instances
                do not act in lockstep.
            rng: Random source of the jitter; required if ``jitter_ratio``
                is not 0.

        Returns:
            A handle that cancels all further calls.

        Raises:
            ValueError: The period is not above 0, or the random source is
                missing.
        """
        periodic_timer = _PeriodicTimer(
            self, period_s, callback, jitter_ratio, rng
        )
        periodic_timer.schedule()
        return periodic_timer


class _PeriodicTimer(TimerHandle):
    def __init__(
        self,
        service: TimerService,
        period_s: float,
        callback: Callback,
        jitter_ratio: float,
        rng: random.Random | None,
    ) -> None:
        if period_s <= 0:
            raise ValueError(f'period_s must be above 0, not {period_s}')
        if jitter_ratio and rng is None:
            raise ValueError('jitter needs a random source')
        self._service = service
        self._period_s = period_s
        self._callback = callback
        self._jitter_ratio = jitter_ratio
        self._rng = rng
        self._handle: TimerHandle | None = None
        self._cancelled = False

    def schedule(self) -> None:
        """Schedules the next call."""
        delay_s = self._period_s
        if self._rng is not None and self._jitter_ratio:
            spread = self._rng.uniform(-self._jitter_ratio, self._jitter_ratio)
            delay_s *= 1.0 + spread
        self._handle = self._service.call_after(delay_s, self._run)

    def cancel(self) -> None:
        self._cancelled = True
        if self._handle is not None:
            self._handle.cancel()

    def _run(self) -> None:
        if self._cancelled:
            return
        try:
            self._callback()
        finally:
            if not self._cancelled:
                self.schedule()


@attrs.define(eq=False)
class _VirtualHandle(TimerHandle):
    callback: Callback | None

    def cancel(self) -> None:
        self.callback = None


class VirtualTimerService(TimerService):
    """Virtual time for tests and simulations.

    Time moves only by ``advance`` and ``advance_to``.

    Args:
        start_s: First time of the monotonic clock, in seconds.
        wall_s: First time of the wall clock, in seconds since the Unix epoch.
    """

    def __init__(self, start_s: float = 0.0, wall_s: float = 1.8e9) -> None:
        self._now_s = start_s
        self._wall_offset_s = wall_s - start_s
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, _VirtualHandle]] = []

    def monotonic_s(self) -> float:
        return self._now_s

    def wall_s(self) -> float:
        return self._now_s + self._wall_offset_s

    def call_after(self, delay_s: float, callback: Callback) -> TimerHandle:
        handle = _VirtualHandle(callback)
        due_s = self._now_s + max(0.0, delay_s)
        heapq.heappush(self._heap, (due_s, next(self._sequence), handle))
        return handle

    def next_due_s(self) -> float | None:
        """Returns the time of the next call in seconds; None without one."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def advance(self, seconds: float) -> None:
        """Moves time forward and runs the calls that become due, in order."""
        self.advance_to(self._now_s + seconds)

    def advance_to(self, end_s: float) -> None:
        """Moves time forward to ``end_s`` and runs the calls due by then."""
        while True:
            due_s = self.next_due_s()
            if due_s is None or due_s > end_s:
                break
            _, _, handle = heapq.heappop(self._heap)
            self._now_s = max(self._now_s, due_s)
            callback, handle.callback = handle.callback, None
            if callback is not None:
                callback()
        self._now_s = max(self._now_s, end_s)
