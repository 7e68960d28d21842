"""Acquires and renews leases in the control stream."""

from collections.abc import Iterable
import logging
import random
import uuid

import attrs

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.leases import fold
from dotterelweir_logservice import api as platform_api
from dotterelweird.logstream import batcher as log_batcher
from dotterelweird.logstream import follower as log_follower
from dotterelweird.settings import model as settings_model

LOG = logging.getLogger(__name__)

TTL_S = 15.0
# A lease counts as lost this long before it expires. Covers clocks that run at
# different speeds, and the time from a check of the lease to the action.
EXPIRY_MARGIN_S = 2.0
RENEW_AFTER_S = 5.0
# Minimum time between two appends for one lease. A random delay of up to the
# same length is added, so that instances that compete for an expired lease do
# not append at the same time.
RETRY_INTERVAL_S = 2.0
APPEND_INTERVAL_S = 0.05


@attrs.frozen
class HeldLease:
    """A lease that this run of the instance holds or has held.

    Attributes:
        fencing: Its fencing token.
        acquired_at: When this run first read that it holds the lease under
            this token.
        renew_sent_at: When the append that last acquired or renewed it was
            first sent.
    """

    fencing: int
    acquired_at: log_batcher.Instant
    renew_sent_at: log_batcher.Instant


class LeaseManager:
    """Acquires the requested leases that no other instance holds."""

    def __init__(
        self,
        log: platform_api.LogClient,
        timer: timers.TimerService,
        rng: random.Random,
        platform: settings_model.Platform,
    ) -> None:
        """Creates the manager; ``start`` begins to follow the log.

        Args:
            log: Client of the log service.
            timer: Clock and timers.
            rng: Random source of jitter and backoff.
            platform: Settings of the platform's services.
        """
        self._timer = timer
        self._rng = rng
        # Differs at each start, so that a restarted instance does not count
        # as the holder of leases of its previous run.
        self._holder = uuid.uuid4().hex
        self._table = fold.LeaseTable()
        self._pending_appends: dict[str, log_batcher.Append] = {}
        self._held: dict[str, HeldLease] = {}
        self._next_append_s: dict[str, float] = {}
        self._stream = platform.control_stream
        self._follower = log_follower.LogFollower(
            log,
            platform.control_stream,
            timer,
            rng,
            platform.log_wait_s,
            fold.decode,
            self._apply,
        )
        self._batcher = log_batcher.LogBatcher(
            log,
            platform.control_stream,
            timer,
            rng,
            APPEND_INTERVAL_S,
            platform.log_timeout_s,
        )

    def start(self) -> None:
        """Begins to follow and to append to the control stream."""
        self._follower.start()
        self._batcher.start()

    async def stop(self) -> None:
        """Stops renewals, so that held leases expire."""
        await self._batcher.stop(0.0)
        await self._follower.stop()

    def held(self, name: str) -> HeldLease | None:
        """Returns a lease if this run certainly holds it now, else None.

        Args:
            name: Name of the lease.
        """
        lease = self._held.get(name)
        if lease is None:
            return None
        if (
            lease.renew_sent_at.elapsed_s(self._timer)
            >= TTL_S - EXPIRY_MARGIN_S
        ):
            del self._held[name]
            events.log(
                LOG, events.LEASE_LOST, lease=name, fencing=lease.fencing
            )
            return None
        return lease

    def acquire_or_renew(self, names: Iterable[str]) -> None:
        """Appends requests for the leases that are free or due for renewal.

        Does nothing until the control stream has been read to its end.

        Args:
            names: Names of all leases that this instance is to hold.
        """
        if not self._follower.caught_up:
            return
        requested = set(names)
        for name in self._next_append_s.keys() - requested:
            del self._next_append_s[name]
        for name in requested:
            if self._needs_append(name):
                self._append_acquire(name)

    def _needs_append(self, name: str) -> bool:
        now_s = self._timer.monotonic_s()
        if now_s < self._next_append_s.get(name, 0.0):
            return False
        held = self.held(name)
        if held is not None:
            return held.renew_sent_at.elapsed_s(self._timer) >= RENEW_AFTER_S
        lease = self._table.find(name)
        # The timestamps of the log decide whether the lease has expired. The
        # local clock only determines when to try.
        return (
            lease is None
            or lease.holder == self._holder
            or lease.expires_s <= self._timer.wall_s()
        )

    def _append_acquire(self, name: str) -> None:
        self._next_append_s[name] = (
            self._timer.monotonic_s()
            + RETRY_INTERVAL_S
            + self._rng.uniform(0, RETRY_INTERVAL_S)
        )
        record = fold.Acquire(name, self._holder, uuid.uuid4().hex, TTL_S)
        append = log_batcher.Append(fold.encode(record))
        append.is_needed = lambda: self._is_recent(append)
        self._pending_appends = {
            request_id: other
            for request_id, other in self._pending_appends.items()
            if self._is_recent(other)
        }
        self._pending_appends[record.request_id] = append
        self._batcher.add(append)

    def _is_recent(self, append: log_batcher.Append) -> bool:
        """Returns whether the lease from an append would still be valid."""
        sent = append.first_sent_at
        return (
            sent is None
            or sent.elapsed_s(self._timer) < TTL_S - EXPIRY_MARGIN_S
        )

    def _apply(
        self,
        record: platform_api.LogRecord,
        acquire: fold.Acquire | None,
    ) -> None:
        if acquire is None:
            return
        lease = self._table.apply(record.offset, record.time_s, acquire)
        if acquire.holder != self._holder:
            return
        append = self._pending_appends.pop(acquire.request_id, None)
        if lease is None or append is None or append.first_sent_at is None:
            return
        self._record_grant(lease, append.first_sent_at)

    def _record_grant(
        self, lease: fold.Lease, sent: log_batcher.Instant
    ) -> None:
        held = self._held.get(lease.name)
        if held is not None and held.fencing == lease.fencing:
            self._held[lease.name] = attrs.evolve(held, renew_sent_at=sent)
            return
        now = log_batcher.Instant(
            self._timer.monotonic_s(), self._timer.wall_s()
        )
        self._held[lease.name] = HeldLease(lease.fencing, now, sent)
        events.log(
            LOG,
            events.LEASE_ACQUIRED,
            lease=lease.name,
            fencing=lease.fencing,
        )
