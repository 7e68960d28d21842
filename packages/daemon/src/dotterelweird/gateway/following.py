"""Follows the streams of tables and targets in the platform's store.

All instances share what they read: one of them reads when its schedule is
due and sends the result to the others.
"""

import asyncio
import logging
import math

import attrs

from dotterelweir_core import backoff
from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import eras
from dotterelweir_core.gateway import reading
from dotterelweird.gateway import api
from dotterelweird.gateway import statistics
from dotterelweird.gateway import stream_api

LOG = logging.getLogger(__name__)

# Backoff after failed calls, in seconds, before it is multiplied.
_RETRY_FIRST_S = 0.1
_RETRY_CAP_S = 0.8
# Number of reachable instances for each multiple of the backoff, and maximum
# of the factor. The backoff grows with the number of instances, because the
# first instance that the store answers reports to the others.
_INSTANCES_PER_RETRY = 12
_RETRY_FACTOR_MAX = 4.0
# Shortest time between two reads that are made as evidence, for each
# reachable instance, in seconds. It bounds the reads of a large deployment
# whose callers all take their streams up.
_EVIDENCE_INTERVAL_S = 0.001
# Time within which reports that had waited in the socket are handled, in
# seconds.
_REPORT_LAG_MAX_S = 0.1
# Time within which the record notice of a change usually arrives after the
# report of the instance that read it, in seconds. The reads of instances that
# missed the notice are spread over the same time again.
_RECORD_NOTICE_DELAY_S = 0.05
# Time without a read by any instance after which the store counts as having
# been unavailable to all, in seconds: longer than the longest time between two
# scheduled reads plus a call.
_OUTAGE_S = 1.5


@attrs.frozen
class _NewerReport:
    """Report of a peer whose state is newer than this instance's.

    Attributes:
        host: IP address of the peer.
        report: The report.
        read_s: Monotonic time of the read that the report is about, in
            seconds.
    """

    host: str
    report: stream_api.ReadReport
    read_s: float


