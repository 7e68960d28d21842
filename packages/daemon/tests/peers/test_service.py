"""Tests of the peers service on loopback."""

import asyncio
import random
import socket

import aiohttp
import pytest

from dotterelweir_core import timers as core_timers
from dotterelweir_core.targets import model
from dotterelweir_logservice import api as platform_api
from dotterelweird import timers
from dotterelweird.peers import codec
from dotterelweird.peers import service
from dotterelweird.peers import snapshots
from dotterelweird.peers import transport
from dotterelweird.settings import model as settings_model

KEY = 'first key of 16+ bytes'
OTHER_KEY = 'other key of 16+ bytes'


async def wait_for(condition, limit_s=20.0):
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while not condition():
        assert loop.time() < deadline_s, 'the condition did not come true'
        await asyncio.sleep(0.02)


class Instance:
    """An instance on loopback with a snapshot of one offset."""

    def __init__(self, name, keys, seeds, offset):
        self.name = name
        self.offset = offset
        self.leaving = []
        self.reports = []
        self.ahead = []
        self.drops = []
        settings = settings_model.Settings(
            name,
            'a',
            settings_model.Platform('http://log', 'http://list'),
            settings_model.Peers(
                keys,
                period_s=0.1,
                seeds=tuple(
                    settings_model.Address('127.0.0.1', port) for port in seeds
                ),
            ),
        )
        timer = timers.LoopTimerService(asyncio.get_running_loop())
        self.service = service.PeersService(
            timer,
            random.Random(name),
            settings,
            lambda: f'snapshot {self.offset}'.encode(),
            lambda: self.offset,
            service.PeerCallbacks(
                lambda *notice: self.leaving.append(notice),
                self.reports.append,
                self.ahead.append,
                self.drops.append,
            ),
        )
        self.client = snapshots.SnapshotClient(
            timer, keys, self.service.snapshot_candidates
        )


@pytest.fixture
async def start():
    instances = []

    async def start_instance(name, keys=(KEY,), seeds=(), offset=-1):
        instance = Instance(name, keys, seeds, offset)
        instances.append(instance)
        await instance.service.start()
        return instance

    yield start_instance
    for instance in instances:
        await instance.client.close()
        await instance.service.stop()


async def test_instances_join_and_exchange_notices(start):
    """Guards against data from peers that does not reach the callbacks."""
    first = await start('i1', offset=7)
    second = await start('i2', seeds=[first.service.port])
    third = await start('i3', seeds=[first.service.port])
    all_names = {'i1', 'i2', 'i3'}
    await wait_for(
        lambda: all(
            set(i.service.live_instances('a')) == all_names
            for i in (first, second, third)
        )
    )
    first.service.announce_leaving('e1', 4)
    await wait_for(lambda: second.leaving and third.leaving)
    assert second.leaving == third.leaving == [('e1', 4)]
    first.service.announce_report(model.LoadReport('e2', 4, running=3))
    await wait_for(lambda: second.reports or third.reports)
    await wait_for(lambda: second.ahead == [7] and third.ahead == [7])
    await second.service.stop()
    await wait_for(lambda: set(first.service.live_instances()) == {'i1', 'i3'})


async def test_snapshot_from_a_peer_that_is_ahead(start):
    """Guards against an instance that cannot catch up with its peers."""
    first = await start('i1', offset=7)
    second = await start('i2', seeds=[first.service.port])
    assert await second.client.fetch_snapshot(7) == b'snapshot 7'
    assert await second.client.fetch_snapshot(8) is None
    await wait_for(lambda: second.ahead == [7])
    assert await second.client.fetch_snapshot(7) == b'snapshot 7'
    assert await first.client.fetch_snapshot(8) is None


