"""Simulates peak load on modelled engines, in virtual time.

The gateway's own code decides which engines admit a generation, which one it
is sent to, and in which order queued requests go. An instance receives the
load of the others after the delay of a digest. Engines are replaced one after
the other.
"""

from collections.abc import Callable
import enum
import itertools
import random

import attrs

from dotterelweir_core import timers
from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import service_queues
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import waiting
from dotterelweir_core.targets import model
from dotterelweir_fakes.measurement import crest_load
from dotterelweir_fakes.measurement import engine as engines

# Time until the other instances have received a change of load, in seconds.
_DIGEST_DELAY_S = 0.008
_SERVICE = 'model'


class AdmissionRule(enum.Enum):
    """Condition under which a generation may be sent to an engine."""

    AT_ONCE = 'at once'
    MEMORY = 'when its full length fits into an engine'
    ADMISSION = 'when an engine admits it'


class ServiceRule(enum.Enum):
    """Order in which generations that wait get capacity."""

    DUE_TIME = 'by due time, each instance for itself'
    LOCAL = 'by priority and organisation, each instance for itself'
    SHARED = 'by priority and organisation, at all instances'


@attrs.define
class Tally:
    """Numbers of requests of one kind, by outcome.

    Attributes:
        arrived: Number of requests that arrived.
        on_time: Number of requests whose first token and pauses met their
            objectives.
        late: Number of requests that were served, but not on time.
        refused: Number of requests that got no capacity in time.
        paused: Number of served requests with a pause above the limit.
        paused_on_slow: Number of those that ran on an engine that is not
            fast.
        on_slow: Number of served requests that ran on such an engine.
    """

    arrived: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    paused: int = 0
    paused_on_slow: int = 0
    on_slow: int = 0

    @property
    def on_time_share(self) -> float:
        """Share of the requests that were on time, from 0 to 1."""
        return self.on_time / max(1, self.arrived)


@attrs.define(eq=False)
class _Instance:
    """One gateway instance.

    Attributes:
        name: Name of the instance.
        loads: Loads of all targets, as this instance knows them.
        placer: Chooses the target of a generation.
        admission: Decides which targets admit a generation.
        queues: Queued requests.
    """

    name: str
    loads: gateway_load.LoadRegistry
    placer: placement.Placer
    admission: admission.Admission
    queues: service_queues.ServiceQueues


@attrs.define(eq=False)
class _Request:
    """One simulated request.

    Times are virtual monotonic times in seconds unless stated otherwise.

    Attributes:
        kind: Kind of generation.
        prompt_tokens: Size of the prompt, in tokens.
        output_tokens: Size of the output, in tokens.
        arrived_s: Time of the arrival.
        instance: Instance that received the request.
        sequence: The generation at its engine, once sent.
        load: Load of its engine as the instance counts it, once sent.
        sent_s: Time at which it was sent to the engine.
        is_prefill_sample: Whether no other prompt was pending at the engine
            when it was sent, so that its first token is a sample of the
            prefill rate.
        first_token_delay_s: Time from the arrival to the first token, in
            seconds.
        last_token_s: Time of the last token; before the first one, the time
            of the send.
        longest_pause_s: Longest time between two events, in seconds.
        target: Its engine, once sent.
        window: Averages the times between its events, once sent.
    """

    kind: crest_load.GenerationKind
    prompt_tokens: int
    output_tokens: int
    arrived_s: float
    instance: _Instance
    sequence: engines.Sequence | None = None
    load: gateway_load.TargetLoad | None = None
    sent_s: float = 0.0
    is_prefill_sample: bool = False
    first_token_delay_s: float | None = None
    last_token_s: float = 0.0
    longest_pause_s: float = 0.0
    target: targets.Target | None = None
    window: target_speeds.EventWindow | None = None


def simulate(
    peak_load: crest_load.PeakLoad,
    seed: int,
    rule: AdmissionRule,
    learns_speeds: bool = True,
    service_rule: ServiceRule = ServiceRule.DUE_TIME,
) -> dict[str, Tally]:
    """Simulates a peak load and returns the outcomes by kind of generation.

    Args:
        peak_load: The deployment and its load.
        seed: Seed of the arrivals and of the choices among equal engines.
        rule: Condition under which a generation may be sent.
        learns_speeds: Whether the instances learn the speeds of the engines.
        service_rule: Order in which generations that wait get capacity.
    """
    simulation = _PeakSimulation(
        peak_load, seed, rule, learns_speeds, service_rule
    )
    simulation.run()
    return simulation.tallies


