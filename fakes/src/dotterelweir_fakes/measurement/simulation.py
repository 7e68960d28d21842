"""Simulates instances with their schedulers on modelled engines.

The simulation runs in virtual time.
"""

from collections.abc import Callable
import itertools
import random

import attrs

from dotterelweir_core import timers
from dotterelweir_core.policy import api
from dotterelweir_fakes.measurement import engine as engine_model
from dotterelweir_fakes.measurement import workload

# Time after which a connection to an unreachable target fails, in seconds;
# the daemon's default.
_CONNECT_TIMEOUT_S = 1.0
# Interval between two load reports, and range of the delay until an instance
# has received one, in seconds.
_REPORT_PERIOD_S = 1.0
_REPORT_LAG_RANGE_S = (1.0, 3.0)
# One in this number of polls that return cache events loses the oldest event.
_CACHE_EVENT_LOSS_ONE_IN = 50
# Time after the end of the last phase within which running requests may end,
# in seconds.
_DRAIN_S = 240.0


@attrs.define(eq=False)
class Request:
    """Progress and outcome of one request.

    Attributes:
        arrival: The request as it arrived.
        item: The request as it was last submitted to the scheduler.
        attempts: Attempts in progress.
        winner: Attempt that delivered the first token; the others are
            cancelled then.
        token_times: Monotonic time of each token at the instance, in
            seconds.
        ended: Whether the whole answer was delivered.
        refused: Whether the request was refused.
    """

    arrival: workload.Arrival
    item: api.WorkItem
    attempts: list['_Attempt'] = attrs.field(factory=list)
    winner: '_Attempt | None' = None
    token_times: list[float] = attrs.field(factory=list)
    ended: bool = False
    refused: bool = False


@attrs.define(eq=False)
class _Attempt:
    """One attempt of a request at one engine.

    Attributes:
        request: The request.
        instance: Instance that received the request.
        engine: The engine.
        sequence: The generation at the engine; None if it is unreachable.
        buffered: Number of tokens that a network partition holds back.
        ended: Whether the attempt has ended.
    """

    request: Request
    instance: '_Instance'
    engine: engine_model.Engine
    sequence: engine_model.Sequence | None = None
    buffered: int = 0
    ended: bool = False


@attrs.define(eq=False)
class _Instance:
    """One instance with its scheduler.

    Attributes:
        scheduler: Scheduler of the instance.
        zone: Availability zone of the instance.
        wakeup: Timer of the next call of the scheduler; None without one.
        wakeup_s: Monotonic time of that call, in seconds; None without one.
    """

    scheduler: api.Scheduler
    zone: str
    wakeup: timers.TimerHandle | None = None
    wakeup_s: float | None = None


SchedulerFactory = Callable[[random.Random, str, float], api.Scheduler]


