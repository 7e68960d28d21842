"""Deployments and loads of a modelled crest."""

import attrs

from dotterelweir_fakes.measurement import engine as engines


@attrs.frozen
class GenerationKind:
    """One kind of generation.

    Attributes:
        name: Its name.
        per_s: Requests in a second.
        prompt_tokens: Mean size of a prompt; sizes spread by a third.
        output_tokens: Mean size of an output; drawn from an exponential
            distribution.
        objective_s: Time to the first event within which it is on time.
        pause_s: Longest pause between tokens within which it is on time.
    """

    name: str
    per_s: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    pause_s: float = 0.18


@attrs.frozen
class Burst:
    """A time in which more requests of one kind arrive."""

    kind: str
    from_s: float
    to_s: float
    factor: float


@attrs.frozen
class PeakLoad:
    """A deployment and its load.

    Attributes:
        kinds: What is asked.
        bursts: When more is asked.
        engine_count: Engines.
        costs: Times and sizes of an engine.
        instances: Gateways, which take requests in turn.
        seconds: How long requests arrive.
        replace_s: Time between two replacements of an engine, in seconds;
            0 for none. It takes no new work and ends when its runs have.
        absence_s: Time until the new engine takes work, in seconds.
    """

    kinds: tuple[GenerationKind, ...]
    bursts: tuple[Burst, ...] = ()
    engine_count: int = 6
    costs: engines.EngineCosts = attrs.field(factory=engines.EngineCosts)
    instances: int = 7
    seconds: float = 30.0
    replace_s: float = 0.0
    absence_s: float = 2.5
