"""The composition root: creates and connects an instance's components."""

import asyncio
import functools
import logging
import os
import random
import signal

import aiohttp
from aiohttp import web

from dotterelweir_core import events
from dotterelweir_core.delivery import resume
from dotterelweir_core.delivery import retries
from dotterelweir_core.policy import scheduler as policy_scheduler
from dotterelweir_core.policy import settings as policy_settings
from dotterelweir_core.tables import matching
from dotterelweir_core.targets import registry as target_registry
from dotterelweir_logservice import http as platform_http
from dotterelweird import dispatch
from dotterelweird import instance as instance_module
from dotterelweird import lifecycle as lifecycle_module
from dotterelweird import logs
from dotterelweird import metrics as metrics_module
from dotterelweird import notices
from dotterelweird import timers
from dotterelweird.admin import feed as admin_feed
from dotterelweird.admin import queries as admin_queries
from dotterelweird.admin import server as admin_server
from dotterelweird.callers import api as callers_api
from dotterelweird.callers import inflight
from dotterelweird.callers import server as callers_server
from dotterelweird.callers import service_attempts
from dotterelweird.callers import service_calls
from dotterelweird.claims import service as claims_service
from dotterelweird.orders import inputs as order_inputs
from dotterelweird.orders import leases as lease_manager
from dotterelweird.orders import service as orders_service
from dotterelweird.peers import service as peers_service
from dotterelweird.peers import snapshots
from dotterelweird.settings import model as settings_model
from dotterelweird.tables_service import service as tables_service
from dotterelweird.targets import engine as engine_adapter
from dotterelweird.targets import monitor as target_monitor
from dotterelweird.targets import orders as orders_adapter
from dotterelweird.targets import service as service_adapter

LOG = logging.getLogger(__name__)

# Event numbers that ``dotterelweir watch`` shows to operators: lifecycle,
# tables, targets and members.
_WATCHED_EVENTS = frozenset(
    number
    for number, event in events.CATALOGUE.items()
    if number // 100 in (1, 3, 4, 6) and event.level >= logging.INFO
)

