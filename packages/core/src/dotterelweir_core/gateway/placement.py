"""Choice of a target for one request.

Answers the load of the busiest days: long and short generations on engines
whose memory is nearly full, while some targets are slow, failing or leaving.
"""

from collections.abc import Callable
import math
import random

import attrs

from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

# Cost of a target in another availability zone, in requests of load. A
# crossing costs bytes between zones; one more request in a batch costs time.
_ZONE_COST = 1.0
# Waiting prompt tokens that count as one running request. Prompts are read one
# after another, 112 tokens a step of about 17 ms: this many delay a first
# event by 60 ms.
_PREFILL_TOKENS_PER_REQUEST = 400.0
# Share of an engine's memory above which a further token is expensive: the
# engine preempts running requests when the memory is full.
_MEMORY_KNEE = 0.7
# Expected share of the memory up to which copies of runs are kept.
_BACKUP_UTILISATION_MAX = 0.75
# Cost of a full memory, in requests of load.
_MEMORY_COST = 40.0
# Cost of a target that is avoided; above any load.
_AVOID_COST = 10_000.0
# Cost of a target that fails every recent request, in requests of load; one
# that fails some of them costs its share of it.
_FAILING_COST = 10.0
# Difference of cost, in requests of load, at which one engine takes over a run
# 2.7 times as often as another. All runs of an engine that leaves look for
# another one at the same moment and must not all choose the same.
_TAKEOVER_COST_SCALE = 2.0
# Further cost of a refuge in another availability zone, in requests of load:
# a copy takes twice as long there, and the engine may be gone before.
_TAKEOVER_ZONE_COST = 2.0
# Cost of a target during its warm-up, in requests of load.
_WARM_UP_COST = 4.0


@attrs.frozen
class Choice:
    """A target and why it was chosen.

    Attributes:
        target: The target.
        cost: Its cost, in requests of load.
        candidates: How many targets were compared.
        avoided: Whether every candidate was to be avoided.
    """

    target: targets.Target
    cost: float
    candidates: int
    avoided: bool


def _ready(
    candidates: list[targets.Target],
    excluded: frozenset[str] | set[str] = frozenset(),
) -> list[targets.Target]:
    """Those that take work and are not excluded."""
    return [
        target
        for target in candidates
        if target.state is targets.TargetState.READY
        and target.target_id not in excluded
    ]


@attrs.frozen
class Placer:
    """Chooses targets.

    Attributes:
        zone: Availability zone of this instance.
        loads: Load of every target.
        rng: Random source that breaks ties.
        pause_book: Until when targets want nothing from this instance.
    """

    zone: str
    loads: gateway_load.LoadBook
    rng: random.Random
    pause_book: pauses.PauseBook = attrs.field(factory=pauses.PauseBook)

    def choose(
        self,
        candidates: list[targets.Target],
        service: tables.Service,
        tokens: int,
        now_s: float,
        excluded: frozenset[str] | set[str] = frozenset(),
        admits: Callable[[targets.Target], bool] | None = None,
    ) -> Choice | None:
        """Chooses the cheapest target that takes work.

        Args:
            candidates: Targets of the service.
            service: The service.
            tokens: Tokens that the request will hold; 0 for plain calls.
            now_s: Monotonic time.
            excluded: Targets that must not be used.
            admits: Whether a target has room for the request; others are
                used only if none has. None if that is not asked.

        Returns:
            The choice, or None if no target takes work.
        """
        usable = self.usable(candidates, now_s, excluded)
        if not usable:
            return None
        if admits is not None:
            usable = [
                candidate for candidate in usable if admits(candidate)
            ] or usable
        costs = [
            (self._cost(target, service, tokens, now_s), target)
            for target in usable
        ]
        cost, target = min(
            costs, key=lambda pair: (pair[0], self.rng.random())
        )
        return Choice(target, cost, len(usable), cost >= _AVOID_COST)

    def paused_until_s(
        self,
        candidates: list[targets.Target],
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> float | None:
        """When the first of some targets takes requests.

        Args:
            candidates: Targets of the service.
            excluded: Targets that must not be used.

        Returns:
            The monotonic time, in the past for a target without a pause;
            None if no target takes work.
        """
        return min(
            (
                self.pause_book.until_s(target)
                for target in _ready(candidates, excluded)
            ),
            default=None,
        )

    def usable(
        self,
        candidates: list[targets.Target],
        now_s: float,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> list[targets.Target]:
        """Those that take requests now and are not excluded.

        A pause is no cost to weigh: a target in one gets nothing at all.
        """
        return [
            target
            for target in _ready(candidates, excluded)
            if not self.pause_book.is_paused(target, now_s)
        ]

    def choose_backup(
        self,
        candidates: list[targets.Target],
        service: tables.Service,
        tokens: int,
        now_s: float,
        excluded: set[str],
    ) -> targets.Target | None:
        """Chooses where a copy of a run's memory is kept, or None.

        A copy holds memory that runs may need. There is none while the
        engines are so full that it would displace or delay runs.
        """
        if service.engine is None:
            return None
        if (
            self.memory_utilisation(candidates, service)
            > _BACKUP_UTILISATION_MAX
        ):
            return None
        choice = self.choose(candidates, service, tokens, now_s, excluded)
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
    ) -> targets.Target | None:
        """Chooses an engine that can take over a run, or None.

        Args:
            candidates: Targets of the service.
            service: The service.
            tokens: Tokens that the run will hold.
            now_s: Monotonic time.
            source: Where the run is.
            excluded: Targets that must not be used.
        """
        costs = [
            (
                self._takeover_cost(target, source, service, tokens, now_s),
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

    def _takeover_cost(
        self,
        target: targets.Target,
        source: targets.Target,
        service: tables.Service,
        tokens: int,
        now_s: float,
    ) -> float:
        cost = self._cost(target, service, tokens, now_s)
        if target.zone != source.zone:
            cost += _TAKEOVER_ZONE_COST
        return cost

    def memory_utilisation(
        self, candidates: list[targets.Target], service: tables.Service
    ) -> float:
        """Expected share of the memory of a service's ready engines."""
        if service.engine is None or not service.engine.memory_tokens:
            return 0.0
        ready = _ready(candidates)
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
    ) -> float:
        load = self.loads.get(target.target_id)
        cost = load.running + load.peer_running
        if target.zone != self.zone:
            cost += _ZONE_COST
        if now_s < load.warm_until_s:
            cost += _WARM_UP_COST
        if load.is_avoided(now_s):
            cost += _AVOID_COST
        cost += _FAILING_COST * load.outcomes.failed_share(now_s)
        if service.engine is not None and service.engine.memory_tokens:
            held = self._held_tokens(target) + tokens
            utilisation = held / service.engine.memory_tokens
            cost += _MEMORY_COST * max(0.0, utilisation - _MEMORY_KNEE)
            cost += load.waiting_prompt_tokens / _PREFILL_TOKENS_PER_REQUEST
        elif target.slots:
            # A queue behind full slots costs a whole call for each request.
            cost *= 6.0 / target.slots
        return cost
