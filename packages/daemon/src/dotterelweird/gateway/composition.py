"""The composition root of the gateway."""

import asyncio
from collections.abc import Callable
import logging
import math
import random
import signal
import sys
import time
from typing import Any

from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core import timers as core_timers
from dotterelweir_core.gateway import admission
from dotterelweir_core.gateway import brittleness
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import memory_account
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import pauses
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import reading
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import turns
from dotterelweird import lifecycle
from dotterelweird import log_output
from dotterelweird import logs
from dotterelweird import timers
from dotterelweird.gateway import answer_bodies
from dotterelweird.gateway import api
from dotterelweird.gateway import caller_server
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import digests
from dotterelweird.gateway import discovery
from dotterelweird.gateway import end_detection
from dotterelweird.gateway import findings as finding_exchange
from dotterelweird.gateway import following
from dotterelweird.gateway import keepers
from dotterelweird.gateway import limiting
from dotterelweird.gateway import notices
from dotterelweird.gateway import origins
from dotterelweird.gateway import peer_forwarding
from dotterelweird.gateway import peer_state
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import peers
from dotterelweird.gateway import prompt_guard
from dotterelweird.gateway import reaching
from dotterelweird.gateway import request_guard
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import statistics
from dotterelweird.gateway import status
from dotterelweird.gateway import stopping
from dotterelweird.gateway import target_client
from dotterelweird.gateway import trials
from dotterelweird.gateway.callers import listening
from dotterelweird.gateway.callers import memory as caller_memory
from dotterelweird.gateway.sending import evacuating
from dotterelweird.gateway.sending import pacing

LOG = logging.getLogger(__name__)

# Shortest time between a read of a store stream by any instance and the next
# read, and upper bound of the random time that is added, in seconds. Their sum
# bounds the staleness of an instance that receives no reports from others: by
# 0.9 s for the tables and 0.65 s for the targets. The sum and a call must take
# less than the time within which every instance must know of a superseded
# version or a draining target.
_TABLES_INTERVAL_MIN_S = 0.3
_TABLES_JITTER_MAX_S = 0.6
_TARGETS_INTERVAL_MIN_S = 0.15
_TARGETS_JITTER_MAX_S = 0.5
# Longest wait of a stream that a caller takes up for a read of the targets, in
# seconds. A slow store answers within 0.4 s.
_CONFIRM_TIMEOUT_S = 0.5
# Interval of the checks whether the settings have changed without a signal, in
# seconds.
_SETTINGS_CHECK_S = 2.0
# Interval of the checks whether a stopping process may exit, in seconds.
_STOP_POLL_INTERVAL_S = 0.05
# Maximum number of services in a line of the log.
_SERVICES_LOGGED = 32
# Time that the caller server gives requests in flight when it is shut down, in
# seconds.
_SHUTDOWN_TIMEOUT_S = 0.05


async def run(
    load_settings: Callable[[], gateway_settings.GatewaySettings],
    adapter: api.Adapter,
) -> None:
    """Runs a gateway until a stop is requested and the gateway has drained.

    Args:
        load_settings: Reads the settings; called again at each reload.
        adapter: The platform's adapter.

    Raises:
        DotterelweirError: The settings are invalid.
    """
    settings = load_settings()
    output = log_output.BoundedOutput(sys.stdout.fileno(), time.monotonic)
    logs.configure('INFO', settings.instance_id, settings.zone, output)
    gateway = Gateway(settings, adapter, load_settings)
    await gateway.run()


