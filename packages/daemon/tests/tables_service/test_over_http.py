"""Tests of instances that read a log over HTTP, in real time."""

import asyncio
import random

import aiohttp
from aiohttp import test_utils
import pytest

from dotterelweir_core import errors
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.platform import app as fake_app
from dotterelweir_fakes.platform import log as fake_log
from dotterelweir_logservice import http
from dotterelweird import timers
from dotterelweird.tables_service import checkpoints
from dotterelweird.tables_service import service

INSTANCES = 6
PROPAGATION_MAX_S = 1.0


def encode_edit(edit_id, read_offset):
    """Returns the record of an edit that sets one pool."""
    pool = model.Pool('p', targets_model.TargetKind.SERVICE, edit_id)
    return records.encode(
        records.EditRecord(edit_id, read_offset, put_pools=(pool,))
    )


@pytest.fixture
async def platform():
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    return fake_app.Platform(timer)


@pytest.fixture
async def client(platform):
    app = fake_app.create_app(platform)
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        yield http.HttpLogClient(session, str(server.make_url('/')), 2.0)


@pytest.fixture
async def services(client):
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    options = service.TablesOptions(
        'config', checkpoints.CheckpointOptions(1e6)
    )
    instances = [
        service.TablesService(client, timer, random.Random(seed), options)
        for seed in range(INSTANCES)
    ]
    tasks = [asyncio.ensure_future(item.run()) for item in instances]
    yield instances
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def wait_until_folded(services, offset):
    """Waits until all instances have folded the record at an offset."""
    async with asyncio.timeout(30.0):
        while any(item.offset < offset for item in services):
            await asyncio.sleep(0.002)


async def test_an_append_is_in_force_within_a_second(client, services):
    """Guards against a propagation delay of a poll interval over HTTP."""
    await client.append('config', (encode_edit('first', -1),), 5.0)
    await wait_until_folded(services, 0)
    loop = asyncio.get_running_loop()
    for offset in range(1, 6):
        began_s = loop.time()
        await client.append(
            'config', (encode_edit(f'e{offset}', offset - 1),), 5.0
        )
        await wait_until_folded(services, offset)
        assert loop.time() - began_s < PROPAGATION_MAX_S
    for item in services:
        assert item.tables.pools['p'].service == 'e5'
        assert item.tables.revision == 5


async def test_an_edit_whose_response_was_lost_counts_once(
    client, services, platform
):
    """Guards against a repeated append that takes effect twice."""
    await wait_until_folded(services, -1)
    data = encode_edit('lost', -1)
    platform.log.set_faults(fake_log.LogFaults(lose_responses=1))
    with pytest.raises(errors.DotterelweirError, match='log-unavailable'):
        await client.append('config', (data,), 5.0)
    await client.append('config', (encode_edit('other', 0), data), 5.0)
    await wait_until_folded(services, 2)
    for item in services:
        assert item.tables.pools['p'].service == 'other'
        assert item.tables.revision == 1
