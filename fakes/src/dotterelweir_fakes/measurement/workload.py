"""The two simulated deployments with their demand and faults."""

import bisect
import itertools
import math
import random

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.targets import model
from dotterelweir_fakes.measurement import engine

POOL = 'llm'
# Outputs up to this number of tokens count as short on every route.
SHORT_TOKENS = 48


@attrs.frozen
class RouteModel:
    """Distribution of the requests of one route.

    Attributes:
        name: Name of the route.
        share: Share of all requests.
        short_share: Share of the route's requests with short outputs.
        short_median: Median length of the short outputs, in tokens.
        long_median: Median length of the other outputs, in tokens.
        sigma: Standard deviation of the logarithm of the other lengths.
        tail_share: Share of the other outputs that are several times longer.
        prompt_min: Minimum number of prompt tokens after the shared prefix.
        prompt_max: Maximum number of prompt tokens after the shared prefix.
    """

    name: str
    share: float
    short_share: float
    short_median: float
    long_median: float
    sigma: float = 0.8
    tail_share: float = 0.03
    prompt_min: int = 80
    prompt_max: int = 500

    def draw_output_tokens(self, rng: random.Random, scale: float) -> int:
        """Draws the length of an output, in tokens.

        Args:
            rng: Random source.
            scale: Factor on the lengths of outputs that are not short.
        """
        if rng.random() < self.short_share:
            tokens = rng.lognormvariate(math.log(self.short_median), 0.4)
            return int(min(max(tokens, 2), SHORT_TOKENS))
        tokens = rng.lognormvariate(
            math.log(self.long_median * scale), self.sigma
        )
        if rng.random() < self.tail_share:
            tokens = self.long_median * scale * 3 * rng.paretovariate(1.3)
        return int(min(max(tokens, SHORT_TOKENS + 1), 6_000))


@attrs.frozen
class Deployment:
    """A simulated deployment.

    Attributes:
        name: Name of the deployment.
        zones: Names of the availability zones.
        zone_latency_s: One-way latency between zones, in seconds.
        client_latency_s: One-way latency to callers, in seconds.
        routes: Distributions of the requests by route.
        full_load_per_s: Requests per second that saturate the engines.
        costs: Step times and sizes of the engines.
    """

    name: str
    zones: tuple[str, ...]
    zone_latency_s: float
    client_latency_s: float
    routes: tuple[RouteModel, ...]
    full_load_per_s: float
    costs: engine.EngineCosts = attrs.field(factory=engine.EngineCosts)

    def targets(self) -> tuple[model.Target, ...]:
        """Returns the seven engines, spread over the zones."""
        return tuple(
            model.Target(
                f'engine-{number}',
                1,
                POOL,
                self.zones[number % len(self.zones)],
                '127.0.0.1',
                1024 + number,
            )
            for number in range(7)
        )

    def instance_zones(self) -> tuple[str, ...]:
        """Returns the zone of each of the six instances."""
        return tuple(
            self.zones[number % len(self.zones)] for number in range(6)
        )


DEPLOYMENTS = {
    'zwojex': Deployment(
        'zwojex',
        ('poznan-a', 'poznan-b', 'kalisz'),
        0.0005,
        0.001,
        (
            RouteModel('fit-check', 0.35, 1.0, 12, 0),
            RouteModel('guide', 0.30, 0.0, 0, 500),
            RouteModel('assist', 0.35, 0.5, 14, 450),
        ),
        full_load_per_s=36.0,
    ),
    'tierraviva': Deployment(
        'tierraviva',
        ('quito-a', 'quito-b', 'ibarra-c'),
        0.001,
        0.004,
        (
            RouteModel('reading', 0.45, 1.0, 8, 0),
            RouteModel('report', 0.25, 0.0, 0, 650, sigma=0.9),
            RouteModel('draft', 0.30, 0.4, 12, 500),
        ),
        full_load_per_s=32.0,
    ),
}


@attrs.frozen
class Phase:
    """A period with a constant rate of arrivals.

    Attributes:
        until_s: End, in seconds from the start of the run.
        load: Rate of arrivals relative to the full load of the deployment.
        is_peak: Whether the load peaks in this period.
    """

    until_s: float
    load: float
    is_peak: bool = False


@attrs.frozen
class Slowdown:
    """A period in which an engine is slow.

    Attributes:
        engine_number: Number of the engine.
        start_s: Start, in seconds from the start of the run.
        end_s: End, in seconds from the start of the run.
        factor: Factor on the duration of its steps.
    """

    engine_number: int
    start_s: float
    end_s: float
    factor: float


