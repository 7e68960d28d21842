"""Updates the registry and the dispatcher with the state of targets."""

import asyncio
from collections.abc import Callable
import logging
import random

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.tables import model as tables_model
from dotterelweir_core.targets import model
from dotterelweir_core.targets import registry as target_registry
from dotterelweir_core.targets import watchers
from dotterelweir_logservice import api as platform_api
from dotterelweird import dispatch
from dotterelweird.settings import model as settings_model
from dotterelweird.targets import api as targets_api

LOG = logging.getLogger(__name__)

# Service name of the entry instances in the instance list.
INSTANCE_SERVICE = 'dotterelweir'
# Number of times per load period at which due polls are started, so that the
# polls are spread over the period.
TICKS_PER_PERIOD = 10

ListCallback = Callable[[tuple[platform_api.ListedInstance, ...]], None]


class TargetMonitor:
    """Reads the instance list and polls the load of watched targets."""

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        settings: settings_model.Settings,
        instance_list: platform_api.InstanceList,
        load_client: targets_api.LoadClient,
        registry: target_registry.TargetRegistry,
        dispatcher: dispatch.Dispatcher,
        tables: Callable[[], tables_model.Tables],
        live_instances: Callable[[str], tuple[str, ...]],
        on_list: ListCallback | None = None,
        on_report: Callable[[model.LoadReport], None] | None = None,
        on_leaving: Callable[[str, int], None] | None = None,
    ) -> None:
        """Creates the monitor; ``start`` begins to read and to poll.

        Args:
            timer: Clock and timers.
            rng: Random source of the jitter.
            settings: Settings of this instance.
            instance_list: The instance list of the platform.
            load_client: Client that reads load reports.
            registry: Registry of targets that is updated.
            dispatcher: Receives the targets of each pool and the load
                reports.
            tables: Returns the current tables.
            live_instances: Returns the ids of the live instances of an
                availability zone, or of all zones if its name is empty.
            on_list: Called after each read of the instance list with the
                rows of the entry instances.
            on_report: Called with each load report that this instance has
                polled, unless another target took over the address.
            on_leaving: Called with the name and incarnation of a target
                whose state has changed to leaving.
        """
        self._timer = timer
        self._rng = rng
        self._settings = settings
        self._instance_list = instance_list
        self._load_client = load_client
        self._registry = registry
        self._dispatcher = dispatcher
        self._tables = tables
        self._live_instances = live_instances
        self._on_list = on_list
        self._on_report = on_report
        self._on_leaving = on_leaving
        self._pool_targets: dict[str, tuple[model.Target, ...]] = {}
        self._poll_due_s: dict[str, float] = {}
        self._polls: dict[str, asyncio.Task] = {}
        self._list_read: asyncio.Task | None = None
        self._list_failed = False
        self._timer_handles: list[timers.TimerHandle] = []
        self._unsubscribe: Callable[[], None] | None = None

    def start(self) -> None:
        """Begins to read the list and to poll, on the running event loop."""
        self._unsubscribe = self._registry.subscribe(
            self._handle_target_change
        )
        self._start_list_read()
        self._timer_handles = [
            self._timer.call_every(
                self._settings.platform.instances_period_s,
                self._start_list_read,
                0.1,
                self._rng,
            ),
            self._timer.call_every(
                self._settings.targets.load_period_s / TICKS_PER_PERIOD,
                self._start_due_polls,
            ),
        ]

    async def stop(self) -> None:
        """Cancels all reads and polls and waits until they have ended."""
        for handle in self._timer_handles:
            handle.cancel()
        if self._unsubscribe is not None:
            self._unsubscribe()
            self._unsubscribe = None
        tasks = list(self._polls.values())
        if self._list_read is not None:
            tasks.append(self._list_read)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def refresh(self) -> None:
        """Passes the targets of each changed pool to the dispatcher."""
        pools = self._tables().pools
        for name in list(self._pool_targets):
            if name not in pools:
                del self._pool_targets[name]
                self._dispatcher.set_targets(name, ())
        for name, pool in pools.items():
            targets = self._registry.targets_for(pool)
            if self._pool_targets.get(name) != targets:
                self._pool_targets[name] = targets
                self._dispatcher.set_targets(name, targets)

    def record_peer_report(self, report: model.LoadReport) -> None:
        """Records a load report that a peer has polled and relayed.

        Args:
            report: The report; ignored if its target is unknown.
        """
        target = self._registry.get(report.target_id)
        if target is not None:
            self._record_report(target, report, target_registry.Source.PEER)

    def record_peer_leaving(self, target_id: str, incarnation: int) -> None:
        """Records that an incarnation is leaving, as a peer reported.

        Args:
            target_id: Name of the target.
            incarnation: The leaving incarnation.
        """
        self._registry.record_leaving(
            target_id, incarnation, self._timer.monotonic_s()
        )

    def is_watcher_of(self, target: model.Target) -> bool:
        """Returns whether this instance polls a target."""
        count = self._settings.targets.watchers_per_target
        if not count:
            return True
        # Instances of all zones watch the targets of a zone that has no live
        # instance.
        instances = self._live_instances(target.zone) or self._live_instances(
            ''
        )
        own = self._settings.instance_id
        if target.zone == self._settings.zone or not instances:
            instances = tuple({*instances, own})
        chosen = watchers.choose_watchers(target.target_id, instances, count)
        return own in chosen

    def _handle_target_change(self, change: target_registry.Change) -> None:
        events.log(
            LOG,
            events.TARGET_STATE_CHANGED,
            target_id=change.target.target_id,
            incarnation=change.target.incarnation,
            state=change.state.value,
            source=change.source.value,
        )
        self.refresh()
        if (
            change.state is model.TargetState.LEAVING
            and self._on_leaving is not None
        ):
            self._on_leaving(
                change.target.target_id, change.target.incarnation
            )

    def _start_list_read(self) -> None:
        if self._list_read is None or self._list_read.done():
            self._list_read = asyncio.get_running_loop().create_task(
                self._read_list()
            )

    async def _read_list(self) -> None:
        try:
            rows = await self._instance_list.fetch()
        except errors.DotterelweirError as error:
            if not self._list_failed:
                self._list_failed = True
                events.log(
                    LOG, events.INSTANCE_LIST_UNREACHABLE, reason=str(error)
                )
            return
        if self._list_failed:
            self._list_failed = False
            events.log(LOG, events.INSTANCE_LIST_REACHABLE)
        self._registry.record_list(
            (
                (row.target, row.state)
                for row in rows
                if row.target.service != INSTANCE_SERVICE
            ),
            self._timer.monotonic_s(),
        )
        self.refresh()
        if self._on_list is not None:
            self._on_list(
                tuple(
                    row
                    for row in rows
                    if row.target.service == INSTANCE_SERVICE
                )
            )

    def _start_due_polls(self) -> None:
        now_s = self._timer.monotonic_s()
        period_s = self._settings.targets.load_period_s
        known_targets = self._registry.all()
        for removed_id in self._poll_due_s.keys() - {
            t.target_id for t in known_targets
        }:
            del self._poll_due_s[removed_id]
        for target in known_targets:
            name = target.target_id
            due_s = self._poll_due_s.setdefault(
                name, now_s + self._rng.uniform(0.0, period_s / 2)
            )
            if due_s > now_s or name in self._polls:
                continue
            self._poll_due_s[name] = max(
                due_s + period_s, now_s + period_s / 2
            )
            if self.is_watcher_of(target):
                self._polls[name] = asyncio.get_running_loop().create_task(
                    self._poll(target)
                )
        self.refresh()

    async def _poll(self, target: model.Target) -> None:
        sent_s = self._timer.monotonic_s()
        try:
            report = await self._load_client.load(
                target, self._settings.targets.load_timeout_s
            )
        except errors.DotterelweirError as error:
            events.log(
                LOG,
                events.LOAD_REPORT_FAILED,
                target_id=target.target_id,
                reason=str(error),
            )
            return
        finally:
            self._polls.pop(target.target_id, None)
        self._record_report(
            target, report, target_registry.Source.ANSWER, sent_s
        )
        if self._on_report is not None and report.target_id == (
            target.target_id
        ):
            self._on_report(report)

    def _record_report(
        self,
        target: model.Target,
        report: model.LoadReport,
        source: target_registry.Source,
        sent_s: float | None = None,
    ) -> None:
        now_s = self._timer.monotonic_s()
        self._registry.record_report(
            target,
            report,
            now_s if sent_s is None else sent_s,
            now_s,
            source,
        )
        current = self._registry.get(target.target_id)
        if current is not None and current.incarnation == report.incarnation:
            self._dispatcher.record_report(report)
