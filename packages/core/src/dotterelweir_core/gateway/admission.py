"""When a generation may be sent to an engine.

Answers the load of a crest: more generations arrive than the engines' memory
holds or than they read prompts of. Sent at once, long ones would make the
engines preempt running ones, and all that waited would go to the first engine
that has room, whose prompts are read one after another: the short ones among
them would be late for the long ones before them.
"""

import attrs

from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets

# Share of an engine's memory that runs may hold, all at their full length.
# They end one after another, so that the sum of their full lengths is not
# reached.
_MEMORY_SHARE_MAX = 1.0
# Time that an engine takes for a token of an output, in seconds, seen on a
# calm day: tells whether a run holds memory for long, and whether it ends
# before a stopping instance does.
OUTPUT_TOKEN_S = 0.01
# Share of the shortest objective for which prompts may keep an engine busy
# when a further one is sent there that can wait: a request with the shortest
# objective that comes next is then still on time.
_BACKLOG_SHARE_MAX = 0.35
# Share of its objective within which a request should get its first event;
# the rest covers what is unknown of the engine.
_FIRST_EVENT_SHARE = 0.8
# A request is urgent if its objective is at most this multiple of the
# shortest one of its service.
_URGENT_FACTOR = 1.5


@attrs.frozen
class Demand:
    """What a generation needs, and by when.

    Attributes:
        prompt_tokens: Size of its prompt.
        output_tokens: Expected size of its output.
        objective_s: Time to the first event within which it is on time.
        shortest_objective_s: The shortest one of its service.
        arrived_s: Monotonic time of its arrival.
    """

    prompt_tokens: int
    output_tokens: int
    objective_s: float
    shortest_objective_s: float
    arrived_s: float

    @property
    def tokens(self) -> int:
        """Tokens that it is expected to hold at its end."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_urgent(self) -> bool:
        """Whether hardly any other request has less time."""
        return self.objective_s <= _URGENT_FACTOR * self.shortest_objective_s

    def is_prefill_bound(self, prefill_tokens_per_s: float) -> bool:
        """Whether its output takes no longer than reading its prompt.

        Such a run gives its memory back about as soon as it has it.

        Args:
            prompt_rate: Prompt tokens that an engine reads in a second.
        """
        return OUTPUT_TOKEN_S * self.output_tokens * prefill_tokens_per_s <= (
            self.prompt_tokens
        )


@attrs.define
class PrefillRate:
    """How fast the engines of a service read prompts.

    Learned from runs that found no other prompt waiting. Their engine may
    have kept some of them waiting for memory, which a rate that follows the
    fast ones sooner than the slow ones leaves out.

    Attributes:
        tokens_per_s: The rate; until runs were seen, that of an engine which
            reads 112 tokens in each step of 17 ms.
    """

    tokens_per_s: float = 6_600.0

    # Weights of a faster and of a slower run.
    _FASTER_WEIGHT = 0.3
    _SLOWER_WEIGHT = 0.05
    # Most of one run, as a multiple of the rate: callers name the size of
    # their prompts, and a false one must not let all others through.
    _SAMPLE_FACTOR_MAX = 2.0

    def record(self, tokens: int, taken_s: float) -> None:
        """Takes note of a prompt.

        Args:
            tokens: Its size.
            taken_s: Time from the send to the first event.
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
        loads: Load of every target.
    """

    def __init__(self, loads: gateway_load.LoadRegistry) -> None:
        self._loads = loads
        self._rates: dict[str, PrefillRate] = {}

    def prefill_rate(self, service: tables.Service) -> PrefillRate:
        """How fast the engines of a service read prompts."""
        return self._rates.setdefault(service.name, PrefillRate())

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
            service: Its service.
            demand: What the generation needs.
            now_s: Monotonic time.
        """
        load = self._loads.get(target.target_id)
        if load.is_avoided(now_s):
            # It holds nothing because everybody stays away from it.
            return False
        rate = self.prefill_rate(service).tokens_per_s
        if not demand.is_prefill_bound(rate) and not self.has_free_memory(
            target, service, demand.tokens
        ):
            return False
        pending_tokens = load.pending_prefill_tokens
        return pending_tokens <= _backlog_tokens_max(demand, rate, now_s)

    def has_capacity(
        self,
        usable: list[targets.Target],
        service: tables.Service,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Whether a generation need not wait.

        It need not if no engine can be used at all, or if all that can are
        avoided: then there is nothing to wait for, and one of the avoided
        may serve the request.

        Args:
            usable: Engines that take requests now.
            service: Their service.
            demand: What the generation needs.
            now_s: Monotonic time.
        """
        if all(
            self._loads.get(target.target_id).is_avoided(now_s)
            for target in usable
        ):
            return True
        return any(
            self.admits(target, service, demand, now_s) for target in usable
        )

    def has_free_memory(
        self, target: targets.Target, service: tables.Service, tokens: int
    ) -> bool:
        """Whether a run can end at a target without a full memory."""
        if service.engine is None or not service.engine.memory_tokens:
            return True
        held = self._loads.get(target.target_id).held_tokens
        limit_tokens = _MEMORY_SHARE_MAX * service.engine.memory_tokens
        return held == 0 or held + tokens <= limit_tokens


def _backlog_tokens_max(demand: Demand, rate: float, now_s: float) -> float:
    """Most prompt tokens that may wait at an engine before a request."""
    backlog_tokens = rate * _BACKLOG_SHARE_MAX * demand.shortest_objective_s
    if not demand.is_urgent:
        return backlog_tokens
    remaining_s = _FIRST_EVENT_SHARE * demand.objective_s - (
        now_s - demand.arrived_s
    )
    return max(backlog_tokens, rate * remaining_s - demand.prompt_tokens)
