"""State of a forwarded request and the outcomes of its attempts."""

import functools

import attrs

from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import memory_account
from dotterelweir_core.gateway import tables
from dotterelweird.gateway import api
from dotterelweird.gateway import target_client

# Maximum number of parts of a prompt in a line of the log.
LOGGED_PARTS_MAX = 16
# Usual time to the first event of a generation without a wait for capacity, in
# seconds. The median measured on a day of low load is 0.65 s.
_FIRST_EVENT_S = 0.7
# Usual duration of a plain call, in seconds, unless its objective is shorter.
_PLAIN_CALL_S = 0.3


@attrs.define
class Exchange:
    """One request of a caller on its way to a target.

    Attributes:
        request: The request as it was received.
        route: The route that matched the request.
        service: The service of the route.
        organisation: The caller's organisation; None if no keys are in use.
        tables_version: Version of the tables that chose the route.
        arrived_s: Monotonic time of the arrival, in seconds.
        deadline_s: Monotonic time at which the request is given up, in
            seconds.
        shortest_objective_s: Shortest objective of any generation of the
            service, in seconds.
        holding: What the caller's connection holds.
        ordered: Whether the generations of the service differ in priority.
        tried: Ids of targets to which sending was attempted.
        runs_started: Number of runs from the beginning that may have
            started.
        may_have_run: Whether any target may have started to run the
            request; a refusal must then not state that it has not run.
        sending: The attempt in progress; None between attempts.
        first_s: Time from the arrival to the first event of a generation,
            in seconds; None before it.
        trial: Whether the request is blocked and sent to a target once all
            the same.
        prompt_trial: Whether parts of its prompt are blocked and it is sent
            to a target once all the same.
        longest_pause_s: Longest pause between two writes to the caller, in
            seconds.
        silence_moves: Number of runs of the request that were stopped because
            of silence.
        retries_ahead: Retries taken for a run before it was called to stop,
            and not used yet.
        run_calls: Calls to engines about runs of the request, in order.
        shortest_event_gap_s: Shortest limit on the time between two events
            of any generation of the service, in seconds; 0 for none.
        stream_version: Software version of the engines whose events the
            caller's stream holds; None before its first event.
        services: All services to which the route's requests may go.
        is_forwarded: Whether another instance passed the request on.
    """

    request: api.CallerRequest
    route: tables.Route
    service: tables.Service
    organisation: tables.Organisation | None
    tables_version: int
    arrived_s: float
    deadline_s: float
    shortest_objective_s: float
    holding: memory_account.Holding
    ordered: bool = False
    tried: set[str] = attrs.field(factory=set)
    runs_started: int = 0
    may_have_run: bool = False
    sending: target_client.SendState | None = None
    first_s: float | None = None
    longest_pause_s: float = 0.0
    trial: bool = False
    prompt_trial: bool = False
    silence_moves: int = 0
    retries_ahead: int = 0
    run_calls: list['RunCall'] = attrs.field(factory=list)
    shortest_event_gap_s: float = 0.0
    stream_version: str | None = None
    services: tuple[tables.Service, ...] = ()
    is_forwarded: bool = False

    @property
    def stop_called(self) -> bool:
        """Whether an engine was called to stop a run of the request."""
        return any(call.final for call in self.run_calls)

    def record_run(self) -> None:
        """Records a run from the beginning that may have started."""
        self.runs_started += 1
        self.may_have_run = True

    @functools.cached_property
    def key(self) -> str:
        """Digest of path, caller and body; equal for all its repeats."""
        request = self.request
        return engine_ends.request_key(
            request.host,
            request.raw_path,
            self.organisation_name or '',
            request.body,
        )

    @property
    def may_be_running(self) -> bool:
        """Whether a target may have run the request or may run it now."""
        in_progress = self.sending is not None and self.sending.sent
        return self.may_have_run or in_progress

    @property
    def answer_begun(self) -> bool:
        """Whether part of a streamed answer was sent to the caller."""
        return self.first_s is not None

    def timing(self) -> dict[str, float]:
        """Returns a generation's times for logs; empty before its start."""
        if self.first_s is None:
            return {}
        return {
            'first_s': round(self.first_s, 4),
            'longest_pause_s': round(self.longest_pause_s, 4),
        }

    @property
    def organisation_name(self) -> str | None:
        """Name of the organisation; None without one."""
        return self.organisation.name if self.organisation else None

    @property
    def expected_duration_s(self) -> float:
        """Usual duration with an output of the expected length, in seconds."""
        if self.route.kind is not tables.RequestKind.STREAM:
            return min(self.route.objective_s, _PLAIN_CALL_S)
        output_tokens = self.request.output_tokens_expected
        return _FIRST_EVENT_S + admission.OUTPUT_TOKEN_S * output_tokens

    @property
    def demand(self) -> admission.Demand:
        """Resources that a run needs, and by when.

        Limited to an engine's memory, whatever length the caller announces:
        one wrong hint must not make an engine appear full to all instances.
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
            self.shortest_event_gap_s,
        )

    @property
    def tokens(self) -> int:
        """Tokens that a run is expected to hold when it ends."""
        return self.demand.tokens


@attrs.define
class RunCall:
    """A call to an engine that copies or stops a run.

    Attributes:
        source_id: Id of the engine.
        final: Whether the call stops the run.
        began_s: Monotonic time of the call, in seconds.
        result: Result of the call; empty before its answer.
    """

    source_id: str
    final: bool
    began_s: float
    result: str = ''


@attrs.frozen
class Answered:
    """A target returned a complete answer of its own.

    Attributes:
        status: HTTP status.
        headers: Headers that are forwarded to the caller.
        body: The whole body.
    """

    status: int
    headers: api.Headers
    body: bytes


@attrs.frozen
class NotRun:
    """A target states that the request did not run.

    Attributes:
        status: HTTP status of its answer.
    """

    status: int


@attrs.frozen
class NeverSent:
    """No byte of the request was sent to a target.

    Attributes:
        reason: Why the connection failed.
    """

    reason: str


@attrs.frozen
class Withheld:
    """The target stopped to accept requests before this one was sent.

    Attributes:
        reason: Why it accepts none.
    """

    reason: str


@attrs.frozen
class Broken:
    """An attempt ended without a valid answer; the request may have run.

    Attributes:
        reason: The error, or what was wrong with the answer.
        connection_lost: Whether the connection ended before an answer.
    """

    reason: str
    connection_lost: bool = False


@attrs.frozen
class TimedOut:
    """An attempt exceeded its time limit; the request may have run."""


Outcome = Answered | NotRun | NeverSent | Withheld | Broken | TimedOut


@attrs.frozen
class Complete:
    """A generation reached its end."""


@attrs.frozen
class Interrupted:
    """The link to an engine ended before its generation did.

    Attributes:
        reason: Why the link ended.
        silent: Whether the engine may still be connected and working on the
            generation.
    """

    reason: str
    silent: bool = False


@attrs.frozen
class CallerLost:
    """The caller of a generation disconnected or stopped reading.

    Attributes:
        reason: The error by which it was detected.
    """

    reason: str


StreamOutcome = Outcome | Complete | Interrupted | CallerLost
