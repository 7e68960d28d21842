"""Settings of the scheduling policy."""

import attrs


@attrs.frozen
class PolicySettings:
    """Settings of one scheduler.

    Attributes:
        queue_max_requests: Most requests that wait in one pool's queue.
        queue_timeout_s: Most time that a request waits.
        sample_size: Targets that are compared for one request.
        memory_fill_max: Largest projected share of a target's memory.
        in_flight_max: Most requests of this instance at one target that
            reports no memory.
        output_tokens_default: Output that is expected while nothing is
            known.
    """

    queue_max_requests: int = 1_000
    queue_timeout_s: float = 30.0
    sample_size: int = 4
    memory_fill_max: float = 0.9
    in_flight_max: int = 256
    output_tokens_default: int = 256
