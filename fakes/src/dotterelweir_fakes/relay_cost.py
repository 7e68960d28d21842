"""Compares the cost of an instance with that of a bare aiohttp relay.

The bare relay and a complete instance (the daemon with the stand-in for the
platform) relay the same streams from the same source, each in a process of
its own. Both are loaded at the same time, so that other load on the machine
affects both. CPU time and memory are read from /proc.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import statistics
import tempfile
import time

import aiohttp
import attrs
import click

from dotterelweir_fakes.demo import cluster as cluster_module
from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.engine import tokens as engine_tokens
from dotterelweir_fakes.load import workload

_BODY = {
    'messages': [{'role': 'user', 'content': 'hello'}],
    'stream': True,
}
_PATH = '/v1/chat/completions'
_START_TIMEOUT_S = 20.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_DEPLOYMENT = workload.Deployment(
    'relay-cost', ('a',), 'llm', 'shop', 'm', '/book', '/look'
)
_LONG_MODEL = 'm-long'
_SHORT_MODEL = 'm-short'


@attrs.frozen
class RelayCost:
    """Results of one comparison.

    The CPU figures are medians over the rounds, those of the first token are
    medians over single requests.

    Attributes:
        bare_us: CPU time per token of the bare relay, in microseconds.
        relay_us: CPU time per token of the instance, in microseconds.
        cpu_ratio: Median of ``ratios``.
        ratios: CPU time per token of the instance divided by that of the
            bare relay, one value for each round.
        direct_first_ms: Median time to the first token when the source is
            called directly, in ms.
        bare_first_ms: Median time to the first token through the bare
            relay, in ms.
        relay_first_ms: Median time to the first token through the instance,
            in ms.
        bare_rss_mb: Peak resident memory of the bare relay, in MB.
        relay_rss_mb: Peak resident memory of the instance, in MB.
    """

    bare_us: float
    relay_us: float
    cpu_ratio: float
    ratios: tuple[float, ...]
    direct_first_ms: float
    bare_first_ms: float
    relay_first_ms: float
    bare_rss_mb: float
    relay_rss_mb: float


@attrs.frozen
class _LoadResult:
    """Result of one batch of concurrent streams.

    Attributes:
        seconds: Duration of the batch, in seconds.
        first_ms: Time to the first token of each stream, in ms.
        tokens: Tokens received over all streams.
    """

    seconds: float
    first_ms: tuple[float, ...]
    tokens: int


@attrs.frozen
class _ServerProcess:
    """A process that serves streams: the source or one of the relays.

    Attributes:
        url: Base URL of the port that callers use.
        pid: Process id.
    """

    url: str
    pid: int

    def cpu_s(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        # The process name in parentheses may contain blanks. User and system
        # time are the 12th and 13th field after it.
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def peak_mb(self) -> float:
        """Returns the peak resident memory so far, in MB.

        Reads VmHWM, because ru_maxrss includes the peak of the process that
        forked this one.
        """
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        lines = status.splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) / 1024


def run(
    streams: int = 100, tokens: int = 200, rounds: int = 5, seed: int = 1
) -> RelayCost:
    """Measures the bare relay and an instance.

    Args:
        streams: Number of concurrent streams for each relay.
        tokens: Number of tokens in each stream.
        rounds: Number of measured rounds.
        seed: Seed of the order in which single requests are sent.

    Returns:
        The medians over the rounds and over the single requests.

    Raises:
        RuntimeError: The tables were not applied, or a stream was
            incomplete.
        TimeoutError: The instance did not serve requests in time.
    """
    return asyncio.run(_run(streams, tokens, rounds, random.Random(seed)))


async def _run(
    streams: int, tokens: int, rounds: int, rng: random.Random
) -> RelayCost:
    async with contextlib.AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        group = await stack.enter_async_context(
            processes.ProcessGroup(pathlib.Path(directory))
        )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                headers={'X-Organisation': 'acme'},
            )
        )
        source = await _start_role(group, 'source', str(tokens))
        relays = {
            'bare': await _start_role(group, 'bare', source.url),
            'relay': await _start_instance(group, session, source),
        }
        # Warms up connections, imports and caches before the first round.
        for relay in relays.values():
            await _run_streams(session, relay.url, streams)
        costs_us = {name: [] for name in relays}
        for _ in range(rounds):
            cpu_before_s = {name: r.cpu_s() for name, r in relays.items()}
            results = await asyncio.gather(
                *(
                    _run_streams(session, r.url, streams)
                    for r in relays.values()
                )
            )
            for name, result in zip(relays, results, strict=True):
                cpu_s = relays[name].cpu_s() - cpu_before_s[name]
                costs_us[name].append(cpu_s * 1e6 / result.tokens)
        urls = {'direct': source.url} | {
            name: relay.url for name, relay in relays.items()
        }
        first_token_ms = await _median_first_token_ms(session, urls, rng)
        peaks_mb = {name: r.peak_mb() for name, r in relays.items()}
    ratios = tuple(
        relay / bare
        for relay, bare in zip(
            costs_us['relay'], costs_us['bare'], strict=True
        )
    )
    return RelayCost(
        bare_us=statistics.median(costs_us['bare']),
        relay_us=statistics.median(costs_us['relay']),
        cpu_ratio=statistics.median(ratios),
        ratios=ratios,
        direct_first_ms=first_token_ms['direct'],
        bare_first_ms=first_token_ms['bare'],
        relay_first_ms=first_token_ms['relay'],
        bare_rss_mb=peaks_mb['bare'],
        relay_rss_mb=peaks_mb['relay'],
    )


async def _start_role(
    group: processes.ProcessGroup, role: str, argument: str
) -> _ServerProcess:
    """Starts the source or the bare relay and waits for its port."""
    (port,) = processes.free_ports(1)
    child = await group.start(
        role, 'dotterelweir_fakes.relay_processes', role, str(port), argument
    )
    await processes.wait_for_port(port, child)
    return _ServerProcess(f'http://127.0.0.1:{port}', child.process.pid)


async def _start_instance(
    group: processes.ProcessGroup,
    session: aiohttp.ClientSession,
    source: _ServerProcess,
) -> _ServerProcess:
    """Starts the platform and an instance whose only engine is the source.

    Raises:
        RuntimeError: The tables were not applied.
        TimeoutError: The instance did not serve requests in time.
    """
    cluster = cluster_module.Cluster(_DEPLOYMENT, group, session, seed=1)
    await cluster.start_platform()
    port = int(source.url.rpartition(':')[2])
    await cluster.register('e1', _DEPLOYMENT.engine_service, 'a', port, 1)
    instance = await cluster.start_instance('i1', 0)
    client = await group.start(
        'apply',
        'dotterelweir_cli',
        '--log-url',
        cluster.platform_url,
        'apply',
        str(cluster.write_tables(group.directory)),
    )
    if await client.wait() != 0:
        raise RuntimeError(f'the tables were not applied: {client.output()}')
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not await _is_ready(session, instance.caller_url):
            await asyncio.sleep(0.1)
    return _ServerProcess(instance.caller_url, instance.child.process.pid)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    """Returns whether the instance has a route and an engine to use."""
    async with session.post(
        url + _PATH, json=_BODY | {'model': _SHORT_MODEL}
    ) as response:
        await response.read()
        return response.status == 200


async def _run_streams(
    session: aiohttp.ClientSession, url: str, streams: int
) -> _LoadResult:
    """Runs concurrent streams and waits for all of them."""
    started_s = time.perf_counter()
    results = await asyncio.gather(
        *(_measure_stream(session, url) for _ in range(streams))
    )
    return _LoadResult(
        time.perf_counter() - started_s,
        tuple(first_ms for first_ms, _ in results),
        sum(token_count for _, token_count in results),
    )


async def _measure_stream(
    session: aiohttp.ClientSession, url: str, model: str = _LONG_MODEL
) -> tuple[float, int]:
    """Returns the time to the first token, in ms, and the token count.

    Raises:
        RuntimeError: The stream was refused or incomplete.
    """
    started_s = time.perf_counter()
    first_token_s = None
    token_count = 0
    tail = b''
    async with session.post(
        url + _PATH, json=_BODY | {'model': model}
    ) as response:
        async for chunk in response.content.iter_any():
            if first_token_s is None:
                first_token_s = time.perf_counter()
            token_count += chunk.count(b'"content"')
            tail = (tail + chunk)[-1000:]
    if response.status != 200 or not tail.endswith(engine_tokens.END_MARK):
        raise RuntimeError(f'a stream was incomplete: {tail[-300:]!r}')
    return (first_token_s - started_s) * 1e3, token_count


async def _median_first_token_ms(
    session: aiohttp.ClientSession,
    urls: dict[str, str],
    rng: random.Random,
    samples: int = 200,
) -> dict[str, float]:
    """Returns the median time to the first token at each URL, in ms.

    Requests are sent one at a time, in random order of the URLs.
    """
    times_ms = {name: [] for name in urls}
    for _ in range(samples):
        for name in rng.sample(sorted(urls), len(urls)):
            first_ms, _ = await _measure_stream(
                session, urls[name], _SHORT_MODEL
            )
            times_ms[name].append(first_ms)
    return {
        name: statistics.median(samples_ms)
        for name, samples_ms in times_ms.items()
    }


@click.command()
@click.option('--streams', default=100, show_default=True)
@click.option('--tokens', default=200, show_default=True)
@click.option('--rounds', default=5, show_default=True)
@click.option('--seed', default=1, show_default=True)
def relay_cost(streams: int, tokens: int, rounds: int, seed: int) -> None:
    """Compares the CPU time per token with that of a bare aiohttp relay."""
    cost = run(streams, tokens, rounds, seed)
    for name, value in attrs.asdict(cost).items():
        click.echo(f'{name}: {value}')
