"""Cost of the relay against a bare aiohttp relay, in the same run.

Each relay runs in a process of its own, takes the same streams from the
same source and reports its own CPU time. Both run at the same time, so that
noise of the machine hits both.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import statistics
import sys
import time
import typing

import aiohttp
from aiohttp import web
import attrs
import click
import orjson

_BODY = {
    'messages': [{'role': 'user', 'content': 'hello'}],
    'stream': True,
}
_PATH = '/v1/chat/completions'
_START_TIMEOUT_S = 20.0


@attrs.frozen
class RelayCost:
    """Figures of one comparison; medians over the rounds.

    Attributes:
        bare_us: CPU per token of the bare relay, in microseconds.
        relay_us: CPU per token of the instance, in microseconds.
        cpu_ratio: The median of the ratios of each round.
        ratios: The ratio of each round.
        direct_first_ms: Median first token straight from the source, in ms.
        bare_first_ms: The same through the bare relay, in ms.
        relay_first_ms: The same through the instance, in ms.
        bare_rss_mb: Greatest memory of the bare relay, in MB.
        relay_rss_mb: Greatest memory of the instance, in MB.
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
class _Load:
    seconds: float
    first_ms: tuple[float, ...]
    tokens: int


@attrs.define
class _Process:
    """A subprocess with an HTTP port that it prints at its start."""

    process: asyncio.subprocess.Process
    url: str

    @classmethod
    async def start(cls, role: str, *arguments: str) -> typing.Self:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'dotterelweir_fakes.relay_processes',
            role,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            # The same code as in this process, wherever it is run from.
            env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
        )
        async with asyncio.timeout(_START_TIMEOUT_S):
            line = await process.stdout.readline()
        return cls(process, f'http://127.0.0.1:{int(line)}')

    async def usage(self, session: aiohttp.ClientSession) -> dict:
        async with session.get(f'{self.url}/usage') as response:
            return orjson.loads(await response.read())

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        await self.process.wait()


def run(
    streams: int = 100, tokens: int = 200, rounds: int = 5, seed: int = 1
) -> RelayCost:
    """Measures both relays.

    Args:
        streams: Streams at the same time.
        tokens: Tokens of each stream.
        rounds: Runs of each relay.
        seed: Seed of the order of the single requests.
    """
    return asyncio.run(_run(streams, tokens, rounds, random.Random(seed)))


async def _run(
    streams: int, tokens: int, rounds: int, rng: random.Random
) -> RelayCost:
    async with contextlib.AsyncExitStack() as stack:

        async def start(role: str, *arguments: str) -> _Process:
            process = await _Process.start(role, *arguments)
            stack.push_async_callback(process.stop)
            return process

        source = await start('source', str(tokens))
        relays = {
            'bare': await start('bare', source.url),
            'relay': await start('relay', source.url),
        }
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                headers={'X-Organisation': 'acme'},
            )
        )
        # Connections, imports and caches are warm after this.
        for process in relays.values():
            await _load(session, process.url, streams)
        costs = {name: [] for name in relays}
        for _ in range(rounds):
            before = await _usages(session, relays)
            loads = await asyncio.gather(
                *(_load(session, p.url, streams) for p in relays.values())
            )
            after = await _usages(session, relays)
            for name, load in zip(relays, loads, strict=True):
                cpu_s = after[name]['cpu_s'] - before[name]['cpu_s']
                costs[name].append(cpu_s * 1e6 / load.tokens)
        urls = {'direct': source.url} | {
            name: process.url for name, process in relays.items()
        }
        first = await _first_tokens(session, urls, rng)
        usages = await _usages(session, relays)
    ratios = tuple(
        relay / bare
        for relay, bare in zip(costs['relay'], costs['bare'], strict=True)
    )
    return RelayCost(
        bare_us=statistics.median(costs['bare']),
        relay_us=statistics.median(costs['relay']),
        cpu_ratio=statistics.median(ratios),
        ratios=ratios,
        direct_first_ms=first['direct'],
        bare_first_ms=first['bare'],
        relay_first_ms=first['relay'],
        bare_rss_mb=usages['bare']['rss_mb'],
        relay_rss_mb=usages['relay']['rss_mb'],
    )


async def _usages(
    session: aiohttp.ClientSession, relays: dict[str, _Process]
) -> dict[str, dict]:
    return {
        name: await process.usage(session) for name, process in relays.items()
    }


async def _load(
    session: aiohttp.ClientSession, url: str, streams: int
) -> _Load:
    started_s = time.perf_counter()
    results = await asyncio.gather(
        *(_stream(session, url) for _ in range(streams))
    )
    return _Load(
        time.perf_counter() - started_s,
        tuple(first_ms for first_ms, _ in results),
        sum(count for _, count in results),
    )


async def _stream(
    session: aiohttp.ClientSession, url: str, model: str = 'long'
) -> tuple[float, int]:
    """Time to the first token, in ms, and the number of tokens."""
    started_s = time.perf_counter()
    first_s = None
    count = 0
    tail = b''
    async with session.post(
        url + _PATH, json=_BODY | {'model': model}
    ) as response:
        async for chunk in response.content.iter_any():
            if first_s is None:
                first_s = time.perf_counter()
            count += chunk.count(b'"content"')
            tail = (tail + chunk)[-14:]
    if response.status != 200 or tail != b'data: [DONE]\n\n':
        raise RuntimeError(f'a stream was not whole: {response.status}')
    return (first_s - started_s) * 1e3, count


async def _first_tokens(
    session: aiohttp.ClientSession,
    urls: dict[str, str],
    rng: random.Random,
    samples: int = 200,
) -> dict[str, float]:
    """Median time to the first token of single requests, in ms."""
    times = {name: [] for name in urls}
    for _ in range(samples):
        for name in rng.sample(sorted(urls), len(urls)):
            first_ms, _ = await _stream(session, urls[name], 'short')
            times[name].append(first_ms)
    return {name: statistics.median(series) for name, series in times.items()}


def _peak_mb() -> float:
    # Not ru_maxrss, which keeps the peak of the process that forked this
    # one.
    status = pathlib.Path('/proc/self/status').read_text().splitlines()
    peak = next(line for line in status if line.startswith('VmHWM'))
    return int(peak.split()[1]) / 1024


async def usage(request: web.Request) -> web.Response:
    """CPU time and greatest memory of this process so far."""
    times = os.times()
    document = {
        'cpu_s': times.user + times.system,
        'rss_mb': _peak_mb(),
    }
    return web.Response(body=orjson.dumps(document))


@click.command()
@click.option('--streams', default=100, show_default=True)
@click.option('--tokens', default=200, show_default=True)
@click.option('--rounds', default=5, show_default=True)
@click.option('--seed', default=1, show_default=True)
def relay_cost(streams: int, tokens: int, rounds: int, seed: int) -> None:
    """Compares the relay's CPU per token with a bare aiohttp relay."""
    cost = run(streams, tokens, rounds, seed)
    for name, value in attrs.asdict(cost).items():
        click.echo(f'{name}: {value}')
