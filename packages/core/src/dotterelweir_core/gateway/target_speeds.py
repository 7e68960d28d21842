"""Learned speeds of targets, relative to the median of their service.

The speeds are needed at high load on targets of uneven speed: a long run on a
slow engine has pauses above the limit of its route when another prompt is
prefilled beside it, while a fast engine stays within the limit.

The speed of a target is the time that it takes for one event of a stream, for
a prompt token, or for a plain call. Each instance measures it on its own
requests and shares the result in its digests. A figure is used only if it is
precise enough; until then a target counts as one of average speed.
"""

import collections
from collections.abc import Iterable
import math
import statistics

import attrs

from dotterelweir_core.gateway import targets

# Shortest time over which the events of one stream are averaged for a sample,
# and shortest time between two samples of one target, in seconds. Samples are
# spaced in time because all streams of an engine are slow in the same spell.
WINDOW_S = 0.1
# Number of samples of a target that are kept, the newest ones.
_SAMPLES_MAX = 48
# Number of samples without which a target counts as one of average speed. A
# stall of 0.6 s takes up to six of them, which the median leaves out.
_SAMPLES_MIN = 16
# The same for prefill times, of which each request gives only one.
_PREFILL_SAMPLES_MIN = 6
# Greatest standard error of an estimate that is used, as a share of it. Three
# standard errors are the deviation that counts as equal.
_RELATIVE_ERROR_MAX = 0.05
# Standard error of a median, as a multiple of the interquartile range over the
# square root of the number of samples, for a normal distribution.
_ERROR_PER_RANGE = 0.93
# Time after the last sample for which an instance uses and reports its own
# estimate, and after its receipt for which it uses one of another instance, in
# seconds.
_OWN_AGE_MAX_S = 120.0
_PEER_AGE_MAX_S = 60.0
# Age at which an equal estimate of another instance replaces the known one, in
# seconds. Most digests repeat what the last one said.
_PEER_REFRESH_S = 15.0
# Number of other instances whose estimates are kept for each target, the
# newest ones. It bounds the memory in large deployments.
_PEERS_MAX = 8
# Weight of an instance's estimate: the attempts that the target has served
# there, up to this number.
_WEIGHT_MAX = 16.0
# Time after a new start of a target for which estimates of other instances are
# ignored, in seconds: they may still be those of the previous start.
_OLD_START_S = 2.0
# Relative deviation from the median of the service that counts as equal.
_EQUAL_DEVIATION = 0.15
# Bounds of a relative speed. Nothing that was measured may make a target count
# as far faster or slower than this.
_SPEED_MIN = 0.25
_SPEED_MAX = 4.0
# Time for which the relative speeds of a service are kept before they are
# computed again, in seconds.
_VIEW_AGE_MAX_S = 1.0
# Quantile of the longest times between events beside a prefill that counts as
# the pause to expect. It includes spells in which engines are slow that take
# more than a twentieth of the time.
_PAUSE_QUANTILE = 0.95
# Number of such times kept for a service, and number without which no pause
# is expected. A spell of 0.6 s takes up to six.
_PAUSE_SAMPLES_MAX = 400
_PAUSE_SAMPLES_MIN = 60
# Share of the pause limit at which an expected pause begins to count. The
# learned times are uncertain by about this much.
_PAUSE_RAMP_START = 0.85


