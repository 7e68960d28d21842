"""Admission control: decides when a generation may be sent to an engine.

Admission control is needed at peak load, when more generations arrive than the
engines have memory or prefill throughput for. If all were sent at once, long
ones would make the engines preempt running ones. All waiting generations would
also go to the first engine with free memory. An engine prefills prompts one
after another, so that short generations would miss their objectives behind
long ones.
"""

import enum

import attrs

from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets

# Share of an engine's memory that the runs on it may hold, each counted at its
# full length. Runs end at different times, so that actual use stays below the
# sum of the full lengths.
_MEMORY_SHARE_MAX = 1.0
# Usual time per output token without contention, in seconds. It is used to
# estimate whether a run holds memory for long, and whether it ends before an
# instance that is stopping exits.
OUTPUT_TOKEN_S = 0.01
# Prefill backlog up to which an engine gets a further generation that is not
# urgent, as a share of the shortest objective. A request with the shortest
# objective that arrives next can then still be on time.
_BACKLOG_SHARE_MAX = 0.35
# Share of its objective within which a request should get its first event. The
# rest is a margin for delays at the engine that cannot be predicted.
_FIRST_EVENT_SHARE = 0.8
# Share of its objective for which a long run waits for an engine that is
# expected to keep within the pause limit, while others have capacity. In the
# crest model (load "uneven"), 0.2 and more adds as many refusals at overload
# as it avoids late runs.
_PAUSE_WAIT_SHARE = 0.15
# Excess over the pause limit from which an engine is worth such a wait, on the
# scale of ServiceSpeeds.excess.
_PAUSE_WAIT_EXCESS = 0.5
# A request is urgent if its objective is at most this multiple of the
# shortest one of its service.
_URGENT_FACTOR = 1.5


class Capacity(enum.Enum):
    """Capacity that a generation finds."""

    NONE = 'no engine admits it'
    DEFERRED = 'only slow engines admit it, and it waits for a faster one'
    FREE = 'it may be sent now'


