"""Tests of callers that exhaust memory and descriptors, with real processes.

Each test measures the memory and the descriptors of a process, so they run one
at a time. ``CROWD_SIZES`` has the numbers of connections, separated by commas.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random

import aiohttp
import pytest

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import crowds
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import trials

pytestmark = pytest.mark.serial

# Memory of the smallest machine, in MB; the process must stay within it.
MEMORY_MB = 88
MEMORY_BYTES_MAX = MEMORY_MB * 1_000_000
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
# Descriptors of a process unless a test lowers them.
FDS = 4_096
CROWD_SIZES = [
    int(size) for size in os.environ.get('CROWD_SIZES', '40').split(',')
]
# Number of times that an ordinary caller sends its request: one that is
# refused as not run may be sent again.
SENDS_MAX = 20
SEND_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 0.02


class Watch:
    """Records the largest number of open descriptors of a process.

    Args:
        node: The instance whose process is watched.

    Attributes:
        descriptors: Largest increase of the open descriptors.
    """

    def __init__(self, node: instances.Instance) -> None:
        self._node = node
        self._before = node.open_descriptors
        self.descriptors = 0

    async def run(self) -> None:
        """Samples until it is cancelled or the process has ended."""
        while self._node.running:
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                opened = self._node.open_descriptors - self._before
                self.descriptors = max(self.descriptors, opened)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def watched(node):
    watch = Watch(node)
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()


@contextlib.asynccontextmanager
async def started(tmp_path, fds=FDS):
    """Starts one gateway process before a service and two engines."""
    shop = fleet_engine.FakeEngine('shop')
    await shop.start()
    shop.behaviour.echo_body = False
    settings = (f'limits.memoryMb={MEMORY_MB}', f'limits.maxFds={fds}')
    trial = trials.Trial(tmp_path, 1, 2, 'model', settings=settings)
    await trial.store.write_json('keyed.servers', 'shop', shop.entry('plain'))
    try:
        async with trial:
            for engine in trial.engines.values():
                engine.behaviour.events = 400
                engine.behaviour.event_bytes = 16_384
                engine.behaviour.event_s = 0.002
            yield trial, shop
    finally:
        await shop.stop()


async def is_served(trial, route='read', body=b'x', sends_max=SENDS_MAX):
    """Whether an ordinary caller gets an answer, if need be by repeats."""
    for number in range(sends_max):
        answer = await trial.start_request(
            trial.nodes[0], route, f'ordinary-{number}', body
        )
        if answer.status == 200:
            return True
        await asyncio.sleep(SEND_INTERVAL_S)
    return False


def record(name, size, node, watch, alive):
    """Appends what was measured to the file that ``CROWD_FIGURES`` names."""
    path = os.environ.get('CROWD_FIGURES')
    if path:
        row = {
            'crowd': name,
            'connections': size,
            'alive': alive,
            'peak_mb': round(node.peak_memory_bytes / 1e6, 1) if alive else 0,
            'descriptors': watch.descriptors,
        }
        with pathlib.Path(path).open('a') as figures:
            figures.write(json.dumps(row) + '\n')


async def play(trial, kind, size, descriptors_max):
    """Plays a crowd and checks the process."""
    node = trial.nodes[0]
    process_id = node.process.pid
    async with watched(node) as watch:
        crowd = crowds.Crowd(kind, size, node.host, instances.CALLERS_PORT)
        async with crowd:
            await crowd.settle()
            served_beside = await is_served(trial)
        served_after = await is_served(trial)
    alive = node.running and node.process.pid == process_id
    record(kind.value, size, node, watch, alive)
    assert alive
    await node.wait_ready()
    assert node.peak_memory_bytes < MEMORY_BYTES_MAX
    assert watch.descriptors <= descriptors_max
    assert served_beside
    assert served_after


@pytest.mark.parametrize('size', CROWD_SIZES)
@pytest.mark.parametrize(
    'kind',
    [kind for kind in crowds.Kind if kind is not crowds.Kind.IDLE],
    ids=lambda kind: kind.value,
)
async def test_crowds_stay_within_the_memory(tmp_path, kind, size):
    """Guards against callers that exhaust the memory of a process."""
    async with started(tmp_path) as (trial, shop):
        if kind is crowds.Kind.COMPLETE:
            # Bodies are held until their answers.
            shop.behaviour.delay_s = 0.5
        if kind in (crowds.Kind.AHEAD, crowds.Kind.MIXTURE):
            shop.behaviour.answer_bytes = 1_048_576
        await play(trial, kind, size, FDS - RESERVED_FDS)


@pytest.mark.parametrize('size', CROWD_SIZES)
async def test_idle_connections_leave_descriptors_for_others(tmp_path, size):
    """Guards against idle callers that take the descriptors of others."""
    allowed = size // 2
    async with started(tmp_path, RESERVED_FDS + allowed) as (trial, _):
        await play(trial, crowds.Kind.IDLE, size, allowed)


async def test_a_single_large_request_is_served(tmp_path):
    """Guards against bounds that refuse a request inside the limits."""
    async with started(tmp_path) as (trial, shop):
        body = random.Random(1).randbytes(crowds.BODY_BYTES)
        assert await is_served(trial, 'read', body, sends_max=1)
        assert await is_served(trial, 'book', body, sends_max=1)
        assert shop.ran == ['ordinary-0', 'ordinary-0']
        assert trial.nodes[0].peak_memory_bytes < MEMORY_BYTES_MAX


async def test_a_single_caller_with_full_headers_is_served(tmp_path):
    """Guards against bounds on heads that refuse those inside the limits."""
    headers = fleet.request_headers('read', 'wide', 2_000)
    used = sum(len(name) + len(value) for name, value in headers.items())
    # The client adds some headers of its own.
    padding_bytes = (16_384 - used - 300) // 4
    for number in range(4):
        headers[f'X-Wide-{number}'] = 'x' * (padding_bytes - 8)
    async with started(tmp_path) as (trial, _):
        url = f'http://{trial.nodes[0].host}:{instances.CALLERS_PORT}/read/x'
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b'x') as answer,
        ):
            assert answer.status == 200
