"""Finds other instances through the platform's store.

See ``dotterelweir_core.gateway.roster``. While the store does not answer,
instances find each other by their seeds and by what peers name; one that hears
nobody then does not know how many share the limits of targets with it.
"""

import asyncio
import logging
import random

from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import roster
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import peers as peer_exchange
from dotterelweird.gateway import statistics

LOG = logging.getLogger(__name__)


class Discovery:
    """Keeps this instance's part of the roster and contacts those in it.

    Args:
        instance_id: Id of this instance.
        host: Its IP address.
        store: Client of the platform's store.
        timer_service: The timer service.
        rng: Random source.
        peers: The exchange with the other instances.
        stats: Metrics of the process.
    """

    def __init__(
        self,
        instance_id: str,
        host: str,
        store: api.Store,
        timer_service: core_timers.TimerService,
        rng: random.Random,
        peers: peer_exchange.PeerExchange,
        stats: statistics.Statistics,
    ) -> None:
        self._entry = roster.Entry(instance_id, host)
        self._store = store
        self._timers = timer_service
        self._rng = rng
        self._peers = peers
        self._statistics = stats
        self._roster = roster.Roster(instance_id, host)
        self._answers = True

    async def run(self) -> None:
        """Reads the roster again and again until the task is cancelled."""
        if self._peers.has_contacts:
            await timers.sleep(self._timers, roster.FIRST_READ_S)
        delay_s = 0.0
        if self._peers.instance_count > 1:
            delay_s = self._read_delay_s()
        while True:
            await self._wait(delay_s)
            try:
                await self.refresh()
                delay_s = self._read_delay_s()
            except api.StoreUnavailable as exc:
                self._record_call('failed', str(exc))
                delay_s = roster.RETRY_S * self._peers.instance_count
            except Exception as exc:  # noqa: BLE001
                # Without this task the instance would not find the others.
                self._record_call('failed', f'{type(exc).__name__}: {exc}')
                delay_s = roster.READ_INTERVAL_S

    def _read_delay_s(self) -> float:
        return roster.read_delay_s(self._peers.instance_count, self._rng)

    async def _wait(self, delay_s: float) -> None:
        """Waits; an instance that hears nobody waits for a short time only."""
        due_s = self._timers.monotonic_s() + delay_s
        while (left_s := due_s - self._timers.monotonic_s()) > 0:
            if self._peers.instance_count == 1:
                left_s = min(left_s, roster.READ_INTERVAL_S)
                due_s = min(due_s, self._timers.monotonic_s() + left_s)
            await timers.sleep(self._timers, min(left_s, roster.RETRY_S))

    async def refresh(self) -> None:
        """Reads the roster once and does what follows from it.

        Raises:
            StoreUnavailable: The store did not answer, or refused a call.
        """
        is_alone = self._peers.instance_count == 1
        if is_alone and not self._roster.is_entered:
            await self._store.write_roster_entry(self._entry)
        began_s = self._timers.monotonic_s()
        entries = await self._store.read_roster()
        self._record_call('read')
        plan = self._roster.apply(
            entries, self._peers.heard_ids, self._timers.monotonic_s()
        )
        for host in plan.contacts:
            self._peers.contact(host)
        if plan.is_found:
            # Other groups find this one, as it finds theirs.
            self._peers.record_roster_read(began_s)
        if plan.enter:
            await self._store.write_roster_entry(self._entry)
            self._roster.is_entered = True
        for instance_id in plan.remove:
            await self._store.remove_roster_entry(instance_id)
            events.log(LOG, events.ROSTER_ENTRY_REMOVED, peer=instance_id)

    async def leave(self) -> None:
        """Removes the entry of this instance, which stops."""
        if not self._roster.is_entered:
            return
        try:
            await self._store.remove_roster_entry(self._entry.instance_id)
        except api.StoreUnavailable as exc:
            self._record_call('failed', str(exc))

    def _record_call(self, outcome: str, reason: str = '') -> None:
        self._statistics.roster_reads.inc({'outcome': outcome})
        answers = outcome != 'failed'
        if answers != self._answers:
            self._answers = answers
            events.log(
                LOG,
                events.ROSTER_ANSWERS_CHANGED,
                answers=answers,
                reason=reason[:200],
            )

    def start(self) -> asyncio.Task[None]:
        """Starts to follow the roster; returns the task."""
        return asyncio.create_task(self.run())
