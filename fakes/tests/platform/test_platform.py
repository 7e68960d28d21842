"""Tests of the stand-in for the platform."""

import asyncio
import signal
import subprocess
import sys

import aiohttp
from aiohttp import test_utils
import pytest

from dotterelweir_core import timers
from dotterelweir_fakes.platform import app
from dotterelweir_fakes.platform import instances
from dotterelweir_fakes.platform import log


def make_log(timer, **options):
    return log.MemoryLog(timer, log.LogOptions(**options))


def test_retention_by_age_and_count_keeps_offsets():
    """Guards against offsets that restart from 0 when records expire."""
    timer = timers.VirtualTimerService()
    memory_log = make_log(timer, retention_s=10.0, retention_records=3)
    memory_log.append('s', (b'a',))
    timer.advance(6.0)
    memory_log.append('s', (b'b',))
    timer.advance(6.0)
    assert memory_log.read('s', 1, 9).first_available_offset == 1
    with pytest.raises(log.LogRefusedError) as caught:
        memory_log.read('s', 0, 9)
    assert caught.value.status == 410
    assert memory_log.append('s', (b'c',) * 5) == (2, 6)
    assert memory_log.read('s', 4, 9).first_available_offset == 4
    timer.advance(20.0)
    page = memory_log.read('s', 7, 9)
    assert (page.first_available_offset, page.end_offset) == (7, 7)


def test_append_rate_recovers():
    """Guards against a rate limit that refuses no append or all of them."""
    timer = timers.VirtualTimerService()
    memory_log = make_log(timer, appends_per_s=2.0)
    memory_log.append('s', (b'a',))
    memory_log.append('t', (b'a',))
    with pytest.raises(log.LogRefusedError) as caught:
        memory_log.append('s', (b'a',))
    assert caught.value.status == 429
    timer.advance(0.5)
    assert memory_log.append('s', (b'a',)) == (1, 1)


async def test_long_poll_ends_at_its_timeout_and_at_an_outage():
    """Guards against long polls that do not end."""
    timer = timers.VirtualTimerService()
    service = log.LogService(timer, make_log(timer))
    first = asyncio.ensure_future(service.read('s', 0, 1, 5.0))
    second = asyncio.ensure_future(service.read('s', 0, 1, 9.0))
    await asyncio.sleep(0)
    assert service.waiting_reads == 2
    timer.advance(5.0)
    assert (await first).records == ()
    service.set_faults(log.LogFaults(down=True))
    with pytest.raises(log.LogRefusedError):
        await second


async def test_an_append_takes_effect_although_its_response_is_lost():
    """Guards against a lost response whose append has no effect."""
    timer = timers.VirtualTimerService()
    service = log.LogService(timer, make_log(timer))
    service.set_faults(log.LogFaults(lose_responses=1))
    with pytest.raises(log.ResponseLostError):
        await service.append('s', (b'a',))
    assert await service.append('s', (b'b',)) == (1, 1)


def test_list_changes_are_delayed():
    """Guards against changes that are visible without the platform's delay."""
    timer = timers.VirtualTimerService()
    listed = instances.MemoryInstances(timer, lag_s=3.0)
    listed.put(instances.InstanceRow('t', 's', 'z', 'h', 1))
    timer.advance(2.0)
    listed.delete('t')
    assert listed.rows() == ()
    timer.advance(1.0)
    assert [row.target_id for row in listed.rows()] == ['t']
    timer.advance(2.0)
    assert listed.rows() == ()


@pytest.mark.parametrize(
    'changes',
    [
        {'disk': {}},
        {'log': {'unknown': 1}},
        {'log': 1},
        {'instances': {'lag_s': 'soon'}, 'log': {'down': True}},
    ],
)
async def test_invalid_faults_change_nothing(changes):
    """Guards against an invalid fault that is ignored or partly applied."""
    platform = app.Platform(timers.VirtualTimerService())
    async with test_utils.TestClient(
        test_utils.TestServer(app.create_app(platform))
    ) as client:
        response = await client.post('/faults', json=changes)
        assert response.status == 400
        fault = {'instances': {'lag_s': 2}}
        assert (await client.post('/faults', json=fault)).status == 204
        faults = await (await client.get('/faults')).json()
    assert faults['instances'] == {'down': False, 'lag_s': 2.0}
    assert faults['log']['down'] is False


async def test_the_command_serves_registered_instances():
    """Guards against a command that cannot be started or stopped."""
    port = test_utils.unused_port()
    url = f'http://127.0.0.1:{port}/v1/instances'
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'dotterelweir_fakes',
        'platform',
        '--port',
        str(port),
        env={'PYTHONPATH': ':'.join(sys.path)},
        stdout=subprocess.DEVNULL,
    )
    row = {'service': 's', 'zone': 'z', 'host': '127.0.0.1', 'port': 1}
    try:
        async with aiohttp.ClientSession() as session:
            while True:
                assert process.returncode is None
                try:
                    response = await session.put(url + '/t', json=row)
                    break
                except aiohttp.ClientConnectorError:
                    await asyncio.sleep(0.02)
            assert response.status == 204
            listed = await (await session.get(url)).json()
    finally:
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    assert listed == [
        {'target_id': 't', **row, 'state': 'live', 'incarnation': 1}
    ]
