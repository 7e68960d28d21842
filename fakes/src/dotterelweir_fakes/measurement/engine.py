"""Model of an inference engine with continuous batching.

An engine runs steps. Each step prefills a chunk of the pending prompts and
produces one token for every request whose prefill is complete. A step takes
longer with more requests, more tokens in memory and more prompt tokens. When
the memory is full, the newest of the least urgent requests is preempted: its
memory is freed, and its tokens are computed again later.
"""

import collections
from collections.abc import Callable
import heapq

import attrs

from dotterelweir_core.targets import model
from dotterelweir_core.targets import prefixes


@attrs.frozen
class EngineCosts:
    """Step times and sizes of an engine.

    Attributes:
        memory_tokens: Size of the memory, in tokens.
        cache_tokens: Size of the prefix cache, in tokens. The cache is not
            part of the memory.
        batch_max: Maximum number of running requests.
        chunk_tokens: Maximum number of prompt tokens in one step.
        base_s: Duration of an empty step, in seconds.
        request_s: Time added for each request that gets a token, in seconds.
        held_token_s: Time added for each token in memory, in seconds.
        prefill_token_s: Time added for each prompt token, in seconds.
    """

    memory_tokens: int = 64_000
    cache_tokens: int = 8_000
    batch_max: int = 128
    chunk_tokens: int = 512
    base_s: float = 0.016
    request_s: float = 0.000_5
    held_token_s: float = 0.000_000_1
    prefill_token_s: float = 0.000_03


@attrs.define(eq=False)
class Sequence:
    """One generation at an engine.

    Attributes:
        priority: Priority for the engine; 0 is the most urgent.
        order: Sequence number of the arrival.
        prompt_tokens: Size of the prompt, in tokens.
        output_tokens: Number of tokens that will be produced.
        prefix_hashes: Hashes of the prompt's prefixes, shortest first.
        prefix_tokens: Sizes of these prefixes, in tokens.
        on_token: Called with the time of each token, in seconds.
        produced_tokens: Number of tokens produced so far.
        prefill_left_tokens: Number of tokens to prefill before the next
            token is produced.
        running: Whether the generation is in the batch.
    """

    priority: int
    order: int
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    prefix_tokens: tuple[int, ...]
    on_token: Callable[[float], None]
    produced_tokens: int = 0
    prefill_left_tokens: int = 0
    running: bool = False

    @property
    def urgency_key(self) -> tuple[int, int]:
        """Sort key; the smallest key is the most urgent."""
        return (self.priority, self.order)


