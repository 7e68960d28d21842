"""Simulates continuous batching with a limited token memory."""

from collections.abc import Callable
import itertools
import random

import attrs

from dotterelweir_core import timers
from dotterelweir_fakes.engine import cache
from dotterelweir_fakes.engine import tokens


@attrs.frozen
class EngineOptions:
    """Speed, memory and load reports of one engine.

    Attributes:
        memory_tokens: Size of the token memory, in tokens.
        max_batch: Maximum number of generations in the batch.
        step_s: Duration of a step with an empty batch, in seconds.
        step_per_sequence_s: Added to a step per generation, in seconds.
        prefill_per_token_s: Added to a step per token to prefill, in
            seconds.
        cache_tokens: Size of the prefix cache, in tokens.
        cache_lag_s: Delay until a cache event is published, in seconds.
        cache_gap_ratio: Fraction of the cache events that are lost, 0 to 1.
        report_lag_s: Age of the values in a load report, in seconds.
        median_output_tokens: Median output length of requests that do not
            set it, in tokens.
        longest_output_tokens: Maximum output length, in tokens.
        load_s: Time to load models and adapters, in seconds.
        checks_fencing: Whether an order with a stale fencing token is
            refused.
        checks_expiry: Whether an expired order is refused.
        seed: Seed of the output lengths, generation ids and lost cache
            events.
    """

    memory_tokens: int = 65_536
    max_batch: int = 64
    step_s: float = 0.002
    step_per_sequence_s: float = 0.0001
    prefill_per_token_s: float = 0.000002
    cache_tokens: int = 32_768
    cache_lag_s: float = 0.2
    cache_gap_ratio: float = 0.0
    report_lag_s: float = 0.2
    median_output_tokens: int = 64
    longest_output_tokens: int = 16_384
    load_s: float = 0.0
    checks_fencing: bool = True
    checks_expiry: bool = True
    seed: int = 1


@attrs.define(eq=False)
class Generation:
    """One generation and its events so far.

    Attributes:
        generation_id: Id of the generation.
        request_id: Value of the request's ``X-Request-Id``.
        priority: Priority of the request; 0 is the most urgent.
        prompt_tokens: Length of the prompt, in tokens.
        prefix_hashes: Hashes of the prompt's prefixes, the shortest first.
        output_tokens: Number of tokens that will be produced.
        finish_reason: Finish reason in the last event.
        writer: Encodes the events.
        arrival_number: Position in the order of arrival.
        events: Encoded events so far; the last one has the finish reason.
        produced_tokens: Number of tokens produced so far.
        done: Whether all events have been produced.
        cancelled: Whether it was cancelled or its resume window has ended.
        listeners: Called after each new event and after a cancellation.
    """

    generation_id: str
    request_id: str
    priority: int
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    output_tokens: int
    finish_reason: str
    writer: tokens.EventWriter
    arrival_number: int = 0
    events: list[bytes] = attrs.field(factory=list)
    produced_tokens: int = 0
    done: bool = False
    cancelled: bool = False
    listeners: set[Callable[[], None]] = attrs.field(factory=set)

    @property
    def held_tokens(self) -> int:
        """Tokens of memory that it occupies while it is in the batch."""
        return self.prompt_tokens + self.produced_tokens

    def notify(self) -> None:
        """Calls the listeners."""
        for listener in tuple(self.listeners):
            listener()


class Batcher:
    """Runs generations in steps that each produce a token per generation.

    Attributes:
        running: Generations in the batch.
        waiting: Generations in the queue.
        preemptions: Number of preemptions so far.
        tokens_produced: Number of tokens produced so far.
        slow_factor: Factor by which the duration of steps is multiplied.
    """

    def __init__(
        self,
        options: EngineOptions,
        timer: timers.TimerService,
        prefix_cache: cache.PrefixCache,
    ) -> None:
        self._options = options
        self._timer = timer
        self._cache = prefix_cache
        self._rng = random.Random(options.seed)
        self._arrival_numbers = itertools.count()
        self._step_timer: timers.TimerHandle | None = None
        self._stopped = False
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.preemptions = 0
        self.tokens_produced = 0
        self.slow_factor = 1.0

    @property
    def memory_used_tokens(self) -> int:
        """Tokens of memory that the generations in the batch occupy."""
        return sum(generation.held_tokens for generation in self.running)

    def draw_length(self) -> int:
        """Draws the output length, in tokens, of a request without one."""
        return tokens.draw_length(
            self._rng,
            self._options.median_output_tokens,
            self._options.longest_output_tokens,
        )

    def add(self, generation: Generation) -> None:
        """Adds a generation to the queue."""
        generation.arrival_number = next(self._arrival_numbers)
        self.waiting.append(generation)
        if self._step_timer is None and not self._stopped:
            self._step_timer = self._timer.call_after(0.0, self._run_step)

    def remove(self, generation: Generation) -> None:
        """Removes a generation from the batch or the queue."""
        if generation in self.running:
            self.running.remove(generation)
        if generation in self.waiting:
            self.waiting.remove(generation)

    def stop(self) -> None:
        """Stops without finishing the current step."""
        self._stopped = True
        if self._step_timer is not None:
            self._step_timer.cancel()

    def _run_step(self) -> None:
        self._step_timer = None
        if self._stopped:
            return
        new_tokens = self._admit()
        self._preempt()
        if not self.running:
            return
        step_s = (
            self._options.step_s
            + self._options.step_per_sequence_s * len(self.running)
            + self._options.prefill_per_token_s * new_tokens
        ) * self.slow_factor
        self._step_timer = self._timer.call_after(step_s, self._finish_step)

    def _finish_step(self) -> None:
        for generation in tuple(self.running):
            self._produce(generation)
        self._run_step()

    def _produce(self, generation: Generation) -> None:
        index = generation.produced_tokens
        generation.events.append(generation.writer.token(index))
        generation.produced_tokens += 1
        self.tokens_produced += 1
        if generation.produced_tokens >= generation.output_tokens:
            generation.events.append(
                generation.writer.finish(
                    generation.produced_tokens, generation.finish_reason
                )
            )
            generation.done = True
            self.running.remove(generation)
        generation.notify()

    def _admit(self) -> int:
        """Admits queued generations and returns the tokens to prefill."""
        self.waiting.sort(key=lambda g: (g.priority, g.arrival_number))
        free_tokens = self._options.memory_tokens - self.memory_used_tokens
        new_tokens = 0
        while self.waiting and len(self.running) < self._options.max_batch:
            # The next token of each running generation is reserved. Without
            # it an admission could cause a preemption in the same step.
            needed_tokens = self.waiting[0].held_tokens + len(self.running) + 1
            if needed_tokens > free_tokens and self.running:
                break
            generation = self.waiting.pop(0)
            free_tokens -= generation.held_tokens
            cached = self._cache.cached_tokens(generation.prefix_hashes)
            self._cache.store(generation.prefix_hashes)
            new_tokens += max(1, generation.held_tokens - cached)
            self.running.append(generation)
        return new_tokens

    def _preempt(self) -> None:
        """Preempts generations until this step fits into the memory.

        The least urgent ones are preempted first, and the newest first
        within a priority.
        """
        limit = self._options.memory_tokens
        while (
            len(self.running) > 1
            and self.memory_used_tokens + len(self.running) > limit
        ):
            victim = max(
                self.running, key=lambda g: (g.priority, g.arrival_number)
            )
            self.running.remove(victim)
            self.waiting.append(victim)
            self.preemptions += 1
