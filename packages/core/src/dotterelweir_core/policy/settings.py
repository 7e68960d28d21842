"""Settings of the scheduling policy."""

import attrs


@attrs.frozen
class Mechanisms:
    """Switches for the mechanisms; the measurement ablates each alone.

    Attributes:
        learned_lengths: Expect output lengths from what ended before.
        peer_work: Count the work of other instances in load reports.
        memory_admission: Hold work back until its memory fits.
        step_admission: Hold work back from batches that are too large for
            the inter-token objective.
        reserved_room: Keep room that only short work may take.
        engine_priority: Give the engine a more urgent priority for short
            work.
        fair_share: Order waiting work by the tokens of its organisation.
        health: Eject targets that make slow progress.
        hedging: Start a second attempt when the first token is late.
        prefix_bonus: Prefer targets that have the prompt's prefix cached. Off:
            it changed no measure beyond the spread of the seeds.
        local_first: Try targets of the local zone before others.
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
        queue_max_requests: Most requests that wait in one pool's queue.
        queue_timeout_s: Most time that a request waits.
        sample_size: Targets that are compared for one request.
        memory_fill_max: Largest projected share of a target's memory, by
            band of expected output: short, medium, long.
        rest_share: Share of the expected rest of running outputs that is in
            memory at the same time. Outputs end one after another, so the
            sum of all rests is never held at once.
        inter_token_objective_s: Objective for the time between tokens.
        step_fill_max: Largest predicted mean time between tokens as a share
            of the objective, by band. Prefill of other prompts comes on
            top of it.
        step_relax_after_s: Wait after which the bound on the step time of a
            request is relaxed: its first token is late already.
        step_relax_s: Further wait that doubles the bound.
        step_relax_degraded_s: The same while some of the pool's targets are
            ejected and the others take over their load.
        in_flight_max: Most requests of this instance at one target that
            reports no memory.
        short_tokens: Output up to which work counts as short.
        output_tokens_default: Output that is expected while nothing is
            known.
        zone_cost_s: Added cost of a target in another zone.
        prefill_s_per_token: Time to process one prompt token; used to value
            a cached prefix.
        prefix_bonus_max_s: Bound on the value of a cached prefix.
        prefix_index_max: Prefix hashes that are remembered for one target.
        slow_ratio: Step time, relative to the pool, that counts as slow.
        ejected_share_max: Largest share of a pool that is ejected.
        probation_after_s: Time until an ejected target is tried again;
            doubles with each relapse.
        hedge_ratio: Hedges allowed per placement, on average.
        hedge_delay_min_s: Least wait for a first token before a hedge.
        retry_ratio: Retries allowed per request, on average.
        mechanisms: Which mechanisms are used.
    """

    queue_max_requests: int = 1_000
    queue_timeout_s: float = 30.0
    sample_size: int = 4
    memory_utilization_max: tuple[float, float, float] = (0.98, 0.95, 0.925)
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
