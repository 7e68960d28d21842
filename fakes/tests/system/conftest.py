"""Fixture of a small deployment of real processes."""

import asyncio
import contextlib
import json
import random
import sys

import aiohttp
import attrs
import pytest

from dotterelweir_fakes.demo import cluster as cluster_module
from dotterelweir_fakes.demo import processes
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
    """A running deployment, its balancer and a caller."""

    def __init__(self, cluster, http, group):
        self.cluster = cluster
        self.http = http
        self.group = group
        self.balancer = balancer_module.Balancer(
            (), http, random.Random('balancer')
        )
        self.caller = caller_module.Caller(http, self.balancer)

    async def start(self, instances):
        await self.cluster.start(instances)
        path = self.cluster.write_tables(self.group.directory)
        assert (await self.client('apply', str(path)))['revision'] == 0
        self.use_instances()
        await self.until_ready(instances)

    def use_instances(self):
        """Points the balancer to the instances of the cluster."""
        self.balancer.urls = tuple(
            instance.caller_url for instance in self.cluster.instances
        )

    async def until_ready(self, count):
        async def ready():
            await self.balancer.probe()
            return self.balancer.ready_count >= count

        await self.until(ready)

    async def until(self, condition, timeout_s=20.0):
        """Waits for a condition, which may be a coroutine function."""
        async with asyncio.timeout(timeout_s):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return result
                await asyncio.sleep(0.02)

    async def client(self, *arguments):
        """Runs the operators' client; returns its JSON."""
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

    async def post(self, url, document, method='POST'):
        """Sends a document, for faults."""
        async with self.http.request(method, url, json=document) as response:
            assert response.status < 300, await response.text()

    async def platform_faults(self, **faults):
        await self.post(f'{self.cluster.platform_url}/faults', faults)

    async def start_stream(self, tokens):
        """Starts a streamed request; returns its task at the first token."""
        started = asyncio.Event()
        task = self.stream(tokens, started)
        await started.wait()
        return task

    def stream(self, tokens, started=None):
        """Starts a streamed request; returns its task."""
        body = {
            'model': f'{ZWOJEX.model}-long',
            'messages': [{'role': 'user', 'content': 'a guide'}],
            'metadata': {'output_tokens': tokens},
        }
        return asyncio.create_task(
            self.caller.stream(ORGANISATION, body, started)
        )

    async def book(self, key, idempotency_key=None):
        """Books once; returns the result that the caller saw."""
        return await self.caller.call(
            ORGANISATION,
            ZWOJEX.booking_path,
            {'key': key},
            key,
            idempotency_key,
        )

    async def executions(self, key):
        return (await self.cluster.executions()).get(key, 0)

    def workload(self, requests_per_s, seed='load'):
        return workload.Workload(
            ZWOJEX, self.caller, random.Random(seed), requests_per_s
        )

    @contextlib.asynccontextmanager
    async def under_load(self, requests_per_s=15.0):
        """Sends a mixed load while the block runs; yields its tally."""
        load = self.workload(requests_per_s)
        stop = asyncio.Event()
        probing = asyncio.create_task(self.balancer.run())
        running = asyncio.create_task(load.run_until(stop))
        try:
            yield load.tally
            stop.set()
            await running
        finally:
            probing.cancel()
            running.cancel()

    def events(self, instance, name):
        """Log lines of one kind of event of an instance."""
        lines = instance.child.output().splitlines()
        found = (json.loads(line) for line in lines if name in line)
        return [line for line in found if line['message'] == name]


def summary_of(results, executions):
    """The counts of a tally."""
    return tally.Tally(list(results)).summary(executions)


@pytest.fixture
async def start_system(tmp_path):
    """Starts a deployment; ends all its processes after the test."""
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

        async def start(instances=3, engines=3, services=2, **overrides):
            deployment = attrs.evolve(
                ZWOJEX, engines=engines, plain_targets=services
            )
            cluster = cluster_module.Cluster(
                deployment, group, http, 1, OVERRIDES | overrides
            )
            system = System(cluster, http, group)
            await system.start(instances)
            return system

        yield start
