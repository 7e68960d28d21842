"""Deployments and loads of a simulated peak load.

The fields are the keys of the files that the ``experiment`` command reads.
"""

import attrs

from dotterelweir_fakes.measurement import engine as engines


@attrs.frozen
class GenerationKind:
    """One kind of generation.

    Attributes:
        name: Name of the kind.
        per_s: Mean number of requests per second.
        prompt_tokens: Mean size of a prompt, in tokens. Sizes are drawn from
            a normal distribution with a standard deviation of a third.
        output_tokens: Mean size of an output, in tokens. Sizes are drawn
            from an exponential distribution.
        objective_s: Longest time from the arrival to the first token for a
            request to be on time, in seconds.
        pause_s: Longest pause between two tokens for a request to be on
            time, in seconds.
        priority: Priority of the requests; 0 is the most urgent.
        organisation: Name of the organisation that sends them.
    """

    name: str
    per_s: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    pause_s: float = 0.18
    priority: int = 0
    organisation: str = ''


@attrs.frozen
class Burst:
    """A period in which more requests of one kind arrive.

    Attributes:
        kind: Name of the kind.
        from_s: Start, in seconds from the start of the simulation.
        to_s: End, in seconds from the start of the simulation.
        factor: Factor on the rate of arrivals.
    """

    kind: str
    from_s: float
    to_s: float
    factor: float


@attrs.frozen
class EngineSpeeds:
    """How the speeds of the engines of a deployment differ.

    Attributes:
        fast_share: Share of the engines that are fast, from 0 to 1.
        fast_factor: How many times as fast they are.
        spell_share: Share of the time in which an engine is in a slow spell,
            from 0 to below 1.
        spell_s: Duration of a slow spell, in seconds. The times between
            spells are drawn from an exponential distribution.
        spell_factor: Factor on the duration of a step in a slow spell.
    """

    fast_share: float = 0.0
    fast_factor: float = 1.0
    spell_share: float = 0.0
    spell_s: float = 0.6
    spell_factor: float = 1.0


@attrs.frozen
class PeakLoad:
    """A deployment and the load on it.

    Attributes:
        kinds: Kinds of generations that arrive.
        bursts: Periods in which more requests arrive.
        engine_count: Number of engines.
        costs: Step times and sizes of an engine.
        instances: Number of gateway instances. Each request arrives at one
            that is drawn at random.
        seconds: Time for which requests arrive, in seconds.
        replace_s: Time between two replacements of an engine, in seconds; 0
            for none. The replaced engine gets no new work and completes its
            runs.
        absence_s: Time from the start of a replacement until the new engine
            accepts work, in seconds.
        event_tokens: Number of tokens in one event of a stream.
        speeds: How the speeds of the engines differ.
    """

    kinds: tuple[GenerationKind, ...]
    bursts: tuple[Burst, ...] = ()
    engine_count: int = 6
    costs: engines.EngineCosts = attrs.field(factory=engines.EngineCosts)
    instances: int = 7
    seconds: float = 30.0
    replace_s: float = 0.0
    absence_s: float = 2.5
    event_tokens: int = 1
    speeds: EngineSpeeds = attrs.field(factory=EngineSpeeds)
