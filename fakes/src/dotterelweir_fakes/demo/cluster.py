"""Starts the platform, the targets and the instances of a deployment."""

import asyncio
import pathlib

import aiohttp
import attrs
import orjson

from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.links import network as network_module
from dotterelweir_fakes.load import workload

_PEER_KEY = 'demo-key-0123456789abcdef'


@attrs.define
class Instance:
    """One instance and its process.

    Attributes:
        instance_id: Id of the instance.
        zone: Availability zone of the instance.
        caller_url: Base URL of the port for callers.
        admin_url: Base URL of the port for operators.
        child: Process of the instance.
    """

    instance_id: str
    zone: str
    caller_url: str
    admin_url: str
    child: processes.ChildProcess


class Cluster:
    """Starts the processes of one deployment and holds their URLs.

    Attributes:
        deployment: Names and sizes of the deployment.
        platform_url: Base URL of the platform; empty until it is started.
        instances: Instances that were started.
        service_urls: Base URLs of the plain services.
        engine_urls: Base URLs of the engines.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        group: processes.ProcessGroup,
        http: aiohttp.ClientSession,
        seed: int,
        overrides: dict[str, object] | None = None,
        network: network_module.Network | None = None,
    ) -> None:
        """Makes a cluster; ``start`` starts its processes.

        Args:
            deployment: Names and sizes of the deployment.
            group: Group that starts and ends the processes.
            http: HTTP session for calls to the platform and the services.
            seed: Seed from which the seed of each process is derived.
            overrides: Top-level settings to replace in every instance.
            network: Link proxies for fault injection; None for direct links.
        """
        self.deployment = deployment
        self.platform_url = ''
        self.instances: list[Instance] = []
        self.service_urls: list[str] = []
        self.engine_urls: list[str] = []
        self._group = group
        self._http = http
        self._seed = seed
        self._overrides = overrides or {}
        self._network = network
        self._incarnations = 0

    async def start(self, instances: int = 6) -> None:
        """Starts the platform, all targets and all instances.

        Args:
            instances: Number of instances.
        """
        await self.start_platform()
        await asyncio.gather(
            *map(self.start_engine, range(self.deployment.engines)),
            *map(self.start_service, range(self.deployment.plain_targets)),
        )
        await asyncio.gather(
            *(
                self.start_instance(f'entry-{index + 1}', index)
                for index in range(instances)
            )
        )
        self.instances.sort(key=lambda instance: instance.instance_id)

    async def start_platform(self) -> None:
        """Starts the stand-in for the platform."""
        (port,) = processes.free_ports(1)
        child = await self._group.start(
            'platform', 'dotterelweir_fakes', 'platform', '--port', str(port)
        )
        await processes.wait_for_port(port, child)
        self.platform_url = f'http://127.0.0.1:{port}'
        if self._network is not None:
            self._network.rules.name_port(port, 'platform', 'platform')

    async def start_engine(
        self, index: int, port: int | None = None
    ) -> processes.ChildProcess:
        """Starts an engine and registers it with the platform.

        Args:
            index: Determines the name, the zone and the seed.
            port: Port of the engine, to restart it under its previous
                address; None takes a free one.

        Returns:
            Process of the engine.
        """
        name = f'{self.deployment.engine_service}-{index + 1}'
        child, port = await self._start_target(
            name,
            self.deployment.engine_service,
            index,
            'engine',
            (
                '--seed',
                str(self._seed * 100 + index),
                '--model',
                self.deployment.model,
            ),
            port,
        )
        url = f'http://127.0.0.1:{port}'
        if url not in self.engine_urls:
            self.engine_urls.append(url)
        return child

    async def start_service(self, index: int) -> processes.ChildProcess:
        """Starts a plain service and registers it with the platform.

        Args:
            index: Determines the name and the zone.

        Returns:
            Process of the service.
        """
        name = f'{self.deployment.plain_service}-{index + 1}'
        child, port = await self._start_target(
            name, self.deployment.plain_service, index, 'service', ()
        )
        self.service_urls.append(f'http://127.0.0.1:{port}')
        return child

    async def start_instance(self, instance_id: str, index: int) -> Instance:
        """Starts an instance and registers it with the platform.

        Args:
            instance_id: Id of the instance.
            index: Determines the zone and the seed.

        Returns:
            The instance with its process.
        """
        caller_port, admin_port, peer_port = processes.free_ports(3)
        zone = self._zone(index)
        settings = {
            'instance_id': instance_id,
            'zone': zone,
            'platform': {
                'log_url': self.platform_url,
                'instances_url': self.platform_url,
                'weights_url': self.platform_url,
            },
            'peers': {
                'keys': [_PEER_KEY],
                'listen': {'port': peer_port},
            },
            'callers': {'listen': {'port': caller_port}},
            'admin_listen': {'port': admin_port},
            'seed': self._seed * 1000 + index,
            **self._overrides,
        }
        path = self._group.directory / f'{instance_id}.json5'
        path.write_bytes(orjson.dumps(settings, option=orjson.OPT_INDENT_2))
        child = await self._start_daemon(instance_id, path, zone, peer_port)
        await processes.wait_for_port(caller_port, child)
        instance = Instance(
            instance_id,
            zone,
            f'http://127.0.0.1:{caller_port}',
            f'http://127.0.0.1:{admin_port}',
            child,
        )
        self.instances.append(instance)
        await self.register(
            instance_id,
            'dotterelweir',
            zone,
            peer_port,
            self._next_incarnation(),
        )
        return instance

    async def register(
        self,
        target_id: str,
        service: str,
        zone: str,
        port: int,
        incarnation: int,
    ) -> None:
        """Writes the platform's entry of an instance or a target.

        Args:
            target_id: Id of the instance or target.
            service: Its service.
            zone: Its availability zone.
            port: Port on which it listens.
            incarnation: Number of this start; grows with each start.
        """
        if self._network is not None:
            self._network.rules.name_port(port, target_id, zone)
        row = {
            'target_id': target_id,
            'service': service,
            'zone': zone,
            'host': '127.0.0.1',
            'port': port,
            'state': 'live',
            'incarnation': incarnation,
        }
        url = f'{self.platform_url}/v1/instances/{target_id}'
        async with self._http.put(url, json=row) as response:
            response.raise_for_status()

    async def executions(self) -> dict[str, int]:
        """Returns the number of executions at all plain services, by key."""
        counts: dict[str, int] = {}
        for url in self.service_urls:
            async with self._http.get(f'{url}/counts') as response:
                document = await response.json()
            for key, count in document['by_business_key'].items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def write_tables(self, directory: pathlib.Path) -> pathlib.Path:
        """Writes the deployment's routes and pools for ``apply``.

        Args:
            directory: Directory for the file.

        Returns:
            Path of the file.
        """
        path = directory / 'tables.json5'
        document = {'routes': self._routes(), 'pools': self._pools()}
        path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
        return path

    def _routes(self) -> dict[str, object]:
        deployment = self.deployment
        return {
            'short': {
                'match': {
                    'path_prefix': '/v1/',
                    'models': [f'{deployment.model}-short'],
                },
                'pool': 'models',
                'priority': 1,
                'timeout_s': 60.0,
            },
            'long': {
                'match': {
                    'path_prefix': '/v1/',
                    'models': [f'{deployment.model}-long'],
                },
                'pool': 'models',
                'priority': 5,
                'timeout_s': 600.0,
            },
            'booking': {
                'match': {'path_prefix': deployment.booking_path},
                'pool': 'plain',
                'priority': 2,
                'timeout_s': 30.0,
                'repeatable': False,
            },
            'lookup': {
                'match': {'path_prefix': deployment.lookup_path},
                'pool': 'plain',
                'priority': 3,
                'timeout_s': 30.0,
            },
        }

    def _pools(self) -> dict[str, object]:
        return {
            'models': {
                'kind': 'engine',
                'service': self.deployment.engine_service,
                'model': self.deployment.model,
            },
            'plain': {
                'kind': 'service',
                'service': self.deployment.plain_service,
            },
        }

    async def _start_daemon(
        self, name: str, path: pathlib.Path, zone: str, peer_port: int
    ) -> processes.ChildProcess:
        if self._network is None:
            return await self._group.start(name, 'dotterelweird', str(path))
        self._network.rules.name_port(peer_port, name, zone)
        (datagram_port,) = processes.free_ports(1)
        link_proxy = await self._network.attach(peer_port, datagram_port)
        return await self._group.start(
            name,
            'dotterelweir_fakes',
            'linked',
            str(path),
            '--connect-port',
            str(link_proxy.connect_port),
            '--datagram-port',
            str(datagram_port),
        )

    async def _start_target(
        self,
        name: str,
        service: str,
        index: int,
        command: str,
        arguments: tuple[str, ...],
        port: int | None = None,
    ) -> tuple[processes.ChildProcess, int]:
        if port is None:
            (port,) = processes.free_ports(1)
        zone = self._zone(index)
        incarnation = self._next_incarnation()
        child = await self._group.start(
            name,
            'dotterelweir_fakes',
            command,
            '--port',
            str(port),
            '--target-id',
            name,
            '--service',
            service,
            '--zone',
            zone,
            '--incarnation',
            str(incarnation),
            *arguments,
        )
        await processes.wait_for_port(port, child)
        await self.register(name, service, zone, port, incarnation)
        return child, port

    def _next_incarnation(self) -> int:
        self._incarnations += 1
        return self._incarnations

    def _zone(self, index: int) -> str:
        zones = self.deployment.zones
        return zones[index % len(zones)]