class _PeakSimulation:
    """State of one simulated peak load.

    Args:
        peak_load: The deployment and its load.
        seed: Seed of the random sources.
        rule: Condition under which a generation may be sent.
        learns_speeds: Whether the instances learn the speeds of the engines.
        service_rule: Order in which generations that wait get capacity.
    """

    def __init__(
        self,
        peak_load: crest_load.PeakLoad,
        seed: int,
        rule: AdmissionRule,
        learns_speeds: bool,
        service_rule: ServiceRule,
    ) -> None:
        self._peak_load = peak_load
        self._rule = rule
        self._service_rule = service_rule
        self._learns_speeds = learns_speeds
        self._fast_ids: set[str] = set()
        self._spell_rng = random.Random(f'{seed}-spells')
        self._rng = random.Random(seed)
        self._timers = timers.VirtualTimerService()
        self._numbers = itertools.count()
        self._service = tables.Service(
            _SERVICE,
            100,
            tables.EngineSpec(
                peak_load.costs.batch_max,
                peak_load.costs.memory_tokens,
                True,
                True,
            ),
        )
        self._shortest_objective_s = min(
            kind.objective_s for kind in peak_load.kinds
        )
        self._directory = targets.TargetDirectory()
        self._engines: dict[str, engines.Engine] = {}
        self._instances = [
            self._make_instance(
                f'i{number}', random.Random(f'{seed}-{number}')
            )
            for number in range(peak_load.instances)
        ]
        self.tallies = {kind.name: Tally() for kind in peak_load.kinds}

    def run(self) -> None:
        """Runs until all requests have arrived and ended."""
        peak_load = self._peak_load
        for _ in range(peak_load.engine_count):
            self._add_engine()
        for kind in peak_load.kinds:
            self._schedule_arrival(kind)
        if peak_load.replace_s:
            self._timers.call_after(peak_load.replace_s, self._replace_engine)
        # The added time lets the longest outputs end.
        self._timers.advance(peak_load.seconds + 60.0)

    def _make_instance(self, name: str, rng: random.Random) -> _Instance:
        loads = gateway_load.LoadRegistry()
        instance = _Instance(
            name,
            loads,
            placement.Placer('a', loads, rng),
            admission.Admission(loads),
            service_queues.ServiceQueues(service_order.ServiceOrder()),
        )
        loads.subscribe(lambda: self._send_digest(instance))
        if self._service_rule is ServiceRule.SHARED:
            instance.queues.subscribe(lambda: self._send_digest(instance))
        return instance

    def _send_digest(self, instance: _Instance) -> None:
        now_s = self._timers.monotonic_s()
        rows = instance.loads.own_rows(now_s)
        state = None
        if self._service_rule is ServiceRule.SHARED:
            state = instance.queues.own_state(now_s)

        def receive() -> None:
            received_s = self._timers.monotonic_s()
            for other in self._instances:
                if other is not instance:
                    other.loads.set_peer(instance.name, rows, now_s)
                    other.queues.order.set_peer(
                        instance.name, state, received_s
                    )

        self._timers.call_after(_DIGEST_DELAY_S, receive)

    def _add_engine(self) -> None:
        number = next(self._numbers)
        name = f'e{number}'
        identity = model.Target(name, 1, _SERVICE, 'a', '127.0.0.1', 1)
        self._engines[name] = engines.Engine(identity, self._peak_load.costs)
        speeds = self._peak_load.speeds
        # Spread evenly over the numbers, so that replacements keep the share.
        count = len(self._engines)
        if int(count * speeds.fast_share) > int(
            (count - 1) * speeds.fast_share
        ):
            self._fast_ids.add(name)
        self._set_slow_factor(name, in_spell=False)
        self._register(name, targets.TargetState.READY)

    def _set_slow_factor(self, name: str, in_spell: bool) -> None:
        """Applies an engine's speed and schedules its next slow spell."""
        speeds = self._peak_load.speeds
        factor = 1.0
        if name in self._fast_ids:
            factor /= speeds.fast_factor
        if in_spell:
            factor *= speeds.spell_factor
        self._engines[name].slow_factor = factor
        if not speeds.spell_share:
            return
        delay_s = speeds.spell_s
        if not in_spell:
            mean_s = delay_s * (1.0 / speeds.spell_share - 1.0)
            delay_s = self._spell_rng.expovariate(1.0 / mean_s)
        self._timers.call_after(
            delay_s, lambda: self._set_slow_factor(name, not in_spell)
        )

    def _register(self, name: str, state: targets.TargetState) -> None:
        target = targets.Target(name, _SERVICE, '127.0.0.1', 1, 'a', 24, state)
        self._directory.apply(name, target, next(self._numbers))

    def _replace_engine(self) -> None:
        ready = [
            target.target_id
            for target in self._directory.of_service(_SERVICE)
            if target.state is targets.TargetState.READY
        ]
        self._register(ready[0], targets.TargetState.DRAINING)
        self._timers.call_after(self._peak_load.absence_s, self._add_engine)
        if self._timers.monotonic_s() < self._peak_load.seconds:
            self._timers.call_after(
                self._peak_load.replace_s, self._replace_engine
            )

    def _schedule_arrival(self, kind: crest_load.GenerationKind) -> None:
        now_s = self._timers.monotonic_s()
        if now_s >= self._peak_load.seconds:
            return
        per_s = kind.per_s
        for burst in self._peak_load.bursts:
            if burst.kind == kind.name and burst.from_s <= now_s < burst.to_s:
                per_s *= burst.factor

        def arrive() -> None:
            self._handle_arrival(kind)
            self._schedule_arrival(kind)

        self._timers.call_after(self._rng.expovariate(per_s), arrive)

    def _handle_arrival(self, kind: crest_load.GenerationKind) -> None:
        self.tallies[kind.name].arrived += 1
        request = _Request(
            kind,
            max(16, int(self._rng.gauss(1.0, 0.33) * kind.prompt_tokens)),
            max(1, int(self._rng.expovariate(1.0 / kind.output_tokens))),
            self._timers.monotonic_s(),
            self._rng.choice(self._instances),
        )
        now_s = request.arrived_s
        queue_entry = waiting.QueueEntry(now_s, kind.objective_s)
        if self._service_rule is not ServiceRule.DUE_TIME:
            queue_entry.urgency = service_order.Urgency(kind.priority)
            queue_entry.organisation = service_order.hash_name(
                kind.organisation
            )
        request_queue = self._queue_of(request)
        if self._has_capacity(
            request, queue_entry
        ) and request_queue.may_send_at_once(queue_entry, now_s):
            self._record_use(request)
            self._send(request)
            return
        request.instance.queues.add(request_queue, queue_entry, now_s)
        self._schedule_poll(
            request, waiting.AdmissionPoll(queue_entry, request_queue)
        )

    def _record_use(self, request: _Request) -> None:
        request.instance.queues.order.record_use(
            service_order.hash_name(request.kind.organisation),
            self._demand(request).tokens,
            self._timers.monotonic_s(),
        )

    def _queue_of(self, request: _Request) -> waiting.RequestQueue:
        instance = request.instance
        rate = instance.admission.prefill_rate(self._service).tokens_per_s
        prefill_bound = self._demand(request).is_prefill_bound(rate)
        if self._rule is not AdmissionRule.ADMISSION:
            prefill_bound = False
        return instance.queues.get(
            _SERVICE,
            prefill_bound,
            self._service_rule is not ServiceRule.DUE_TIME,
        )

    def _schedule_poll(
        self, request: _Request, admission_poll: waiting.AdmissionPoll
    ) -> None:
        """Schedules the next poll for capacity of a queued request."""

        def poll_again() -> None:
            now_s = self._timers.monotonic_s()
            result = admission_poll.poll(
                now_s,
                lambda: self._has_capacity(request, admission_poll.entry),
            )
            if result is waiting.PollResult.WAIT:
                self._schedule_poll(request, admission_poll)
                return
            queue, entry = admission_poll.queue, admission_poll.entry
            request.instance.queues.remove(queue, entry, now_s)
            if result is waiting.PollResult.ADMITTED:
                queue.record_admission(entry, now_s)
                self._record_use(request)
                self._send(request)
            else:
                self.tallies[request.kind.name].refused += 1

        delay_s = admission_poll.delay_s(
            self._timers.monotonic_s(), len(self._instances), self._rng
        )
        self._timers.call_after(delay_s, poll_again)

    def _demand(self, request: _Request) -> admission.Demand:
        return admission.Demand(
            request.prompt_tokens,
            request.output_tokens,
            request.kind.objective_s,
            self._shortest_objective_s,
            request.arrived_s,
            min(kind.pause_s for kind in self._peak_load.kinds),
        )

    def _admission_predicate(
        self, request: _Request
    ) -> Callable[[targets.Target], bool]:
        demand = self._demand(request)
        now_s = self._timers.monotonic_s()
        instance_admission = request.instance.admission

        def admits(target: targets.Target) -> bool:
            match self._rule:
                case AdmissionRule.AT_ONCE:
                    return True
                case AdmissionRule.MEMORY:
                    return instance_admission.has_free_memory(
                        target, self._service, demand.tokens
                    )
                case AdmissionRule.ADMISSION:
                    return instance_admission.admits(
                        target, self._service, demand, now_s
                    )

        return admits

    def _has_capacity(
        self, request: _Request, entry: waiting.QueueEntry
    ) -> bool:
        ready = [
            target
            for target in self._directory.of_service(_SERVICE)
            if target.state is targets.TargetState.READY
        ]
        if self._rule is AdmissionRule.ADMISSION:
            if not ready:
                return False
            capacity = request.instance.admission.find_capacity(
                ready,
                self._service,
                self._demand(request),
                self._timers.monotonic_s(),
            )
            entry.deferred = capacity is admission.Capacity.DEFERRED
            return capacity is admission.Capacity.FREE
        admits = self._admission_predicate(request)
        return any(admits(target) for target in ready)

    def _send(self, request: _Request) -> None:
        now_s = self._timers.monotonic_s()
        instance = request.instance
        tokens = self._demand(request).tokens
        choice = instance.placer.choose(
            self._directory.of_service(_SERVICE),
            self._service,
            tokens,
            now_s,
            admits=self._admission_predicate(request),
            needs=instance.admission.needs(
                self._service, self._demand(request)
            ),
        )
        request.target = choice.target
        if self._learns_speeds:
            request.window = target_speeds.EventWindow(
                instance.loads.speeds, choice.target
            )
        name = choice.target.target_id
        request.load = instance.loads.get(name)
        request.is_prefill_sample = not request.load.pending_prefill_tokens
        request.load.running += 1
        request.load.tokens += tokens
        request.load.prefill_tokens += request.prompt_tokens
        instance.loads.notify()
        request.sent_s = request.last_token_s = now_s
        request.sequence = engines.Sequence(
            5,
            next(self._numbers),
            request.prompt_tokens,
            request.output_tokens,
            (),
            (),
            lambda at_s: self._record_token(request, at_s),
        )
        engine = self._engines[name]
        engine.add(request.sequence)
        if not engine.stepping:
            self._step(engine)

    def _step(self, engine: engines.Engine) -> None:
        engine.stepping = engine.has_work
        if not engine.has_work:
            return

        def finish() -> None:
            engine.finish_step(self._timers.monotonic_s())
            self._step(engine)

        self._timers.call_after(engine.start_step(), finish)

    def _record_token(self, request: _Request, now_s: float) -> None:
        if request.first_token_delay_s is None:
            request.first_token_delay_s = now_s - request.arrived_s
            request.load.prefill_tokens -= request.prompt_tokens
            request.instance.loads.notify()
            if request.is_prefill_sample:
                self._record_prefill(request, now_s)
            self._record_event(request, now_s)
        elif not request.sequence.produced_tokens % (
            self._peak_load.event_tokens
        ):
            request.longest_pause_s = max(
                request.longest_pause_s, now_s - request.last_token_s
            )
            self._record_event(request, now_s)
        if request.sequence.produced_tokens >= request.sequence.output_tokens:
            self._record_end(request)

    def _record_prefill(self, request: _Request, now_s: float) -> None:
        taken_s = now_s - request.sent_s
        instance_admission = request.instance.admission
        if self._learns_speeds:
            instance_admission.record_prefill(
                request.target,
                self._service,
                request.prompt_tokens,
                taken_s,
                now_s,
            )
        else:
            instance_admission.prefill_rate(self._service).record(
                request.prompt_tokens, taken_s
            )

    def _record_event(self, request: _Request, now_s: float) -> None:
        request.last_token_s = now_s
        if request.window is not None:
            request.window.add(
                1, request.load.pending_prefill_tokens > 0, now_s
            )

    def _record_end(self, request: _Request) -> None:
        request.load.running -= 1
        request.load.tokens -= self._demand(request).tokens
        request.instance.loads.notify()
        kind, tally = request.kind, self.tallies[request.kind.name]
        is_paused = request.longest_pause_s > kind.pause_s
        on_slow = request.target.target_id not in self._fast_ids
        tally.paused += is_paused
        tally.on_slow += on_slow
        tally.paused_on_slow += is_paused and on_slow
        if request.first_token_delay_s <= kind.objective_s and not is_paused:
            tally.on_time += 1
        else:
            tally.late += 1
