"""Random requests with planned answers, for tests of planned stops."""

import math
import random

import attrs

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine

STREAM_ROUTES = ('guide', 'check')
ROUTES = ('book', 'read', *STREAM_ROUTES)
_TOKENS_PER_EVENT = 4
# Timeouts of plain routes and of streams, in seconds.
PLAIN_TIMEOUT_S = 4.0
STREAM_TIMEOUT_S = 40.0
# Range of the pauses of engines, in seconds.
_PAUSE_S = (0.5, 2.5)
# A deadline that is not reached, in milliseconds.
_FAR_DEADLINE_MS = 60_000


def configuration(version: int, backups: bool = True) -> dict:
    """Returns a configuration; each differs from the one before it.

    Args:
        version: Its version.
        backups: Whether engines keep copies of the runs of others.
    """
    tables = fleet.configuration(version)
    for service in tables['services']:
        if 'engine' in service:
            service['engine']['backups'] = backups
    for route in tables['routes']:
        timeout_s = (
            STREAM_TIMEOUT_S if route['kind'] == 'stream' else PLAIN_TIMEOUT_S
        )
        route['timeoutMs'] = round(1000 * timeout_s)
        route['targetLatencyMs'] = 300 + 50 * (version % 2)
    return tables


@attrs.define
class PlannedRequest:
    """One request of a caller.

    Attributes:
        request_id: Id of the request.
        route: Name of its route.
        content: All bytes of the request.
        timeout_s: Time until its deadline or its route's timeout, whichever
            is earlier, in seconds.
        behaviour: How an engine handles it.
        expected: Body of the correct answer.
        rate_bytes_s: Rate at which the caller reads the answer, in bytes per
            second; None to read as fast as possible.
    """

    request_id: str
    route: str
    content: bytes
    timeout_s: float
    behaviour: fleet_engine.Behaviour
    expected: bytes
    rate_bytes_s: float | None = None


@attrs.define
class RequestMaker:
    """Makes the requests of one run.

    Attributes:
        name: Name of the maker, which begins the ids of its requests.
        rng: Random source.
        token_s: Time of an engine for one token, in seconds.
        first_event_s: Longest time to the first event, in seconds.
        plain_s: Longest time to the answer of a plain service, in seconds.
        tokens_max: Length of the longest answer, in tokens.
        paused_share: Share of streams that their engine interrupts for a
            while, as it does when it preempts a run.
        pause_s: Range of these times, in seconds.
        made: Number of requests made.
    """

    name: str
    rng: random.Random
    token_s: float
    first_event_s: float
    plain_s: float
    tokens_max: int
    paused_share: float
    pause_s: tuple[float, float] = _PAUSE_S
    made: int = 0

    @classmethod
    def draw(cls, seed: int) -> 'RequestMaker':
        """Returns one with a pace and lengths by the seed."""
        rng = random.Random(seed)
        return cls(
            str(seed),
            rng,
            token_s=rng.uniform(0.005, 0.04),
            first_event_s=rng.choice((0.05, 0.05, 0.3, 2.0)),
            plain_s=rng.uniform(0.05, 1.5),
            tokens_max=rng.choice((80, 160, 400)),
            paused_share=rng.choice((0.0, 0.0, 0.2)),
        )

    def fork(self, name: str) -> 'RequestMaker':
        """Returns another maker, whose random numbers depend on its name."""
        name = f'{self.name}-{name}'
        return attrs.evolve(self, name=name, rng=random.Random(name), made=0)

    def make(self, slow: bool = False) -> PlannedRequest:
        """Returns a request on a random route.

        Args:
            slow: Whether its caller reads slowly. It reads the answer in
                about the time that the engine takes to send it, or longer.
        """
        route = self.rng.choice(ROUTES)
        if route in ('book', 'read'):
            return self._make_call(route, slow)
        tokens = round(
            math.exp(self.rng.uniform(3.0, math.log(self.tokens_max)))
        )
        return self.make_stream(route, tokens, slow)

    def make_stream(
        self, route: str, tokens: int, slow: bool = False
    ) -> PlannedRequest:
        """Returns a request for a generation of a given length."""
        events = math.ceil(tokens / _TOKENS_PER_EVENT)
        behaviour = fleet_engine.Behaviour(
            events=events,
            event_s=_TOKENS_PER_EVENT * self.token_s,
            delay_s=self.rng.uniform(0.0, self.first_event_s),
            event_bytes=2000 if slow else 0,
        )
        taken_s = behaviour.delay_s + events * behaviour.event_s
        if self.rng.random() < self.paused_share:
            behaviour.pause_after = self.rng.randrange(events)
            behaviour.pause_s = self.rng.uniform(*self.pause_s)
            taken_s += behaviour.pause_s
        longest = round(tokens * self.rng.choice((1.0, 1.2, 3.0)))
        headers = {'X-Token-Usage': f'100,{longest}'}
        match self.rng.choice(('exact', 'exact', 'wrong', 'none')):
            case 'exact':
                headers['X-Length-Hint'] = str(tokens)
            case 'wrong':
                hint = tokens * self.rng.uniform(0.3, 2.0)
                headers['X-Length-Hint'] = str(round(hint))
        deadline_ms = _FAR_DEADLINE_MS
        if self.rng.random() < 0.2:
            deadline_ms = round(1000 * taken_s * self.rng.uniform(1.2, 3.0))
        expected = b''.join(
            b'id: %d\ndata: token-%d%b\n\n'
            % (n, n, b'x' * behaviour.event_bytes)
            for n in range(1, events + 1)
        )
        return self._finish(
            route, deadline_ms, headers, behaviour, expected, b'x', slow
        )

    def _make_call(self, route: str, slow: bool) -> PlannedRequest:
        behaviour = fleet_engine.Behaviour(
            delay_s=self.rng.uniform(0.05, self.plain_s)
        )
        deadline_ms = self.rng.choice(
            (_FAR_DEADLINE_MS, self.rng.randint(600, 2000))
        )
        # The answer repeats the body.
        size = self.rng.randint(200_000, 900_000) if slow else 1
        return self._finish(
            route, deadline_ms, {}, behaviour, b'', b'x' * size, slow
        )

    def _finish(
        self,
        route: str,
        deadline_ms: int,
        headers: dict[str, str],
        behaviour: fleet_engine.Behaviour,
        expected: bytes,
        body: bytes,
        slow: bool,
    ) -> PlannedRequest:
        self.made += 1
        marks = '-slow' * slow + '-pause' * (behaviour.pause_after is not None)
        request_id = f'{self.name}-{self.made}-{route}{marks}'
        expected = expected or b'answer to %b %b' % (request_id.encode(), body)
        headers = {
            **fleet.request_headers(route, request_id, deadline_ms),
            **headers,
            'Content-Length': str(len(body)),
        }
        if 'X-Token-Usage' in headers:
            headers['X-Prompt-Prefix'] = f'{request_id.encode().hex()}:100'
        head = ''.join(f'{name}: {v}\r\n' for name, v in headers.items())
        rate_bytes_s = None
        if slow:
            taken_s = behaviour.event_s * behaviour.events
            taken_s += self.rng.uniform(0.2, 1.0)
            rate_bytes_s = len(expected) / taken_s
        timeout_s = (
            PLAIN_TIMEOUT_S if route in ('book', 'read') else STREAM_TIMEOUT_S
        )
        return PlannedRequest(
            request_id,
            route,
            f'POST /{route}/x HTTP/1.1\r\n{head}\r\n'.encode() + body,
            min(timeout_s, deadline_ms / 1000.0),
            behaviour,
            expected,
            rate_bytes_s,
        )