class Engine:
    """Queue, batch, memory and prefix cache of one modelled engine.

    Args:
        target: Identity of the engine.
        costs: Step times and sizes of the engine.

    Attributes:
        slow_factor: Factor on the duration of each step.
        preemptions: Number of preemptions so far.
        held_tokens: Number of tokens in memory.
        stepping: Whether a step is in progress; set by the simulation.
        cache_events: All changes of the prefix cache, oldest first.
    """

    def __init__(self, target: model.Target, costs: EngineCosts) -> None:
        self.target = target
        self.costs = costs
        self.slow_factor = 1.0
        self.preemptions = 0
        self.held_tokens = 0
        self.stepping = False
        self.cache_events: list[prefixes.CacheEvent] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._emitting: list[Sequence] = []
        self._cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0

    @property
    def has_work(self) -> bool:
        """Whether requests are running or waiting."""
        return bool(self._running or self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Queues a request."""
        heapq.heappush(
            self._waiting, (sequence.priority, sequence.order, sequence)
        )

    def cancel(self, sequence: Sequence) -> None:
        """Removes a request from the queue or the batch."""
        sequence.output_tokens = 0
        if sequence.running:
            self._remove_running(sequence)
        else:
            self._waiting = [
                entry for entry in self._waiting if entry[2] is not sequence
            ]
            heapq.heapify(self._waiting)

    def report(self, wall_s: float) -> model.LoadReport:
        """Returns a report of the current load.

        Args:
            wall_s: Wall time of the report, in seconds.
        """
        return model.LoadReport(
            self.target.target_id,
            self.target.incarnation,
            running=len(self._running),
            waiting=len(self._waiting),
            memory_used_tokens=self.held_tokens,
            memory_total_tokens=self.costs.memory_tokens,
            measured_at_s=wall_s,
        )

    def start_step(self) -> float:
        """Forms the batch and returns the duration of the step, in seconds."""
        costs = self.costs
        self._fill_batch()
        prefill_budget_tokens = costs.chunk_tokens
        emitting = []
        for sequence in self._running:
            if not sequence.prefill_left_tokens:
                emitting.append(sequence)
        prefilling = [
            entry for entry in self._running if entry.prefill_left_tokens
        ]
        prefilling.sort(key=lambda entry: entry.urgency_key)
        for sequence in prefilling:
            prefill_tokens = min(
                prefill_budget_tokens, sequence.prefill_left_tokens
            )
            prefill_budget_tokens -= prefill_tokens
            sequence.prefill_left_tokens -= prefill_tokens
            if not sequence.prefill_left_tokens:
                emitting.append(sequence)
        while self.held_tokens + len(emitting) > costs.memory_tokens:
            victim = max(self._running, key=lambda entry: entry.urgency_key)
            self._preempt(victim)
            if victim in emitting:
                emitting.remove(victim)
        self._emitting = emitting
        work_s = (
            costs.base_s
            + costs.request_s * len(emitting)
            + costs.held_token_s * self.held_tokens
            + costs.prefill_token_s
            * (costs.chunk_tokens - prefill_budget_tokens)
        )
        return work_s * self.slow_factor

    def finish_step(self, now_s: float) -> None:
        """Produces the tokens of the step.

        Args:
            now_s: Monotonic time of the tokens, in seconds.
        """
        emitting, self._emitting = self._emitting, []
        for sequence in emitting:
            if not sequence.running:
                continue
            sequence.produced_tokens += 1
            self.held_tokens += 1
            if sequence.produced_tokens >= sequence.output_tokens:
                self._remove_running(sequence)
            sequence.on_token(now_s)

    def _fill_batch(self) -> None:
        costs = self.costs
        # One percent stays free for the tokens that running requests produce.
        limit_tokens = costs.memory_tokens * 0.99
        while self._waiting and len(self._running) < costs.batch_max:
            sequence = self._waiting[0][2]
            needed_tokens = sequence.prompt_tokens + sequence.produced_tokens
            if (
                self._running
                and self.held_tokens + needed_tokens > limit_tokens
            ):
                return
            heapq.heappop(self._waiting)
            sequence.running = True
            sequence.prefill_left_tokens = max(
                1, needed_tokens - self._look_up_prefixes(sequence)
            )
            self.held_tokens += needed_tokens
            self._running.append(sequence)

    def _remove_running(self, sequence: Sequence) -> None:
        sequence.running = False
        self._running.remove(sequence)
        self.held_tokens -= sequence.prompt_tokens + sequence.produced_tokens

    def _preempt(self, sequence: Sequence) -> None:
        self.preemptions += 1
        self._remove_running(sequence)
        self.add(sequence)

    def _look_up_prefixes(self, sequence: Sequence) -> int:
        """Returns the number of cached prompt tokens and updates the cache."""
        cached = 0
        for prefix_hash, tokens in zip(
            sequence.prefix_hashes, sequence.prefix_tokens, strict=True
        ):
            if prefix_hash in self._cache:
                cached = tokens
                self._cache.move_to_end(prefix_hash)
            else:
                self._cache[prefix_hash] = tokens
                self._cached_tokens += tokens
                self._record_cache_event(
                    prefixes.CacheEventKind.STORED, prefix_hash
                )
        while self._cached_tokens > self.costs.cache_tokens:
            removed, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
            self._record_cache_event(prefixes.CacheEventKind.REMOVED, removed)
        return cached

    def _record_cache_event(
        self, kind: prefixes.CacheEventKind, prefix_hash: int
    ) -> None:
        self.cache_events.append(
            prefixes.CacheEvent(len(self.cache_events), kind, prefix_hash)
        )