# SIGHUP, which a closed terminal sends, would otherwise end the process at
# once. An instance reads its settings only at its start, so it reloads none.
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Composition:
    """Creates one instance's components; needs a running event loop.

    Args:
        settings: Settings of the instance.
        platform_session: HTTP session for the services of the platform.
        target_session: HTTP session for engines and load reports.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        platform_session: aiohttp.ClientSession,
        target_session: aiohttp.ClientSession,
    ) -> None:
        self._settings = settings
        self._platform_session = platform_session
        self._target_session = target_session
        seed = settings.seed
        self._rng = random.Random(seed if seed is not None else os.urandom(16))
        self._timer = timers.LoopTimerService(asyncio.get_running_loop())
        self._metrics = metrics_module.Metrics()
        self._lifecycle = lifecycle_module.Lifecycle()
        self._readiness = instance_module.Readiness(self._lifecycle)
        self._in_flight = inflight.InFlight()
        self._registry = target_registry.TargetRegistry()
        self._target_notices = notices.TargetNotices(
            self._timer, self._registry
        )

    def build(self) -> instance_module.Instance:
        """Creates and connects all components."""
        log = platform_http.HttpLogClient(
            self._platform_session,
            self._settings.platform.log_url,
            self._settings.platform.log_timeout_s,
        )
        tables, peers = self._build_tables_and_peers(log)
        claims = claims_service.ClaimsService(
            log,
            self._timer,
            self._rng,
            self._settings.platform,
            self._settings.claims,
        )
        scheduler = self._build_scheduler()
        dispatcher = dispatch.Dispatcher(
            scheduler, self._timer, self._settings.targets.load_timeout_s
        )
        monitor = self._build_monitor(tables, peers, dispatcher)
        limits = notices.LimitShares(
            self._settings.limits, scheduler, peers.live_instances
        )
        tables.subscribe(limits.apply_tables)
        tables.subscribe(lambda _: monitor.refresh())
        services = service_adapter.HttpServiceClient(
            self._settings.delivery.connect_timeout_s
        )
        feed = admin_feed.ChangeFeed(_WATCHED_EVENTS)
        return instance_module.Instance(
            instance_module.Components(
                settings=self._settings,
                timer=self._timer,
                lifecycle=self._lifecycle,
                readiness=self._readiness,
                in_flight=self._in_flight,
                dispatcher=dispatcher,
                tables=tables,
                claims=claims,
                orders=self._build_orders(log, tables),
                target_notices=self._target_notices,
                monitor=monitor,
                limits=limits,
                peers=peers,
                services=services,
                metrics=self._metrics,
                feed=feed,
                callers=self._build_callers(
                    tables, dispatcher, services, claims
                ),
                admin=self._build_admin(tables, dispatcher, peers, feed),
            )
        )

    def _build_orders(
        self,
        log: platform_http.HttpLogClient,
        tables: tables_service.TablesService,
    ) -> orders_service.OrdersService | None:
        platform = self._settings.platform
        # Orders make engines load models. Loads without the rate limit of
        # the weight store could stop the whole store.
        if not platform.weights_url:
            return None
        return orders_service.OrdersService(
            self._timer,
            lease_manager.LeaseManager(log, self._timer, self._rng, platform),
            order_inputs.RegistryInputs(lambda: tables.tables, self._registry),
            orders_adapter.HttpOrderClient(self._target_session),
            platform_http.HttpWeightStore(
                self._platform_session,
                platform.weights_url,
                platform.log_timeout_s,
            ),
        )

    def _build_tables_and_peers(
        self, log: platform_http.HttpLogClient
    ) -> tuple[tables_service.TablesService, peers_service.PeersService]:
        # The two depend on each other: peers serve snapshots of the tables,
        # and the tables are fetched from peers while the log is unreadable.
        client = snapshots.SnapshotClient(
            self._timer,
            self._settings.peers.keys,
            lambda min_offset: peers.snapshot_candidates(min_offset),
        )
        tables = tables_service.TablesService(
            log,
            self._timer,
            self._rng,
            tables_service.TablesOptions.from_settings(
                self._settings.platform
            ),
            client,
        )
        peers = peers_service.PeersService(
            self._timer,
            self._rng,
            self._settings,
            tables.snapshot,
            lambda: tables.offset,
            peers_service.PeerCallbacks(
                on_target_leaving=self._target_notices.record_peer_leaving,
                on_report=self._target_notices.relay_peer_report,
                on_peer_ahead=tables.note_peer_offset,
                on_datagram_dropped=lambda reason: (
                    self._metrics.datagrams_dropped.inc({'reason': reason})
                ),
            ),
        )
        self._target_notices.announce_leaving_to(peers)
        return tables, peers

    def _build_scheduler(self) -> policy_scheduler.PolicyScheduler:
        settings = self._settings
        return policy_scheduler.PolicyScheduler(
            policy_settings.PolicySettings(
                queue_max_requests=settings.limits.queue_max_requests,
                queue_timeout_s=settings.limits.queue_timeout_s,
                retry_ratio=settings.delivery.retry_ratio,
            ),
            random.Random(self._rng.getrandbits(64)),
            settings.zone,
            self._timer.wall_s() - self._timer.monotonic_s(),
        )

    def _build_monitor(
        self,
        tables: tables_service.TablesService,
        peers: peers_service.PeersService,
        dispatcher: dispatch.Dispatcher,
    ) -> target_monitor.TargetMonitor:
        settings = self._settings
        # If every instance polls every target, no peer needs the reports of
        # this one.
        shares_reports = settings.targets.watchers_per_target > 0
        monitor = target_monitor.TargetMonitor(
            self._timer,
            self._rng,
            settings,
            platform_http.HttpInstanceList(
                self._platform_session,
                settings.platform.instances_url,
                settings.platform.log_timeout_s,
            ),
            engine_adapter.HttpLoadClient(self._target_session, self._timer),
            self._registry,
            dispatcher,
            lambda: tables.tables,
            peers.live_instances,
            on_list=functools.partial(
                self._target_notices.record_instance_list, peers
            ),
            on_report=peers.announce_report if shares_reports else None,
        )
        self._target_notices.subscribe_reports(monitor.record_peer_report)
        return monitor

    def _build_callers(
        self,
        tables: tables_service.TablesService,
        dispatcher: dispatch.Dispatcher,
        services: service_adapter.HttpServiceClient,
        claims: claims_service.ClaimsService,
    ) -> web.AppRunner:
        settings = self._settings
        budget = retries.RetryBudget(settings.delivery.retry_ratio)
        attempts = service_attempts.ServiceAttempts(
            dispatcher,
            services,
            self._registry.get,
            self._timer,
            budget,
            self._target_notices.record_service_state,
        )
        components = callers_api.CallerComponents(
            settings=settings,
            timer=self._timer,
            rng=random.Random(self._rng.getrandbits(64)),
            dispatcher=dispatcher,
            engines=engine_adapter.HttpEngineClient(
                self._target_session,
                settings.delivery,
                self._timer,
                self._rng,
                self._target_notices.record_engine_answer,
            ),
            services=service_calls.ServiceCalls(
                attempts, claims, self._in_flight
            ),
            tables=lambda: tables.tables,
            match_route=matching.match_route,
            find_target=self._registry.get,
            codec=resume.ResumeCodec(settings.peers.keys),
            refusal_reason=self._readiness.refusal,
            unready_reason=self._readiness.unready,
            metrics=self._metrics,
            retry_budget=budget,
            in_flight=self._in_flight,
        )
        return callers_server.make_runner(components)

    def _build_admin(
        self,
        tables: tables_service.TablesService,
        dispatcher: dispatch.Dispatcher,
        peers: peers_service.PeersService,
        feed: admin_feed.ChangeFeed,
    ) -> web.AppRunner:
        queries = admin_queries.InstanceQueries(
            admin_queries.InstanceComponents(
                settings=self._settings,
                timer=self._timer,
                lifecycle=self._lifecycle,
                tables=tables,
                registry=self._registry,
                dispatcher=dispatcher,
                in_flight=self._in_flight,
                peers=peers,
                started_s=self._timer.monotonic_s(),
            )
        )
        server = admin_server.AdminServer(
            queries, self._lifecycle, feed, self._metrics.render
        )
        return web.AppRunner(server.app(), access_log=None)


async def run(settings: settings_model.Settings) -> None:
    """Runs one instance until a signal, then drains it.

    The signals are SIGTERM, SIGINT and SIGHUP.

    Args:
        settings: Settings of the instance.

    Raises:
        OSError: The instance cannot listen on one of its addresses.
    """
    logs.configure(settings.log_level, settings.instance_id, settings.zone)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        # The command nohup starts a process with SIGHUP ignored.
        if number == signal.SIGHUP and (
            signal.getsignal(number) is signal.SIG_IGN
        ):
            continue
        loop.add_signal_handler(number, stop.set)
    async with (
        aiohttp.ClientSession() as platform_session,
        engine_adapter.make_session(settings.delivery) as target_session,
    ):
        composition = Composition(settings, platform_session, target_session)
        instance = composition.build()
        events.log(LOG, events.INSTANCE_STARTING)
        await instance.start()
        await stop.wait()
        await instance.drain()
