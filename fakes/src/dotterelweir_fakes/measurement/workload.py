"""The two deployments, their demand and their faults."""

import bisect
import itertools
import math
import random

import attrs

from dotterelweir_core.policy import api
from dotterelweir_core.targets import model
from dotterelweir_fakes.measurement import engine

POOL = 'llm'
# Outputs up to this size count as short work, whatever their route.
SHORT_TOKENS = 48


@attrs.frozen
class RouteModel:
    """The requests of one route.

    Attributes:
        name: Name of the route.
        share: Share of all requests.
        short_share: Share of its requests with short outputs.
        short_median: Median of the short outputs, in tokens.
        long_median: Median of the other outputs.
        sigma: Spread of the other outputs (log-normal).
        tail_share: Share of the other outputs that run many times longer.
        prompt_min: Least own prompt tokens after the shared prefix.
        prompt_max: Most of them.
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
        """Draws the length of an output."""
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
    """One of the two deployments.

    Attributes:
        name: Its name.
        zones: Its availability zones.
        zone_latency_s: One-way latency between zones.
        client_latency_s: One-way latency to callers.
        routes: Its routes.
        rate: Requests per second that load the engines fully.
        costs: Times and sizes of its engines.
    """

    name: str
    zones: tuple[str, ...]
    zone_latency_s: float
    client_latency_s: float
    routes: tuple[RouteModel, ...]
    full_load_per_s: float
    costs: engine.EngineCosts = attrs.field(factory=engine.EngineCosts)

    def targets(self) -> tuple[model.Target, ...]:
        """The seven engines, spread over the zones."""
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
        """The zones of the six entry instances."""
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
    """A stretch of time with one rate of arrivals.

    Attributes:
        until_s: Its end.
        load: Rate relative to the deployment's full load.
        crest: Whether it is the peak of a swing.
    """

    until_s: float
    load: float
    is_peak: bool = False


@attrs.frozen
class Slowdown:
    """An engine that is slow for some time.

    Attributes:
        engine: Number of the engine.
        start_s: Its start.
        end_s: Its end.
        factor: How many times longer its steps take.
    """

    engine_number: int
    start_s: float
    end_s: float
    factor: float


@attrs.frozen
class Scenario:
    """Demand and faults of one run.

    Attributes:
        name: Its name.
        phases: Demand.
        slowdowns: Slow engines.
        cut_zone: Zone that is cut off from the others, by number.
        cut_s: Start and end of the cut.
    """

    name: str
    phases: tuple[Phase, ...]
    slowdowns: tuple[Slowdown, ...] = ()
    isolated_zone: int | None = None
    partition_s: tuple[float, float] = (0.0, 0.0)

    def phase_at(self, time_s: float) -> Phase:
        """The phase at a time."""
        ends = [phase.until_s for phase in self.phases]
        index = bisect.bisect_right(ends, time_s)
        return self.phases[min(index, len(ends) - 1)]

    def slowed_at(self, time_s: float) -> bool:
        """Whether some engine is slow at a time."""
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
        item: The request.
        output: Tokens that will be produced.
        prefix_tokens: Sizes of the prompt's prefixes.
        instance: Number of the entry instance.
    """

    item: api.WorkItem
    output_tokens: int
    prefix_tokens: tuple[int, ...]
    instance_number: int


# Three large organisations and seven small ones.
_ORGANISATION_WEIGHTS = (24, 20, 16, 8, 8, 6, 6, 5, 4, 3)
_TEMPLATE_COUNT = 3


def draw_arrivals(
    deployment: Deployment, scenario: Scenario, seed: int
) -> list[Arrival]:
    """Draws the requests of one run."""
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
