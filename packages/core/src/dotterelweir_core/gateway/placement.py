"""Target selection for one request.

Each candidate has a cost, in units of running requests, made up of its load,
memory use, queued prefill, availability zone, warm-up and recent failures. The
costs are meant for peak load: long and short generations share engines whose
memory is nearly full, while some targets are slow, failing or draining.
"""

from collections.abc import Callable
import math
import random

import attrs

from dotterelweir_core.gateway import brittleness
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets

# Cost of a target in another availability zone, in running requests. It
# weighs the traffic between zones against the delay that one more request
# adds to a batch.
_ZONE_COST = 1.0
# Queued prompt tokens that count as one running request. Engines prefill
# prompts one after another, 112 tokens per step of about 17 ms: this many
# delay a first event by 60 ms.
_PREFILL_TOKENS_PER_REQUEST = 400.0
# Share of an engine's memory above which each further token adds cost: the
# engine preempts running requests when its memory is full.
_MEMORY_COST_THRESHOLD = 0.7
# Expected memory utilisation up to which backups of runs are kept.
_BACKUP_UTILISATION_MAX = 0.75
# Cost per unit of memory utilisation above the threshold, in running requests.
_MEMORY_COST = 40.0
# Cost of a target that is to be avoided; higher than any load.
_AVOID_COST = 10_000.0
# Cost of a target that failed every recent request, in running requests. A
# target that failed a share of them costs that share of it.
_FAILING_COST = 10.0
# Scale of the random choice of an engine to take over a run, in running
# requests: an engine that costs this much more is chosen e times less often.
# All runs of a draining engine are placed at the same moment and must not all
# go to one engine.
_TAKEOVER_COST_SCALE = 2.0
# Extra cost of taking over a run in another availability zone, in running
# requests. A copy across zones takes twice as long, and the source engine
# may stop before the copy ends.
_TAKEOVER_ZONE_COST = 2.0
# Cost of a target during its warm-up, in running requests.
_WARM_UP_COST = 4.0
# Cost of a target that limits its request rate, in running requests. It gets
# requests while the others are busier than that.
_LIMITED_COST = 2.0
# Cost of an engine at which a long run itself is expected to have a pause
# above the limit, in running requests. It exceeds the cost of memory and load
# of a faster engine that is nearly full (up to 12 and about 8), so that long
# runs fill the faster engines first.
_OWN_PAUSE_COST = 24.0
# Cost for each stream of an engine that a prefill there is expected to delay
# beyond the limit, in running requests, and number of streams counted at most.
_STALL_COST = 8.0
_STALLED_STREAMS_MAX = 4.0
# Cost for a short run of an engine without such pauses while others have them,
# in running requests: its memory is kept for long runs. About the cost of one
# queued prompt at an engine that is idle otherwise.
_RESERVE_COST = 6.0


@attrs.frozen
class Choice:
    """A chosen target and the figures behind the choice.

    Attributes:
        target: The target.
        cost: Its cost, in running requests.
        candidates: Number of targets that were compared.
        avoided: Whether every candidate was to be avoided.
        pause_s: Pause to expect between two events of a stream, in seconds;
            0 if unknown.
        over_limit: Whether that pause makes a long run late.
    """

    target: targets.Target
    cost: float
    candidates: int
    avoided: bool
    pause_s: float = 0.0
    over_limit: bool = False


