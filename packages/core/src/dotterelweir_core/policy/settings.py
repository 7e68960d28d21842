"""Settings of the scheduling policy."""

import attrs


@attrs.frozen
class Mechanisms:
    """Switches of the policy's mechanisms.

    Each can be switched off alone, to measure its effect.

    Attributes:
        learned_lengths: Estimate output lengths from recorded outputs.
        peer_work: Count requests of other instances, as derived from load
            reports.
        memory_admission: Queue a request until a target has enough memory.
        step_admission: Queue a request while every batch is too large for
            the inter-token objective.
        reserved_room: Reserve capacity for requests with short expected
            output.
        engine_priority: Pass a more urgent priority to the engine for
            requests with short expected output.
        fair_share: Order waiting requests by the tokens that their
            organisations have used.
        health: Eject targets that make slow progress.
        hedging: Start a second attempt when the first token is late.
        prefix_bonus: Prefer targets that have the prompt's prefix cached.
            Off by default, because it showed no measurable effect.
        local_first: Sample targets of the local zone first.
    """

    learned_lengths: bool = True
    peer_work: bool = True
    memory_admission: bool = True
    step_admission: bool = True
    reserved_room: bool = True
    engine_priority: bool = True
    fair_share: bool = True
    health: bool = True
    hedging: bool = True
    prefix_bonus: bool = False
    local_first: bool = True


@attrs.frozen
class PolicySettings:
    """Settings of one scheduler.

    Attributes:
        queue_max_requests: Maximum number of requests in one pool's queue.
        queue_timeout_s: Maximum time that a request waits.
        sample_size: Number of targets that are compared for one request.
        memory_utilisation_max: Largest projected share of a target's memory,
            by band of expected output: short, medium, long.
        remaining_share: Share of the expected remaining tokens of running
            outputs that is in memory at the same time. Outputs end one
            after another, so the sum over all outputs is never held at
            once.
        inter_token_objective_s: Objective for the time between tokens.
        step_time_share_max: Largest predicted mean time between tokens as a
            share of the objective, by band. The prefill of other prompts
            adds to that time.
        step_relax_after_s: Wait after which the bound on the step time is
            relaxed for a request, as its first token is late already.
        step_relax_s: Further wait that doubles the bound.
        step_relax_degraded_s: Upper bound on ``step_relax_s`` while targets
            of the pool are ejected and the others take over their load.
        in_flight_max: Maximum number of own requests at a target that
            reports no memory.
        short_tokens: Largest output that counts as short, in tokens.
        output_tokens_default: Expected output of a route without recorded
            outputs, in tokens.
        zone_cost_s: Cost that is added for a target in another zone.
        prefill_s_per_token: Time to process one prompt token, to estimate
            the cost of prompts and the value of a cached prefix.
        prefix_bonus_max_s: Largest value of a cached prefix.
        prefix_index_max: Maximum number of prefix hashes that are stored for
            one target.
        slow_ratio: Ratio to the pool's step time above which the step time
            of a target counts as slow.
        ejected_share_max: Largest share of a pool that may be ejected.
        probation_after_s: Time until an ejected target is put on probation;
            doubles with each relapse.
        hedge_ratio: Hedges allowed per placement, on average.
        hedge_delay_min_s: Minimum wait for a first token before a hedge.
        retry_ratio: Retries allowed per request, on average.
        mechanisms: The mechanisms that are enabled.
    """

    queue_max_requests: int = 1_000
    queue_timeout_s: float = 30.0
    sample_size: int = 4
    memory_utilisation_max: tuple[float, float, float] = (0.98, 0.95, 0.925)
    remaining_share: float = 0.4
    inter_token_objective_s: float = 0.059
    step_time_share_max: tuple[float, float, float] = (0.85, 0.77, 0.72)
    step_relax_after_s: float = 0.5
    step_relax_s: float = 6.0
    step_relax_degraded_s: float = 2.0
    in_flight_max: int = 256
    short_tokens: int = 64
    output_tokens_default: int = 256
    zone_cost_s: float = 0.03
    prefill_s_per_token: float = 3e-5
    prefix_bonus_max_s: float = 0.05
    prefix_index_max: int = 4_096
    slow_ratio: float = 1.8
    ejected_share_max: float = 1 / 3
    probation_after_s: float = 1.0
    hedge_ratio: float = 0.05
    hedge_delay_min_s: float = 0.15
    retry_ratio: float = 0.2
    mechanisms: Mechanisms = attrs.field(factory=Mechanisms)
