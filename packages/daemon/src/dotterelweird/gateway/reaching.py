"""Follows whether this instance reaches any target."""

import asyncio
from collections.abc import Callable
import logging
import random

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import reachability
from dotterelweir_core.gateway import targets
from dotterelweird import probing
from dotterelweird.gateway import statistics
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Time between two attempts to connect to a target while none is reached, in
# seconds.
_PROBE_INTERVAL_S = 0.5


class ReachKeeper:
    """Records which connections are made, and tests the links once lost.

    Args:
        timer_service: The timer service.
        rng: Random source.
        directory: The registered targets.
        process_statistics: Counters of the process.
        count_reaching_peers: Returns the number of other instances that
            reach targets by their own word.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        rng: random.Random,
        directory: targets.TargetDirectory,
        process_statistics: statistics.Statistics,
        count_reaching_peers: Callable[[], int],
    ) -> None:
        self._timers = timer_service
        self._rng = rng
        self._directory = directory
        self._statistics = process_statistics
        self._count_reaching_peers = count_reaching_peers
        self._reach = reachability.TargetReach()
        self._listeners: list[Callable[[], None]] = []
        self._probe: asyncio.Task | None = None

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
        since_s = self._reach.lost_since_s
        if not self._reach.record_connected():
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
        if not self._reach.record_failed(
            target.target_id,
            len(self._directory.targets),
            self._timers.monotonic_s(),
        ):
            return
        self._statistics.targets_lost.set({}, 1)
        events.log(
            LOG,
            events.TARGETS_LOST,
            failed=self._reach.failed_targets,
            registered=len(self._directory.targets),
            reaching_peers=self._count_reaching_peers(),
        )
        self._notify()
        self._timers.call_after(_PROBE_INTERVAL_S, self._start_probe)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _start_probe(self) -> None:
        if self.is_lost:
            self._probe = asyncio.create_task(self._connect())

    async def _connect(self) -> None:
        """Connects to a random target, without a request."""
        registered = list(self._directory.targets.values())
        if registered:
            target = self._rng.choice(registered)
            if await probing.accepts_connections(
                target.host, target.port, target_client.CONNECT_TIMEOUT_S
            ):
                self.record_connected()
        self._timers.call_after(_PROBE_INTERVAL_S, self._start_probe)