class Gateway:
    """Creates and connects the components of a gateway process.

    Args:
        settings: Settings of the process.
        adapter: The platform's adapter.
        load_settings: Reads the settings; called at each reload.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        adapter: api.Adapter,
        load_settings: Callable[[], gateway_settings.GatewaySettings],
    ) -> None:
        self._load_settings = load_settings
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._timers = timers.LoopTimerService(loop)
        self._rng = random.Random()
        self._lifecycle = lifecycle.Lifecycle()
        self._stop_plan = stopping.StopPlan(settings.grace_s)
        self._statistics = statistics.Statistics()
        self._session = target_client.open_session()
        self._store_session = target_client.open_store_session()
        self._peer_session = target_client.open_session()
        self._directory = targets.TargetDirectory()
        self._loads = load.LoadRegistry()
        self._caller_memory = caller_memory.CallerMemory(
            memory_account.MemoryAccount.for_process(
                settings.memory_bytes, settings.fds_max
            ),
            self._timers,
            self._rng,
            self._statistics.memory_refusals,
            self._statistics.closed_callers,
        )
        self._readiness = memory_account.ReadinessLimiter()
        pause_registry = pauses.PauseRegistry()
        brittle = brittleness.BrittleServices()
        self._evacuations = evacuations.EvacuationRegistry()
        limiter = limiting.TargetLimiter(
            settings.instance_id,
            self._timers,
            self._statistics,
            self._send_to_peer,
            self._broadcast,
            self._view_peers,
            pace.PaceRegistry(settings.pace),
        )
        self._pace = pacing.PaceKeeper(
            limiter,
            self._directory,
            self._loads,
            self._timers,
            self._statistics,
            lambda: self._followers[api.StoreStream.TARGETS].has_state,
        )
        self._origins = origins.StreamOrigins(
            self._timers,
            self._statistics,
            self._directory,
            self._targets_age_s,
            self._confirm_targets,
            self._send_to_peer,
            self._view_peers,
        )
        self._reach = reaching.ReachKeeper(
            self._timers,
            self._rng,
            self._directory,
            self._statistics,
            lambda: self._peers.view().taking_count,
            lambda: self._peers.view().is_informed,
        )
        dialect = adapter.dialect()
        self._ready_path = dialect.ready_path
        trial_turns = trials.TrialTurns(
            settings.instance_id, self._timers, self._view_peers
        )
        memory = answer_bodies.AnswerMemory(self._caller_memory)
        self._forwarder = peer_forwarding.PeerForwarder(
            settings.zone,
            settings.forwarding_port,
            self._timers,
            self._rng,
            self._peer_session,
            dialect,
            memory,
            self._reach,
            self._view_peers,
            self._statistics,
        )
        self._parts = dependencies.Forwarding(
            settings,
            self._timers,
            self._session,
            dialect,
            adapter.run_control(self._session, self._handle_notice),
            self._directory,
            self._loads,
            placement.Placer(
                settings.zone,
                self._loads,
                self._rng,
                pause_registry,
                limiter.limits,
                self._evacuations,
                brittle,
                self._deal_places,
            ),
            admission.Admission(self._loads),
            self._statistics,
            self._rng,
            retry_budget.BudgetRegistry(
                settings.repeat_ratio,
                settings.repeat_burst,
                settings.repeat_window_s,
            ),
            memory,
            self._caller_memory,
            self._handle_notice,
            self._stop_plan,
            prompt_guard.PromptGuard(
                self._timers, self._statistics, self._rng, trial_turns
            ),
            limiter,
            request_guard.RequestGuard(
                self._timers, self._statistics, self._rng, trial_turns
            ),
            end_detection.EndDetector(
                self._timers,
                self._reach,
                self._statistics,
                self._directory,
                lambda: (
                    self._followers[api.StoreStream.TARGETS].store_available
                ),
            ),
            self._pace,
            self._origins,
            self._reach,
            self._forwarder,
        )
        store = adapter.store(self._store_session)
        self._tables = keepers.TablesKeeper(store, self._evacuations)
        self._targets = keepers.TargetsKeeper(
            store, self._directory, self._timers, settings.settle_s
        )
        self._targets.subscribe(self._parts.departure_times.record)
        self._targets.subscribe(self._parts.watch.notify)
        self._targets.subscribe(self._discard_removed_load)
        self._targets.subscribe(self._record_warm_up)
        self._targets.subscribe(self._pace.apply_change)
        self._targets.subscribe(self._origins.apply_change)
        self._targets.subscribe(self._parts.end_detector.apply_change)
        self._targets.subscribe_snapshots(self._origins.begin)
        self._targets.subscribe_registrations(self._pace.record_registration)
        self._tables.subscribe(self._record_tables_version)
        self._evacuations.subscribe(self._notify_watchers)
        self._evacuations.subscribe(self._pace_restored_targets)
        self._evacuations.subscribe(
            evacuating.EvacuationReporter(
                self._evacuations, self._directory, self._statistics
            ).report
        )
        self._tables.subscribe(self._pace.apply_tables)
        findings = finding_exchange.FindingExchange(
            self._timers,
            self._rng,
            self._directory.departures,
            self._parts.prompt_guard,
            self._parts.request_guard,
            limiter,
            self._origins,
            self._send_to_peer,
            self._broadcast,
            self._evacuations,
        )
        self._tables.subscribe_evacuations(findings.send_finding)
        self._peers = peers.PeerExchange(
            settings,
            self._timers,
            self._rng,
            self._loads,
            self._parts.budgets,
            self._store_session,
            self._apply_peer_batch,
            self._targets.apply_departure,
            self._collect_reports,
            self._handle_peer_reports,
            findings,
            self._parts.queues,
            lambda: self._is_ready() and not self._reach.is_lost,
        )
        self._discovery = discovery.Discovery(
            settings.instance_id,
            settings.callers.host,
            store,
            self._timers,
            self._rng,
            self._peers,
            self._statistics,
        )
        self._notices = notices.NoticeHandler(
            self._targets,
            pause_registry,
            limiter,
            self._pace,
            self._peers,
            brittle,
            self._timers,
            self._statistics,
        )
        self._loads.subscribe(self._peers.schedule_digest)
        self._reach.subscribe(self._peers.schedule_digest)
        self._parts.budgets.subscribe(self._peers.schedule_digest)
        self._parts.queues.subscribe(self._peers.schedule_digest)
        self._parts.prompt_guard.subscribe(findings.send_finding)
        self._parts.request_guard.subscribe(findings.send_finding)
        self._parts.end_detector.subscribe(
            self._parts.request_guard.report_end
        )
        self._parts.end_detector.subscribe(self._parts.prompt_guard.report_end)
        self._parts.end_detector.subscribe_returns(
            self._parts.request_guard.retract_end
        )
        self._parts.end_detector.subscribe_returns(
            self._parts.prompt_guard.retract_end
        )
        self._followers = {
            stream: following.StreamFollower(
                store,
                stream,
                self._timers,
                schedule,
                keeper,
                self._peers,
                self._statistics,
            )
            for stream, schedule, keeper in (
                (
                    api.StoreStream.TABLES,
                    reading.ReadSchedule(
                        _TABLES_INTERVAL_MIN_S, _TABLES_JITTER_MAX_S, self._rng
                    ),
                    self._tables,
                ),
                (
                    api.StoreStream.TARGETS,
                    reading.ReadSchedule(
                        _TARGETS_INTERVAL_MIN_S,
                        _TARGETS_JITTER_MAX_S,
                        self._rng,
                    ),
                    self._targets,
                ),
            )
        }
        self._ordered_services: frozenset[str] = frozenset()
        self._follower_tasks: list[asyncio.Task] = []
        self._servers: list[asyncio.Server] = []
        self._pace_timer: core_timers.TimerHandle | None = None
        self._settings_timer: core_timers.TimerHandle | None = None
        self._reload_problem = ''
        self._answers_timer: core_timers.TimerHandle | None = None
        self._callers = caller_server.CallerServer(self._parts, self._tables)

    async def run(self) -> None:
        """Serves until a stop is requested and the gateway has drained."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        while not self._may_exit():
            await timers.sleep(self._timers, _STOP_POLL_INTERVAL_S)
        await self.close()

    def _may_exit(self) -> bool:
        return self._stop_plan.stopping and self._stop_plan.may_exit(
            self._timers.monotonic_s(), self._callers.unfinished
        )

    async def start(self) -> None:
        """Opens the listeners and starts to follow the store."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        events.log(
            LOG, events.GATEWAY_STARTED, instance_id=settings.instance_id
        )
        self._pace_timer = self._timers.call_every(
            pacing.PERIOD_S, self._pace.update
        )
        self._settings_timer = self._timers.call_every(
            _SETTINGS_CHECK_S, self._check_settings
        )
        self._follower_tasks = [
            asyncio.create_task(follower.run())
            for follower in self._followers.values()
        ]
        self._follower_tasks.append(self._discovery.start())
        self._servers = [
            await listening.listen(
                self._callers.server,
                settings.callers.host,
                settings.callers.port,
                self._caller_memory.account.connections_max,
            ),
            await self._start_http_server(settings.ready, self._answer_ready),
            await self._start_http_server(
                gateway_settings.Address(
                    settings.callers.host, settings.peers_port
                ),
                self._answer_peer,
            ),
        ]
        if settings.forwarding_port is not None:
            self._servers.append(
                await listening.listen(
                    self._callers.server,
                    settings.callers.host,
                    settings.forwarding_port,
                    self._caller_memory.account.connections_max,
                )
            )
        if settings.metrics is not None:
            self._servers.append(
                await self._start_http_server(
                    settings.metrics, self._answer_metrics
                )
            )
        await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=(settings.callers.host, settings.peers_port),
        )

    async def close(self) -> None:
        """Stops listening, finishes accepted requests and closes sessions."""
        for server in self._servers:
            server.close()
        for follower in self._follower_tasks:
            follower.cancel()
        for timer in (self._pace_timer, self._settings_timer):
            if timer is not None:
                timer.cancel()
        self._peers.close()
        self._reach.close()
        self._lifecycle.stop()
        await self._drain_accepted()
        if self._answers_timer is not None:
            self._answers_timer.cancel()
        self._stop_plan.closing = True
        events.log(
            LOG,
            events.GATEWAY_CLOSING,
            stopping_for_s=round(
                self._stop_plan.stopping_for_s(self._timers.monotonic_s()), 4
            ),
            running=self._callers.running,
        )
        # A request may still be read until its connection is closed.
        self._callers.break_off()
        self._callers.server.close_idle()
        await self._callers.server.shutdown(_SHUTDOWN_TIMEOUT_S)
        await self._session.close()
        await self._peer_session.close()
        await self._store_session.close()

    async def _drain_accepted(self) -> None:
        """Waits for requests that arrived while the process decided to exit.

        Their connections are closed with the answers, so that no further
        requests follow. The wait ends with the grace time at the latest.
        """
        while self._callers.unfinished and not self._stop_plan.must_exit(
            self._timers.monotonic_s()
        ):
            await timers.sleep(self._timers, _STOP_POLL_INTERVAL_S)

    @property
    def tables_version(self) -> int | None:
        """Version of the tables in force; None before the first tables."""
        tables = self._tables.current
        return tables.version if tables else None

    def _discard_removed_load(self, change: targets.TargetChange) -> None:
        if change.after is None:
            self._loads.speeds.discard(change.target_id)
            self._loads.discard_if_unused(change.target_id)

    def _notify_watchers(
        self, evacuation: evacuations.Evacuation, change: evacuations.Change
    ) -> None:
        """Tells generations that a target of theirs was evacuated."""
        if change is not evacuations.Change.EVACUATED:
            return
        for target in list(self._directory.targets.values()):
            if target.zone == evacuation.zone:
                self._parts.watch.notify(
                    targets.TargetChange(target.target_id, target, target)
                )

    def _pace_restored_targets(
        self, evacuation: evacuations.Evacuation, change: evacuations.Change
    ) -> None:
        """Takes the targets of a restored zone to be cold."""
        if change is not evacuations.Change.RESTORED:
            return
        for target in list(self._directory.targets.values()):
            if target.zone == evacuation.zone:
                self._pace.begin_cold(target)

    def _record_warm_up(self, change: targets.TargetChange) -> None:
        target = change.after
        if target is not None and target.warm_up_left_s > 0:
            target_load = self._loads.get(change.target_id)
            now_s = self._timers.monotonic_s()
            target_load.warm_until_s = now_s + target.warm_up_left_s

    def _deal_places(self, target: targets.Target) -> brittleness.Places:
        """Returns the places of a brittle target for this instance."""
        view = self._peers.view()
        others = [peer.instance_id for peer in view.peers]
        return brittleness.deal_places(
            target.slots,
            (len(others) + 1) / view.reachable_share,
            turns.rank_of(
                self._settings.instance_id, others, target.target_id
            ),
        )

    def _targets_age_s(self) -> float:
        """Returns the time since the targets were confirmed, in seconds."""
        report = self._followers[api.StoreStream.TARGETS].report
        return report.age_s if report is not None else math.inf

    async def _confirm_targets(self, since_s: float) -> bool:
        """Waits for a read of the targets that began after a time."""
        follower = self._followers[api.StoreStream.TARGETS]
        return await follower.confirm(since_s, _CONFIRM_TIMEOUT_S)

    def _collect_reports(self) -> peers.Reports:
        return {
            stream: report
            for stream, follower in self._followers.items()
            if (report := follower.report) is not None
        }

    def _handle_notice(
        self,
        target: targets.Target,
        notice: api.TargetNotice,
        sent_s: float | None = None,
    ) -> None:
        self._notices.handle(target, notice, sent_s)

    def _send_to_peer(self, host: str, message: digests.Message) -> None:
        self._peers.send_to(host, message)

    def _broadcast(self, message: digests.Message) -> None:
        self._peers.send_to_all(message)

    def _view_peers(self) -> peer_view.PeerView:
        return self._peers.view()

    def _apply_peer_batch(self, batch: api.Batch) -> None:
        self._followers[api.StoreStream.TARGETS].apply_record_notice(batch)

    def _handle_peer_reports(self, host: str, reports: peers.Reports) -> None:
        for stream, report in reports.items():
            self._followers[stream].handle_report(host, report)

    async def _start_http_server(
        self, address: gateway_settings.Address, handler
    ) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            web.Server(handler, access_log=None), address.host, address.port
        )

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._ready_path:
            return web.Response(status=404)
        ready = (
            self._is_ready()
            and self._has_memory()
            and not self._forwarder.is_active
        )
        return web.Response(status=200 if ready else 503)

    def _has_memory(self) -> bool:
        used_share = self._caller_memory.account.used_share
        ready = self._readiness.is_ready(
            used_share, self._timers.monotonic_s()
        )
        if not ready:
            self._caller_memory.log.log(
                events.MEMORY_UNREADY, '', used_share=round(used_share, 3)
            )
        return ready

    def _is_ready(self) -> bool:
        if self._stop_plan.stopping or self._tables.current is None:
            return False
        return self._followers[api.StoreStream.TARGETS].has_state

    async def _answer_peer(self, request: web.BaseRequest) -> web.Response:
        """Serves stream state to other instances, and the status document."""
        if request.path == status.PATH:
            return web.json_response(self._status())
        name = request.path.removeprefix(peer_state.PATH)
        for stream, follower in self._followers.items():
            report = follower.report
            if (
                name == stream.value
                and report is not None
                and report.fingerprint
            ):
                body = digests.encode_batch(follower.state())
                return web.Response(body=body)
        return web.Response(status=404)

    def _status(self) -> dict[str, Any]:
        now_s = self._timers.monotonic_s()
        return {
            'instance_id': self._settings.instance_id,
            'zone': self._settings.zone,
            'ready': self._is_ready(),
            'stopping': self._stop_plan.stopping,
            'running': self._callers.running,
            'tables_version': self.tables_version,
            'streams': {
                stream.value: status.stream_row(follower)
                for stream, follower in self._followers.items()
            },
            'evacuated_zones': sorted(self._evacuations.zones),
            'targets': status.target_rows(
                self._directory, self._loads, self._parts.limiter.pace, now_s
            ),
            'peers': self._peers.status_rows(),
            'queues': status.queue_rows(self._parts.queues, now_s),
        }

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        self._statistics.caller_bytes.set(
            {}, self._caller_memory.account.held_bytes
        )
        body, headers = self._statistics.render(
            request.headers.get('Accept', '')
        )
        return web.Response(body=body, headers=headers)

    def begin_stop(self) -> None:
        """Starts to drain: readiness fails and requests in flight finish."""
        if not self._stop_plan.stopping:
            self._stop_plan.stop_requested_s = self._timers.monotonic_s()
            self._lifecycle.drain()
            self._follower_tasks.append(
                asyncio.create_task(self._discovery.leave())
            )
            self._peers.schedule_digest()
            self._schedule_last_answers()

    def _schedule_last_answers(self) -> None:
        if self._answers_timer is not None:
            self._answers_timer.cancel()
        delay_s = self._stop_plan.answers_due_s - self._timers.monotonic_s()
        self._answers_timer = self._timers.call_after(
            max(0.0, delay_s), self._callers.answer_pending
        )

    def _record_tables_version(self, tables: gateway_tables.Tables) -> None:
        if tables.ordered_services != self._ordered_services:
            self._ordered_services = tables.ordered_services
            events.log(
                LOG,
                events.SERVICE_ORDER_CHANGED,
                services=sorted(tables.ordered_services)[:_SERVICES_LOGGED],
            )
        self._statistics.tables_version.set({}, tables.version)

    def _check_settings(self) -> None:
        """Applies settings that have changed without a signal."""
        try:
            settings = self._load_settings()
        except errors.DotterelweirError as exc:
            if exc.detail != self._reload_problem:
                self._reload_problem = exc.detail
                events.log(
                    LOG, events.GATEWAY_RELOAD_FAILED, reason=exc.detail
                )
            return
        self._reload_problem = ''
        if settings != self._parts.settings:
            self._apply_settings(settings)

    def _reload(self) -> None:
        """Reads the settings again."""
        try:
            settings = self._load_settings()
        except errors.DotterelweirError as exc:
            events.log(LOG, events.GATEWAY_RELOAD_FAILED, reason=exc.detail)
            return
        self._apply_settings(settings)

    def _apply_settings(
        self, settings: gateway_settings.GatewaySettings
    ) -> None:
        """Applies changed settings.

        The grace time, the bounds of the retry budgets, the settings of the
        pace and the seeds take effect.
        """
        self._stop_plan.grace_s = settings.grace_s
        if self._stop_plan.stopping:
            self._schedule_last_answers()
        self._parts.set_settings(settings)
        self._pace.apply_settings(settings.pace)
        self._peers.set_seeds(settings.seed_hosts)
        events.log(LOG, events.GATEWAY_RELOADED, grace_s=settings.grace_s)
