"""Runs a gateway in this process with stand-ins for the platform."""

import asyncio
import contextlib
import os
import socket

import aiohttp
from aiohttp import web
import attrs

from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_platform import adapter
from dotterelweir_platform import settings_file
from dotterelweird.gateway import composition
from dotterelweird.gateway import settings as gateway_settings

HOST = 'shop.example'
KEY = 'key-1'
ORGANISATION = 'org-1'
# Time from the start of a shutdown to the end of a gateway, in seconds.
_GRACE_S = 2
_PORT_MAX = 65_535


def own_address(number: int = 1) -> str:
    """Returns a loopback address that only this process uses.

    Ports are probed before the gateway listens on them. On this address no
    other test process can bind them in between.

    Args:
        number: Last byte of the address, 1 to 254.
    """
    high, low = divmod(os.getpid() % 65_000, 256)
    return f'127.{high + 1}.{low}.{number}'


def settings_text(
    name: str,
    host: str,
    ports: tuple[int, int, int],
    store_address: str,
    grace_s: int,
    seeds: tuple[str, ...] = (),
) -> str:
    """Returns the content of the settings file of one gateway.

    Args:
        name: Name of the instance.
        host: IP address of the instance.
        ports: Its ports for callers, readiness checks and peers.
        store_address: Host and port of the store.
        grace_s: Time from SIGTERM to the end of the process, in seconds.
        seeds: IP addresses of the instances that it contacts to join.
    """
    callers_port, ready_port, peers_port = ports
    return '\n'.join(
        [
            f'node={name}',
            'zone=zone-a',
            f'listen.front={host}:{callers_port}',
            f'listen.ready={host}:{ready_port}',
            f'internalPortRange={peers_port},{peers_port + 1}',
            'seeds=' + ','.join(f'{seed}:1' for seed in seeds),
            f'platform.addr={store_address}',
            f'bounds.graceS={grace_s}',
        ]
    )


def request_headers(
    route: str, request_id: str, deadline_ms: int
) -> dict[str, str]:
    """Returns the headers of a caller's request.

    Args:
        route: Name of the route.
        request_id: Id of the request.
        deadline_ms: Deadline of the request, in milliseconds.
    """
    headers = {
        'Host': HOST,
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'Api-Key': KEY,
    }
    if route in ('guide', 'check'):
        headers |= {'X-Token-Usage': '100,40', 'X-Model': 'm'}
    return headers


def free_ports(host: str, count: int) -> list[int]:
    """Returns different ports that are free for both TCP and UDP.

    Args:
        host: IP address that the ports belong to.
        count: Number of ports.
    """
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            probe = stack.enter_context(socket.socket())
            probe.bind((host, 0))
            port = probe.getsockname()[1]
            datagrams = stack.enter_context(
                socket.socket(type=socket.SOCK_DGRAM)
            )
            try:
                datagrams.bind((host, port))
            except OSError:
                # The port is free for TCP only. The next probe gets another
                # port, as this one stays bound.
                continue
            ports.append(port)
        return ports


def free_peers_port(host: str, taken: list[int]) -> int:
    """Returns the first of two free ports in a row for other gateways.

    Args:
        host: IP address that the ports belong to.
        taken: Ports that are in use for something else.
    """
    while True:
        [port] = free_ports(host, 1)
        if {port, port + 1} & {*taken} or port == _PORT_MAX:
            continue
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((host, port + 1))
            except OSError:
                continue
        return port


def configuration(version: int = 1, **changes: object) -> dict:
    """Returns a configuration with one route of each kind.

    Args:
        version: Version of the configuration.
        **changes: Fields that replace the defaults in every route.
    """
    routes = [
        ('read', 'idempotent', 'plain', False),
        ('book', 'non_idempotent', 'plain', False),
        ('guide', 'stream', 'model', False),
        ('check', 'stream', 'model', True),
    ]
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'timeoutMs': 3000,
                'targetLatencyMs': 300,
                'priority': 0,
                'service': service,
                'attempts': 1 if name in ('book', 'guide') else 2,
                'public': False,
                'sticky': service == 'model',
                'canResume': resumable,
                'gapTargetMs': 180,
                **changes,
            }
            for name, kind, service, resumable in routes
        ],
        'services': [
            {'name': 'plain', 'healthPath': '/healthz', 'maxConns': 96},
            {
                'name': 'model',
                'healthPath': '/healthz',
                'maxConns': 222,
                'engine': {
                    'slots': 24,
                    'kvTokens': 34193,
                    'moves': True,
                    'backups': True,
                },
            },
        ],
        'limits': {'headerBytes': 16384, 'bodyBytes': 4194304, 'idleMs': 9000},
        'tenants': [{'name': ORGANISATION, 'keys': [KEY], 'priority': 1}],
    }