@attrs.frozen
class Demand:
    """Resources that a generation needs, and by when.

    Attributes:
        prompt_tokens: Size of the prompt, in tokens.
        output_tokens: Expected size of the output, in tokens.
        objective_s: Longest time from the arrival to the first event for
            the generation to be on time, in seconds.
        shortest_objective_s: Shortest objective of any generation of the
            same service, in seconds.
        arrived_s: Monotonic time of the arrival, in seconds.
        event_gap_s: Shortest limit on the time between two events of any
            stream route of the service, in seconds; 0 for none.
    """

    prompt_tokens: int
    output_tokens: int
    objective_s: float
    shortest_objective_s: float
    arrived_s: float
    event_gap_s: float = 0.0

    @property
    def tokens(self) -> int:
        """Tokens that the generation is expected to hold when it ends."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_urgent(self) -> bool:
        """Whether the objective is close to the shortest of the service."""
        return self.objective_s <= _URGENT_FACTOR * self.shortest_objective_s

    def is_prefill_bound(self, prefill_tokens_per_s: float) -> bool:
        """Whether decoding takes no longer than the prefill.

        Such a run frees its memory soon after it was allocated.

        Args:
            prefill_tokens_per_s: Prompt tokens that an engine prefills per
                second.
        """
        return OUTPUT_TOKEN_S * self.output_tokens * prefill_tokens_per_s <= (
            self.prompt_tokens
        )


@attrs.define
class PrefillRate:
    """Estimate of the prefill rate of a service's engines.

    The samples are runs that were sent while no other prompt was pending at
    the engine. Some of them are too slow because the run had to wait for
    memory. Fast samples therefore weigh more than slow ones.

    Attributes:
        tokens_per_s: Prompt tokens prefilled per second. The initial value
            is that of an engine that prefills 112 tokens in each step of
            17 ms.
    """

    tokens_per_s: float = 6_600.0

    # Weights of a sample above and of one below the estimate.
    _FASTER_WEIGHT = 0.3
    _SLOWER_WEIGHT = 0.05
    # Upper bound of a sample, as a multiple of the estimate. Callers state the
    # sizes of their prompts; without the bound, one false size would raise the
    # rate so far that every generation is admitted.
    _SAMPLE_FACTOR_MAX = 2.0

    def record(self, tokens: int, taken_s: float) -> None:
        """Adds a sample; one without tokens or duration is ignored.

        Args:
            tokens: Size of the prompt, in tokens.
            taken_s: Time from the send to the first event, in seconds.
        """
        if tokens <= 0 or taken_s <= 0:
            return
        sample_tokens_per_s = min(
            tokens / taken_s, self._SAMPLE_FACTOR_MAX * self.tokens_per_s
        )
        weight = (
            self._FASTER_WEIGHT
            if sample_tokens_per_s > self.tokens_per_s
            else self._SLOWER_WEIGHT
        )
        self.tokens_per_s += weight * (sample_tokens_per_s - self.tokens_per_s)


class Admission:
    """Decides which engines a generation may be sent to now.

    Args:
        loads: Loads of all targets.
    """

    def __init__(self, loads: gateway_load.LoadRegistry) -> None:
        self._loads = loads
        self._rates: dict[str, PrefillRate] = {}

    def prefill_rate(self, service: tables.Service) -> PrefillRate:
        """Returns the estimated prefill rate of a service's engines."""
        rate = self._rates.get(service.name)
        if rate is None:
            rate = self._rates[service.name] = PrefillRate()
        return rate

    def record_prefill(
        self,
        target: targets.Target,
        service: tables.Service,
        tokens: int,
        taken_s: float,
        now_s: float,
    ) -> None:
        """Adds a prefill during which no other prompt was pending.

        Args:
            target: The engine.
            service: Service of the engine.
            tokens: Size of the prompt, in tokens.
            taken_s: Time from the send to the first event, in seconds.
            now_s: Monotonic time, in seconds.
        """
        speeds = self._loads.speeds
        speed = speeds.last(service.name).get(target.target_id)
        # The rate of the service is that of an engine of average speed.
        self.prefill_rate(service).record(tokens, taken_s * speed.prefill)
        speeds.record_prefill(target, tokens, taken_s, now_s)

    def needs(
        self, service: tables.Service, demand: Demand
    ) -> target_speeds.StreamNeeds:
        """Returns what the choice by speed depends on.

        Args:
            service: Service of the generation.
            demand: Demand of the generation.
        """
        rate = self.prefill_rate(service).tokens_per_s
        return target_speeds.StreamNeeds(
            demand.event_gap_s,
            demand.prompt_tokens,
            demand.is_prefill_bound(rate),
        )

    def admits(
        self,
        target: targets.Target,
        service: tables.Service,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Whether a generation may be sent to an engine now.

        Args:
            target: The engine.
            service: Service of the engine.
            demand: Demand of the generation.
            now_s: Monotonic time, in seconds.
        """
        load = self._loads.get(target.target_id)
        if load.is_avoided(now_s):
            # Its memory is free only because it gets no new work.
            return False
        # The kind of a run is the same at all engines of a service.
        service_rate = self.prefill_rate(service).tokens_per_s
        if not demand.is_prefill_bound(
            service_rate
        ) and not self.has_free_memory(target, service, demand.tokens):
            return False
        speed = self._loads.speeds.last(service.name).get(target.target_id)
        rate = speed.prefill * service_rate
        pending_tokens = load.pending_prefill_tokens
        return pending_tokens <= _backlog_tokens_max(demand, rate, now_s)

    def has_capacity(
        self,
        usable: list[targets.Target],
        service: tables.Service,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Whether a generation may be sent now instead of being queued.

        Args:
            usable: Engines that accept requests now.
            service: Service of the engines.
            demand: Demand of the generation.
            now_s: Monotonic time, in seconds.
        """
        capacity = self.find_capacity(usable, service, demand, now_s)
        return capacity is Capacity.FREE

    def find_capacity(
        self,
        usable: list[targets.Target],
        service: tables.Service,
        demand: Demand,
        now_s: float,
    ) -> Capacity:
        """Returns whether a generation may be sent now.

        Also ``FREE`` if no engine is usable or all usable ones are avoided:
        waiting would not help then, and an avoided engine may still serve
        the request.

        Args:
            usable: Engines that accept requests now.
            service: Service of the engines.
            demand: Demand of the generation.
            now_s: Monotonic time, in seconds.
        """
        self._loads.speeds.view(usable, service.name, now_s)
        if all(
            self._loads.get(target.target_id).is_avoided(now_s)
            for target in usable
        ):
            return Capacity.FREE
        capacity = Capacity.NONE
        for target in usable:
            if self.admits(target, service, demand, now_s):
                if not self._is_deferred(target, service, demand, now_s):
                    return Capacity.FREE
                capacity = Capacity.DEFERRED
        return capacity

    def _is_deferred(
        self,
        target: targets.Target,
        service: tables.Service,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Whether a long run still waits for a faster engine than this one."""
        speeds = self._loads.speeds.last(service.name)
        if not speeds.uneven:
            return False
        wait_s = _PAUSE_WAIT_SHARE * demand.objective_s
        if now_s - demand.arrived_s >= wait_s:
            return False

        def exceeds(event_s: float) -> bool:
            excess = speeds.excess(event_s, demand.event_gap_s)
            return excess > _PAUSE_WAIT_EXCESS

        if exceeds(speeds.fastest_event_s):
            return False
        rate = self.prefill_rate(service).tokens_per_s
        return exceeds(
            speeds.get(target.target_id).event_s
        ) and not demand.is_prefill_bound(rate)

    def has_free_memory(
        self, target: targets.Target, service: tables.Service, tokens: int
    ) -> bool:
        """Whether a run fits into the memory that an engine has left.

        An idle engine takes a run of any size; a run that is larger than the
        memory would otherwise wait for ever.

        Args:
            target: The engine.
            service: Service of the engine.
            tokens: Tokens that the run holds when it ends.
        """
        if service.engine is None or not service.engine.memory_tokens:
            return True
        held = self._loads.get(target.target_id).held_tokens
        limit_tokens = _MEMORY_SHARE_MAX * service.engine.memory_tokens
        return held == 0 or held + tokens <= limit_tokens


def _backlog_tokens_max(demand: Demand, rate: float, now_s: float) -> float:
    """Returns the largest prefill backlog that a generation may be sent to.

    Args:
        demand: Demand of the generation.
        rate: Prefill rate of the engine, in tokens per second.
        now_s: Monotonic time, in seconds.

    Returns:
        Prompt tokens that may be pending at the engine ahead of it.
    """
    backlog_tokens = rate * _BACKLOG_SHARE_MAX * demand.shortest_objective_s
    if not demand.is_urgent:
        return backlog_tokens
    remaining_s = _FIRST_EVENT_SHARE * demand.objective_s - (
        now_s - demand.arrived_s
    )
    return max(backlog_tokens, rate * remaining_s - demand.prompt_tokens)
