"""One request and what was decided about it so far."""

import math

import attrs

from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import tables
from dotterelweird.gateway import api

# Usual time to the first event of a generation, in seconds. Seen on a calm
# day: 0.65 s at the median.
_FIRST_EVENT_S = 0.7
# Usual time of a plain call whose objective is longer, in seconds.
_PLAIN_CALL_S = 0.3


@attrs.define
class Exchange:
    """One request of a caller on its way to a target.

    Attributes:
        request: The request.
        route: Its route.
        service: Its service.
        organisation: Its organisation, if keys are in use.
        tables_version: Version of the tables that chose the route.
        arrived_s: Monotonic time of its arrival.
        deadline_s: Monotonic time at which it is given up.
        shortest_objective_s: The shortest objective of the generations of
            its service, in seconds.
        tried: Targets that got it or could not be reached.
        runs_started: Runs from the start that may have begun.
        may_have_run: Whether any target may have begun to run it; a
            refusal must then not say that it has not run.
        first_s: Time from the arrival to the first event of a generation,
            in seconds; None before it.
        longest_pause_s: Longest pause between two writes to the caller, in
            seconds.
    """

    request: api.CallerRequest
    route: tables.Route
    service: tables.Service
    organisation: tables.Organisation | None
    tables_version: int
    arrived_s: float
    deadline_s: float
    shortest_objective_s: float
    tried: set[str] = attrs.field(factory=set)
    runs_started: int = 0
    may_have_run: bool = False
    first_s: float | None = None
    longest_pause_s: float = 0.0

    def record_run(self) -> None:
        """Takes note of a run from the start that may have begun."""
        self.runs_started += 1
        self.may_have_run = True

    def timing(self) -> dict[str, float]:
        """Times of a generation as logs show them; empty before its start."""
        if self.first_s is None:
            return {}
        return {
            'first_s': round(self.first_s, 4),
            'longest_pause_s': round(self.longest_pause_s, 4),
        }

    @property
    def organisation_name(self) -> str | None:
        """Name of the organisation, if there is one."""
        return self.organisation.name if self.organisation else None

    @property
    def expected_duration_s(self) -> float:
        """How long the request is expected to take, in seconds."""
        return self._duration_s(self.request.output_tokens_expected)

    @property
    def longest_duration_s(self) -> float:
        """How long the request takes if its output is the longest."""
        return self._duration_s(self.request.output_tokens_max or math.inf)

    def _duration_s(self, output_tokens: float) -> float:
        if self.route.kind is not tables.RequestKind.STREAM:
            return min(self.route.objective_s, _PLAIN_CALL_S)
        return _FIRST_EVENT_S + admission.OUTPUT_TOKEN_S * output_tokens

    @property
    def demand(self) -> admission.Demand:
        """What a run needs, and by when.

        No run holds more than an engine's memory, whatever its caller says:
        an engine must not look full to all instances for one false hint.
        """
        prompt_tokens = self.request.prompt_tokens
        output_tokens = self.request.output_tokens_expected
        engine = self.service.engine
        if engine is not None and engine.memory_tokens:
            prompt_tokens = min(prompt_tokens, engine.memory_tokens)
            left_tokens = engine.memory_tokens - prompt_tokens
            output_tokens = min(output_tokens, left_tokens)
        return admission.Demand(
            prompt_tokens,
            output_tokens,
            self.route.objective_s,
            self.shortest_objective_s,
            self.arrived_s,
        )

    @property
    def tokens(self) -> int:
        """Tokens that a run is expected to hold at its end."""
        return self.demand.tokens


@attrs.frozen
class Answered:
    """A target gave a whole answer of its own."""

    status: int
    headers: api.Headers
    body: bytes


@attrs.frozen
class NotRun:
    """A target states that the request did not run."""

    status: int


@attrs.frozen
class NeverSent:
    """No byte of the request reached a target."""

    reason: str


@attrs.frozen
class Broken:
    """An attempt ended without a whole answer; the request may have run."""

    reason: str


@attrs.frozen
class TimedOut:
    """An attempt did not end in time; the request may have run."""


Outcome = Answered | NotRun | NeverSent | Broken | TimedOut


@attrs.frozen
class Complete:
    """A generation reached its end."""


@attrs.frozen
class Interrupted:
    """The link to an engine ended before its generation did.

    Attributes:
        reason: Why.
        silent: Whether the engine may still be connected and running.
    """

    reason: str
    silent: bool = False


@attrs.frozen
class CallerLost:
    """The caller of a generation left or did not read.

    Attributes:
        reason: How that was found.
    """

    reason: str


StreamOutcome = Outcome | Complete | Interrupted | CallerLost