async def test_instances_join_through_the_instance_list(start):
    """Guards against listed entry instances that are not contacted."""
    first = await start('i1', offset=7)
    second = await start('i2')
    listed_instances = [
        platform_api.ListedInstance(
            model.Target(
                instance.name, 1, 'dotterelweir', 'a', '127.0.0.1', port
            ),
            model.TargetState.LIVE,
        )
        for instance in (first, second)
        for port in [instance.service.port]
    ]
    second.service.set_listed_instances(listed_instances)
    assert await second.client.fetch_snapshot(7) == b'snapshot 7'
    await wait_for(lambda: set(first.service.live_instances()) == {'i1', 'i2'})


async def test_an_instance_with_another_key_is_rejected(start):
    """Guards against an instance that joins without a key of the group."""
    first = await start('i1', offset=7)
    other_instance = await start('i2', (OTHER_KEY,), [first.service.port])
    await wait_for(lambda: first.drops)
    assert set(first.drops) == {codec.DropReason.DIGEST.value}
    assert first.service.live_instances() == ('i1',)
    assert await other_instance.client.fetch_snapshot(0) is None
    rotated = await start('i3', (OTHER_KEY, KEY), [first.service.port], 3)
    assert await first.client.fetch_snapshot(0) is None
    assert await rotated.client.fetch_snapshot(0) is None


async def test_snapshot_during_key_rotation(start):
    """Guards against a key rotation that stops the exchange of snapshots."""
    first = await start('i1', (KEY, OTHER_KEY), offset=7)
    second = await start('i2', (OTHER_KEY, KEY), [first.service.port])
    assert await second.client.fetch_snapshot(7) == b'snapshot 7'


async def test_replayed_snapshot_requests_are_rejected(start, monkeypatch):
    """Guards against recorded or altered requests that are served."""
    first = await start('i1', offset=7)
    client = (await start('i2', seeds=[first.service.port])).client
    sent_requests = []
    get = aiohttp.ClientSession.get

    def record_request(session, url, headers):
        sent_requests.append((url, headers))
        return get(session, url, headers=headers)

    monkeypatch.setattr(aiohttp.ClientSession, 'get', record_request)
    assert await client.fetch_snapshot(7) == b'snapshot 7'
    url, headers = sent_requests[0]
    changed_headers = {**headers, snapshots.OFFSET_HEADER: '1'}
    incomplete_headers = {k: v for k, v in headers.items() if 'Nonce' not in k}
    invalid_time_headers = {**headers, snapshots.TIME_HEADER: '9' * 5000}
    async with aiohttp.ClientSession() as session:
        for tried_headers in (
            headers,
            changed_headers,
            incomplete_headers,
            invalid_time_headers,
            {},
        ):
            async with get(session, url, headers=tried_headers) as response:
                assert response.status == 403
                assert (await response.json())['code'] == 'peer-rejected'


async def test_a_snapshot_with_a_wrong_digest_is_rejected(start, monkeypatch):
    """Guards against a body that does not match its digest."""
    first = await start('i1', offset=7)
    second = await start('i2', seeds=[first.service.port])
    response_digests = first.service._server._response_digests
    monkeypatch.setattr(response_digests, 'sign', lambda data: b'\0' * 16)
    assert await second.client.fetch_snapshot(7) is None


async def test_an_unreachable_peer_raises_no_error(start):
    """Guards against an exception when no peer can be reached."""
    with socket.socket() as free:
        free.bind(('127.0.0.1', 0))
        port = free.getsockname()[1]
    instance = await start('i1', seeds=[port])
    assert await instance.client.fetch_snapshot(0) is None


def test_drops_are_logged_at_a_bounded_rate(caplog):
    """Guards against a log line for each of many rejected datagrams."""
    timer = core_timers.VirtualTimerService()
    counted_reasons = []
    drops = transport.DropLog(timer, counted_reasons.append)
    for _ in range(1000):
        drops.add(codec.DropReason.VERSION, '127.0.0.1')
        timer.advance(0.025)
    assert (
        len(counted_reasons) == drops.totals[codec.DropReason.VERSION] == 1000
    )
    logged_counts = [record.fields['count'] for record in caplog.records]
    assert len(logged_counts) == 3
    assert logged_counts[:2] == [1, 400]
