"""Start, readiness and graceful shutdown of an instance."""

import asyncio
import logging

from aiohttp import web
import attrs

from dotterelweir_core import errors
from dotterelweir_core import timers as core_timers
from dotterelweir_core.membership import messages
from dotterelweird import dispatch
from dotterelweird import drain_times
from dotterelweird import lifecycle as lifecycle_module
from dotterelweird import metrics as metrics_module
from dotterelweird import notices
from dotterelweird import scopes
from dotterelweird import timers
from dotterelweird.admin import feed as admin_feed
from dotterelweird.callers import inflight
from dotterelweird.callers import port as callers_port
from dotterelweird.claims import service as claims_service
from dotterelweird.orders import service as orders_service
from dotterelweird.peers import service as peers_service
from dotterelweird.settings import model as settings_model
from dotterelweird.tables_service import service as tables_service
from dotterelweird.targets import monitor as target_monitor
from dotterelweird.targets import service as service_adapter

_READINESS_PERIOD_S = 0.05
_GAUGE_PERIOD_S = 1.0


class Readiness:
    """Decides whether the instance accepts new requests.

    Args:
        lifecycle: State machine of the instance.

    Attributes:
        grace_over: Whether the grace period is over in which a draining
            instance still accepts requests.
    """

    def __init__(self, lifecycle: lifecycle_module.Lifecycle) -> None:
        self._lifecycle = lifecycle
        self.grace_over = False

    def refusal(self) -> errors.ErrorKind | None:
        """Returns why new requests are refused, or None.

        An instance that stops before it was ready has no tables to route by,
        so it accepts nothing in the grace period.
        """
        in_grace = self._lifecycle.state == 'draining' and not self.grace_over
        if in_grace and self._lifecycle.has_been_ready:
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
class Components:
    """Components that an instance starts, stops and measures.

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
    """Starts, drains and stops the components of one instance.

    Args:
        components: The components.
    """

    def __init__(self, components: Components) -> None:
        self._components = components
        self._tables_task: asyncio.Task | None = None
        self._gauge_timer: core_timers.TimerHandle | None = None
        self._readiness_timer: core_timers.TimerHandle | None = None

    async def start(self) -> None:
        """Starts all components and listens on both ports.

        The instance becomes ready later, once the tables and the instance
        list were read.

        Raises:
            OSError: The instance cannot listen on one of its addresses.
        """
        components = self._components
        logging.getLogger().addHandler(components.feed)
        components.lifecycle.subscribe(self._update_state_metric)
        await components.peers.start()
        await _listen(components.admin, components.settings.admin_listen)
        await _listen(components.callers, components.settings.callers.listen)
        self._tables_task = asyncio.create_task(components.tables.run())
        components.dispatcher.start()
        components.claims.start()
        if components.orders is not None:
            components.orders.start()
        components.monitor.start()
        self._gauge_timer = components.timer.call_every(
            _GAUGE_PERIOD_S, self._update_gauges
        )
        self._readiness_timer = components.timer.call_every(
            _READINESS_PERIOD_S, self._check_ready
        )

    async def drain(self) -> None:
        """Finishes or hands over requests, then stops all components.

        New requests are accepted until the end of the grace period.
        """
        components = self._components
        settings, timer = components.settings, components.timer
        begun_s = timer.monotonic_s()
        times = drain_times.plan(
            settings.drain_grace_s, settings.drain_deadline_s
        )
        components.lifecycle.drain()
        if times.handover_s is not None:
            timer.call_after(times.handover_s, components.in_flight.hand_over)
        await timers.sleep(timer, times.grace_s)
        components.readiness.grace_over = True
        await self._finish_requests(times, begun_s)
        await self._stop(times, begun_s)

    async def _finish_requests(
        self, times: drain_times.DrainTimes, begun_s: float
    ) -> None:
        in_flight = self._components.in_flight
        if times.calls_end_s is None:
            await in_flight.wait_empty()
            await in_flight.wait_cleanup()
            return
        timer = self._components.timer
        remaining_s = times.calls_end_s - (timer.monotonic_s() - begun_s)
        timeout_error = errors.DotterelweirError(
            errors.ErrorKind.SHUTTING_DOWN
        )
        try:
            with scopes.deadline(timer, max(0.0, remaining_s), timeout_error):
                await in_flight.wait_empty()
                await in_flight.wait_cleanup()
        except errors.DotterelweirError:
            await in_flight.abort_calls()

    async def _stop(
        self, times: drain_times.DrainTimes, begun_s: float
    ) -> None:
        components = self._components
        for handle in (self._gauge_timer, self._readiness_timer):
            if handle is not None:
                handle.cancel()
        components.dispatcher.stop()
        await components.monitor.stop()
        if components.orders is not None:
            await components.orders.stop()
        await components.claims.stop(times.append_limit_s)
        if self._tables_task is not None:
            self._tables_task.cancel()
            await asyncio.gather(self._tables_task, return_exceptions=True)
        await components.peers.stop()
        elapsed_s = components.timer.monotonic_s() - begun_s
        await callers_port.close(
            components.callers,
            components.in_flight,
            components.timer,
            times.send_limit_s(elapsed_s),
        )
        await components.services.close()
        components.lifecycle.stop()
        await components.admin.cleanup()
        logging.getLogger().removeHandler(components.feed)

    def _check_ready(self) -> None:
        components = self._components
        if components.lifecycle.state != 'starting':
            self._readiness_timer.cancel()
        elif (
            components.tables.ready
            and components.target_notices.instance_list_read
        ):
            components.lifecycle.mark_ready()

    def _update_state_metric(self, state: str) -> None:
        for name in lifecycle_module.STATES:
            self._components.metrics.state.set(
                {'state': name}, int(name == state)
            )

    def _update_gauges(self) -> None:
        components = self._components
        metrics = components.metrics
        metrics.queue_requests.set({}, components.dispatcher.requests_waiting)
        metrics.running_requests.set(
            {}, components.dispatcher.attempts_running
        )
        metrics.table_revision.set({}, components.tables.tables.revision)
        age_s = components.tables.age_s
        if age_s is not None:
            metrics.table_age_s.set({}, age_s)
        members = components.peers.members()
        for state in messages.MemberState:
            count = sum(member.state is state for member in members)
            metrics.peers.set({'state': state.name.lower()}, count)
        # The number of live instances changes without an edit of the tables.
        components.limits.refresh()


async def _listen(
    runner: web.AppRunner, address: settings_model.Address
) -> None:
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
