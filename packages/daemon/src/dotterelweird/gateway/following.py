"""Follows the tables and the targets in the platform's store."""

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

# Delays between failed calls, in seconds. They grow with the number of
# instances that hear each other, up to a bound: the first one that the store
# answers tells the others.
_RETRY_FIRST_S = 0.1
_RETRY_CAP_S = 0.8
_INSTANCES_PER_RETRY = 12
_RETRY_FACTOR_MAX = 4.0
# Time in which news of a change usually arrive after the report of an
# instance that has read it, in seconds; the reads of those that missed them
# are spread over as much again.
_NEWS_S = 0.05
# Time without a read of the store by anybody after which it counts as having
# been away for all, in seconds: twice the longest time between two turns.
_AWAY_S = 1.5


@attrs.frozen
class _Ahead:
    """What another instance knows that this one does not.

    Attributes:
        host: Its address.
        report: What it reported.
        read_s: Monotonic time of the read that found it.
    """

    host: str
    report: stream_api.ReadReport
    read_s: float


class StreamFollower:
    """Follows one stream, in turns with the other instances.

    Args:
        store: The platform's store.
        stream: The stream.
        timer_service: The timer service.
        turn: Tells when it is this instance's turn to read.
        keeper: Takes what is read.
        peers: The other instances.
        counters: Counters of the process.
    """

    def __init__(
        self,
        store: api.Store,
        stream: api.StoreStream,
        timer_service: core_timers.TimerService,
        turn: reading.ReadSchedule,
        keeper: stream_api.Keeper,
        peers: stream_api.Peers,
        counters: statistics.Statistics,
    ) -> None:
        self._store = store
        self._stream = stream
        self._timers = timer_service
        self._turn = turn
        self._keeper = keeper
        self._peers = peers
        self._counters = counters
        self._backoff = backoff.Backoff(turn.rng, _RETRY_FIRST_S, _RETRY_CAP_S)
        self._woken = asyncio.Event()
        self._offset: int | None = None
        # An instance that reported something newer, and its report.
        self._ahead: _Ahead | None = None
        # What an instance reported and a later read did not confirm: it may
        # wait for entries that come back after an outage.
        self._refuted = ''
        # The era that the offset belongs to.
        self._eras = eras.EraTracker()
        # Since when the store has answered somebody again, after it failed
        # this instance; None before. And the newest time that it did.
        self._answers_since_s: float | None = None
        self._answered_s = float('-inf')
        self._failed_s = float('-inf')
        self.available = False
        self.known = False

    @property
    def report(self) -> stream_api.ReadReport | None:
        """What this instance knows; None if no read has confirmed it."""
        if math.isinf(self._turn.last_read_s):
            return None
        age_s = self._timers.monotonic_s() - self._turn.last_read_s
        era = self._eras.era or 0
        return stream_api.ReadReport(
            self._position, self._keeper.content, age_s, era
        )

    @property
    def _position(self) -> int:
        if self._keeper.position is not None:
            return self._keeper.position
        return self._offset if self._offset is not None else -1

    def state(self) -> api.Batch:
        """The records that hold what this instance knows."""
        era = self._eras.era or 0
        return api.Batch(self._keeper.records, self._offset or 0, era=era)

    def take_report(self, host: str, report: stream_api.ReadReport) -> None:
        """Takes what another instance knows.

        Args:
            host: Its address.
            report: What it knows.
        """
        now_s = self._timers.monotonic_s()
        read_s = now_s - max(0.0, report.age_s)
        self._note_answer(read_s)
        if not report.content or (self.known and not self._keeper.content):
            return
        if self.known and self._says_the_same(report):
            if self._offset is not None and self._keeper.position is None:
                # Nothing that matters lies in between.
                self._offset = max(self._offset, report.position)
            self._turn.record_read(read_s, self._peers.instances)
            return
        if self._is_ahead(report):
            self._ahead = _Ahead(host, report, read_s)
            self._hasten()

    def take_news(self, batch: api.Batch) -> None:
        """Takes records that another instance has just read."""
        if batch.era == self._eras.era:
            self._keeper.apply(batch)
        elif self._eras.is_unchecked(batch.era):
            # Their order to what is known here is told by the store alone.
            self._eras.mark_checked(batch.era)
            self._hasten()

    def _says_the_same(self, report: stream_api.ReadReport) -> bool:
        if report.content != self._keeper.content:
            return False
        # A read of another era does not confirm an offset.
        return (
            self._keeper.position is not None or report.era == self._eras.era
        )

    def _is_ahead(self, report: stream_api.ReadReport) -> bool:
        if report.content == self._refuted:
            return False
        if self._keeper.position is not None or report.era == self._eras.era:
            return report.position > self._position
        return self._eras.era is None or self._eras.is_unchecked(report.era)

    def _hasten(self) -> None:
        now_s = self._timers.monotonic_s()
        delay_s = _NEWS_S * (1.0 + self._turn.rng.random())
        self._turn.hasten(now_s, delay_s)
        self._woken.set()

    async def run(self) -> None:
        """Follows the stream until it is cancelled."""
        while True:
            try:
                await self._take_turn()
            except Exception as exc:  # noqa: BLE001
                # An instance that no longer follows the store would serve
                # old tables without anybody noticing.
                events.log(
                    LOG,
                    events.FOLLOWER_FAILED,
                    stream=self._stream.value,
                    reason=f'{type(exc).__name__}: {exc}'[:200],
                )
                self._turn.defer(self._timers.monotonic_s(), _RETRY_CAP_S)

    async def _take_turn(self) -> None:
        await self._wait_turn()
        if self._has_caught_up():
            return
        try:
            await self._read()
        except api.RecordsExpired:
            events.log(
                LOG,
                events.STORE_RECORDS_EXPIRED,
                stream=self._stream.value,
                offset=self._offset,
            )
            self._offset = None
        except api.StoreUnavailable as exc:
            self._mark_unavailable(str(exc))
            await self._read_from_peer()
            self._turn.defer(self._timers.monotonic_s(), self._retry_s())

    def _has_caught_up(self) -> bool:
        """Whether news have told what another instance was ahead by."""
        ahead = self._ahead
        if not self.known or ahead is None:
            return False
        if not self._says_the_same(ahead.report):
            return False
        self._ahead = None
        if self._offset is not None and self._keeper.position is None:
            self._offset = max(self._offset, ahead.report.position)
        self._turn.record_read(ahead.read_s, self._peers.instances)
        # The turn was hastened for it; it may be newer than what was known.
        return self._turn.due_s > self._timers.monotonic_s()

    def _retry_s(self) -> float:
        factor = self._peers.instances / _INSTANCES_PER_RETRY
        factor = min(_RETRY_FACTOR_MAX, max(1.0, factor))
        return factor * (self._backoff.next_delay_s() or _RETRY_CAP_S)

    async def _wait_turn(self) -> None:
        while True:
            left_s = self._turn.due_s - self._timers.monotonic_s()
            if left_s <= 0:
                return
            self._woken.clear()
            handle = self._timers.call_after(left_s, self._woken.set)
            try:
                await self._woken.wait()
            finally:
                handle.cancel()

    async def _read(self) -> None:
        began_s = self._timers.monotonic_s()
        if self._offset is None:
            batch = await self._store.newest(self._stream)
            self._take_era(batch.era)
            self._mark_available(began_s)
            self._keeper.apply_snapshot(batch)
        else:
            batch = await self._store.read(self._stream, self._offset)
            rewound = self._take_era(batch.era)
            self._mark_available(began_s)
            if rewound:
                # The offset names other records now; all are read anew.
                return
            changed = self._keeper.apply(batch)
            if changed:
                self._peers.send_news(self._stream, changed, batch.era)
        self._offset = max(batch.end, self._offset or 0)
        self.known = True
        if batch.more:
            return
        self._keeper.read_ended(began_s)
        await self._settle_ahead()
        self._turn.record_read(began_s, self._peers.instances)
        self._peers.send_reports()

    async def _settle_ahead(self) -> None:
        """Compares what the store says with what another instance said."""
        ahead = self._ahead
        if ahead is None:
            return
        if self._eras.is_unchecked(ahead.report.era):
            self._eras.mark_checked(ahead.report.era)
        if not self._says_the_same(ahead.report):
            if self._keeper.position is not None and self._is_ahead(
                ahead.report
            ):
                # A store that came back from a copy has an older version.
                await self._read_from_peer()
            else:
                self._refuted = ahead.report.content
        self._ahead = None

    def _take_era(self, era: int) -> bool:
        """Takes the era of an answer of the store.

        Returns:
            Whether another era than before has begun.

        Raises:
            StoreUnavailable: The answer counts as a late one of before.
        """
        before = self._eras.era
        change = self._eras.observe_store(era, self._timers.monotonic_s())
        if change is eras.EraChange.STALE:
            raise api.StoreUnavailable(f'era {era} after {before}')
        if change is not eras.EraChange.CHANGED:
            return False
        self._begin_era(before)
        return True

    def _begin_era(self, before: int | None) -> None:
        """Forgets what only held in the era before."""
        events.log(
            LOG,
            events.STORE_REWOUND,
            stream=self._stream.value,
            era=self._eras.era,
            previous_era=before,
            offset=self._offset,
        )
        self._counters.rewinds.inc({'stream': self._stream.value})
        self._offset = None
        self._refuted = ''
        self._keeper.store_rewound()

    async def _read_from_peer(self) -> None:
        """Asks an instance that knows more, while the store is away."""
        if self._ahead is None:
            return
        host, self._ahead = self._ahead.host, None
        try:
            batch = await self._peers.newest(self._stream, host)
        except api.StoreUnavailable as exc:
            events.log(
                LOG,
                events.PEER_STATE_FAILED,
                stream=self._stream.value,
                peer=host,
                reason=str(exc),
            )
            return
        if not self._take_peer_state(batch):
            return
        self.known = True
        events.log(
            LOG,
            events.PEER_STATE_TAKEN,
            stream=self._stream.value,
            peer=host,
            position=self._position,
        )

    def _take_peer_state(self, batch: api.Batch) -> bool:
        """Takes what a peer knows; gives whether it was of use."""
        if self._keeper.position is not None:
            # Versions grow from era to era; offsets do not.
            self._keeper.apply(batch)
            return True
        before = self._eras.era
        match self._eras.observe_peer(batch.era):
            case eras.EraChange.STALE:
                return False
            case eras.EraChange.CHANGED:
                self._begin_era(before)
        self._keeper.apply_snapshot(batch)
        self._offset = max(batch.end, self._offset or 0)
        return True

    def _note_answer(self, read_s: float) -> None:
        """Takes note that the store answered somebody at some time."""
        if read_s <= max(self._answered_s, self._failed_s):
            return
        away = read_s - self._answered_s > _AWAY_S
        if away or self._answers_since_s is None:
            self._answers_since_s = read_s
        self._answered_s = read_s

    def _mark_available(self, read_s: float) -> None:
        self._backoff.reset()
        self._note_answer(read_s)
        if self.available:
            return
        had_outage = self.known
        self.available = True
        events.log(LOG, events.STORE_REACHABLE, stream=self._stream.value)
        if had_outage and self._answers_since_s is not None:
            # Others may have read it before, or all the while.
            self._keeper.store_returned(self._answers_since_s)

    def _mark_unavailable(self, reason: str) -> None:
        if self.available or not self.known:
            events.log(
                LOG,
                events.STORE_UNREACHABLE,
                stream=self._stream.value,
                reason=reason,
            )
        if self.available:
            self._failed_s = self._timers.monotonic_s()
            self._answers_since_s = None
        self.available = False
