"""The ``slopes instances`` command: CPU and memory of idle instances."""

import asyncio
import os
import pathlib
import tempfile
import time

import aiohttp
import attrs
import click

from dotterelweir_fakes import slopes_report
from dotterelweir_fakes.demo import cluster as cluster_module
from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.load import workload

_INSTANCE_COUNTS = (2, 4, 6, 12)
_ENGINE_COUNTS = (2, 7, 14, 28)
_WARM_UP_S = 8.0
_MEASURED_S = 10.0
_FIXED_ENGINE_COUNT = 7
_FIXED_INSTANCE_COUNT = 3


@attrs.frozen
class IdleCost:
    """CPU and memory use of instances that serve no requests.

    Attributes:
        cpu_percent: CPU use of each instance, in percent of a core.
        rss_mb: Resident memory of each instance, in MB.
    """

    cpu_percent: list[float]
    rss_mb: list[float]


@click.command()
def instances() -> None:
    """CPU and memory of idle instances, measured on real processes."""
    by_instances = {
        count: asyncio.run(_measure_idle(count, _FIXED_ENGINE_COUNT))
        for count in _INSTANCE_COUNTS
    }
    _print_costs('instances', by_instances)
    by_engines = {
        count: asyncio.run(_measure_idle(_FIXED_INSTANCE_COUNT, count))
        for count in _ENGINE_COUNTS
    }
    _print_costs('engines', by_engines)


def _print_costs(unit: str, costs: dict[int, IdleCost]) -> None:
    slopes_report.print_fit(
        f'idle CPU of an instance (% of a core) against {unit}',
        unit,
        {size: cost.cpu_percent for size, cost in costs.items()},
    )
    slopes_report.print_fit(
        f'memory of an idle instance (MB) against {unit}',
        unit,
        {size: cost.rss_mb for size, cost in costs.items()},
    )


async def _measure_idle(instances: int, engines: int) -> IdleCost:
    """Measures idle instances after a warm-up.

    Args:
        instances: Number of instances.
        engines: Number of engines.
    """
    deployment = attrs.evolve(
        workload.DEPLOYMENTS['zwojex'], engines=engines, plain_targets=1
    )
    with tempfile.TemporaryDirectory() as directory:
        async with (
            aiohttp.ClientSession() as http,
            processes.ProcessGroup(pathlib.Path(directory)) as group,
        ):
            cluster = cluster_module.Cluster(deployment, group, http, 1)
            await cluster.start(instances)
            await asyncio.sleep(_WARM_UP_S)
            pids = [
                instance.child.process.pid for instance in cluster.instances
            ]
            cpu_before_s = [_cpu_s(pid) for pid in pids]
            started_s = time.monotonic()
            await asyncio.sleep(_MEASURED_S)
            elapsed_s = time.monotonic() - started_s
            cpu_used_s = [
                _cpu_s(pid) - cpu_s
                for pid, cpu_s in zip(pids, cpu_before_s, strict=True)
            ]
            return IdleCost(
                [cpu_s / elapsed_s * 100 for cpu_s in cpu_used_s],
                [_rss_mb(pid) for pid in pids],
            )


def _cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def _rss_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return int(line.split()[1]) / 1024
