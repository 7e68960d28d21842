"""Scenario of the demo: mixed load, a pool edit and a graceful stop."""

import asyncio
from collections.abc import Callable
import pathlib
import random
import sys

import aiohttp
import orjson

from dotterelweir_fakes.demo import cluster as cluster_module
from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.load import balancer as balancer_module
from dotterelweir_fakes.load import caller as caller_module
from dotterelweir_fakes.load import workload as workload_module

_LOAD_S = 15.0
_EDIT_AT_S = 4.0
_STOP_AT_S = 8.0
_REQUESTS_PER_S = 25.0
_READY_TIMEOUT_S = 20.0
_IN_FORCE_TIMEOUT_S = 18.0

PrintProgress = Callable[[str], None]


class DemoError(Exception):
    """A step of the demo failed."""


async def run(
    deployment: workload_module.Deployment,
    seed: int,
    directory: pathlib.Path,
    print_progress: PrintProgress,
) -> dict[str, object]:
    """Runs the demo.

    Args:
        deployment: Deployment to start.
        seed: Seed of the load and of every process.
        directory: Directory for settings and logs of the processes.
        print_progress: Prints one line of progress.

    Returns:
        Counts of the load and results of the edit and the stop.

    Raises:
        DemoError: A step failed.
        RuntimeError: A process did not start.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None, sock_read=60.0)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as http,
        processes.ProcessGroup(directory) as group,
    ):
        cluster = cluster_module.Cluster(deployment, group, http, seed)
        await cluster.start()
        print_progress(
            f'{len(group.children)} processes started: platform, '
            f'{deployment.engines} engines, {deployment.plain_targets} plain '
            f'services, {len(cluster.instances)} instances in '
            f'{", ".join(deployment.zones)}'
        )
        tables = cluster.write_tables(directory)
        report = await _run_client(cluster, 'apply', str(tables))
        print_progress(f'tables applied at revision {report["revision"]}')
        return await _run_load(cluster, http, seed, print_progress)


async def _run_load(
    cluster: cluster_module.Cluster,
    http: aiohttp.ClientSession,
    seed: int,
    print_progress: PrintProgress,
) -> dict[str, object]:
    balancer = balancer_module.Balancer(
        tuple(instance.caller_url for instance in cluster.instances),
        http,
        random.Random(f'{seed} balancer'),
    )
    await _wait_ready(balancer, len(cluster.instances))
    print_progress('every instance is ready')
    load = workload_module.Workload(
        cluster.deployment,
        caller_module.Caller(http, balancer),
        random.Random(f'{seed} load'),
        _REQUESTS_PER_S,
    )
    probe_task = asyncio.create_task(balancer.run())
    changes_task = asyncio.create_task(
        _edit_and_stop(cluster, http, print_progress)
    )
    try:
        await load.run(_LOAD_S)
        changes = await changes_task
    finally:
        probe_task.cancel()
        changes_task.cancel()
    summary = load.tally.summary(await cluster.executions())
    faults = [result.detail for result in load.tally.results if result.detail]
    for fault in faults[:5]:
        print_progress(f'caller saw: {fault}')
    return {
        'deployment': cluster.deployment.name,
        'seed': seed,
        **summary,
        **changes,
    }


async def _edit_and_stop(
    cluster: cluster_module.Cluster,
    http: aiohttp.ClientSession,
    print_progress: PrintProgress,
) -> dict[str, object]:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(_EDIT_AT_S)
    pool = {
        'kind': 'engine',
        'service': cluster.deployment.engine_service,
        'model': cluster.deployment.model,
        'target_ids': [
            f'{cluster.deployment.engine_service}-{index + 1}'
            for index in range(cluster.deployment.engines - 1)
        ],
    }
    path = cluster.instances[0].child.log_path.with_name('pool.json5')
    path.write_bytes(orjson.dumps(pool))
    report = await _run_client(cluster, 'pool', 'put', 'models', str(path))
    started_s = loop.time()
    revision = report['revision']
    await _wait_in_force(cluster, http, revision)
    in_force_s = loop.time() - started_s
    print_progress(
        f'pool edited at revision {revision}, in force on every instance '
        f'after {in_force_s:.2f} s'
    )
    await asyncio.sleep(_STOP_AT_S - _EDIT_AT_S)
    stopping = cluster.instances[-1]
    stopping.child.terminate()
    exit_code = await stopping.child.wait()
    if exit_code != 0:
        raise DemoError(
            f'{stopping.instance_id} ended with exit code {exit_code}:\n'
            f'{stopping.child.output()[-2000:]}'
        )
    print_progress(f'{stopping.instance_id} stopped gracefully')
    return {
        'edit_in_force_s': round(in_force_s, 3),
        'graceful_stop_exit_code': exit_code,
    }


async def _wait_ready(balancer: balancer_module.Balancer, count: int) -> None:
    try:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while balancer.ready_count < count:
                await balancer.probe()
                await asyncio.sleep(0.05)
    except TimeoutError as exc:
        raise DemoError(
            f'{balancer.ready_count} of {count} instances became ready'
        ) from exc


async def _wait_in_force(
    cluster: cluster_module.Cluster,
    http: aiohttp.ClientSession,
    revision: int,
) -> None:
    try:
        async with asyncio.timeout(_IN_FORCE_TIMEOUT_S):
            for instance in cluster.instances:
                while await _tables_revision(http, instance) < revision:
                    await asyncio.sleep(0.02)
    except TimeoutError as exc:
        raise DemoError(
            f'revision {revision} is not in force everywhere'
        ) from exc


async def _tables_revision(
    http: aiohttp.ClientSession, instance: cluster_module.Instance
) -> int:
    async with http.get(f'{instance.admin_url}/admin/v1/tables') as response:
        return (await response.json())['revision']


async def _run_client(
    cluster: cluster_module.Cluster, *arguments: str
) -> dict[str, object]:
    """Runs the operators' command line client.

    Args:
        cluster: The deployment.
        *arguments: Command line arguments of the client.

    Returns:
        Decoded JSON output of the client.

    Raises:
        DemoError: The client failed.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'dotterelweir_cli',
        '--log-url',
        cluster.platform_url,
        '--output',
        'json',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=processes.child_environment(),
    )
    out, err = await process.communicate()
    if process.returncode != 0:
        raise DemoError(
            f'dotterelweir {" ".join(arguments)} ended with exit code '
            f'{process.returncode}: {(err or out).decode().strip()}'
        )
    return orjson.loads(out)
