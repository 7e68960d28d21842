"""The composition root of the gateway."""

import asyncio
from collections.abc import Callable
import logging
import random
import signal
import sys
import time

from aiohttp import web

from dotterelweir_core import errors
from dotterelweir_core import events
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import tables as gateway_tables
from dotterelweir_core.gateway import targets
from dotterelweird import lifecycle
from dotterelweird import log_output
from dotterelweird import logs
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import caller_server
from dotterelweird.gateway import dependencies
from dotterelweird.gateway import following
from dotterelweird.gateway import peers
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import statistics
from dotterelweird.gateway import stopping
from dotterelweird.gateway import target_client

LOG = logging.getLogger(__name__)

# Between two looks at whether a stopping process may end, in seconds.
_STOP_CHECK_S = 0.05
# Connections that wait to be accepted; a burst after a restart of many
# instances brings hundreds at once.
_BACKLOG = 1024
# Bound on the end of what is still in flight at the end, in seconds.
_SHUTDOWN_S = 0.05


async def run(
    load_settings: Callable[[], gateway_settings.GatewaySettings],
    adapter: api.Adapter,
) -> None:
    """Runs a gateway until it is asked to stop and has drained.

    Args:
        load_settings: Reads the settings; is called again at a reload.
        adapter: The platform's adapter.

    Raises:
        DotterelweirError: The settings are not valid.
    """
    settings = load_settings()
    output = log_output.BoundedOutput(sys.stdout.fileno(), time.monotonic)
    logs.configure('INFO', settings.instance_id, settings.zone, output)
    gateway = Gateway(settings, adapter, load_settings)
    await gateway.run()


class Gateway:
    """Wires all parts of a gateway process."""

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
        self._stop = stopping.StopPlan(settings.grace_s)
        self._statistics = statistics.Statistics()
        self._session = target_client.open_session()
        self._store_session = target_client.open_store_session()
        self._directory = targets.TargetDirectory()
        self._loads = load.LoadBook()
        dialect = adapter.dialect()
        self._ready_path = dialect.ready_path
        self._parts = dependencies.Forwarding(
            settings,
            self._timers,
            self._session,
            dialect,
            adapter.run_control(self._session),
            self._directory,
            self._loads,
            placement.Placer(settings.zone, self._loads, self._rng),
            self._statistics,
            self._rng,
        )
        store = adapter.store(self._store_session)
        self._tables = following.TablesKeeper(store)
        self._targets = following.TargetsKeeper(
            store, self._directory, self._timers, settings.settle_s
        )
        self._targets.subscribe(self._parts.watch.announce)
        self._targets.subscribe(self._forget_gone)
        self._tables.subscribe(self._show_version)
        self._peers = peers.PeerExchange(
            settings,
            self._timers,
            self._loads,
            self._parts.set_instances,
            self._targets.apply,
        )
        self._loads.subscribe(self._peers.load_changed)
        self._tables_follower = following.StreamFollower(
            store,
            api.StoreStream.TABLES,
            self._timers,
            self._rng,
            following.TABLES_WAIT_S,
            lambda: 0.0,
            self._tables.apply,
            self._tables.apply,
        )
        self._targets_follower = following.StreamFollower(
            store,
            api.StoreStream.TARGETS,
            self._timers,
            self._rng,
            following.TARGETS_WAIT_S,
            self._targets_period_s,
            self._targets.apply_snapshot,
            self._apply_targets,
            self._targets.store_returned,
        )
        self._followers: list[asyncio.Task] = []
        self._servers: list[asyncio.Server] = []
        self._callers = caller_server.CallerServer(
            self._parts, self._tables, self._stop
        )

    async def run(self) -> None:
        """Serves until a stop was asked for and everything has ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        while not self._stop.may_end(
            self._timers.monotonic_s(), self._callers.running
        ):
            await timers.sleep(self._timers, _STOP_CHECK_S)
        await self.close()

    async def start(self) -> None:
        """Starts to listen and to follow the store."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        events.log(
            LOG, events.GATEWAY_STARTED, instance_id=settings.instance_id
        )
        self._followers = [
            asyncio.create_task(self._tables_follower.run()),
            asyncio.create_task(self._targets_follower.run()),
        ]
        self._servers = [
            await loop.create_server(
                self._callers.server,
                settings.callers.host,
                settings.callers.port,
                backlog=_BACKLOG,
            ),
            await self._serve_plain(settings.ready, self._answer_ready),
        ]
        if settings.metrics is not None:
            self._servers.append(
                await self._serve_plain(settings.metrics, self._answer_metrics)
            )
        await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=(settings.callers.host, settings.peers_port),
        )

    async def close(self) -> None:
        """Ends everything at once."""
        for server in self._servers:
            server.close()
        for follower in self._followers:
            follower.cancel()
        self._peers.close()
        self._lifecycle.stop()
        await self._callers.server.shutdown(_SHUTDOWN_S)
        await self._session.close()
        await self._store_session.close()

    @property
    def tables_version(self) -> int | None:
        """Version of the tables in force; None before the first one."""
        tables = self._tables.current
        return tables.version if tables else None

    def _forget_gone(self, change: targets.TargetChange) -> None:
        if change.after is None:
            self._loads.forget(change.target_id)

    def _targets_period_s(self) -> float:
        return following.targets_period_s(self._peers.instances)

    def _apply_targets(self, batch: api.Batch) -> None:
        changed = self._targets.apply(batch)
        if changed:
            self._peers.send_records(changed)

    async def _serve_plain(
        self, address: gateway_settings.Address, handler
    ) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            web.Server(handler, access_log=None), address.host, address.port
        )

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    def _is_ready(self) -> bool:
        if self._stop.stopping or self._tables.current is None:
            return False
        return self._targets_follower.read_at_s > 0.0

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        body, headers = self._statistics.render(
            request.headers.get('Accept', '')
        )
        return web.Response(body=body, headers=headers)

    def begin_stop(self) -> None:
        """Leaves the load balancer and finishes what is in flight."""
        if not self._stop.stopping:
            self._stop.since_s = self._timers.monotonic_s()
            self._lifecycle.drain()

    def _show_version(self, tables: gateway_tables.Tables) -> None:
        self._statistics.tables_version.set({}, tables.version)

    def _reload(self) -> None:
        """Takes changed settings over; addresses stay as they are."""
        try:
            settings = self._load_settings()
        except errors.DotterelweirError as exc:
            events.log(LOG, events.GATEWAY_RELOAD_FAILED, reason=exc.detail)
            return
        self._stop.grace_s = settings.grace_s
        self._parts.set_settings(settings)
        events.log(LOG, events.GATEWAY_RELOADED, grace_s=settings.grace_s)
