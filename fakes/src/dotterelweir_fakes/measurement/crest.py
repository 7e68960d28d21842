"""Plays a crest of generations against modelled engines, in virtual time.

The decisions are the gateway's own: which engines admit a generation, which
one it is sent to, and who waits for whom. Instances learn of each other's
load after the delay of a digest. Engines are replaced one after the other.
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
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import waiting
from dotterelweir_core.targets import model
from dotterelweir_fakes.measurement import crest_load
from dotterelweir_fakes.measurement import engine as engines

# Time until other instances know of a change of load, in seconds.
_DIGEST_S = 0.008
_SERVICE = 'model'


class Rule(enum.Enum):
    """When a generation may be sent."""

    AT_ONCE = 'at once'
    MEMORY = 'when its full length fits into an engine'
    ADMISSION = 'when an engine admits it'


@attrs.define
class Tally:
    """What the callers of one kind got.

    Attributes:
        asked: Requests.
        on_time: Those with their first token and all pauses in time.
        late: Those that were answered later.
        refused: Those that no engine had room for in time.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def on_time_share(self) -> float:
        """Share of the requests that were on time."""
        return self.on_time / max(1, self.asked)


@attrs.define(eq=False)
class _Instance:
    """One gateway."""

    name: str
    loads: gateway_load.LoadRegistry
    placer: placement.Placer
    admission: admission.Admission
    lines: dict[bool, waiting.RequestQueue] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Request:
    kind: crest_load.Kind
    prompt_tokens: int
    output_tokens: int
    arrived_s: float
    instance: _Instance
    sequence: engines.Sequence | None = None
    load: gateway_load.TargetLoad | None = None
    sent_s: float = 0.0
    alone: bool = False
    first_s: float | None = None
    last_s: float = 0.0
    longest_pause_s: float = 0.0


def play(crest: crest_load.Crest, seed: int, rule: Rule) -> dict[str, Tally]:
    """Plays a crest and gives what the callers of each kind got.

    Args:
        crest: The deployment and its load.
        seed: Seed of the arrivals and of ties.
        rule: When a generation may be sent.
    """
    played = _Play(crest, seed, rule)
    played.run()
    return played.tallies


