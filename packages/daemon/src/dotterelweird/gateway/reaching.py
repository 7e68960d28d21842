"""Follows whether this instance reaches any target."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import math
import random

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import reachability
from dotterelweir_core.gateway import targets
from dotterelweird import probing
from dotterelweird import timers as loop_timers
from dotterelweird.gateway import statistics
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Time between two attempts to connect to a target while none is reached, in
# seconds.
_TEST_INTERVAL_S = 0.5
# The same while it is not certain that none is reached, in seconds.
_SUSPECT_INTERVAL_S = 0.02
# Longest wait of a request for such a test, in seconds.
_SETTLE_S = 0.5


class ReachKeeper:
    """Records which connections are made, and tests the links once lost.

    Args:
        timer_service: The timer service.
        rng: Random source.
        directory: The registered targets.
        process_statistics: Counters of the process.
        count_taking_peers: Returns the number of other instances that send
            requests of others, by their own word.
        knows_others: Returns whether this instance knows if there are others.

    Attributes:
        accepts_connections: Tells whether a connection to a host and port is
            made within a time in seconds.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        rng: random.Random,
        directory: targets.TargetDirectory,
        process_statistics: statistics.Statistics,
        count_taking_peers: Callable[[], int],
        knows_others: Callable[[], bool] = lambda: True,
    ) -> None:
        self._timers = timer_service
        self._rng = rng
        self._directory = directory
        self._statistics = process_statistics
        self._count_taking_peers = count_taking_peers
        self._knows_others = knows_others
        self._reach = reachability.TargetReach()
        self._listeners: list[Callable[[], None]] = []
        self._connected_s = float('-inf')
        self._probe: asyncio.Task | None = None
        self._decided = asyncio.Event()
        self.accepts_connections = probing.accepts_connections

    @property
    def is_lost(self) -> bool:
        """Whether this instance reaches no target."""
        return self._reach.lost_since_s is not None

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a function that is called when ``is_lost`` changes.

        Args:
            listener: The function.
        """
        self._listeners.append(listener)

    def close(self) -> None:
        """Ends the attempts to connect."""
        if self._probe is not None:
            self._probe.cancel()

    def record_connected(self) -> None:
        """Records a connection to a target."""
        self._connected_s = self._timers.monotonic_s()
        since_s = self._reach.lost_since_s
        was_lost = self._reach.record_connected()
        self._decided.set()
        if not was_lost:
            return
        self._statistics.targets_lost.set({}, 0)
        events.log(
            LOG,
            events.TARGETS_REACHED_AGAIN,
            lost_for_s=round(self._timers.monotonic_s() - since_s, 3),
        )
        self._notify()

    def record_failed(self, target: targets.Target) -> None:
        """Records that no connection to a target was made.

        Args:
            target: The target.
        """
        registered = self._directory.targets.values()
        lost = self._reach.record_failed(
            target, registered, self._timers.monotonic_s()
        )
        if lost:
            self._decided.set()
            self._statistics.targets_lost.set({}, 1)
            events.log(
                LOG,
                events.TARGETS_LOST,
                failed=self._reach.failed_targets,
                registered=len(registered),
                taking_peers=self._count_taking_peers(),
            )
            self._notify()
        if self._reach.is_suspected(registered):
            self._start_test()

    def _start_test(self) -> None:
        if self._probe is not None:
            return
        if not self.is_lost:
            self._decided.clear()
        self._probe = asyncio.create_task(self._test_targets())

    async def settle(self, until_s: float = math.inf) -> None:
        """Waits until it is known whether any target is reached.

        For a request that no target of its service could be sent.

        Args:
            until_s: Monotonic time at which the wait ends, in seconds.
        """
        if self.is_lost or not self._reach.failed_targets:
            return
        left_s = until_s - self._timers.monotonic_s()
        self._start_test()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(_SETTLE_S, left_s)):
                await self._decided.wait()

    async def is_cut_off(self, since_s: float) -> bool:
        """Whether this instance alone may reach no target.

        Waits for a test if that is not known. One that does not know of
        others cannot tell whether they reach targets.

        Args:
            since_s: Monotonic time from which on a connection shows that
                targets are reached, in seconds.
        """
        if self._connected_s >= since_s:
            return False
        await self.settle()
        if not self.is_lost:
            return False
        return self._count_taking_peers() > 0 or not self._knows_others()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    async def _test_targets(self) -> None:
        """Connects to targets, without a request, until one accepts."""
        try:
            while self._reach.failed_targets:
                registered = self._directory.targets.values()
                target = self._reach.choose_test(registered, self._rng)
                if target is None:
                    return
                if await self.accepts_connections(
                    target.host, target.port, target_client.CONNECT_TIMEOUT_S
                ):
                    self.record_connected()
                    return
                self.record_failed(target)
                if self.is_lost:
                    await loop_timers.sleep(self._timers, _TEST_INTERVAL_S)
                else:
                    await loop_timers.sleep(self._timers, _SUSPECT_INTERVAL_S)
        finally:
            self._probe = None
