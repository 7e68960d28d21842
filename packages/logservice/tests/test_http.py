"""Tests of the HTTP adapters against the fake platform."""

import asyncio
import contextlib

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import pytest

from dotterelweir_core import errors
from dotterelweir_core.targets import model
from dotterelweir_fakes.platform import app as fake_app
from dotterelweir_fakes.platform import instances
from dotterelweir_fakes.platform import log as fake_log
from dotterelweir_logservice import http
from dotterelweird import timers

UNAVAILABLE = errors.ErrorKind.LOG_UNAVAILABLE


@pytest.fixture
async def platform():
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    return fake_app.Platform(
        timer, fake_log.LogOptions(appends_per_s=5.0, retention_records=3)
    )


@pytest.fixture
async def server(platform):
    async with test_utils.TestServer(fake_app.create_app(platform)) as server:
        yield server


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@contextlib.contextmanager
def raises_kind(kind, match=None):
    with pytest.raises(errors.DotterelweirError, match=match) as caught:
        yield
    assert caught.value.kind is kind


@contextlib.asynccontextmanager
async def serve_document(document):
    """Serves one JSON document for every request; yields the base URL."""
    app = web.Application()

    async def handle(_):
        return web.json_response(document)

    app.router.add_route('*', '/{path:.*}', handle)
    async with test_utils.TestServer(app) as server:
        yield str(server.make_url('/'))


@pytest.fixture
def log(server, session):
    return http.HttpLogClient(session, str(server.make_url('/')), 5.0)


async def test_records_come_back_as_they_were_appended(log):
    """Guards against records that are altered by their encoding."""
    assert await log.append('a/b', (b'\x00\xff', b''), 5.0) == (0, 1)
    page = await log.read('a/b', 0, 10, 0.0)
    assert [record.data for record in page.records] == [b'\x00\xff', b'']
    assert (page.first_available_offset, page.end_offset) == (0, 2)
    assert (await log.read('other', 7, 10, 0.0)).records == ()


async def test_a_long_poll_gets_the_record_that_it_waits_for(log, platform):
    """Guards against a waiting read that misses a new record."""
    read = asyncio.ensure_future(log.read('s', 0, 10, 30.0))
    for _ in range(10_000):
        if platform.log.waiting_reads:
            break
        await asyncio.sleep(0)
    await log.append('s', (b'x',), 5.0)
    assert [record.data for record in (await read).records] == [b'x']


async def test_reading_an_expired_offset_raises_log_gap(log):
    """Guards against an expired offset that is reported as an outage."""
    await log.append('s', (b'a', b'b', b'c', b'd'), 5.0)
    with raises_kind(errors.ErrorKind.LOG_GAP):
        await log.read('s', 0, 10, 0.0)


async def test_rate_limit_and_outage_raise_log_unavailable(log, platform):
    """Guards against a refused append that is reported as accepted."""
    for _ in range(5):
        await log.append('s', (b'x',), 5.0)
    with raises_kind(UNAVAILABLE, '429'):
        await log.append('s', (b'x',), 5.0)
    platform.log.set_faults(fake_log.LogFaults(down=True))
    with raises_kind(UNAVAILABLE, '503'):
        await log.read('s', 5, 1, 0.0)


async def test_a_lost_response_is_an_error_and_not_retried(log, platform):
    """Guards against a duplicate record from a retry in the HTTP client."""
    # Leaves an open connection in the pool, where a client would retry.
    await log.append('s', (b'x',), 5.0)
    platform.log.set_faults(fake_log.LogFaults(lose_responses=1))
    with pytest.raises(errors.DotterelweirError) as caught:
        await log.append('s', (b'y',), 5.0)
    assert caught.value.kind is UNAVAILABLE
    assert caught.value.execution is errors.Execution.UNKNOWN
    page = await log.read('s', 0, 10, 0.0)
    assert [record.data for record in page.records] == [b'x', b'y']


async def test_a_slow_log_is_read_and_a_hanging_log_times_out(
    server, session, platform
):
    """Guards against a slow log treated as down, and a read without end."""
    url = str(server.make_url('/'))
    platform.log.set_faults(fake_log.LogFaults(delay_s=0.2))
    slow = http.HttpLogClient(session, url, 0.1)
    assert (await slow.read('s', 0, 1, 0.0)).records == ()
    platform.log.set_faults(fake_log.LogFaults(delay_s=60.0))
    with raises_kind(UNAVAILABLE):
        await http.HttpLogClient(session, url, 0.1, 0.05).read('s', 0, 1, 0.0)


async def test_a_refused_connection_raises_log_unavailable(session):
    """Guards against network exceptions that are not converted."""
    url = f'http://127.0.0.1:{test_utils.unused_port()}'
    with raises_kind(UNAVAILABLE):
        await http.HttpLogClient(session, url, 1.0).append('s', (b'x',), 1.0)


async def test_list_and_grants_are_read(server, session, platform):
    """Guards against rows and grants that are lost or decoded wrongly."""
    url = str(server.make_url('/'))
    row = instances.InstanceRow('t', 's', 'z', '127.0.0.1', 1, 'leaving', 4)
    platform.instances.put(row)
    (listed,) = await http.HttpInstanceList(session, url, 5.0).fetch()
    assert listed.target == model.Target('t', 4, 's', 'z', '127.0.0.1', 1)
    assert listed.state is model.TargetState.LEAVING
    store = http.HttpWeightStore(session, url, 5.0)
    first = await store.grant('vendor/guide 7b')
    second = await store.grant('vendor/guide 7b')
    assert second.permitted_at_s >= first.permitted_at_s + 0.9
    platform.change_faults(
        {'instances': {'down': True}, 'weights': {'down': True}}
    )
    for call in (
        http.HttpInstanceList(session, url, 5.0).fetch(),
        store.grant('m'),
    ):
        with raises_kind(errors.ErrorKind.PLATFORM_UNAVAILABLE, '503'):
            await call


GOOD_ROW = dict.fromkeys(('target_id', 'service', 'zone', 'host'), 't')
GOOD_ROW |= {'port': 1, 'state': 'live', 'incarnation': 1}
PAGE = {'first_available_offset': 0, 'end_offset': 2}
RECORD = {'offset': 1, 'time_s': 1, 'data': ''}


@pytest.mark.parametrize(
    'answer',
    [
        [],
        'x',
        {**PAGE},
        {**PAGE, 'records': [{'offset': 1}]},
        {**PAGE, 'records': [{**RECORD, 'data': '%'}]},
        {**PAGE, 'records': [RECORD, RECORD]},
        {**PAGE, 'records': [], 'end_offset': '2'},
    ],
)
async def test_malformed_answers_raise_log_unavailable(session, answer):
    """Guards against an unexpected answer that stops the instance."""

    async with serve_document(answer) as url:
        log = http.HttpLogClient(session, url, 5.0)
        for call in (log.read('s', 0, 1, 0.0), log.append('s', (b'',), 5.0)):
            with raises_kind(UNAVAILABLE):
                await call


async def test_a_malformed_row_does_not_hide_the_others(session):
    """Guards against one malformed row that hides all targets."""
    bad = [{**GOOD_ROW, 'state': 'new'}, {**GOOD_ROW, 'port': 'x'}, 7, {}]

    async with serve_document([*bad, GOOD_ROW]) as url:
        listed = await http.HttpInstanceList(session, url, 5.0).fetch()
    assert [row.target.target_id for row in listed] == ['t']