@attrs.frozen
class Placer:
    """Chooses the target of a request, a backup or a takeover.

    Attributes:
        zone: Availability zone of this instance.
        loads: Load of every target.
        rng: Random source for ties and weighted choices.
        pause_registry: Pauses that targets requested from this instance.
        limits: Limits on the request rates of targets.
        evacuation_registry: The evacuated zones; no target there is chosen.
        brittle: Services whose targets must not be overfilled.
        deal: Returns the places of a brittle target that are dealt to this
            instance.
    """

    zone: str
    loads: gateway_load.LoadRegistry
    rng: random.Random
    pause_registry: pauses.PauseRegistry = attrs.field(
        factory=pauses.PauseRegistry
    )
    limits: rate_limits.LimitRegistry = attrs.field(
        factory=rate_limits.LimitRegistry
    )
    evacuation_registry: evacuations.EvacuationRegistry = attrs.field(
        factory=evacuations.EvacuationRegistry
    )
    brittle: brittleness.BrittleServices = attrs.field(
        factory=brittleness.BrittleServices
    )
    deal: Callable[[targets.Target], brittleness.Places] = attrs.field(
        default=lambda target: brittleness.Places(target.slots, 1.0)
    )

    def choose(
        self,
        candidates: list[targets.Target],
        service: tables.Service,
        tokens: int,
        now_s: float,
        excluded: frozenset[str] | set[str] = frozenset(),
        admits: Callable[[targets.Target], bool] | None = None,
        needs: target_speeds.StreamNeeds | None = None,
    ) -> Choice | None:
        """Chooses the cheapest target that accepts requests.

        Args:
            candidates: Targets of the service.
            service: The service.
            tokens: Tokens that the request will hold in the target's memory;
                0 for plain calls.
            now_s: Monotonic time in seconds.
            excluded: Ids of targets that must not be used.
            admits: Predicate for targets with enough free capacity for the
                request. Other targets are used only if it holds for none.
                None skips this check.
            needs: What the choice by speed depends on; None for requests
                without a limit on pauses.

        Returns:
            The choice, or None if no target accepts requests.
        """
        usable = self.usable(candidates, now_s, excluded)
        if not usable:
            return None
        speeds = self.loads.speeds.view(candidates, service.name, now_s)
        if admits is not None:
            admitted = [candidate for candidate in usable if admits(candidate)]
            if not admitted and self.brittle.is_brittle(service.name):
                return None
            usable = admitted or usable
        costs = [
            (
                self._cost(target, service, tokens, now_s, speeds, needs),
                target,
            )
            for target in usable
        ]
        cost, target = min(
            costs, key=lambda pair: (pair[0], self.rng.random())
        )
        pause_s = speeds.pause_s(target.target_id)
        return Choice(
            target,
            cost,
            len(usable),
            cost >= _AVOID_COST,
            pause_s,
            needs is not None
            and not needs.is_short
            and 0 < needs.gap_s < pause_s,
        )

    def ready(
        self,
        candidates: list[targets.Target],
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> list[targets.Target]:
        """Returns the candidates that are ready and not excluded.

        Those in evacuated zones are left out.

        Args:
            candidates: Targets of the service.
            excluded: Ids of targets that must not be used.
        """
        evacuated_zones = self.evacuation_registry.zones
        return [
            target
            for target in candidates
            if target.state is targets.TargetState.READY
            and target.target_id not in excluded
            and target.zone not in evacuated_zones
        ]

    def paused_until_s(
        self,
        candidates: list[targets.Target],
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> float | None:
        """Returns when the first ready target accepts requests.

        Args:
            candidates: Targets of the service.
            excluded: Ids of targets that must not be used.

        Returns:
            The monotonic time in seconds, in the past if a target has no
            pause; None if no target is ready.
        """
        return min(
            (
                self.pause_registry.pause_end_s(target)
                for target in self.ready(candidates, excluded)
            ),
            default=None,
        )

    def usable(
        self,
        candidates: list[targets.Target],
        now_s: float,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> list[targets.Target]:
        """Returns the targets that accept requests now.

        A paused target gets no requests at all, whatever the load of the
        others; a pause is not part of the cost. Nor does a brittle one that
        may be full.

        Args:
            candidates: Targets of the service.
            now_s: Monotonic time in seconds.
            excluded: Ids of targets that must not be used.
        """
        return [
            target
            for target in self.ready(candidates, excluded)
            if not self.pause_registry.is_paused(target, now_s)
            and self._has_place(target, now_s)
        ]

    def _has_place(self, target: targets.Target, now_s: float) -> bool:
        if not self.brittle.is_brittle(target.service):
            return True
        return self.brittle.accepts(
            target, self.loads.get(target.target_id), self.deal(target), now_s
        )

    def choose_backup(
        self,
        candidates: list[targets.Target],
        service: tables.Service,
        tokens: int,
        now_s: float,
        excluded: set[str],
        needs: target_speeds.StreamNeeds | None = None,
    ) -> targets.Target | None:
        """Chooses the engine that keeps a backup of a run's memory.

        A backup occupies memory that runs may need. None is kept while the
        engines are so full that it would preempt or delay runs.

        Args:
            candidates: Targets of the service.
            service: The service.
            tokens: Tokens that the run will hold.
            now_s: Monotonic time in seconds.
            excluded: Ids of targets that must not be used.
            needs: What the choice by speed depends on.

        Returns:
            The engine, or None if no backup should be kept.
        """
        if service.engine is None:
            return None
        if (
            self.memory_utilisation(candidates, service)
            > _BACKUP_UTILISATION_MAX
        ):
            return None
        if needs is not None:
            # A copy needs no speed, and the memory of fast engines is for
            # runs.
            needs = attrs.evolve(needs, prompt_tokens=0, is_short=True)
        choice = self.choose(
            candidates, service, tokens, now_s, excluded, needs=needs
        )
        if choice is None or choice.avoided:
            return None
        target = choice.target
        held = self._held_tokens(target) + tokens
        if held > _BACKUP_UTILISATION_MAX * service.engine.memory_tokens:
            return None
        return target

    def choose_takeover_target(
        self,
        candidates: list[targets.Target],
        service: tables.Service,
        tokens: int,
        now_s: float,
        source: targets.Target,
        excluded: frozenset[str] | set[str] = frozenset(),
        needs: target_speeds.StreamNeeds | None = None,
    ) -> targets.Target | None:
        """Chooses an engine that takes over a run.

        The choice is random, weighted towards cheap engines, so that runs
        that are placed at the same moment spread over several engines.

        Args:
            candidates: Targets of the service.
            service: The service.
            tokens: Tokens that the run will hold.
            now_s: Monotonic time in seconds.
            source: Engine that holds the run now.
            excluded: Ids of further targets that must not be used.
            needs: What the choice by speed depends on.

        Returns:
            The engine, or None if none accepts requests or all of them are
            to be avoided.
        """
        speeds = self.loads.speeds.view(candidates, service.name, now_s)
        if needs is not None:
            # Its prompt is not prefilled again.
            needs = attrs.evolve(needs, prompt_tokens=0, is_short=False)
        costs = [
            (
                self._cost(target, service, tokens, now_s, speeds, needs)
                + (_TAKEOVER_ZONE_COST if target.zone != source.zone else 0.0),
                target,
            )
            for target in self.usable(
                candidates, now_s, {source.target_id, *excluded}
            )
        ]
        costs = [pair for pair in costs if pair[0] < _AVOID_COST]
        if not costs:
            return None
        least = min(cost for cost, _ in costs)
        weights = [
            math.exp((least - cost) / _TAKEOVER_COST_SCALE)
            for cost, _ in costs
        ]
        return self.rng.choices(costs, weights)[0][1]

    def memory_utilisation(
        self, candidates: list[targets.Target], service: tables.Service
    ) -> float:
        """Returns the expected memory utilisation of the ready engines.

        Args:
            candidates: Targets of the service.
            service: The service.

        Returns:
            Held tokens as a share of the engines' memory, above 1 if it is
            overcommitted; 0 for a service without engine memory, 1 if no
            engine is ready.
        """
        if service.engine is None or not service.engine.memory_tokens:
            return 0.0
        ready = self.ready(candidates)
        if not ready:
            return 1.0
        held = sum(self._held_tokens(target) for target in ready)
        return held / (len(ready) * service.engine.memory_tokens)

    def _held_tokens(self, target: targets.Target) -> float:
        return self.loads.get(target.target_id).held_tokens

    def _cost(
        self,
        target: targets.Target,
        service: tables.Service,
        tokens: int,
        now_s: float,
        speeds: target_speeds.ServiceSpeeds,
        needs: target_speeds.StreamNeeds | None,
    ) -> float:
        """Returns the cost of a target, in running requests."""
        load = self.loads.get(target.target_id)
        speed = speeds.get(target.target_id)
        cost = (load.running + load.peer_running) / speed.running
        if target.zone != self.zone:
            cost += _ZONE_COST
        if now_s < load.warm_until_s:
            cost += _WARM_UP_COST
        if self.limits.is_limited(target):
            cost += _LIMITED_COST
        if load.is_avoided(now_s):
            cost += _AVOID_COST
        cost += _FAILING_COST * load.outcomes.failed_share(now_s)
        if service.engine is not None and service.engine.memory_tokens:
            held = load.held_tokens + tokens
            utilisation = held / service.engine.memory_tokens
            cost += _MEMORY_COST * max(
                0.0, utilisation - _MEMORY_COST_THRESHOLD
            )
            cost += load.pending_prefill_tokens / (
                _PREFILL_TOKENS_PER_REQUEST * speed.prefill
            )
            if speeds.uneven and needs is not None and needs.gap_s > 0:
                cost += _pause_cost(
                    load, speeds.excesses(needs.gap_s), target, needs
                )
        elif target.slots:
            # Behind full slots, each queued request waits for a whole call,
            # so a request weighs more on a target with fewer slots.
            cost *= 6.0 / target.slots
        return cost


def _pause_cost(
    load: gateway_load.TargetLoad,
    excesses: target_speeds.Excesses,
    target: targets.Target,
    needs: target_speeds.StreamNeeds,
) -> float:
    """Returns the cost of pauses above the limit, in running requests.

    Args:
        load: Load of the engine.
        excesses: How far the expected pauses exceed the limit.
        target: The engine.
        needs: What the choice by speed depends on.
    """
    if not excesses.worst:
        return 0.0
    excess = excesses.get(target.target_id)
    cost = 0.0
    if needs.is_short:
        cost += _RESERVE_COST * (excesses.worst - excess)
    else:
        cost += _OWN_PAUSE_COST * excess
    if needs.prompt_tokens and excess:
        prefilling = load.pending_prefill_tokens / needs.prompt_tokens
        streams = load.running + load.peer_running - prefilling
        cost += (
            _STALL_COST * excess * min(_STALLED_STREAMS_MAX, max(0.0, streams))
        )
    return cost
