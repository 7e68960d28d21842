"""Configuration tables of the gateway: routes, services, organisations."""

import enum
import random

import attrs

from dotterelweir_core.gateway import service_order


class RequestKind(enum.Enum):
    """Kind of a route's requests.

    They are plain calls that may or may not be repeated, or streams.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes:
        name: Name of the service.
        weight: Its share, relative to the other services of the route.
    """

    name: str
    weight: float


@attrs.frozen
class Route:
    """Destination and limits of the requests for one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host of the requests, without a port; case is ignored.
        path_prefix: Beginning of the path; starts and ends with a slash.
        kind: Whether requests are plain calls that may or may not be
            repeated, or streams.
        timeout_s: Longest time in seconds that a caller is kept waiting.
        objective_s: Time from the arrival within which an answer, for
            streams the first event, is on time, in seconds.
        priority: Priority of the requests; 0 is the most urgent.
        services: Services of the route; never empty.
        attempts_max: Maximum number of runs from the beginning of one request.
        public: Whether requests need no key.
        resumable: Whether a stream may be sent anew to another target, which
            delivers the events after the last delivered one.
        event_gap_s: Longest time in seconds between two events of a stream
            that is on time.
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
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.NON_IDEMPOTENT:
                return False
            case RequestKind.STREAM:
                return self.resumable

    def pick_service(self, rng: random.Random) -> str:
        """Chooses the service of one request at random, by weight.

        Args:
            rng: Random source.

        Returns:
            Name of the service.
        """
        if len(self.services) == 1:
            return self.services[0].name
        weights = [service.weight for service in self.services]
        return rng.choices(self.services, weights)[0].name


@attrs.frozen
class EngineSpec:
    """Capacity and abilities of the model engines of a service.

    Attributes:
        slots: Requests that one engine runs at once.
        memory_tokens: Capacity of one engine's memory, in tokens.
        can_move: Whether a run's memory can be moved to another engine.
        can_back_up: Whether a run's memory can be copied to another engine
            while the run grows.
    """

    slots: int
    memory_tokens: int
    can_move: bool
    can_back_up: bool


@attrs.frozen
class Service:
    """A service and the properties that its targets share.

    Attributes:
        name: Name of the service.
        connections_max: Connections that a target accepts from all callers
            together. Not used by the gateway.
        engine: Properties of its model engines; None for plain services.
        warm_up_s: Time after its start for which a target is cold, in
            seconds; 0 if it is not stated.
        warm_up_per_s: Requests per second that a cold target bears; 0 if the
            number is not stated.
    """

    name: str
    connections_max: int
    engine: EngineSpec | None = None
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0


@attrs.frozen
class Organisation:
    """An organisation that sends requests.

    Attributes:
        name: Name of the organisation.
        priority: Priority of its requests; None keeps the route's.
    """

    name: str
    priority: int | None = None


def urgency(
    route: Route, organisation: Organisation | None
) -> service_order.Urgency:
    """Returns the urgency of the requests of an organisation on a route.

    Args:
        route: The route.
        organisation: The organisation; None without one.
    """
    priority = None if organisation is None else organisation.priority
    if priority is None:
        priority = route.priority
    return service_order.Urgency(priority, route.priority)


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of a caller.

    Attributes:
        header_bytes: Maximum size of a request's headers, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout_s: Longest time in seconds from the first byte of a
            request to the end of its headers.
        idle_timeout_s: Time in seconds that an idle connection is kept open.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Tables:
    """One version of the whole configuration.

    Attributes:
        version: Version number; grows with each change.
        routes: All routes.
        services: All services by name.
        organisations: Organisations by key; None if requests need no key.
        limits: Limits on callers.
        ordered_services: Services whose generations differ in priority.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: CallerLimits
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False)
    _objectives_s: dict[str, float] = attrs.field(init=False, eq=False)
    ordered_services: frozenset[str] = attrs.field(init=False, eq=False)
    _event_gaps_s: dict[str, float] = attrs.field(init=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        object.__setattr__(self, '_by_host', by_host)
        objectives_s: dict[str, float] = {}
        event_gaps_s: dict[str, float] = {}
        for route in self.routes:
            if route.kind is not RequestKind.STREAM:
                continue
            for service in route.services:
                known_s = objectives_s.get(service.name, route.objective_s)
                objectives_s[service.name] = min(known_s, route.objective_s)
                if route.event_gap_s > 0:
                    event_gaps_s[service.name] = min(
                        event_gaps_s.get(service.name, route.event_gap_s),
                        route.event_gap_s,
                    )
        object.__setattr__(self, '_objectives_s', objectives_s)
        object.__setattr__(self, '_event_gaps_s', event_gaps_s)
        object.__setattr__(self, 'ordered_services', self._find_ordered())

    def _find_ordered(self) -> frozenset[str]:
        """Returns the services whose generations differ in priority."""
        organisations = set((self.organisations or {}).values())
        urgencies: dict[str, set[service_order.Urgency]] = {}
        for route in self.routes:
            if route.kind is not RequestKind.STREAM:
                continue
            callers: set[Organisation | None] = set(organisations)
            if route.public or not organisations:
                callers.add(None)
            for service in route.services:
                urgencies.setdefault(service.name, set()).update(
                    urgency(route, caller) for caller in callers
                )
        return frozenset(
            name for name, found in urgencies.items() if len(found) > 1
        )

    def is_ordered(self, service: str) -> bool:
        """Whether the generations of a service differ in priority."""
        return service in self.ordered_services

    def shortest_objective_s(self, service: str) -> float:
        """Returns the shortest objective among the stream routes of a service.

        Args:
            service: Name of the service.

        Returns:
            The time in seconds; 0 if no route of streams has the service.
        """
        return self._objectives_s.get(service, 0.0)

    def shortest_event_gap_s(self, service: str) -> float:
        """Returns the shortest limit on pauses of a service's stream routes.

        Args:
            service: Name of the service.

        Returns:
            The time in seconds; 0 if no route of streams limits pauses.
        """
        return self._event_gaps_s.get(service, 0.0)

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest matching path prefix.

        Args:
            host: Host of the request, with or without a port.
            path: Path of the request, without the query.

        Returns:
            The route, or None if none matches.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