class _Play:
    def __init__(self, crest: crest_load.Crest, seed: int, rule: Rule) -> None:
        self._crest = crest
        self._rule = rule
        self._rng = random.Random(seed)
        self._timers = timers.VirtualTimerService()
        self._numbers = itertools.count()
        self._service = tables.Service(
            _SERVICE,
            100,
            tables.EngineSpec(
                crest.costs.batch_max, crest.costs.memory_tokens, True, True
            ),
        )
        self._shortest_s = min(kind.objective_s for kind in crest.kinds)
        self._directory = targets.TargetDirectory()
        self._engines: dict[str, engines.Engine] = {}
        self._instances = [
            self._make_instance(
                f'i{number}', random.Random(f'{seed}-{number}')
            )
            for number in range(crest.instances)
        ]
        self.tallies = {kind.name: Tally() for kind in crest.kinds}

    def run(self) -> None:
        """Lets all requests arrive and end."""
        crest = self._crest
        for _ in range(crest.engine_count):
            self._add_engine()
        for kind in crest.kinds:
            self._schedule_arrival(kind)
        if crest.replace_s:
            self._timers.call_after(crest.replace_s, self._replace)
        # Longer than the longest output.
        self._timers.advance(crest.seconds + 60.0)

    def _make_instance(self, name: str, rng: random.Random) -> _Instance:
        loads = gateway_load.LoadRegistry()
        instance = _Instance(
            name,
            loads,
            placement.Placer('a', loads, rng),
            admission.Admission(loads),
        )
        loads.subscribe(lambda: self._tell(instance))
        return instance

    def _tell(self, instance: _Instance) -> None:
        now_s = self._timers.monotonic_s()
        rows = instance.loads.own_rows(now_s)

        def take() -> None:
            for other in self._instances:
                if other is not instance:
                    other.loads.set_peer(instance.name, rows, now_s)

        self._timers.call_after(_DIGEST_S, take)

    def _add_engine(self) -> None:
        number = next(self._numbers)
        name = f'e{number}'
        identity = model.Target(name, 1, _SERVICE, 'a', '127.0.0.1', 1)
        self._engines[name] = engines.Engine(identity, self._crest.costs)
        self._register(name, targets.TargetState.READY)

    def _register(self, name: str, state: targets.TargetState) -> None:
        target = targets.Target(name, _SERVICE, '127.0.0.1', 1, 'a', 24, state)
        self._directory.apply(name, target, next(self._numbers))

    def _replace(self) -> None:
        ready = [
            target.target_id
            for target in self._directory.of_service(_SERVICE)
            if target.state is targets.TargetState.READY
        ]
        self._register(ready[0], targets.TargetState.DRAINING)
        self._timers.call_after(self._crest.absence_s, self._add_engine)
        if self._timers.monotonic_s() < self._crest.seconds:
            self._timers.call_after(self._crest.replace_s, self._replace)

    def _schedule_arrival(self, kind: crest_load.Kind) -> None:
        now_s = self._timers.monotonic_s()
        if now_s >= self._crest.seconds:
            return
        per_s = kind.per_s
        for burst in self._crest.bursts:
            if burst.kind == kind.name and burst.from_s <= now_s < burst.to_s:
                per_s *= burst.factor

        def arrive() -> None:
            self._arrive(kind)
            self._schedule_arrival(kind)

        self._timers.call_after(self._rng.expovariate(per_s), arrive)

    def _arrive(self, kind: crest_load.Kind) -> None:
        self.tallies[kind.name].asked += 1
        request = _Request(
            kind,
            max(16, int(self._rng.gauss(1.0, 0.33) * kind.prompt_tokens)),
            max(1, int(self._rng.expovariate(1.0 / kind.output_tokens))),
            self._timers.monotonic_s(),
            self._rng.choice(self._instances),
        )
        if self._has_room(request):
            self._send(request)
            return
        ticket = waiting.QueueEntry(request.arrived_s, kind.objective_s)
        line = self._line(request)
        line.add(ticket)
        self._look_later(request, waiting.AdmissionPoll(ticket, line))

    def _line(self, request: _Request) -> waiting.RequestQueue:
        instance = request.instance
        rate = instance.admission.prefill_rate(self._service).tokens_per_s
        brief = self._demand(request).is_prefill_bound(rate)
        if self._rule is not Rule.ADMISSION:
            brief = False
        return instance.lines.setdefault(brief, waiting.RequestQueue())

    def _look_later(
        self, request: _Request, search: waiting.AdmissionPoll
    ) -> None:
        """Looks for room after a while."""

        def look() -> None:
            now_s = self._timers.monotonic_s()
            found = search.poll(now_s, lambda: self._has_room(request))
            if found is waiting.PollResult.WAIT:
                self._look_later(request, search)
                return
            search.queue.remove(search.entry)
            if found is waiting.PollResult.ADMITTED:
                self._send(request)
            else:
                self.tallies[request.kind.name].refused += 1

        delay_s = search.delay_s(
            self._timers.monotonic_s(), len(self._instances), self._rng
        )
        self._timers.call_after(delay_s, look)

    def _demand(self, request: _Request) -> admission.Demand:
        return admission.Demand(
            request.prompt_tokens,
            request.output_tokens,
            request.kind.objective_s,
            self._shortest_s,
            request.arrived_s,
        )

    def _admits(self, request: _Request) -> Callable[[targets.Target], bool]:
        demand = self._demand(request)
        now_s = self._timers.monotonic_s()
        deciding = request.instance.admission

        def admits(target: targets.Target) -> bool:
            match self._rule:
                case Rule.AT_ONCE:
                    return True
                case Rule.MEMORY:
                    return deciding.has_free_memory(
                        target, self._service, demand.tokens
                    )
                case Rule.ADMISSION:
                    return deciding.admits(
                        target, self._service, demand, now_s
                    )

        return admits

    def _has_room(self, request: _Request) -> bool:
        admits = self._admits(request)
        return any(
            admits(target)
            for target in self._directory.of_service(_SERVICE)
            if target.state is targets.TargetState.READY
        )

    def _send(self, request: _Request) -> None:
        now_s = self._timers.monotonic_s()
        instance = request.instance
        tokens = self._demand(request).tokens
        choice = instance.placer.choose(
            self._directory.of_service(_SERVICE),
            self._service,
            tokens,
            now_s,
            admits=self._admits(request),
        )
        name = choice.target.target_id
        request.load = instance.loads.get(name)
        request.alone = not request.load.pending_prefill_tokens
        request.load.running += 1
        request.load.tokens += tokens
        request.load.prefill_tokens += request.prompt_tokens
        instance.loads.notify()
        request.sent_s = request.last_s = now_s
        request.sequence = engines.Sequence(
            5,
            next(self._numbers),
            request.prompt_tokens,
            request.output_tokens,
            (),
            (),
            lambda at_s: self._take_token(request, at_s),
        )
        made = self._engines[name]
        made.add(request.sequence)
        if not made.stepping:
            self._step(made)

    def _step(self, made: engines.Engine) -> None:
        made.stepping = made.busy
        if not made.busy:
            return

        def finish() -> None:
            made.finish_step(self._timers.monotonic_s())
            self._step(made)

        self._timers.call_after(made.start_step(), finish)

    def _take_token(self, request: _Request, now_s: float) -> None:
        if request.first_s is None:
            request.first_s = now_s - request.arrived_s
            request.load.prefill_tokens -= request.prompt_tokens
            request.instance.loads.notify()
            if request.alone:
                request.instance.admission.prefill_rate(self._service).record(
                    request.prompt_tokens, now_s - request.sent_s
                )
        else:
            request.longest_pause_s = max(
                request.longest_pause_s, now_s - request.last_s
            )
        request.last_s = now_s
        if request.sequence.produced >= request.sequence.output:
            self._end(request)

    def _end(self, request: _Request) -> None:
        request.load.running -= 1
        request.load.tokens -= self._demand(request).tokens
        request.instance.loads.notify()
        kind, tally = request.kind, self.tallies[request.kind.name]
        if (
            request.first_s <= kind.objective_s
            and request.longest_pause_s <= kind.pause_s
        ):
            tally.on_time += 1
        else:
            tally.late += 1