@attrs.frozen
class Scenario:
    """Demand and faults of one run.

    Attributes:
        name: Name of the scenario.
        phases: Demand over time.
        slowdowns: Periods of slow engines.
        isolated_zone: Number of the zone that a network partition separates
            from the others; None for no partition.
        partition_s: Start and end of the partition, in seconds from the
            start of the run.
    """

    name: str
    phases: tuple[Phase, ...]
    slowdowns: tuple[Slowdown, ...] = ()
    isolated_zone: int | None = None
    partition_s: tuple[float, float] = (0.0, 0.0)

    def phase_at(self, time_s: float) -> Phase:
        """Returns the phase at a time in seconds from the start."""
        ends = [phase.until_s for phase in self.phases]
        index = bisect.bisect_right(ends, time_s)
        return self.phases[min(index, len(ends) - 1)]

    def slowed_at(self, time_s: float) -> bool:
        """Whether any engine is slow at a time in seconds from the start."""
        return any(
            slowdown.start_s <= time_s < slowdown.end_s
            for slowdown in self.slowdowns
        )


SCENARIOS = {
    'swing': Scenario(
        'swing',
        (
            Phase(15, 0.45),
            Phase(25, 1.8, is_peak=True),
            Phase(55, 0.4),
            Phase(65, 1.8, is_peak=True),
            Phase(85, 0.4),
        ),
    ),
    'slowed': Scenario(
        'slowed',
        (Phase(75, 0.6),),
        (
            Slowdown(0, 12, 24, 6.0),
            Slowdown(3, 20, 30, 4.0),
            Slowdown(5, 38, 50, 8.0),
            Slowdown(1, 46, 58, 5.0),
            Slowdown(6, 62, 70, 6.0),
        ),
    ),
    'partition': Scenario(
        'partition',
        (Phase(60, 0.5),),
        isolated_zone=2,
        partition_s=(20.0, 32.0),
    ),
}


@attrs.frozen
class Arrival:
    """A request that a caller sends.

    Attributes:
        item: The request as submitted to the scheduler.
        output_tokens: Number of tokens that will be produced.
        prefix_tokens: Sizes of the prompt's prefixes, in tokens.
        instance_number: Number of the instance that receives the request.
    """

    item: api.WorkItem
    output_tokens: int
    prefix_tokens: tuple[int, ...]
    instance_number: int


# Weights of three large organisations and seven small ones, and number of
# prompt templates of each organisation and route.
_ORGANISATION_WEIGHTS = (24, 20, 16, 8, 8, 6, 6, 5, 4, 3)
_TEMPLATE_COUNT = 3


def draw_arrivals(
    deployment: Deployment, scenario: Scenario, seed: int
) -> list[Arrival]:
    """Draws the requests of one run, in order of arrival.

    Args:
        deployment: Deployment that the requests arrive at.
        scenario: Demand over time.
        seed: Seed of the random source.
    """
    rng = random.Random(f'{deployment.name}/{scenario.name}/{seed}')
    length_scales = [rng.uniform(0.6, 1.6) for _ in _ORGANISATION_WEIGHTS]
    shares = [route.share for route in deployment.routes]
    drawn_arrivals = []
    time_s = 0.0
    for number in itertools.count():
        phase = scenario.phase_at(time_s)
        time_s += rng.expovariate(deployment.full_load_per_s * phase.load)
        if time_s >= scenario.phases[-1].until_s:
            return drawn_arrivals
        route = rng.choices(deployment.routes, shares)[0]
        organisation = rng.choices(
            range(len(_ORGANISATION_WEIGHTS)), _ORGANISATION_WEIGHTS
        )[0]
        template = rng.randrange(_TEMPLATE_COUNT)
        prefix_tokens = (200, 500)
        prompt_tokens = prefix_tokens[-1] + rng.randint(
            route.prompt_min, route.prompt_max
        )
        item = api.WorkItem(
            f'r{number}',
            route.name,
            POOL,
            f'org-{organisation}',
            5,
            prompt_tokens,
            None,
            (
                hash((organisation, -1)),
                hash((organisation, deployment.routes.index(route), template)),
            ),
            time_s,
            time_s + 600.0,
            True,
        )
        output_tokens = route.draw_output_tokens(
            rng, length_scales[organisation]
        )
        drawn_arrivals.append(
            Arrival(item, output_tokens, prefix_tokens, rng.randrange(6))
        )
