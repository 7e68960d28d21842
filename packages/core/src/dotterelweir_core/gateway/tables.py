"""The tables that the gateway serves: routes, services, organisations."""

import enum
import random

import attrs


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@attrs.frozen
class WeightedService:
    """A service that gets a share of a route's requests.

    Attributes:
        name: Name of the service.
        weight: Its share, relative to the other services of the route.
    """

    name: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Host that requests name.
        path_prefix: Beginning of the path; starts and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer is worth most; for streams
            the time to the first event.
        priority: Rank; 0 is the most urgent.
        services: Services of the route; never empty.
        attempts_max: Most targets that one request may run on.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another target after its
            last delivered event.
        event_gap_s: Longest pause between events of a stream on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    attempts_max: int
    public: bool
    resumable: bool
    event_gap_s: float

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    def pick_service(self, rng: random.Random) -> str:
        """Chooses the service of one request by the weights."""
        if len(self.services) == 1:
            return self.services[0].name
        weights = [service.weight for service in self.services]
        return rng.choices(self.services, weights)[0].name


@attrs.frozen
class EngineSpec:
    """What the model engines of a service can do.

    Attributes:
        slots: Requests that one engine runs at once.
        memory_tokens: Tokens that one engine's memory holds.
        can_move: Whether a run's memory can be moved to another engine.
        can_back_up: Whether a run's memory can be copied while it grows.
    """

    slots: int
    memory_tokens: int
    can_move: bool
    can_back_up: bool


@attrs.frozen
class Service:
    """A service and what its targets are.

    Attributes:
        name: Name of the service.
        connections_max: Connections that a target accepts from all callers.
        engine: Abilities of its model engines; None for plain services.
    """

    name: str
    connections_max: int
    engine: EngineSpec | None = None


@attrs.frozen
class Organisation:
    """An organisation that sends requests.

    Attributes:
        name: Name of the organisation.
        priority: Rank of its requests; None leaves the route's.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Most bytes of a request's headers.
        body_bytes: Most bytes of a request's body.
        header_timeout_s: Longest time from the first byte of a request to
            the end of its headers.
        idle_timeout_s: Time that an idle connection is kept open.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Tables:
    """One version of the whole configuration.

    Attributes:
        version: Number of the version; grows with each change.
        routes: Every route.
        services: Every service by its name.
        organisations: Organisations by key; None if requests need no key.
        limits: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: CallerLimits
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False)
    _objectives_s: dict[str, float] = attrs.field(init=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        object.__setattr__(self, '_by_host', by_host)
        objectives_s: dict[str, float] = {}
        for route in self.routes:
            if route.kind is not RequestKind.STREAM:
                continue
            for service in route.services:
                known_s = objectives_s.get(service.name, route.objective_s)
                objectives_s[service.name] = min(known_s, route.objective_s)
        object.__setattr__(self, '_objectives_s', objectives_s)

    def shortest_objective_s(self, service: str) -> float:
        """The shortest objective of the generations of a service.

        Args:
            service: Name of the service.

        Returns:
            The time in seconds; 0 if no route of generations names it.
        """
        return self._objectives_s.get(service, 0.0)

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest matching prefix, or None.

        Args:
            host: Host of the request, with or without a port.
            path: Path of the request, without the query.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
