"""Parts that the forwarding of requests shares."""

import functools
import random

import aiohttp
import attrs

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import waiting
from dotterelweird.gateway import api
from dotterelweird.gateway import bounded
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import releasing
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import statistics
from dotterelweird.gateway import stopping
from dotterelweird.gateway import watching


@attrs.define
class Forwarding:
    """Parts that the forwarding of requests shares.

    Attributes:
        settings: Settings of the process.
        timers: The timer service.
        session: HTTP client for targets.
        dialect: Names and formats of the platform.
        run_control: Control of runs at model engines.
        directory: The registered targets.
        loads: Load of each target.
        placer: Chooses targets.
        admission: Decides when a generation may be sent to an engine.
        statistics: Counters and histograms.
        rng: Random source.
        budgets: Budgets of retries.
        memory: Memory for answers that are read as a whole.
        notice_listener: Takes what a target says of itself in an answer.
        stop_plan: Whether the process stops, and until when.
        watch: Tells generations of changes of their targets.
        releaser: Frees copies of runs that nobody will use.
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
    memory: bounded.AnswerMemory
    notice_listener: api.NoticeListener
    stop_plan: stopping.StopPlan
    watch: watching.TargetWatch = attrs.field(factory=watching.TargetWatch)
    _request_queues: dict[tuple[str, bool], waiting.RequestQueue] = (
        attrs.field(factory=dict)
    )
    releaser: releasing.CopyReleaser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.releaser = releasing.CopyReleaser(
            self.run_control, self.timers, self.placer.pause_registry
        )

    def choose(
        self, exchange: exchanges.Exchange, excluded: set[str]
    ) -> placement.Choice | None:
        """Chooses a target for a request."""
        admits = None
        if exchange.service.engine is not None:
            admits = functools.partial(
                self.admission.admits,
                service=exchange.service,
                demand=exchange.demand,
                now_s=self.timers.monotonic_s(),
            )
        return self.placer.choose(
            *self._placement_arguments(exchange), excluded, admits
        )

    def has_capacity(self, exchange: exchanges.Exchange) -> bool:
        """Whether a generation need not wait for an engine."""
        now_s = self.timers.monotonic_s()
        usable = self.placer.usable(
            self.directory.of_service(exchange.service.name), now_s
        )
        return self.admission.has_capacity(
            usable, exchange.service, exchange.demand, now_s
        )

    def choose_backup(
        self, exchange: exchanges.Exchange, excluded: set[str]
    ) -> targets.Target | None:
        """Chooses where a copy of a run's memory is kept."""
        return self.placer.choose_backup(
            *self._placement_arguments(exchange), excluded
        )

    def choose_takeover_target(
        self,
        exchange: exchanges.Exchange,
        source: targets.Target,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> targets.Target | None:
        """Chooses an engine that can take over a run from its source."""
        return self.placer.choose_takeover_target(
            *self._placement_arguments(exchange), source, excluded
        )

    def check_stop(self, exchange: exchanges.Exchange) -> None:
        """Refuses a request that the stop of the process would cut off.

        One that may have run goes on: a refusal would say that it has not.

        Raises:
            DotterelweirError: The request would not end in time.
        """
        now_s = self.timers.monotonic_s()
        needed_s = exchange.expected_duration_s
        if not self.stop_plan.believes_hints(now_s):
            needed_s = exchange.longest_duration_s
        if exchange.may_have_run or self.stop_plan.may_finish(now_s, needed_s):
            return
        raise errors.DotterelweirError(
            errors.ErrorKind.SHUTTING_DOWN,
            retry_after_s=stopping.RETRY_AFTER_S,
        )

    def is_paused(self, target: targets.Target) -> bool:
        """Whether a target wants nothing from this instance now."""
        return self.placer.pause_registry.is_paused(
            target, self.timers.monotonic_s()
        )

    def _placement_arguments(
        self, exchange: exchanges.Exchange
    ) -> tuple[list[targets.Target], tables.Service, int, float]:
        """What every choice of the placer begins with."""
        return (
            self.directory.of_service(exchange.service.name),
            exchange.service,
            exchange.tokens,
            self.timers.monotonic_s(),
        )

    def request_queue(
        self, exchange: exchanges.Exchange
    ) -> waiting.RequestQueue:
        """The requests with which one waits for a service's engines.

        Brief runs have a line of their own: a long one that finds no memory
        must not keep them waiting, who need none for long.
        """
        service = exchange.service
        rate = self.admission.prefill_rate(service).tokens_per_s
        key = (service.name, exchange.demand.is_prefill_bound(rate))
        return self._request_queues.setdefault(key, waiting.RequestQueue())

    def set_settings(self, settings: gateway_settings.GatewaySettings) -> None:
        """Takes over changed settings."""
        self.settings = settings
        self.budgets.set_bounds(
            settings.repeat_ratio,
            settings.repeat_burst,
            settings.repeat_window_s,
        )
