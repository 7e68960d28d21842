"""Start, readiness and graceful shutdown of an instance."""

import asyncio
import logging

from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import timers as core_timers
from dotterelweir_core.membership import messages
from dotterelweird import dispatch
from dotterelweird import lifecycle as lifecycle_module
from dotterelweird import metrics as metrics_module
from dotterelweird import notices
from dotterelweird import timers
from dotterelweird.admin import feed as admin_feed
from dotterelweird.callers import inflight
from dotterelweird.claims import service as claims_service
from dotterelweird.orders import service as orders_service
from dotterelweird.peers import service as peers_service
from dotterelweird.settings import model as settings_model
from dotterelweird.tables_service import service as tables_service
from dotterelweird.targets import monitor as target_monitor
from dotterelweird.targets import service as service_adapter

_READINESS_PERIOD_S = 0.05
_GAUGE_PERIOD_S = 1.0
# Requests that are still running are handed over this long before the platform
# stops the process.
_HANDOVER_LEAD_S = 2.0


class Readiness:
    """Decides whether the instance accepts new requests.

    Attributes:
        grace_over: Whether the grace period is over in which a draining
            instance still accepts requests.
    """

    def __init__(self, lifecycle: lifecycle_module.Lifecycle) -> None:
        self._lifecycle = lifecycle
        self.grace_over = False

    def refusal(self) -> errors.ErrorKind | None:
        """Returns why new requests are refused, or None."""
        if self._lifecycle.state == 'draining' and not self.grace_over:
            return None
        return self.unready()

    def unready(self) -> errors.ErrorKind | None:
        """Returns why the balancer should send no requests, or None.

        A draining instance is unready at once, but accepts requests until
        the end of the grace period, because the balancer notices late.
        """
        match self._lifecycle.state:
            case 'ready':
                return None
            case 'draining' | 'stopped':
                return errors.ErrorKind.SHUTTING_DOWN
            case _:
                return errors.ErrorKind.NOT_READY


@attrs.frozen
class Parts:
    """The parts that an instance starts, stops and measures.

    Attributes:
        settings: Settings of the instance.
        timer: Clock and timers.
        lifecycle: State machine of the instance.
        readiness: Decides whether new requests are accepted.
        in_flight: Tracks the requests that are being answered.
        dispatcher: Places requests on targets.
        tables: Follows the configuration log.
        claims: Claims idempotency keys.
        orders: Sends orders to engines; None without a weight store.
        target_notices: Forwards notices about targets.
        monitor: Polls the targets.
        limits: This instance's share of the organisations' limits.
        peers: Runs the membership protocol.
        services: Adapter to plain services.
        metrics: Metrics of the process.
        feed: Feed of changes for operators.
        callers: HTTP server for callers.
        admin: HTTP server for operators.
    """

    settings: settings_model.Settings
    timer: timers.LoopTimerService
    lifecycle: lifecycle_module.Lifecycle
    readiness: Readiness
    in_flight: inflight.InFlight
    dispatcher: dispatch.Dispatcher
    tables: tables_service.TablesService
    claims: claims_service.ClaimsService
    orders: orders_service.OrdersService | None
    target_notices: notices.TargetNotices
    monitor: target_monitor.TargetMonitor
    limits: notices.LimitShares
    peers: peers_service.PeersService
    services: service_adapter.HttpServiceClient
    metrics: metrics_module.Metrics
    feed: admin_feed.ChangeFeed
    callers: web.AppRunner
    admin: web.AppRunner


class Instance:
    """Starts, drains and stops the parts of one instance."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._tables_task: asyncio.Task | None = None
        self._gauge_timer: core_timers.TimerHandle | None = None
        self._readiness_timer: core_timers.TimerHandle | None = None

    async def start(self) -> None:
        """Starts all parts and listens on both ports.

        The instance becomes ready later, once the tables and the instance
        list were read.

        Raises:
            OSError: The instance cannot listen on one of its addresses.
        """
        parts = self._parts
        logging.getLogger().addHandler(parts.feed)
        parts.lifecycle.subscribe(self._update_state_metric)
        await parts.peers.start()
        await _listen(parts.admin, parts.settings.admin_listen)
        await _listen(parts.callers, parts.settings.callers.listen)
        self._tables_task = asyncio.create_task(parts.tables.run())
        parts.dispatcher.start()
        parts.claims.start()
        if parts.orders is not None:
            parts.orders.start()
        parts.monitor.start()
        self._gauge_timer = parts.timer.call_every(
            _GAUGE_PERIOD_S, self._update_gauges
        )
        self._readiness_timer = parts.timer.call_every(
            _READINESS_PERIOD_S, self._check_ready
        )

    async def drain(self) -> None:
        """Finishes or hands over the running requests, then stops all parts.

        New requests are accepted until the end of the grace period.
        """
        parts = self._parts
        parts.lifecycle.drain()
        deadline_s = parts.settings.drain_deadline_s
        grace_s = parts.settings.drain_grace_s
        if deadline_s is not None:
            parts.timer.call_after(
                max(0.0, deadline_s - _HANDOVER_LEAD_S),
                parts.in_flight.hand_over,
            )
            grace_s = min(grace_s, deadline_s / 2)
        await timers.sleep(parts.timer, grace_s)
        parts.readiness.grace_over = True
        await parts.in_flight.wait_empty()
        await self._stop()

    async def _stop(self) -> None:
        parts = self._parts
        await parts.in_flight.close()
        for handle in (self._gauge_timer, self._readiness_timer):
            if handle is not None:
                handle.cancel()
        parts.dispatcher.stop()
        await parts.monitor.stop()
        if parts.orders is not None:
            await parts.orders.stop()
        await parts.claims.stop()
        if self._tables_task is not None:
            self._tables_task.cancel()
            await asyncio.gather(self._tables_task, return_exceptions=True)
        await parts.peers.stop()
        await parts.callers.cleanup()
        await parts.services.close()
        parts.lifecycle.stop()
        await parts.admin.cleanup()
        logging.getLogger().removeHandler(parts.feed)

    def _check_ready(self) -> None:
        parts = self._parts
        if parts.lifecycle.state != 'starting':
            self._readiness_timer.cancel()
        elif parts.tables.ready and parts.target_notices.instance_list_read:
            parts.lifecycle.mark_ready()

    def _update_state_metric(self, state: str) -> None:
        for name in lifecycle_module.STATES:
            self._parts.metrics.state.set({'state': name}, int(name == state))

    def _update_gauges(self) -> None:
        parts = self._parts
        metrics = parts.metrics
        metrics.queue_requests.set({}, parts.dispatcher.requests_waiting)
        metrics.running_requests.set({}, parts.dispatcher.attempts_running)
        metrics.table_revision.set({}, parts.tables.tables.revision)
        age_s = parts.tables.age_s
        if age_s is not None:
            metrics.table_age_s.set({}, age_s)
        members = parts.peers.members()
        for state in messages.MemberState:
            count = sum(member.state is state for member in members)
            metrics.peers.set({'state': state.name.lower()}, count)
        # The number of live instances changes without an edit of the tables.
        parts.limits.refresh()


async def _listen(
    runner: web.AppRunner, address: settings_model.Address
) -> None:
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