class Simulation:
    """One simulation run.

    Args:
        deployment: The deployment.
        scenario: Demand and faults.
        seed: Seed of the random sources.
        factory: Creates the scheduler of an instance from a random source,
            an availability zone and the offset of wall time from monotonic
            time in seconds.
        shared: Whether all instances share one scheduler that gets every
            load report without delay; used for the ideal policy only.

    Attributes:
        engines: Modelled engines by target identifier.
        requests: All requests in order of arrival.
        placements: Number of attempts that were placed.
        hedges: Number of placements that were hedges.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        scenario: workload.Scenario,
        seed: int,
        factory: SchedulerFactory,
        shared: bool = False,
    ) -> None:
        self._timers = timers.VirtualTimerService()
        self._deployment = deployment
        self._scenario = scenario
        self._shared = shared
        self._rng = random.Random(f'simulation/{seed}')
        self._sequence = itertools.count()
        self._order = itertools.count()
        self._partitioned = False
        targets = deployment.targets()
        self.engines = {
            target.target_id: engine_model.Engine(target, deployment.costs)
            for target in targets
        }
        offset_s = self._timers.wall_s() - self._timers.monotonic_s()
        self._instances = []
        for number, zone in enumerate(deployment.instance_zones()):
            if shared and self._instances:
                self._instances.append(self._instances[0])
                continue
            scheduler = factory(
                random.Random(f'instance/{seed}/{number}'), zone, offset_s
            )
            scheduler.set_targets(workload.POOL, targets, 0.0)
            self._instances.append(_Instance(scheduler, zone))
        self.requests: list[Request] = []
        self.placements = 0
        self.hedges = 0

    def run(self, arrivals: list[workload.Arrival]) -> None:
        """Runs until all requests have ended or the drain time is over.

        Args:
            arrivals: Requests to simulate, in order of arrival.
        """
        virtual_timers = self._timers
        for arrival in arrivals:
            virtual_timers.call_after(
                arrival.item.arrived_s,
                lambda due_arrival=arrival: self._handle_arrival(due_arrival),
            )
        for slowdown in self._scenario.slowdowns:
            engine = list(self.engines.values())[slowdown.engine_number]
            virtual_timers.call_after(
                slowdown.start_s,
                lambda engine=engine, factor=slowdown.factor: setattr(
                    engine, 'slow_factor', factor
                ),
            )
            virtual_timers.call_after(
                slowdown.end_s,
                lambda engine=engine: setattr(engine, 'slow_factor', 1.0),
            )
        if self._scenario.isolated_zone is not None:
            virtual_timers.call_after(
                self._scenario.partition_s[0], self._start_partition
            )
            virtual_timers.call_after(
                self._scenario.partition_s[1], self._end_partition
            )
        self._schedule_reports()
        end_s = self._scenario.phases[-1].until_s
        virtual_timers.advance_to(end_s)
        while virtual_timers.monotonic_s() < end_s + _DRAIN_S and any(
            engine.has_work for engine in self.engines.values()
        ):
            virtual_timers.advance(1.0)

    def _handle_arrival(self, arrival: workload.Arrival) -> None:
        request = Request(arrival, arrival.item)
        self.requests.append(request)
        self._submit(request)

    def _submit(self, request: Request) -> None:
        instance = self._instances[request.arrival.instance_number]
        instance.scheduler.submit(request.item, self._timers.monotonic_s())
        self._decide(instance)

    def _decide(self, instance: _Instance) -> None:
        now_s = self._timers.monotonic_s()
        for decision in instance.scheduler.decide(now_s):
            request = self.requests[int(decision.request_id[1:])]
            match decision:
                case api.Placement():
                    self._start_attempt(instance, request, decision)
                case api.Refusal():
                    request.refused = not request.attempts
        due_s = instance.scheduler.next_wakeup_s()
        if due_s == instance.wakeup_s and instance.wakeup is not None:
            return
        if instance.wakeup is not None:
            instance.wakeup.cancel()
            instance.wakeup = None
        instance.wakeup_s = due_s
        if due_s is not None:
            delay_s = max(0.0005, due_s - now_s)
            instance.wakeup = self._timers.call_after(
                delay_s, lambda: self._handle_wakeup(instance)
            )

    def _handle_wakeup(self, instance: _Instance) -> None:
        instance.wakeup = None
        self._decide(instance)

    def _reachable(
        self, instance: _Instance, engine: engine_model.Engine
    ) -> bool:
        if not self._partitioned or self._shared:
            return True
        isolated_zone = self._deployment.zones[self._scenario.isolated_zone]
        return (instance.zone == isolated_zone) == (
            engine.target.zone == isolated_zone
        )

    def _start_attempt(
        self, instance: _Instance, request: Request, placement: api.Placement
    ) -> None:
        self.placements += 1
        self.hedges += placement.hedge
        engine = self.engines[placement.target_id]
        attempt = _Attempt(request, instance, engine)
        request.attempts.append(attempt)
        if not self._reachable(instance, engine):
            self._timers.call_after(
                _CONNECT_TIMEOUT_S, lambda: self._handle_unreachable(attempt)
            )
            return
        arrival = request.arrival
        attempt.sequence = engine_model.Sequence(
            placement.engine_priority,
            next(self._order),
            arrival.item.prompt_tokens,
            arrival.output_tokens,
            arrival.item.prefix_hashes,
            arrival.prefix_tokens,
            lambda now_s: self._handle_token(attempt, now_s),
        )
        latency_s = 0.0001
        if instance.zone != engine.target.zone:
            latency_s = self._deployment.zone_latency_s
        self._timers.call_after(
            latency_s, lambda: self._enqueue_at_engine(attempt)
        )

    def _enqueue_at_engine(self, attempt: _Attempt) -> None:
        if attempt.ended or attempt.sequence is None:
            return
        attempt.engine.add(attempt.sequence)
        self._step(attempt.engine)

    def _step(self, engine: engine_model.Engine) -> None:
        if engine.stepping or not engine.has_work:
            return
        engine.stepping = True
        self._timers.call_after(
            engine.start_step(), lambda: self._finish_step(engine)
        )

    def _finish_step(self, engine: engine_model.Engine) -> None:
        engine.finish_step(self._timers.monotonic_s())
        engine.stepping = False
        self._step(engine)

    def _handle_token(self, attempt: _Attempt, now_s: float) -> None:
        if not self._reachable(attempt.instance, attempt.engine):
            attempt.buffered += 1
            return
        self._deliver_tokens(attempt, 1, now_s)

    def _deliver_tokens(
        self, attempt: _Attempt, count: int, now_s: float
    ) -> None:
        request = attempt.request
        if attempt.ended:
            return
        scheduler = attempt.instance.scheduler
        request_id = request.item.request_id
        target_id = attempt.engine.target.target_id
        times = request.token_times
        if request.winner is None:
            request.winner = attempt
            for other in list(request.attempts):
                if other is not attempt:
                    self._cancel_attempt(other)
            scheduler.record_first_token(request_id, target_id, now_s)
            if count > 1:
                scheduler.record_tokens(
                    request_id, target_id, count - 1, now_s
                )
        else:
            scheduler.record_tokens(request_id, target_id, count, now_s)
        times.extend(itertools.repeat(now_s, count))
        if len(times) >= request.arrival.output_tokens:
            request.ended = True
            self._end_attempt(attempt, api.AttemptEnd.COMPLETE)

    def _cancel_attempt(self, attempt: _Attempt) -> None:
        if attempt.sequence is not None:
            attempt.engine.cancel(attempt.sequence)
        self._end_attempt(attempt, api.AttemptEnd.CANCELLED)

    def _end_attempt(self, attempt: _Attempt, end: api.AttemptEnd) -> None:
        attempt.ended = True
        attempt.request.attempts.remove(attempt)
        attempt.instance.scheduler.record_end(
            attempt.request.item.request_id,
            attempt.engine.target.target_id,
            end,
            self._timers.monotonic_s(),
        )
        self._decide(attempt.instance)

    def _handle_unreachable(self, attempt: _Attempt) -> None:
        if attempt.ended:
            return
        request = attempt.request
        request.item = attrs.evolve(
            request.item,
            excluded=request.item.excluded | {attempt.engine.target.target_id},
        )
        self._end_attempt(attempt, api.AttemptEnd.FAILED)
        if not request.attempts and request.winner is None:
            self._submit(request)

    def _start_partition(self) -> None:
        self._partitioned = True

    def _end_partition(self) -> None:
        self._partitioned = False
        now_s = self._timers.monotonic_s()
        for request in self.requests:
            for attempt in list(request.attempts):
                if attempt.buffered and not attempt.ended:
                    count, attempt.buffered = attempt.buffered, 0
                    self._deliver_tokens(attempt, count, now_s)

    def _schedule_reports(self) -> None:
        instances = self._instances[:1] if self._shared else self._instances
        period_s = 0.1 if self._shared else _REPORT_PERIOD_S
        for instance in instances:
            for engine in self.engines.values():
                cursor = {'next': 0}
                self._timers.call_after(
                    self._rng.uniform(0.0, period_s),
                    lambda instance=instance, engine=engine, cursor=cursor: (
                        self._poll_load(instance, engine, cursor, period_s)
                    ),
                )

    def _poll_load(
        self,
        instance: _Instance,
        engine: engine_model.Engine,
        cursor: dict[str, int],
        period_s: float,
    ) -> None:
        self._timers.call_after(
            period_s,
            lambda: self._poll_load(instance, engine, cursor, period_s),
        )
        if not self._reachable(instance, engine):
            return
        report = engine.report(self._timers.wall_s())
        first = cursor['next']
        cursor['next'] = len(engine.cache_events)
        cache_events = tuple(engine.cache_events[first:])
        if cache_events and not self._rng.randrange(_CACHE_EVENT_LOSS_ONE_IN):
            cache_events = cache_events[1:]
            first += 1
        lag_s = (
            0.0 if self._shared else self._rng.uniform(*_REPORT_LAG_RANGE_S)
        )

        def receive() -> None:
            scheduler = instance.scheduler
            scheduler.record_report(report, self._timers.monotonic_s())
            record_cache_events = getattr(
                scheduler, 'record_cache_events', None
            )
            if record_cache_events is not None:
                record_cache_events(
                    engine.target.target_id,
                    engine.target.incarnation,
                    cache_events,
                    first,
                )
            self._decide(instance)

        self._timers.call_after(lag_s, receive)
