"""Fixture that starts a small deployment of real processes."""

import asyncio
import contextlib
import json
import random
import signal
import sys

import aiohttp
import attrs
import pytest

from dotterelweir_fakes.demo import cluster as cluster_module
from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.links import network as network_module
from dotterelweir_fakes.load import balancer as balancer_module
from dotterelweir_fakes.load import caller as caller_module
from dotterelweir_fakes.load import tally
from dotterelweir_fakes.load import workload

ZWOJEX = workload.DEPLOYMENTS['zwojex']
OVERRIDES = {
    'delivery': {'stall_timeout_s': 0.5, 'resume_attempts': 3},
    'claims': {'decision_timeout_s': 1.0},
}
ORGANISATION = 'org-1'


class System:
    """A running deployment, its balancer and a caller.

    Attributes:
        cluster: Processes of the deployment.
        network: Link proxies of the processes; None for direct links.
        http: HTTP session for all calls.
        group: Group that starts and ends the processes.
        balancer: Stand-in for the platform's load balancer.
        caller: Sends requests through the balancer and checks the answers.
    """

    def __init__(self, cluster, http, group, network):
        self.cluster = cluster
        self.network = network
        self.http = http
        self.group = group
        self.balancer = balancer_module.Balancer(
            (), http, random.Random('balancer')
        )
        self.caller = caller_module.Caller(http, self.balancer)

    async def start(self, instances):
        """Starts the processes, applies the tables, waits for readiness."""
        await self.cluster.start(instances)
        path = self.cluster.write_tables(self.group.directory)
        assert (await self.run_client('apply', str(path)))['revision'] == 0
        self.use_instances()
        await self.wait_until_ready(instances)

    def use_instances(self):
        """Configures the balancer with all instances of the cluster."""
        self.balancer.urls = tuple(
            instance.caller_url for instance in self.cluster.instances
        )

    async def wait_until_ready(self, count):
        """Waits until the balancer sees ``count`` ready instances."""

        async def ready():
            await self.balancer.probe()
            return self.balancer.ready_count >= count

        await self.wait_until(ready)

    async def wait_until(self, condition, timeout_s=20.0):
        """Waits until a condition holds, at most ``timeout_s`` seconds.

        The condition may be a function or a coroutine function; its true
        result is returned.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return result
                await asyncio.sleep(0.02)

    async def run_client(self, *arguments):
        """Runs the operators' client; returns the JSON that it prints."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'dotterelweir_cli',
            '--log-url',
            self.cluster.platform_url,
            '-o',
            'json',
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            env=processes.child_environment(),
        )
        out, _ = await process.communicate()
        return json.loads(out)

    async def edit(self, *arguments):
        """Applies an edit that must be accepted; returns its revision."""
        report = await self.run_client(*arguments)
        assert report['outcome'] == 'accepted', report
        return report['revision']

    async def change_route(self, name, **fields):
        """Changes fields of a route; returns the revision."""
        tables = json.loads(
            (self.group.directory / 'tables.json5').read_text()
        )
        path = self.group.directory / f'{name}.json5'
        path.write_text(json.dumps(tables['routes'][name] | fields))
        return await self.edit('route', 'put', name, str(path))

    async def query_admin(self, instance, query):
        """Returns the JSON of a GET request to an instance's admin port."""
        url = f'{instance.admin_url}/admin/v1/{query}'
        async with self.http.get(url) as response:
            return await response.json()

    async def revision(self, instance):
        """Returns the revision of an instance's tables."""
        return (await self.query_admin(instance, 'tables'))['revision']

    async def wait_until_in_force(self, revision, instances=None):
        """Waits until instances have a revision or a later one.

        Edits must be in force within 18 s.
        """

        async def in_force():
            expected_instances = instances or self.cluster.instances
            revisions = [
                await self.revision(instance)
                for instance in expected_instances
            ]
            return min(revisions) >= revision

        await self.wait_until(in_force, timeout_s=18.0)

    async def wait_for_state(self, observer, subject, state):
        """Waits until an instance lists another one in a state."""

        async def is_seen():
            peers = (await self.query_admin(observer, 'status'))['peers']
            return any(
                peer['instance'] == subject.instance_id
                and peer['state'] == state
                for peer in peers
            )

        await self.wait_until(is_seen)

    async def wait_for_full_membership(self):
        """Waits until every instance lists every other one as alive."""
        for observer in self.cluster.instances:
            for subject in self.cluster.instances:
                if subject is not observer:
                    await self.wait_for_state(observer, subject, 'alive')

    def use_only(self, instance):
        """Configures the balancer with a single instance."""
        self.balancer.urls = (instance.caller_url,)

    def newest_child(self, name):
        """Returns the process that was started last under a name."""
        return [c for c in self.group.children if c.name == name][-1]

    async def send_json(self, url, document, method='POST'):
        """Sends a JSON document, for example to inject a fault."""
        async with self.http.request(method, url, json=document) as response:
            assert response.status < 300, await response.text()

    async def load_report(self, url):
        """Returns the load report of a target."""
        async with self.http.get(f'{url}/v1/load') as response:
            return await response.json()

    async def engine_url(self, name):
        """Returns the URL of an engine."""
        for url in self.cluster.engine_urls:
            if (await self.load_report(url))['target_id'] == name:
                return url
        raise AssertionError(name)

    async def set_platform_faults(self, **faults):
        """Injects faults into the stand-in for the platform."""
        await self.send_json(f'{self.cluster.platform_url}/faults', faults)

    async def start_stream(self, tokens):
        """Starts a stream; returns its task after the first token."""
        first_token = asyncio.Event()
        task = self.stream(tokens, first_token)
        await first_token.wait()
        return task

    def stream(self, tokens, first_token=None):
        """Starts a stream; returns its task.

        Args:
            tokens: Number of output tokens to request.
            first_token: Event to set at the first token, or None.
        """
        body = {
            'model': f'{ZWOJEX.model}-long',
            'messages': [{'role': 'user', 'content': 'a guide'}],
            'metadata': {'output_tokens': tokens},
        }
        return asyncio.create_task(
            self.caller.stream(ORGANISATION, body, first_token)
        )

    async def book(self, key, idempotency_key=None):
        """Sends one booking; returns the result that the caller receives."""
        return await self.caller.call(
            ORGANISATION,
            ZWOJEX.booking_path,
            {'key': key},
            key,
            idempotency_key,
        )

    async def executions(self, key):
        """Returns how often the services executed a business key."""
        return (await self.cluster.executions()).get(key, 0)

    def workload(self, requests_per_s, seed='load'):
        """Makes a seeded mixed load of this deployment."""
        return workload.Workload(
            ZWOJEX, self.caller, random.Random(seed), requests_per_s
        )

    @contextlib.asynccontextmanager
    async def under_load(self, requests_per_s=15.0):
        """Sends a mixed load during the block; yields the tally of results."""
        mixed_load = self.workload(requests_per_s)
        stop = asyncio.Event()
        probe_task = asyncio.create_task(self.balancer.run())
        load_task = asyncio.create_task(mixed_load.run_until(stop))
        try:
            yield mixed_load.tally
            stop.set()
            await load_task
        finally:
            probe_task.cancel()
            load_task.cancel()

    def events(self, instance, name):
        """Returns the events of one name that an instance has logged."""
        lines = instance.child.output().splitlines()
        documents = (json.loads(line) for line in lines if name in line)
        return [line for line in documents if line['message'] == name]


def summary_of(results, executions):
    """Returns the counts of a tally of results."""
    return tally.Tally(list(results)).summary(executions)


@pytest.fixture(autouse=True)
def handle_hangup():
    """Starts processes with SIGHUP in use, also below ``nohup``."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.fixture
async def start_system(tmp_path):
    """Yields a function that starts a deployment.

    All processes end after the test. ``with_network`` puts proxied links
    between the processes, which a test can cut, stall or delay.
    """
    async with contextlib.AsyncExitStack() as stack:
        http = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None, sock_read=30.0),
            )
        )
        group = await stack.enter_async_context(
            processes.ProcessGroup(tmp_path)
        )

        network = network_module.Network()
        stack.push_async_callback(network.close)

        async def start(
            instances=3, engines=3, services=2, with_network=False, **overrides
        ):
            deployment = attrs.evolve(
                ZWOJEX, engines=engines, plain_targets=services
            )
            cluster = cluster_module.Cluster(
                deployment,
                group,
                http,
                1,
                OVERRIDES | overrides,
                network if with_network else None,
            )
            system = System(cluster, http, group, network)
            await system.start(instances)
            return system

        yield start