class StreamFollower:
    """Follows one stream and shares its reads with the other instances.

    Args:
        store: Client of the platform's store.
        stream: The stream.
        timer_service: The timer service.
        schedule: Computes when this instance has to read.
        keeper: Holds the state that the records describe.
        peers: Communication with the other instances.
        counters: Metrics of the process.

    Attributes:
        store_available: Whether the store answered this instance's newest
            call.
        has_state: Whether the store or a peer has supplied a state.
    """

    def __init__(
        self,
        store: api.Store,
        stream: api.StoreStream,
        timer_service: core_timers.TimerService,
        schedule: reading.ReadSchedule,
        keeper: stream_api.Keeper,
        peers: stream_api.Peers,
        counters: statistics.Statistics,
    ) -> None:
        self._store = store
        self._stream = stream
        self._timers = timer_service
        self._schedule = schedule
        self._keeper = keeper
        self._peers = peers
        self._counters = counters
        self._backoff = backoff.Backoff(
            schedule.rng, _RETRY_FIRST_S, _RETRY_CAP_S
        )
        self._wake_event = asyncio.Event()
        self._offset: int | None = None
        # Report of a newer state that no read has confirmed or refuted yet.
        self._newer_report: _NewerReport | None = None
        # Fingerprint of a state that an instance reported and a later read
        # did not confirm: the instance may still wait for targets that
        # register again after an outage.
        self._unconfirmed_fingerprint = ''
        # Tracks the era that the offset belongs to.
        self._eras = eras.EraTracker()
        # Monotonic time since which the store has answered any instance after
        # an outage, in seconds; None before its first answer, and from a
        # failed call of this instance to the next answer.
        self._answering_since_s: float | None = None
        # Monotonic time of the store's newest answer to any instance, in
        # seconds.
        self._last_answer_s = float('-inf')
        # Monotonic time at which the newest outage began for this instance, in
        # seconds.
        self._outage_began_s = float('-inf')
        # Monotonic time at which the newest own read began that reached the
        # end of the stream, in seconds.
        self._own_read_s = float('-inf')
        # Set when a read by any instance becomes known, or one has failed.
        self._read_known = asyncio.Event()
        # Monotonic time at which a read that is wanted as evidence is due, in
        # seconds; infinite if none is wanted.
        self._evidence_due_s = math.inf
        self.store_available = False
        self.has_state = False

    async def confirm(self, since_s: float, timeout_s: float) -> bool:
        """Waits for a read that began after a time.

        While the store does not answer this instance, the report of a read
        by another one counts. It may have waited in the socket while this
        process stood still, so that it must be of a somewhat later read.

        Args:
            since_s: Monotonic time, in seconds.
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether there is one that shows all that is there; False as soon
            as the store answers no instance.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_confirmed(since_s):
                    if self.store_available:
                        self._evidence_due_s = min(
                            self._evidence_due_s, self._next_evidence_s()
                        )
                        self._wake_event.set()
                    elif self._is_store_down():
                        return False
                    self._read_known.clear()
                    await self._read_known.wait()
        except TimeoutError:
            return False
        read_s = self._own_read_s
        if read_s < since_s:
            read_s = self._schedule.last_read_s
        return self._keeper.is_settled(read_s)

    def _is_confirmed(self, since_s: float) -> bool:
        if self._own_read_s >= since_s:
            return True
        reported_s = self._schedule.last_read_s - _REPORT_LAG_MAX_S
        return not self.store_available and reported_s >= since_s

    def _is_store_down(self) -> bool:
        """Whether no instance has reported a read for some time."""
        age_s = self._timers.monotonic_s() - self._schedule.last_read_s
        return age_s > _OUTAGE_S

    def _next_evidence_s(self) -> float:
        """Returns when another read may be made as evidence, in seconds."""
        interval_s = _EVIDENCE_INTERVAL_S * self._peers.instance_count
        return max(self._timers.monotonic_s(), self._own_read_s + interval_s)

    @property
    def report(self) -> stream_api.ReadReport | None:
        """Report of the state; None if no read has confirmed the state."""
        if math.isinf(self._schedule.last_read_s):
            return None
        age_s = self._timers.monotonic_s() - self._schedule.last_read_s
        era = self._eras.era or 0
        return stream_api.ReadReport(
            self._position, self._keeper.fingerprint, age_s, era
        )

    @property
    def _position(self) -> int:
        if self._keeper.position is not None:
            return self._keeper.position
        return self._offset if self._offset is not None else -1

    def state(self) -> api.Batch:
        """Returns the records from which a peer can build the state."""
        era = self._eras.era or 0
        return api.Batch(self._keeper.records, self._offset or 0, era=era)

    def handle_report(self, host: str, report: stream_api.ReadReport) -> None:
        """Handles a report of another instance about its state.

        Args:
            host: IP address of the instance.
            report: The report.
        """
        now_s = self._timers.monotonic_s()
        read_s = now_s - max(0.0, report.age_s)
        self._record_answer(read_s)
        if not report.fingerprint or (
            self.has_state and not self._keeper.fingerprint
        ):
            return
        if self.has_state and self._has_same_state(report):
            if self._offset is not None and self._keeper.position is None:
                # The records up to the peer's offset change nothing here.
                self._offset = max(self._offset, report.position)
            self._schedule.record_read(read_s, self._peers.instance_count)
            self._read_known.set()
            return
        if self._is_newer(report):
            self._newer_report = _NewerReport(host, report, read_s)
            self._hasten_read()

    def apply_record_notice(self, batch: api.Batch) -> None:
        """Applies records that another instance has just read.

        Args:
            batch: The records, with the era of their offsets.
        """
        if batch.era == self._eras.era:
            self._keeper.apply(batch)
        elif self._eras.is_unchecked(batch.era):
            # Only the store shows how they relate to the records known here.
            self._eras.mark_checked(batch.era)
            self._hasten_read()

    def _has_same_state(self, report: stream_api.ReadReport) -> bool:
        if report.fingerprint != self._keeper.fingerprint:
            return False
        # Offsets of different eras are not comparable.
        return (
            self._keeper.position is not None or report.era == self._eras.era
        )

    def _is_newer(self, report: stream_api.ReadReport) -> bool:
        if report.fingerprint == self._unconfirmed_fingerprint:
            return False
        if self._keeper.position is not None or report.era == self._eras.era:
            return report.position > self._position
        return self._eras.era is None or self._eras.is_unchecked(report.era)

    def _hasten_read(self) -> None:
        now_s = self._timers.monotonic_s()
        delay_s = _RECORD_NOTICE_DELAY_S * (1.0 + self._schedule.rng.random())
        self._schedule.hasten(now_s, delay_s)
        self._wake_event.set()

    async def run(self) -> None:
        """Follows the stream until the task is cancelled."""
        while True:
            try:
                await self._read_when_due()
            except Exception as exc:  # noqa: BLE001
                # An instance that stopped following the store would serve
                # stale tables without any sign of it.
                events.log(
                    LOG,
                    events.FOLLOWER_FAILED,
                    stream=self._stream.value,
                    reason=f'{type(exc).__name__}: {exc}'[:200],
                )
                self._schedule.defer(self._timers.monotonic_s(), _RETRY_CAP_S)

    async def _read_when_due(self) -> None:
        await self._wait_until_due()
        if math.isinf(self._evidence_due_s) and self._has_caught_up():
            return
        self._evidence_due_s = math.inf
        try:
            await self._read()
        except api.RecordsExpired:
            events.log(
                LOG,
                events.STORE_RECORDS_EXPIRED,
                stream=self._stream.value,
                offset=self._offset,
            )
            if self._offset is None:
                # A snapshot needs no earlier records: the answer is wrong, and
                # another call would get the same one.
                self._schedule.defer(
                    self._timers.monotonic_s(), self._retry_delay_s()
                )
            self._offset = None
        except api.StoreUnavailable as exc:
            self._mark_unavailable(str(exc))
            self._read_known.set()
            await self._read_from_peer()
            self._schedule.defer(
                self._timers.monotonic_s(), self._retry_delay_s()
            )

    def _has_caught_up(self) -> bool:
        """Whether record notices have supplied the reported newer state."""
        newer = self._newer_report
        if not self.has_state or newer is None:
            return False
        if not self._has_same_state(newer.report):
            return False
        self._newer_report = None
        if self._offset is not None and self._keeper.position is None:
            self._offset = max(self._offset, newer.report.position)
        self._schedule.record_read(newer.read_s, self._peers.instance_count)
        # The report moved the next read forward. Recording the reported read
        # has postponed it only if that read is newer than the last known one.
        return self._schedule.due_s > self._timers.monotonic_s()

    def _retry_delay_s(self) -> float:
        factor = self._peers.instance_count / _INSTANCES_PER_RETRY
        factor = min(_RETRY_FACTOR_MAX, max(1.0, factor))
        return factor * (self._backoff.next_delay_s() or _RETRY_CAP_S)

    async def _wait_until_due(self) -> None:
        while True:
            due_s = min(self._schedule.due_s, self._evidence_due_s)
            remaining_s = due_s - self._timers.monotonic_s()
            if remaining_s <= 0:
                return
            self._wake_event.clear()
            handle = self._timers.call_after(remaining_s, self._wake_event.set)
            try:
                await self._wake_event.wait()
            finally:
                handle.cancel()

    async def _read(self) -> None:
        began_s = self._timers.monotonic_s()
        if self._offset is None:
            batch = await self._store.read_snapshot(self._stream)
            self._observe_era(batch.era)
            self._mark_available(began_s)
            self._keeper.apply_snapshot(batch)
        else:
            batch = await self._store.read(self._stream, self._offset)
            rewound = self._observe_era(batch.era)
            self._mark_available(began_s)
            if rewound:
                # The offset belongs to another era; read a snapshot next.
                return
            changed = self._keeper.apply(batch)
            if changed:
                self._peers.send_record_notice(
                    self._stream, changed, batch.era
                )
        self._offset = max(batch.end, self._offset or 0)
        self.has_state = True
        if batch.has_more:
            return
        self._keeper.on_read_completed(began_s)
        self._own_read_s = began_s
        await self._compare_with_newer_report()
        self._schedule.record_read(began_s, self._peers.instance_count)
        self._read_known.set()
        self._peers.send_reports()

    async def _compare_with_newer_report(self) -> None:
        """Compares the state that was read with a peer's newer report."""
        newer = self._newer_report
        if newer is None:
            return
        if self._eras.is_unchecked(newer.report.era):
            self._eras.mark_checked(newer.report.era)
        if not self._has_same_state(newer.report):
            if self._keeper.position is not None and self._is_newer(
                newer.report
            ):
                # The store was restored from an older copy, so the peer has
                # the newer version.
                await self._read_from_peer()
            else:
                self._unconfirmed_fingerprint = newer.report.fingerprint
        self._newer_report = None

    def _observe_era(self, era: int) -> bool:
        """Tracks the era of an answer of the store.

        Args:
            era: Era of the answer.

        Returns:
            Whether another era has begun.

        Raises:
            StoreUnavailable: The answer counts as stale, of an earlier era.
        """
        previous_era = self._eras.era
        change = self._eras.observe_store(era, self._timers.monotonic_s())
        if change is eras.EraChange.STALE:
            raise api.StoreUnavailable(f'era {era} after {previous_era}')
        if change is not eras.EraChange.CHANGED:
            return False
        self._reset_for_era(previous_era)
        return True

    def _reset_for_era(self, previous_era: int | None) -> None:
        """Discards state that was valid only in the previous era.

        Args:
            previous_era: The previous era; None if there was none.
        """
        events.log(
            LOG,
            events.STORE_REWOUND,
            stream=self._stream.value,
            era=self._eras.era,
            previous_era=previous_era,
            offset=self._offset,
        )
        self._counters.rewinds.inc({'stream': self._stream.value})
        self._offset = None
        self._unconfirmed_fingerprint = ''
        self._keeper.on_store_rewound()

    async def _read_from_peer(self) -> None:
        """Fetches the state of the peer that reported a newer one.

        Used while the store is unavailable or has an older version.
        """
        if self._newer_report is None:
            return
        host, self._newer_report = self._newer_report.host, None
        try:
            batch = await self._peers.fetch_state(self._stream, host)
        except api.StoreUnavailable as exc:
            events.log(
                LOG,
                events.PEER_STATE_FAILED,
                stream=self._stream.value,
                peer=host,
                reason=str(exc),
            )
            return
        if not self._apply_peer_state(batch):
            return
        self.has_state = True
        events.log(
            LOG,
            events.PEER_STATE_TAKEN,
            stream=self._stream.value,
            peer=host,
            position=self._position,
        )

    def _apply_peer_state(self, batch: api.Batch) -> bool:
        """Applies the state of a peer.

        Args:
            batch: The records from which the state can be built.

        Returns:
            Whether the state was applied; one of an earlier era is not.
        """
        if self._keeper.position is not None:
            # Versions also rise across eras; offsets do not.
            self._keeper.apply(batch)
            return True
        previous_era = self._eras.era
        match self._eras.observe_peer(batch.era):
            case eras.EraChange.STALE:
                return False
            case eras.EraChange.CHANGED:
                self._reset_for_era(previous_era)
        self._keeper.apply_snapshot(batch)
        self._offset = max(batch.end, self._offset or 0)
        return True

    def _record_answer(self, read_s: float) -> None:
        """Records that the store answered an instance.

        Args:
            read_s: Monotonic time of the read, in seconds.
        """
        if read_s <= max(self._last_answer_s, self._outage_began_s):
            return
        outage_for_all = read_s - self._last_answer_s > _OUTAGE_S
        if outage_for_all or self._answering_since_s is None:
            self._answering_since_s = read_s
        self._last_answer_s = read_s

    def _mark_available(self, read_s: float) -> None:
        self._backoff.reset()
        self._record_answer(read_s)
        if self.store_available:
            return
        had_outage = self.has_state
        self.store_available = True
        events.log(LOG, events.STORE_REACHABLE, stream=self._stream.value)
        if had_outage and self._answering_since_s is not None:
            # Other instances may have reached it earlier or throughout.
            self._keeper.on_store_recovered(self._answering_since_s)

    def _mark_unavailable(self, reason: str) -> None:
        if self.store_available or not self.has_state:
            events.log(
                LOG,
                events.STORE_UNREACHABLE,
                stream=self._stream.value,
                reason=reason,
            )
        if self.store_available:
            self._outage_began_s = self._timers.monotonic_s()
            self._answering_since_s = None
        self.store_available = False
