"""Forwards notices about targets and instances between components."""

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
    """Forwards notices between the registry, the peers and the monitor.

    The notices are states of targets, load reports and the instance list.

    Args:
        timer: Clock and timers.
        registry: Holds the known targets and their states.

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
        """Calls a function with each load report received from a peer."""
        self._report_subscribers.append(subscriber)

    def relay_peer_report(self, report: model.LoadReport) -> None:
        """Passes a load report received from a peer to all subscribers."""
        for subscriber in self._report_subscribers:
            subscriber(report)

    def record_engine_answer(
        self, target: model.Target, state: model.TargetState, sent_s: float
    ) -> None:
        """Records the state that an engine reports in an answer.

        Args:
            target: The engine, with the incarnation that answered.
            state: Whether the engine accepts new work.
            sent_s: When the request was sent, in monotonic seconds.
        """
        self._registry.record_answer(
            target, state, sent_s, self._timer.monotonic_s()
        )

    def record_service_state(
        self, target: model.Target, state: model.TargetState
    ) -> None:
        """Records the state that a plain service reports in an answer.

        Args:
            target: The service that the request was addressed to.
            state: Whether the service accepts new work.
        """
        self._registry.record_state(target, state, self._timer.monotonic_s())

    def record_peer_leaving(self, target_id: str, incarnation: int) -> None:
        """Records that a target is leaving, as a peer announced.

        Args:
            target_id: Name of the leaving target.
            incarnation: Incarnation of the target that is leaving.
        """
        self._registry.record_leaving(
            target_id, incarnation, self._timer.monotonic_s()
        )

    def announce_leaving_to(self, peers: peers_service.PeersService) -> None:
        """Announces leaving targets, except those learned from peers."""

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
        """Passes the entry instances of the instance list to membership.

        Args:
            peers: Runs the membership protocol.
            rows: The rows of the list that are entry instances.
        """
        self.instance_list_read = True
        peers.set_listed_instances(rows)


class LimitShares:
    """Keeps this instance's share of each organisation limit up to date.

    The share is the limit divided by the number of instances that this one
    knows to be alive, itself included.

    Args:
        settings: Minimum number of instances that share the limits.
        scheduler: Enforces the share.
        live_instances: Returns the names of the live instances.
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
        """Applies the limits in new tables."""
        self._rates = {
            route.name: route.organisation_limit_tokens_per_s
            for route in tables.routes.values()
            if route.organisation_limit_tokens_per_s is not None
        }
        self.refresh()

    def refresh(self) -> None:
        """Divides the limits by the current number of live instances."""
        count = max(
            self._settings.limit_instances_min, len(self._live_instances())
        )
        self._scheduler.set_limits(self._rates, max(1, count))