@attrs.define
class _Samples:
    """The newest samples of one quantity of one target.

    Attributes:
        count_min: Number of samples without which there is no estimate.
        values: The samples, oldest first.
        last_s: Monotonic time of the newest sample, in seconds.
    """

    count_min: int
    values: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLES_MAX)
    )
    last_s: float = float('-inf')
    _estimate: float = 0.0
    _changed: bool = False

    def add(self, value: float, now_s: float) -> None:
        """Adds a sample unless the last one is too recent."""
        if now_s - self.last_s < WINDOW_S:
            return
        if now_s - self.last_s > _OWN_AGE_MAX_S:
            self.values.clear()
        self.values.append(value)
        self.last_s = now_s
        self._changed = True

    def estimate(self, now_s: float) -> float:
        """Returns the median; 0 if there is no estimate that is usable."""
        if now_s - self.last_s > _OWN_AGE_MAX_S:
            return 0.0
        if self._changed:
            self._changed = False
            self._estimate = self._compute()
        return self._estimate

    def _compute(self) -> float:
        count = len(self.values)
        if count < self.count_min:
            return 0.0
        ordered = sorted(self.values)
        median = statistics.median(ordered)
        spread = ordered[(3 * count) // 4] - ordered[count // 4]
        error = _ERROR_PER_RANGE * spread / math.sqrt(count)
        return median if error <= _RELATIVE_ERROR_MAX * median else 0.0


@attrs.frozen
class _PeerEstimate:
    """Estimates of another instance for one target.

    Attributes:
        event_us: Time for one event or call, in microseconds; 0 if unknown.
        prefill_us: Time for 1,000 prompt tokens, in microseconds; 0 if
            unknown.
        weight: Weight of the estimates.
        received_s: Monotonic time of the receipt, in seconds.
    """

    event_us: float
    prefill_us: float
    weight: float
    received_s: float


@attrs.define
class _TargetRecord:
    """What is known of the speed of one start of a target.

    Attributes:
        service: Name of its service; empty if only other instances use it.
        started_ms: Wall time of its start, in milliseconds.
        events: Own samples of the time for an event or a call, in
            microseconds.
        prefills: Own samples of the time for 1,000 prompt tokens, in
            microseconds.
        peers: Estimates of other instances, by instance, oldest first.
        peers_from_s: Monotonic time before which estimates of other instances
            are ignored, in seconds.
    """

    service: str = ''
    started_ms: int = 0
    events: _Samples = attrs.field(factory=lambda: _Samples(_SAMPLES_MIN))
    prefills: _Samples = attrs.field(
        factory=lambda: _Samples(_PREFILL_SAMPLES_MIN)
    )
    peers: dict[str, _PeerEstimate] = attrs.field(factory=dict)
    peers_from_s: float = float('-inf')


@attrs.frozen
class Speed:
    """Speed of a target relative to the median of its service.

    Attributes:
        running: Relative speed of events or calls; 2 is twice as fast.
        prefill: Relative speed of the prefill.
        event_s: Time for one event or call, in seconds; for a target whose
            speed is unknown, the median of the service, or 0.
        known: Whether the speed is known.
    """

    running: float = 1.0
    prefill: float = 1.0
    event_s: float = 0.0
    known: bool = False


_AVERAGE = Speed()


@attrs.frozen
class Excesses:
    """How far the expected pauses of a service's targets exceed a limit.

    0 stands for a pause well within the limit, 1 for one above it.

    Attributes:
        average: Excess of a target that is not known.
        worst: Greatest excess of any known target.
        by_target: Excesses of the known targets.
    """

    average: float
    worst: float
    by_target: dict[str, float]

    def get(self, target_id: str) -> float:
        """Returns the excess of a target."""
        return self.by_target.get(target_id, self.average)


@attrs.frozen
class ServiceSpeeds:
    """Relative speeds of the targets of a service at one moment.

    Attributes:
        computed_s: Monotonic time of the computation, in seconds.
        average: Speed of a target that is not known.
        by_target: Speeds of the known targets.
        uneven: Whether any target differs from the others.
        slowest_event_s: Longest time for an event of any known target, in
            seconds.
        fastest_event_s: Shortest time for an event of any known target, in
            seconds.
        pause_factor: Pause to expect beside a prefill, as a multiple of the
            time for an event; 0 if unknown.
    """

    computed_s: float = float('-inf')
    average: Speed = _AVERAGE
    by_target: dict[str, Speed] = attrs.field(factory=dict)
    uneven: bool = False
    slowest_event_s: float = 0.0
    fastest_event_s: float = 0.0
    pause_factor: float = 0.0
    _excesses: dict[float, Excesses] = attrs.field(factory=dict, eq=False)

    def get(self, target_id: str) -> Speed:
        """Returns the speed of a target."""
        return self.by_target.get(target_id, self.average)

    def pause_s(self, target_id: str) -> float:
        """Returns the pause to expect in a stream of a target, in seconds.

        Args:
            target_id: Id of the target.

        Returns:
            The pause while another prompt is prefilled; 0 if unknown.
        """
        return self.pause_factor * self.get(target_id).event_s

    def excess(self, event_s: float, limit_s: float) -> float:
        """Returns how far an expected pause exceeds a limit, from 0 to 1.

        Args:
            event_s: Time for an event of the target, in seconds.
            limit_s: Longest pause that is on time, in seconds; 0 for none.

        Returns:
            0 for a pause well within the limit, 1 for one above it. Always
            0 if all targets are equally fast: no choice would avoid it.
        """
        if not self.uneven or limit_s <= 0:
            return 0.0
        share = self.pause_factor * event_s / limit_s
        return min(
            1.0,
            max(0.0, (share - _PAUSE_RAMP_START) / (1.0 - _PAUSE_RAMP_START)),
        )

    def excesses(self, limit_s: float) -> Excesses:
        """Returns how far the expected pauses exceed a limit.

        They are computed once for each limit.

        Args:
            limit_s: Longest pause that is on time, in seconds; 0 for none.
        """
        known = self._excesses.get(limit_s)
        if known is None:
            by_target = {
                target_id: self.excess(speed.event_s, limit_s)
                for target_id, speed in self.by_target.items()
            }
            known = self._excesses[limit_s] = Excesses(
                self.excess(self.average.event_s, limit_s),
                self.excess(self.slowest_event_s, limit_s),
                by_target,
            )
        return known


_NO_SPEEDS = ServiceSpeeds()


@attrs.frozen
class StreamNeeds:
    """What the choice of an engine by speed depends on.

    Attributes:
        gap_s: Longest time between two events that is on time for streams of
            the service, in seconds; 0 for none.
        prompt_tokens: Size of the prompt that the engine will prefill, in
            tokens; 0 for a run that continues from a copy.
        is_short: Whether the run ends soon after its prefill.
    """

    gap_s: float
    prompt_tokens: int
    is_short: bool


class SpeedRegistry:
    """Learns and merges the speeds of all targets."""

    def __init__(self) -> None:
        self._records: dict[str, _TargetRecord] = {}
        self._views: dict[str, ServiceSpeeds] = {}
        # By service: longest times between events beside a prefill, as
        # multiples of the target's time for an event.
        self._pauses: dict[str, collections.deque[float]] = {}

    def record_events(
        self,
        target: targets.Target,
        mean_s: float,
        longest_s: float,
        beside_prefill: bool,
        now_s: float,
    ) -> None:
        """Adds the times between events of one stream over a window.

        Args:
            target: The engine.
            mean_s: Mean time between two events, in seconds.
            longest_s: Longest time between two events, in seconds.
            beside_prefill: Whether another prompt was being prefilled.
            now_s: Monotonic time, in seconds.
        """
        record = self._record(target, now_s)
        if record is None or mean_s <= 0:
            return
        if not beside_prefill:
            record.events.add(1e6 * mean_s, now_s)
            return
        event_s = self.last(target.service).get(target.target_id).event_s
        if event_s:
            self._pauses.setdefault(
                target.service, collections.deque(maxlen=_PAUSE_SAMPLES_MAX)
            ).append(longest_s / event_s)

    def record_prefill(
        self, target: targets.Target, tokens: int, taken_s: float, now_s: float
    ) -> None:
        """Adds the time of a prefill without another pending prompt.

        Args:
            target: The engine.
            tokens: Size of the prompt, in tokens.
            taken_s: Time from the send to the first event, in seconds.
            now_s: Monotonic time, in seconds.
        """
        record = self._record(target, now_s)
        if record is not None and tokens > 0 and taken_s > 0:
            record.prefills.add(1e9 * taken_s / tokens, now_s)

    def record_call(
        self, target: targets.Target, taken_s: float, now_s: float
    ) -> None:
        """Adds the duration of a plain call that did not wait for a slot.

        Args:
            target: The target.
            taken_s: Duration of the call, in seconds.
            now_s: Monotonic time, in seconds.
        """
        record = self._record(target, now_s)
        if record is not None and taken_s > 0:
            record.events.add(1e6 * taken_s, now_s)

    def own_estimates(
        self, target_id: str, now_s: float
    ) -> tuple[float, float]:
        """Returns this instance's estimates for a digest.

        Args:
            target_id: Id of the target.
            now_s: Monotonic time, in seconds.

        Returns:
            Time for one event or call, and for 1,000 prompt tokens, in
            microseconds; 0 if unknown.
        """
        record = self._records.get(target_id)
        if record is None:
            return 0.0, 0.0
        return record.events.estimate(now_s), record.prefills.estimate(now_s)

    def set_peer(
        self,
        peer_id: str,
        target_id: str,
        event_us: float,
        prefill_us: float,
        served: float,
        now_s: float,
    ) -> None:
        """Records the estimates in the digest of another instance.

        Args:
            peer_id: Name of the instance.
            target_id: Id of the target.
            event_us: Time for one event or call, in microseconds; 0 or less
                if unknown.
            prefill_us: Time for 1,000 prompt tokens, in microseconds; 0 or
                less if unknown.
            served: Attempts that the target has served there.
            now_s: Monotonic time, in seconds.
        """
        if event_us <= 0 and prefill_us <= 0:
            return
        record = self._records.get(target_id)
        if record is None:
            record = self._records[target_id] = _TargetRecord()
        if now_s < record.peers_from_s:
            return
        known = record.peers.get(peer_id)
        if (
            known is not None
            and known.event_us == event_us
            and known.prefill_us == prefill_us
            and now_s - known.received_s < _PEER_REFRESH_S
        ):
            return
        record.peers.pop(peer_id, None)
        weight = 1.0 + min(_WEIGHT_MAX, max(0.0, served))
        record.peers[peer_id] = _PeerEstimate(
            event_us, prefill_us, weight, now_s
        )
        if len(record.peers) > _PEERS_MAX:
            del record.peers[next(iter(record.peers))]

    def discard(self, target_id: str) -> None:
        """Removes what is known of a target that was removed."""
        self._records.pop(target_id, None)

    def view(
        self, candidates: Iterable[targets.Target], service: str, now_s: float
    ) -> ServiceSpeeds:
        """Returns the relative speeds of a service.

        Args:
            candidates: Targets of the service.
            service: Name of the service.
            now_s: Monotonic time, in seconds.
        """
        view = self._views.get(service, _NO_SPEEDS)
        if 0.0 <= now_s - view.computed_s < _VIEW_AGE_MAX_S:
            return view
        self._drop_expired(service, now_s)
        for target in candidates:
            self._record(target, now_s)
        view = self._views[service] = self._compute(service, now_s)
        return view

    def last(self, service: str) -> ServiceSpeeds:
        """Returns the speeds of a service as they were computed last.

        Args:
            service: Name of the service.
        """
        return self._views.get(service, _NO_SPEEDS)

    def _record(
        self, target: targets.Target, now_s: float
    ) -> _TargetRecord | None:
        """Returns the record of a target's start; None for an earlier one."""
        record = self._records.get(target.target_id)
        if record is not None and record.started_ms == target.started_ms:
            record.service = target.service
            return record
        if record is None or not record.started_ms:
            # Other instances may have reported the target first.
            peers = {} if record is None else record.peers
            own = record is not None and bool(record.service)
            record = _TargetRecord(
                target.service, target.started_ms, peers={} if own else peers
            )
        elif target.started_ms < record.started_ms:
            return None
        else:
            record = _TargetRecord(
                target.service,
                target.started_ms,
                peers_from_s=now_s + _OLD_START_S,
            )
        self._records[target.target_id] = record
        return record

    def _drop_expired(self, service: str, now_s: float) -> None:
        """Removes expired estimates, and records that have none left.

        A run that outlives the removal of its target adds a record again.
        """
        for target_id, record in list(self._records.items()):
            if record.service not in ('', service):
                continue
            record.peers = {
                peer_id: estimate
                for peer_id, estimate in record.peers.items()
                if now_s - estimate.received_s <= _PEER_AGE_MAX_S
            }
            last_s = max(record.events.last_s, record.prefills.last_s)
            if (
                not record.peers
                and now_s - last_s > _OWN_AGE_MAX_S
                and now_s >= record.peers_from_s
            ):
                del self._records[target_id]

    def _compute(self, service: str, now_s: float) -> ServiceSpeeds:
        """Computes the relative speeds of a service."""
        events_us: dict[str, float] = {}
        prefills_us: dict[str, float] = {}
        for target_id, record in self._records.items():
            if record.service != service:
                continue
            event_us = _merge(
                record.events.estimate(now_s),
                len(record.events.values),
                [(row.event_us, row.weight) for row in record.peers.values()],
            )
            if event_us:
                events_us[target_id] = event_us
            prefill_us = _merge(
                record.prefills.estimate(now_s),
                len(record.prefills.values),
                [
                    (row.prefill_us, row.weight)
                    for row in record.peers.values()
                ],
            )
            if prefill_us:
                prefills_us[target_id] = prefill_us
        running = _relative(events_us)
        prefill = _relative(prefills_us)
        known = running.keys() | prefill.keys()
        median_us = statistics.median(events_us.values()) if events_us else 0.0
        average = Speed(event_s=1e-6 * median_us)
        by_target = {}
        for target_id in known:
            # An engine is usually fast or slow in both.
            running_speed = running.get(target_id) or prefill[target_id]
            by_target[target_id] = Speed(
                running_speed,
                prefill.get(target_id, running_speed),
                1e-6 * events_us.get(target_id, median_us),
                True,
            )
        return ServiceSpeeds(
            now_s,
            average,
            by_target,
            any(
                speed.running != 1.0 or speed.prefill != 1.0
                for speed in by_target.values()
            ),
            1e-6 * max(events_us.values(), default=0.0),
            1e-6 * min(events_us.values(), default=0.0),
            self._pause_factor(service),
        )

    def _pause_factor(self, service: str) -> float:
        pauses = self._pauses.get(service, ())
        if len(pauses) < _PAUSE_SAMPLES_MIN:
            return 0.0
        return sorted(pauses)[int(_PAUSE_QUANTILE * (len(pauses) - 1))]


def _merge(
    own: float, own_samples: int, peer_rows: list[tuple[float, float]]
) -> float:
    """Returns the weighted median of the estimates; 0 without any."""
    rows = [pair for pair in peer_rows if pair[0] > 0]
    if own > 0:
        rows.append((own, 1.0 + min(_WEIGHT_MAX, own_samples)))
    if not rows:
        return 0.0
    rows.sort()
    half = 0.5 * sum(weight for _, weight in rows)
    for value, weight in rows:
        half -= weight
        if half <= 0:
            return value
    return rows[-1][0]


def _relative(times_us: dict[str, float]) -> dict[str, float]:
    """Returns relative speeds from times; small differences count as equal."""
    if not times_us:
        return {}
    median_us = statistics.median(times_us.values())
    speeds = {}
    for target_id, time_us in times_us.items():
        speed = median_us / time_us
        if abs(speed - 1.0) <= _EQUAL_DEVIATION:
            speed = 1.0
        speeds[target_id] = min(_SPEED_MAX, max(_SPEED_MIN, speed))
    return speeds


class EventWindow:
    """Averages the times between the events of one stream over windows.

    A window during which a prefill began or ended gives no sample.

    Args:
        registry: Takes the samples.
        target: The engine of the stream.
    """

    def __init__(
        self, registry: SpeedRegistry, target: targets.Target
    ) -> None:
        self._registry = registry
        self._target = target
        self._began_s: float | None = None
        self._last_s = 0.0
        self._events = 0
        self._longest_s = 0.0
        self._beside_prefill = False

    def restart(self) -> None:
        """Discards the window, as its times are not those of the engine."""
        self._began_s = None

    def add(self, events: int, prefill_pending: bool, now_s: float) -> None:
        """Adds events that arrived together.

        Args:
            events: Number of events.
            prefill_pending: Whether a prompt of another request is being
                prefilled at the engine.
            now_s: Monotonic time of the arrival, in seconds.
        """
        if self._began_s is None or prefill_pending is not (
            self._beside_prefill
        ):
            self._begin(prefill_pending, now_s)
            return
        self._events += events
        self._longest_s = max(self._longest_s, now_s - self._last_s)
        self._last_s = now_s
        if now_s - self._began_s < WINDOW_S or not self._events:
            return
        self._registry.record_events(
            self._target,
            (now_s - self._began_s) / self._events,
            self._longest_s,
            prefill_pending,
            now_s,
        )
        self._begin(prefill_pending, now_s)

    def _begin(self, prefill_pending: bool, now_s: float) -> None:
        self._began_s = self._last_s = now_s
        self._events = 0
        self._longest_s = 0.0
        self._beside_prefill = prefill_pending
