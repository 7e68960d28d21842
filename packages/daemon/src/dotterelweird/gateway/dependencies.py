"""Dependencies shared by the code that forwards requests."""

import functools
import random

import aiohttp
import attrs

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import durations
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import returning
from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import service_queues
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import target_speeds
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import waiting
from dotterelweird.gateway import answer_bodies
from dotterelweird.gateway import api
from dotterelweird.gateway import end_detection
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import limiting
from dotterelweird.gateway import origins as gateway_origins
from dotterelweird.gateway import peer_forwarding
from dotterelweird.gateway import prompt_guard as prompt_guards
from dotterelweird.gateway import reaching
from dotterelweird.gateway import releasing
from dotterelweird.gateway import request_guard as request_guards
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import speed_reports
from dotterelweird.gateway import statistics
from dotterelweird.gateway import stopping
from dotterelweird.gateway import watching
from dotterelweird.gateway.callers import memory as caller_memory
from dotterelweird.gateway.sending import evacuating
from dotterelweird.gateway.sending import gate as send_gate
from dotterelweird.gateway.sending import pacing
from dotterelweird.gateway.sharing import reporting


@attrs.define
class Forwarding:
    """Holds the objects that forwarding a request needs.

    Attributes:
        settings: Settings of the process; replaced at a reload.
        timers: The timer service.
        session: HTTP client for targets.
        dialect: Names and formats of the platform's requests and answers.
        run_control: Control of runs at model engines.
        directory: The registered targets.
        loads: Load of each target.
        placer: Chooses targets.
        admission: Decides when a generation may be sent to an engine.
        statistics: Counters and histograms.
        rng: Random source.
        budgets: Retry budget of each service.
        memory: Limits the memory of answers that are read as a whole.
        caller_memory: The account of the memory that callers take.
        notice_listener: Called with each notice of a target.
        stop_plan: State and time limits of a stop of the process.
        prompt_guard: Keeps prompts that crash engines away from them.
        limiter: Keeps requests within the limits of targets.
        request_guard: Keeps requests under which targets ended away from
            others.
        end_detector: Detects the ends of targets with requests in flight.
        pace: Follows which targets must not be sent all their load yet.
        origins: Finds the software version of streams that are taken up.
        reach: Follows whether this instance reaches any target.
        forwarder: Passes requests to instances that reach targets.
        duration_factors: How long requests take at each service.
        watch: Notifies generations of changes of their targets.
        queues: Queues of generations that wait for an engine.
        returning_callers: Refused requests whose callers may come back.
        waiting_reporter: Counts and logs what happens to waiting requests.
        departure_times: When targets began to leave.
        gate: Tells whether a target may be sent something now.
        releaser: Frees copies of runs that will not be used.
        evacuator: Moves runs off evacuated zones.
        speed_reporter: Reports the learned speeds of targets.
    """

    settings: gateway_settings.GatewaySettings
    timers: timers.TimerService
    session: aiohttp.ClientSession
    dialect: api.Dialect
    run_control: api.RunControl
    directory: targets.TargetDirectory
    loads: load.LoadRegistry
    placer: placement.Placer
    admission: admission.Admission
    statistics: statistics.Statistics
    rng: random.Random
    budgets: retry_budget.BudgetRegistry
    memory: answer_bodies.AnswerMemory
    caller_memory: caller_memory.CallerMemory
    notice_listener: api.NoticeListener
    stop_plan: stopping.StopPlan
    prompt_guard: prompt_guards.PromptGuard
    limiter: limiting.TargetLimiter
    request_guard: request_guards.RequestGuard
    end_detector: end_detection.EndDetector
    pace: pacing.PaceKeeper
    origins: gateway_origins.StreamOrigins
    reach: reaching.ReachKeeper
    forwarder: peer_forwarding.PeerForwarder
    duration_factors: durations.DurationFactors = attrs.field(
        factory=durations.DurationFactors
    )
    watch: watching.TargetWatch = attrs.field(factory=watching.TargetWatch)
    queues: service_queues.ServiceQueues = attrs.field(
        factory=lambda: service_queues.ServiceQueues(
            service_order.ServiceOrder()
        )
    )
    returning_callers: returning.ReturningCallers = attrs.field(
        factory=returning.ReturningCallers
    )
    waiting_reporter: reporting.WaitingReporter = attrs.field(init=False)
    departure_times: watching.DepartureTimes = attrs.field(init=False)
    gate: send_gate.SendGate = attrs.field(init=False)
    releaser: releasing.CopyReleaser = attrs.field(init=False)
    evacuator: evacuating.RunEvacuator = attrs.field(init=False)
    speed_reporter: speed_reports.SpeedReporter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.waiting_reporter = reporting.WaitingReporter(
            self.timers, self.statistics
        )
        self.departure_times = watching.DepartureTimes(self.timers)
        self.gate = send_gate.SendGate(
            self.directory,
            self.placer.pause_registry,
            self.departure_times,
            self.timers,
            self.placer.evacuation_registry,
        )
        self.speed_reporter = speed_reports.SpeedReporter(
            self.timers, self.loads, self.statistics
        )
        self.releaser = releasing.CopyReleaser(
            self.run_control, self.gate, self.limiter
        )
        self.evacuator = evacuating.RunEvacuator(
            self.placer.evacuation_registry, self.timers, self.rng
        )

    def candidates(
        self,
        exchange: exchanges.Exchange,
        source: targets.Target | None = None,
    ) -> list[targets.Target]:
        """Returns the targets at which a request may run or go on.

        Engines of several software versions may serve side by side. What two
        versions write does not fit together, so a stream with an event goes
        on only at the version that began it, and a run is copied only to
        engines that can continue it.

        Args:
            exchange: The request.
            source: The engine of the run that is to be copied; None for a
                request that is sent.
        """
        registered = self.directory.of_service(exchange.service.name)
        version = exchange.stream_version
        if source is not None:
            version = source.software_version
        if version is None:
            return registered
        return [
            target
            for target in registered
            if target.software_version == version
        ]

    def choose(
        self, exchange: exchanges.Exchange, excluded: set[str]
    ) -> placement.Choice | None:
        """Chooses a target for a request.

        Args:
            exchange: The request.
            excluded: Ids of targets that must not be used.

        Returns:
            The choice, or None if no target accepts requests.
        """
        admits = None
        if exchange.service.engine is not None:
            admits = functools.partial(
                self.admission.admits,
                service=exchange.service,
                demand=exchange.demand,
                now_s=self.timers.monotonic_s(),
            )
        return self.placer.choose(
            *self._placement_arguments(exchange),
            excluded,
            admits,
            self._stream_needs(exchange),
        )

    def find_capacity(
        self, exchange: exchanges.Exchange
    ) -> admission.Capacity:
        """Returns whether an engine can admit a generation without a wait."""
        now_s = self.timers.monotonic_s()
        usable = self.placer.usable(self.candidates(exchange), now_s)
        return self.admission.find_capacity(
            usable, exchange.service, exchange.demand, now_s
        )

    def choose_backup(
        self,
        exchange: exchanges.Exchange,
        source: targets.Target,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> targets.Target | None:
        """Chooses the engine that keeps a backup of a run's memory.

        Args:
            exchange: The request.
            source: The engine that runs it.
            excluded: Ids of further targets that must not be used.

        Returns:
            The engine, or None if no backup should be kept.
        """
        return self.placer.choose_backup(
            *self._placement_arguments(exchange, source),
            {source.target_id, *excluded},
            self._stream_needs(exchange),
        )

    def choose_takeover_target(
        self,
        exchange: exchanges.Exchange,
        source: targets.Target,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> targets.Target | None:
        """Chooses an engine that can take over a run.

        Args:
            exchange: The request.
            source: The engine that holds the run now.
            excluded: Ids of further targets that must not be used.

        Returns:
            The engine, or None if no suitable engine accepts requests.
        """
        return self.placer.choose_takeover_target(
            *self._placement_arguments(exchange, source),
            source,
            excluded,
            self._stream_needs(exchange),
        )

    def _stream_needs(
        self, exchange: exchanges.Exchange
    ) -> target_speeds.StreamNeeds | None:
        if exchange.service.engine is None:
            return None
        return self.admission.needs(exchange.service, exchange.demand)

    def check_stop(self, exchange: exchanges.Exchange) -> None:
        """Refuses a request that the stop of the process would cut off.

        A request that may have run is not refused, as the refusal would
        state that it has not run.

        Raises:
            DotterelweirError: The request is not expected to end before the
                process exits.
        """
        now_s = self.timers.monotonic_s()
        factor = self.duration_factors.for_service(exchange.service.name).value
        if exchange.may_have_run or self.stop_plan.may_begin(
            now_s, exchange.deadline_s, factor * exchange.expected_duration_s
        ):
            return
        raise errors.DotterelweirError(
            errors.ErrorKind.SHUTTING_DOWN,
            retry_after_s=stopping.RETRY_AFTER_S,
        )

    def has_retries(
        self, exchange: exchanges.Exchange, count: int, urgent: bool = True
    ) -> bool:
        """Whether retries are left for a run.

        Args:
            exchange: The request.
            count: Number of retries.
            urgent: Whether the run is lost without them.
        """
        count -= exchange.retries_ahead
        budget = self.budgets.for_service(exchange.service.name)
        return count <= 0 or budget.has_retry(
            self.timers.monotonic_s(), urgent=urgent, count=count
        )

    def take_retry_ahead(self, exchange: exchanges.Exchange) -> bool:
        """Takes a retry for a run that is about to be stopped.

        It counts at all instances from now on, and the request uses it when
        the run continues.

        Args:
            exchange: The request.

        Returns:
            Whether the request has a retry.
        """
        if exchange.retries_ahead:
            return True
        if not self.take_retry(exchange, urgent=True):
            return False
        exchange.retries_ahead += 1
        return True

    def take_retry(self, exchange: exchanges.Exchange, urgent: bool) -> bool:
        """Takes a retry, or uses the one that was taken ahead.

        Args:
            exchange: The request.
            urgent: Whether the request is lost without the retry.

        Returns:
            Whether there was one.
        """
        if exchange.retries_ahead:
            exchange.retries_ahead -= 1
            return True
        return self.budgets.take(
            exchange.service.name, self.timers.monotonic_s(), urgent
        )

    def is_limited(self, exchange: exchanges.Exchange) -> bool:
        """Whether a ready target of a service is sent requests by turns."""
        return any(
            self.limiter.is_limited(target)
            for target in self.placer.ready(self.candidates(exchange))
        )

    def _placement_arguments(
        self,
        exchange: exchanges.Exchange,
        source: targets.Target | None = None,
    ) -> tuple[list[targets.Target], tables.Service, int, float]:
        """Returns the first arguments of each choose method of the placer."""
        return (
            self.candidates(exchange, source),
            exchange.service,
            exchange.tokens,
            self.timers.monotonic_s(),
        )

    def request_queue(
        self, exchange: exchanges.Exchange
    ) -> waiting.RequestQueue:
        """Returns the queue in which a generation waits for an engine.

        Prefill-bound runs have a queue of their own. They hold memory only
        for a short time and must not wait behind a long run for which there
        is not enough memory.
        """
        service = exchange.service
        rate = self.admission.prefill_rate(service).tokens_per_s
        prefill_bound = exchange.demand.is_prefill_bound(rate)
        return self.queues.get(service.name, prefill_bound, exchange.ordered)

    def set_settings(self, settings: gateway_settings.GatewaySettings) -> None:
        """Replaces the settings and applies the bounds of the budgets."""
        self.settings = settings
        self.budgets.set_bounds(
            settings.repeat_ratio,
            settings.repeat_burst,
            settings.repeat_window_s,
        )
