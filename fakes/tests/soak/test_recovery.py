"""Tests of the recovery of gateway processes after crashes."""

import asyncio
import signal
import time

import aiohttp
from aiohttp import web
import pytest

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.soak import instances

# Time within which a deployment serves again, in seconds; the users' limit.
_RECOVERY_TIMEOUT_S = 12.0


@pytest.fixture
async def store():
    fake_store = fleet_store.FakeStore()
    runner = web.AppRunner(fake_store.app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    fake_store.address = f'127.0.0.1:{runner.addresses[0][1]}'
    await fake_store.write_json('keyed.op', 'config', fleet.configuration())
    yield fake_store
    await runner.cleanup()


@pytest.fixture
async def shop(store):
    engine = fleet_engine.FakeEngine('shop-1')
    await engine.start()
    await store.write_json('keyed.servers', 'shop-1', engine.entry('plain'))
    yield engine
    await engine.stop()


async def wait_until_served(node, timeout_s):
    """Waits until an instance serves a call; returns the time in seconds."""
    started_s = time.monotonic()
    number = 0
    async with (
        asyncio.timeout(timeout_s),
        aiohttp.ClientSession() as session,
    ):
        while True:
            number += 1
            try:
                async with session.post(
                    f'http://{node.host}:{instances.CALLERS_PORT}/book/x',
                    headers=fleet.request_headers('book', f'r{number}', 1000),
                ) as answer:
                    if answer.status == 200:
                        return time.monotonic() - started_s
            except aiohttp.ClientError:
                # The process does not listen yet.
                pass
            await asyncio.sleep(0.05)


async def wait_for_calls(store, count):
    """Waits until the store has received a number of further calls."""
    expected_calls = sum(store.calls.values()) + count
    async with asyncio.timeout(instances.READY_TIMEOUT_S):
        while sum(store.calls.values()) < expected_calls:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('fault', ['', 'failing', 'silent'])
async def test_all_instances_serve_again_after_kill(
    tmp_path, store, shop, fault
):
    """Guards against a deployment that does not recover by itself.

    All instances are killed and restarted. The store may be unavailable when
    they start and become available later.
    """
    nodes = [
        instances.Instance(number, tmp_path, store.address)
        for number in (1, 2, 3)
    ]
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await wait_until_served(node, instances.READY_TIMEOUT_S)
        for node in nodes:
            node.send_signal(signal.SIGKILL)
        for node in nodes:
            node.process.wait()
        if fault:
            setattr(store, fault, True)
        for node in nodes:
            node.start()
        if fault:
            await wait_for_calls(store, 2 * len(nodes))
            setattr(store, fault, False)
        for node in nodes:
            await wait_until_served(node, _RECOVERY_TIMEOUT_S)
    finally:
        for node in nodes:
            await node.stop()


async def test_instance_without_store_starts_from_peers(tmp_path, store, shop):
    """Guards against a start that needs the store although peers serve."""
    first = instances.Instance(1, tmp_path, store.address)
    # Nothing listens on the store address of the second instance.
    second = instances.Instance(2, tmp_path, '127.0.0.1:9')
    try:
        first.start()
        await wait_until_served(first, instances.READY_TIMEOUT_S)
        second.start()
        await wait_until_served(second, _RECOVERY_TIMEOUT_S)
    finally:
        for node in (first, second):
            await node.stop()
