"""Carries news of targets and instances between the parts that learn them."""

from collections.abc import Callable

from dotterelweir_core import timers
from dotterelweir_core.policy import scheduler as policy_scheduler
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model
from dotterelweir_core.targets import registry as target_registry
from dotterelweir_logservice import api as platform_api
from dotterelweird.peers import service as peers_service
from dotterelweird.settings import model as settings_model

ReportSubscriber = Callable[[model.LoadReport], None]


class TargetNotices:
    """Passes what targets and peers say on to the registry.

    Attributes:
        instance_list_read: Whether the instance list was read at least once.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        registry: target_registry.TargetRegistry,
    ) -> None:
        self._timer = timer
        self._registry = registry
        self._report_subscribers: list[ReportSubscriber] = []
        self.instance_list_read = False

    def subscribe_reports(self, subscriber: ReportSubscriber) -> None:
        """Passes load reports of peers on to a function."""
        self._report_subscribers.append(subscriber)

    def relay_peer_report(self, report: model.LoadReport) -> None:
        """Takes a load report that a peer has read."""
        for subscriber in self._report_subscribers:
            subscriber(report)

    def record_engine_answer(
        self, target: model.Target, state: model.TargetState, sent_s: float
    ) -> None:
        """Takes an engine's answer to a request sent at a time."""
        self._registry.record_answer(
            target, state, sent_s, self._timer.monotonic_s()
        )

    def record_service_state(
        self, target: model.Target, state: model.TargetState
    ) -> None:
        """Takes what a plain service says of itself."""
        self._registry.record_state(target, state, self._timer.monotonic_s())

    def record_peer_departure(self, target_id: str, incarnation: int) -> None:
        """Takes a peer's news that a target is leaving."""
        self._registry.record_leaving(
            target_id, incarnation, self._timer.monotonic_s()
        )

    def announce_departures_to(
        self, peers: peers_service.PeersService
    ) -> None:
        """Tells peers of leaving targets that others told this instance."""

        def announce(change: target_registry.Change) -> None:
            if (
                change.state is model.TargetState.LEAVING
                and change.source is not target_registry.Source.PEER
            ):
                peers.announce_leaving(
                    change.target.target_id, change.target.incarnation
                )

        self._registry.subscribe(announce)

    def record_instance_list(
        self,
        peers: peers_service.PeersService,
        rows: tuple[platform_api.ListedInstance, ...],
    ) -> None:
        """Takes the rows of entry instances of the instance list."""
        self.instance_list_read = True
        peers.set_listed_instances(rows)


class LimitShares:
    """Keeps the organisations' limits up to date in the scheduler.

    Each instance enforces its share: the limit divided by the number of
    instances that it knows to be alive, itself included.
    """

    def __init__(
        self,
        settings: settings_model.Limits,
        scheduler: policy_scheduler.PolicyScheduler,
        live_instances: Callable[[], tuple[str, ...]],
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._live_instances = live_instances
        self._rates: dict[str, float] = {}

    def apply_tables(self, tables: tables_model.Tables) -> None:
        """Takes the limits of new tables."""
        self._rates = {
            route.name: route.organisation_limit_tokens_per_s
            for route in tables.routes.values()
            if route.organisation_limit_tokens_per_s is not None
        }
        self.refresh()

    def refresh(self) -> None:
        """Divides the limits by the instances that are alive now."""
        count = max(
            self._settings.limit_instances_min, len(self._live_instances())
        )
        self._scheduler.set_limits(self._rates, max(1, count))