def with_seeds(
    settings: gateway_settings.GatewaySettings, seeds: tuple[str, ...]
) -> gateway_settings.GatewaySettings:
    """Returns settings that name other seeds.

    Args:
        settings: The settings.
        seeds: IP addresses of the seeds.
    """
    return attrs.evolve(settings, seed_hosts=seeds)


class Deployment:
    """A gateway, a store and engines.

    Attributes:
        store: Stand-in for the store.
        engines: Stand-ins for engines and services, by target id.
        gateway: The gateway; None before it is started.
        settings_after_reload: Settings that a reload of the gateway reads;
            None for the settings that it was started with.
        host: IP address of the gateway.
        callers_port: Port for callers.
        ready_port: Port of the readiness check.
        peers_port: Port for other gateways and for operators.
        session: Client session for requests to the gateway.
    """

    def __init__(self) -> None:
        self.store = fleet_store.FakeStore()
        self.engines: dict[str, fleet_engine.FakeEngine] = {}
        self.gateway: composition.Gateway | None = None
        self._second_gateway: composition.Gateway | None = None
        self._store_address = ''
        self.settings_after_reload: gateway_settings.GatewaySettings | None = (
            None
        )
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.05)
        self.host = own_address()
        self.callers_port = self.ready_port = self.peers_port = 0
        self.session = aiohttp.ClientSession(auto_decompress=False)

    @property
    def peers_address(self) -> str:
        """Host and port for other gateways and for operators."""
        return f'{self.host}:{self.peers_port}'

    async def start_store(self) -> str:
        """Starts the store and returns its host and port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, 0)
        await site.start()
        port = self._runner.addresses[0][1]
        return f'{self.host}:{port}'

    async def add_engine(
        self, target_id: str, service: str
    ) -> fleet_engine.FakeEngine:
        """Starts and registers an engine."""
        engine = fleet_engine.FakeEngine(target_id)
        await engine.start()
        self.engines[target_id] = engine
        await self.register(target_id, service)
        return engine

    async def register(
        self, target_id: str, service: str, state: str = 'ready'
    ) -> None:
        """Writes the registry entry of an engine to the store."""
        entry = self.engines[target_id].entry(service, state)
        await self.store.write_json('keyed.servers', target_id, entry)

    async def start_second(
        self, seeds: tuple[str, ...] | None = None
    ) -> composition.Gateway:
        """Starts another gateway.

        Args:
            seeds: IP addresses that its settings name; None for the first
                gateway alone.
        """
        host = own_address(2)
        callers, ready, metrics = free_ports(host, 3)
        ports = (callers, ready, self.peers_port)
        decoded = self._decode_settings(
            'gateway-2',
            host,
            ports,
            metrics,
            (self.host,) if seeds is None else seeds,
        )
        self._second_gateway = composition.Gateway(
            decoded.gateway,
            adapter.PlatformAdapter(decoded.store),
            lambda: decoded.gateway,
        )
        await self._second_gateway.start()
        return self._second_gateway

    async def start(self, store_address: str) -> None:
        """Starts the gateway.

        Args:
            store_address: Host and port of the store.
        """
        self._store_address = store_address
        # The store listens already. If it started later, it could bind one
        # of these ports, because it binds any free port.
        callers, ready, metrics = free_ports(self.host, 3)
        peers = free_peers_port(self.host, [callers, ready, metrics])
        ports = (callers, ready, peers)
        self.callers_port, self.ready_port, self.peers_port = ports
        decoded = self._decode_settings('gateway-1', self.host, ports, metrics)
        self.gateway = composition.Gateway(
            decoded.gateway,
            adapter.PlatformAdapter(decoded.store),
            lambda: self.settings_after_reload or decoded.gateway,
        )
        await self.gateway.start()

    def _decode_settings(
        self,
        name: str,
        host: str,
        ports: tuple[int, int, int],
        metrics_port: int,
        seeds: tuple[str, ...] = (),
    ) -> settings_file.PlatformSettings:
        """Decodes the settings file of one gateway.

        Args:
            name: Name of the instance.
            host: IP address of the instance.
            ports: Its ports for callers, readiness checks and peers.
            metrics_port: Port of its metrics.
            seeds: IP addresses of the instances that it contacts to join.
        """
        text = settings_text(
            name, host, ports, self._store_address, _GRACE_S, seeds
        )
        return settings_file.decode(text, metrics_port=metrics_port)

    async def wait_ready(self, status: int = 200) -> None:
        """Waits until the readiness check responds with a status."""
        async with asyncio.timeout(5):
            while await self.ready_status() != status:
                await asyncio.sleep(0.01)

    async def wait_informed(self) -> None:
        """Waits until the gateway knows whether there are others."""
        async with asyncio.timeout(5):
            while not self.gateway._peers.view().is_informed:
                await asyncio.sleep(0.01)

    async def ready_status(self) -> int:
        """Returns the HTTP status of the readiness check."""
        url = f'http://{self.host}:{self.ready_port}/-/readyz'
        async with self.session.get(url) as response:
            return response.status

    async def status(self) -> dict:
        """Returns the gateway's status report for operators."""
        async with self.session.get(
            f'http://{self.peers_address}/status'
        ) as response:
            return await response.json()

    async def wait_store_answers(self, expected: bool) -> None:
        """Waits until the gateway reports whether the store answers.

        Args:
            expected: What it reports for each stream of the store.
        """
        async with asyncio.timeout(5):
            while True:
                streams = (await self.status())['streams'].values()
                if all(row['store_answers'] is expected for row in streams):
                    return
                await asyncio.sleep(0.01)

    async def wait_store_read(
        self, topics: tuple[str, ...] = ('keyed.op', 'keyed.servers')
    ) -> None:
        """Waits until the gateway has read all records written until now.

        Args:
            topics: Topics of the store.
        """
        # The first read that ends may have begun before the last write.
        required_reads = {
            topic: self.store.reads.get(topic, 0) + 2 for topic in topics
        }
        async with asyncio.timeout(5):
            while any(
                self.store.reads.get(topic, 0) < count
                for topic, count in required_reads.items()
            ):
                await asyncio.sleep(0.01)
            # The store counts a read before its response arrives. The
            # gateway receives this response while it handles one more
            # request.
            await self.status()

    async def close(self) -> None:
        """Stops the gateways, the engines and the store."""
        await self.session.close()
        for gateway in (self._second_gateway, self.gateway):
            if gateway is not None:
                await gateway.close()
        for engine in self.engines.values():
            await engine.stop()
        await self._runner.cleanup()

    def request(
        self,
        route: str,
        request_id: str = 'request-1',
        method: str = 'POST',
        body: bytes = b'body',
        deadline_ms: int = 2000,
        gateway: composition.Gateway | None = None,
        **headers: str,
    ) -> aiohttp.client._RequestContextManager:
        """Sends a request on a route.

        Args:
            route: Name of the route.
            request_id: Id of the request.
            method: HTTP method.
            body: Body of the request.
            deadline_ms: Deadline of the request, in milliseconds.
            gateway: The gateway; None for the first one.
            **headers: Further headers, with underscores for hyphens.

        Returns:
            Context manager that yields the response.
        """
        fields = request_headers(route, request_id, deadline_ms)
        fields.update(
            {name.replace('_', '-'): v for name, v in headers.items()}
        )
        address = f'{self.host}:{self.callers_port}'
        if gateway is not None:
            callers = gateway._settings.callers
            address = f'{callers.host}:{callers.port}'
        return self.session.request(
            method,
            f'http://{address}/{route}/x?y=1',
            headers=fields,
            data=body,
        )
