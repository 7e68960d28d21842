"""Tests of copies of runs between stand-in engines."""

import asyncio
import contextlib

import aiohttp
import pytest

from dotterelweir_fakes.fleet import copies
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import engines as soak_engines
from dotterelweir_fakes.soak import guarantees

COPY_S = 0.03
# Address at which nothing listens.
UNKNOWN = '127.0.0.1:9'


class Rig:
    """Three engines in a network, and their caller.

    Attributes:
        network: The network.
        ledger: Records the runs.
        engines: The engines.
        session: Session of the caller.
    """

    def __init__(self, session):
        self.session = session
        self.network = copies.CopyNetwork(1)
        self.ledger = guarantees.Ledger()
        self.engines = []
        self.bodies = {}
        self._tasks = []

    async def add_engines(self, count):
        for number in range(count):
            engine = soak_engines.SoakEngine(f'engine-{number}', self.ledger)
            engine.copies = self.network.add(engine)
            engine.behaviour = fleet_engine.Behaviour(
                events=100_000, event_s=0.002, copy_s=(COPY_S, COPY_S)
            )
            await engine.start()
            self.engines.append(engine)

    async def send(self, engine, request_id='r', **headers):
        """Sends a request; returns its status and whether it was whole."""
        headers = {name.replace('_', '-'): v for name, v in headers.items()}
        headers |= {
            'X-Attempt-Id': request_id,
            'X-Expect-Instance': engine.target_id,
            'X-Token-Usage': '1,1',
        }
        url = f'http://{engine.address}/'
        body = self.bodies[request_id] = bytearray()
        async with self.session.post(url, headers=headers) as answer:
            try:
                async for piece in answer.content.iter_any():
                    body += piece
            except aiohttp.ClientError:
                return answer.status, False
            return answer.status, True

    async def begin(self, engine, request_id='r', **headers):
        """Sends a request and waits until it runs; returns its answer."""
        begun = len(engine.ran)
        task = self.spawn(self.send(engine, request_id, **headers))
        await wait_for(
            lambda: len(engine.ran) > begun and engine.events_made(request_id)
        )
        return task

    async def move(self, source, to, last, request_id='r'):
        """Orders a copy; returns status and body."""
        order = {'id': request_id, 'to': to, 'last': last}
        url = f'http://{source.address}/-/kv-move'
        async with self.session.post(url, json=order) as answer:
            if await answer.read():
                return answer.status, await answer.json()
            return answer.status, {}

    async def release(self, engine, handle):
        url = f'http://{engine.address}/-/kv-handle/{handle}'
        async with self.session.delete(url) as answer:
            assert answer.status == 200

    async def is_taken(self, engine, source, name, request_id='r'):
        """Returns whether an engine runs a request that names a copy."""
        events = engine.behaviour.events
        engine.behaviour.events = 3
        ran = len(engine.ran)
        status, _ = await self.send(
            engine,
            request_id,
            Kv_From=f'{source.address}/{name}',
            Last_Event_Id='1',
        )
        engine.behaviour.events = events
        assert (status == 200) == (len(engine.ran) == ran + 1)
        return status == 200

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for engine in self.engines:
            await engine.stop()


@pytest.fixture
async def rig():
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        made = Rig(session)
        await made.add_engines(3)
        yield made
        await made.close()


@pytest.fixture
def gate(monkeypatch):
    """Holds copies back until it is set."""
    opened = asyncio.Event()

    async def wait(time_s):
        await opened.wait()

    monkeypatch.setattr(copies, '_sleep_until', wait)
    return opened


async def wait_for(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


def now_s():
    return asyncio.get_running_loop().time()


async def test_answer_comes_with_the_complete_copy(rig):
    """Guards against an answer before the copy and a run that pauses."""
    a, b, _ = rig.engines
    run = await rig.begin(a)
    begun_s = now_s()
    made = a.events_made('r')
    status, body = await rig.move(a, b.address, last=False)
    assert now_s() - begun_s >= COPY_S
    assert status == 200
    assert body['created'] > made
    assert not run.done()
    assert a.stopped_runs == {}


@pytest.mark.parametrize('is_source_shared', [True, False])
async def test_copies_queue_on_both_links(rig, is_source_shared):
    """Guards against copies that share a link at full speed each."""
    a, b, c = rig.engines
    await rig.begin(a, 'r1')
    if is_source_shared:
        await rig.begin(a, 'r2')
        second = rig.move(a, c.address, False, 'r2')
    else:
        await rig.begin(c, 'r2')
        second = rig.move(c, b.address, False, 'r2')
    begun_s = now_s()
    await asyncio.gather(rig.move(a, b.address, False, 'r1'), second)
    assert now_s() - begun_s >= 2 * COPY_S


async def test_crossed_copies_complete(rig):
    """Guards against orders that wait for each other's links for ever."""
    a, b, _ = rig.engines
    await rig.begin(a, 'r1')
    await rig.begin(b, 'r2')
    async with asyncio.timeout(10):
        answers = await asyncio.gather(
            rig.move(a, b.address, False, 'r1'),
            rig.move(b, a.address, False, 'r2'),
        )
    assert [status for status, _ in answers] == [200, 200]
    handles = {body['handle'] for _, body in answers}
    assert len(handles) == 2


async def test_repeated_copy_takes_its_share(rig, gate):
    """Guards against repeats at full length and repeats that do not queue."""
    a, b, c = rig.engines
    rig.network.repeat_share = 0.5
    await rig.begin(a)
    for destination, share in ((b, 1), (c, 1), (b, 0.5)):
        begun_s = now_s()
        before_s = max(a.copies.free_s, destination.copies.free_s)
        gate.clear()
        order = rig.spawn(rig.move(a, destination.address, False))
        await wait_for(lambda time_s=before_s: a.copies.free_s > time_s)
        free_s = a.copies.free_s
        assert free_s == destination.copies.free_s
        assert free_s >= max(before_s, begun_s) + share * COPY_S - 1e-9
        assert free_s <= max(before_s, now_s()) + share * COPY_S + 1e-9
        gate.set()
        assert (await order)[0] == 200


async def test_durations_follow_the_seed(rig):
    """Guards against a run that can't be played again with its seed."""
    ranges = [copies.CopyNetwork(7).rng.uniform(0.1, 0.2) for _ in range(2)]
    assert ranges[0] == ranges[1]
    assert copies.CopyNetwork(8).rng.uniform(0.1, 0.2) != ranges[0]


async def test_last_order_stops_the_run_before_the_copy(rig, gate):
    """Guards against a run that goes on during its last copy."""
    a, b, _ = rig.engines
    run = await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last=True))
    assert await run == (200, False)
    assert not order.done()
    assert b.copies.slots_used == 1
    gate.set()
    status, body = await order
    assert status == 200
    created = body['created']
    assert b'id: %d\n' % created in rig.bodies['r']
    assert b'id: %d\ndata: token' % (created + 1) not in rig.bodies['r']


async def test_incomplete_copy_is_not_used(rig, gate):
    """Guards against a destination that runs from half of a copy."""
    a, b, _ = rig.engines
    await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last=True))
    await wait_for(lambda: b.copies.slots_used)
    assert not await rig.is_taken(b, a, 'h1')
    gate.set()
    assert (await order)[1]['handle'] == 'h1'
    assert await rig.is_taken(b, a, 'h1')


async def test_stop_after_the_last_event_leaves_no_whole_stream(rig):
    """Guards against a regular end of a stream whose run was stopped."""
    a, b, _ = rig.engines
    a.behaviour.events = 1
    a.behaviour.event_s = 60.0
    run = await rig.begin(a)
    assert (await rig.move(a, b.address, last=True))[0] == 200
    assert await run == (200, False)


@pytest.mark.parametrize('first_is_last', [True, False])
async def test_order_beside_another_is_refused(rig, gate, first_is_last):
    """Guards against a second copy beside the first, and a second stop."""
    a, b, c = rig.engines
    run = await rig.begin(a)
    first = rig.spawn(rig.move(a, b.address, first_is_last))
    await wait_for(lambda: b.copies.slots_used)
    stopped = dict(a.stopped_runs)
    assert bool(stopped) == first_is_last
    for last in (False, True):
        assert await rig.move(a, c.address, last) == (409, {})
    assert a.stopped_runs == stopped
    gate.set()
    assert (await first)[0] == 200
    assert c.copies.slots_used == 0
    if not first_is_last:
        assert not run.done()
        assert (await rig.move(a, c.address, last=True))[0] == 200


async def test_unknown_runs(rig):
    """Guards against copies of runs that are stopped, ended or elsewhere."""
    a, b, _ = rig.engines
    assert await rig.move(a, b.address, False) == (404, {})
    await rig.begin(a)
    assert await rig.move(b, a.address, False) == (404, {})
    await rig.move(a, b.address, last=True)
    for last in (False, True):
        assert await rig.move(a, b.address, last) == (404, {})
    a.behaviour.events = 1
    assert await rig.send(a, 'short') == (200, True)
    assert await rig.move(a, b.address, True, 'short') == (404, {})
    assert 'short' not in a.stopped_runs


@pytest.mark.parametrize('reason', ['unknown', 'down', 'slots', 'share'])
@pytest.mark.parametrize('last', [True, False])
async def test_copy_without_a_destination(rig, reason, last):
    """Guards against a refusal that loses the memory or stops too much."""
    a, b, c = rig.engines
    match reason:
        case 'down':
            await b.stop()
        case 'slots':
            b.behaviour.copy_slots = 0
        case 'share':
            b.behaviour.copy_full_share = 1.0
    to = UNKNOWN if reason == 'unknown' else b.address
    run = await rig.begin(a)
    status, body = await rig.move(a, to, last)
    assert status == 503
    if not last:
        assert body == {}
        assert not run.done()
        return
    assert list(body) == ['handle']
    assert await run == (200, False)
    if reason != 'down':
        assert not await rig.is_taken(b, a, body['handle'])
    assert not await rig.is_taken(c, a, body['handle'])
    assert await rig.is_taken(a, a, body['handle'])
    assert not await rig.is_taken(a, a, body['handle'])


async def test_destination_ends_during_the_copy(rig, gate):
    """Guards against a copy that is complete at an engine that has ended."""
    a, b, _ = rig.engines
    await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last=True))
    await wait_for(lambda: b.copies.slots_used)
    b.crash()
    gate.set()
    status, body = await order
    assert status == 503
    assert await rig.is_taken(a, a, body['handle'])


async def test_copies_end_with_their_engine(rig):
    """Guards against an engine that starts again and still holds copies."""
    a, b, _ = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=True)
    b.crash()
    await b.start_again()
    assert not await rig.is_taken(b, a, body['handle'])
    a.crash()
    await a.start_again()
    assert not await rig.is_taken(a, a, body['handle'])


async def test_copy_outlives_its_source(rig):
    """Guards against a copy that is lost with the source of the run."""
    a, b, _ = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=True)
    a.crash()
    assert await rig.is_taken(b, a, body['handle'])
    assert not await rig.is_taken(b, a, body['handle'])


async def test_source_ends_during_the_copy(rig, gate):
    """Guards against a slot that half of a copy occupies for ever."""
    a, b, _ = rig.engines
    await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last=True))
    await wait_for(lambda: b.copies.slots_used)
    a.crash()
    with pytest.raises(aiohttp.ClientError):
        await order
    assert b.copies.slots_used == 1
    gate.set()
    await wait_for(lambda: b.copies.slots_used == 0)


@pytest.mark.parametrize('at_source', [True, False])
async def test_handle_serves_once_at_one_end(rig, at_source):
    """Guards against a run that goes on at both ends of its copy."""
    a, b, c = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=True)
    handle = body['handle']
    assert not await rig.is_taken(c, a, handle)
    assert not await rig.is_taken(b, a, handle, 'other')
    assert not await rig.is_taken(b, c, handle)
    assert await rig.is_taken(a if at_source else b, a, handle)
    assert not await rig.is_taken(a, a, handle)
    assert not await rig.is_taken(b, a, handle)
    assert b.copies.slots_used == 0


async def test_source_that_runs_refuses_its_handle(rig):
    """Guards against a second run beside the first at the source."""
    a, b, _ = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=False)
    assert not await rig.is_taken(a, a, body['handle'])


async def test_handle_of_before_a_stop_is_gone_after_the_next(rig):
    """Guards against handles that serve again after a run went back."""
    a, b, c = rig.engines
    await rig.begin(a)
    _, early = await rig.move(a, b.address, last=False)
    _, final = await rig.move(a, c.address, last=True)
    await rig.begin(
        a, Kv_From=f'{a.address}/{final["handle"]}', Last_Event_Id='1'
    )
    await rig.move(a, UNKNOWN, last=True)
    assert not await rig.is_taken(a, a, early['handle'])


async def test_run_that_went_back_is_stopped_again(rig):
    """Guards against a source that forgets a run that it took back."""
    a, b, _ = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, UNKNOWN, last=True)
    first_s = a.stopped_runs['r']
    run = await rig.begin(
        a, Kv_From=f'{a.address}/{body["handle"]}', Last_Event_Id='1'
    )
    status, again = await rig.move(a, b.address, last=True)
    assert status == 200
    assert again['handle'] != body['handle']
    assert await run == (200, False)
    assert a.stopped_runs['r'] > first_s


@pytest.mark.parametrize('last', [True, False])
async def test_closed_call_does_not_end_the_copy(rig, gate, last):
    """Guards against a stop that is undone when its caller gives up."""
    a, b, c = rig.engines
    run = await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last))
    await wait_for(lambda: b.copies.slots_used)
    order.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await order
    assert (await rig.move(a, c.address, last))[0] == 409
    gate.set()
    await wait_for(lambda: not a.copies.is_copying)
    assert b.copies.slots_used == 1
    if last:
        assert await run == (200, False)
        assert (await rig.move(a, c.address, last))[0] == 404


async def test_copies_occupy_slots_until_they_are_released(rig, gate):
    """Guards against slots that are never free or never occupied."""
    a, b, _ = rig.engines
    b.behaviour.copy_slots = 1
    await rig.begin(a, 'r1')
    await rig.begin(a, 'r2')
    first = rig.spawn(rig.move(a, b.address, False, 'r1'))
    await wait_for(lambda: b.copies.slots_used)
    assert (await rig.move(a, b.address, False, 'r2'))[0] == 503
    gate.set()
    _, body = await first
    # A repeat needs no second slot.
    _, repeated = await rig.move(a, b.address, False, 'r1')
    await rig.release(a, body['handle'])
    assert (await rig.move(a, b.address, False, 'r2'))[0] == 503
    await rig.release(a, repeated['handle'])
    assert (await rig.move(a, b.address, False, 'r2'))[0] == 200


async def test_release_at_the_source_frees_both_ends(rig):
    """Guards against memory that stays at one end of a released copy."""
    a, b, _ = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=True)
    await rig.release(a, body['handle'])
    assert b.copies.slots_used == 0
    assert not await rig.is_taken(b, a, body['handle'])
    assert not await rig.is_taken(a, a, body['handle'])


async def test_release_at_the_destination_frees_the_copy(rig):
    """Guards against a destination that frees memory of the source."""
    a, b, _ = rig.engines
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=True)
    await rig.release(b, body['handle'])
    assert not await rig.is_taken(b, a, body['handle'])
    assert await rig.is_taken(a, a, body['handle'])


async def test_copies_expire(rig):
    """Guards against copies that are kept for ever."""
    a, b, _ = rig.engines
    rig.network.handle_s = 0.02
    await rig.begin(a)
    _, body = await rig.move(a, b.address, last=True)
    await wait_for(lambda: b.copies.slots_used == 0)
    expired_s = now_s()
    await wait_for(lambda: now_s() > expired_s + 0.03)
    assert not await rig.is_taken(b, a, body['handle'])
    assert not await rig.is_taken(a, a, body['handle'])


async def test_kept_copy(rig):
    """Guards against kept copies at other engines, before and after."""
    a, b, c = rig.engines
    assert not await rig.is_taken(b, b, 'r')
    await rig.begin(a, X_Kv_Backup=b.address)
    assert not await rig.is_taken(c, b, 'r')
    assert not await rig.is_taken(b, a, 'r')
    assert not await rig.is_taken(b, b, 'other')
    a.crash()
    assert await rig.is_taken(b, b, 'r')
    assert not await rig.is_taken(b, b, 'r')


async def test_kept_copy_ends_with_its_run(rig):
    """Guards against kept copies of runs that are complete."""
    a, b, _ = rig.engines
    a.behaviour.events = 3
    assert await rig.send(a, X_Kv_Backup=b.address) == (200, True)
    assert not await rig.is_taken(b, b, 'r')


async def test_kept_copy_expires(rig):
    """Guards against kept copies that stay for ever after their source."""
    a, b, _ = rig.engines
    rig.network.handle_s = 0.02
    await rig.begin(a, X_Kv_Backup=b.address)
    begun_s = now_s()
    # It does not expire while its source sends.
    await wait_for(lambda: now_s() > begun_s + 0.03)
    assert b.copies._kept['r'].is_held(now_s())
    a.crash()
    await wait_for(lambda: not a.events_made('r'))
    ended_s = now_s()
    await wait_for(lambda: now_s() > ended_s + 0.03)
    assert not await rig.is_taken(b, b, 'r')


async def test_kept_copy_of_a_later_run_outlives_an_earlier_end(rig):
    """Guards against the end of one run that drops the copy of the next."""
    a, b, c = rig.engines
    rig.network.handle_s = 0.0
    await rig.begin(a, X_Kv_Backup=b.address)
    await rig.begin(c, X_Kv_Backup=b.address)
    a.crash()
    await wait_for(lambda: not a.events_made('r'))
    assert await rig.is_taken(b, b, 'r')


async def test_stop_ends_a_pause(rig):
    """Guards against a preempted run that stops only after its pause."""
    a, b, _ = rig.engines
    a.behaviour.pause_after, a.behaviour.pause_s = 2, 60.0
    run = await rig.begin(a)
    await wait_for(lambda: 'r' in a._paused)
    status, body = await rig.move(a, b.address, last=True)
    assert (status, body['created']) == (200, 2)
    assert await run == (200, False)
    assert b'id: 3' not in rig.bodies['r']


async def test_preempted_run_may_be_unknown(rig):
    """Guards against a stop of a preempted run that is reported unknown."""
    a, b, _ = rig.engines
    a.behaviour.preempted_unknown = True
    a.behaviour.pause_after, a.behaviour.pause_s = 2, 60.0
    run = await rig.begin(a)
    await wait_for(lambda: 'r' in a._paused)
    assert await rig.move(a, b.address, last=True) == (404, {})
    assert a.stopped_runs == {}
    assert not run.done()
    a.behaviour.preempted_unknown = False
    assert (await rig.move(a, b.address, last=True))[0] == 200


async def test_run_is_known_after_its_pause(rig):
    """Guards against a run that stays unknown once it was preempted."""
    a, b, _ = rig.engines
    a.behaviour.preempted_unknown = True
    a.behaviour.pause_after, a.behaviour.pause_s = 2, 0.01
    await rig.begin(a)
    await wait_for(lambda: a.events_made('r') > 2)
    assert (await rig.move(a, b.address, last=True))[0] == 200


async def test_stopped_run_ends_in_the_ledger(rig, gate):
    """Guards against a stopped run that counts as running."""
    a, b, _ = rig.engines
    a.behaviour.event_s = 60.0
    await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last=True))
    (run,) = rig.ledger.runs_of('r')
    await wait_for(lambda: run.ended_s is not None)
    assert not order.done()
    assert run.ended_s >= a.stopped_runs['r']


async def test_blocked_run_ends_in_the_ledger(rig, gate):
    """Guards against a stopped run that goes on as its reader blocks it."""
    a, b, _ = rig.engines
    a.behaviour.event_bytes = 400_000
    a.behaviour.keeps_running, a.behaviour.pause_s = True, 60.0
    reader, writer = await asyncio.open_connection(
        *a.address.split(':'), limit=1_000
    )
    writer.write(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n'
        b'X-Attempt-Id: r\r\nX-Expect-Instance: engine-0\r\n'
        b'X-Token-Usage: 1,1\r\n\r\n'
    )
    await wait_for(
        lambda: any(
            transport.get_write_buffer_size() > 65_536
            for transport in a._stream_transports.values()
        )
    )
    order = rig.spawn(rig.move(a, b.address, last=True))
    await wait_for(lambda: a.stopped_runs)
    (run,) = rig.ledger.runs_of('r')
    await wait_for(lambda: run.ended_s is not None)
    assert not order.done()
    assert run.ended_s >= a.stopped_runs['r']
    writer.close()


async def test_departing_engine_serves_on(rig):
    """Guards against a departing engine that refuses calls."""
    a, b, _ = rig.engines
    await rig.begin(a)
    rig.spawn(b.depart(60.0))
    _, body = await rig.move(a, b.address, last=True)
    assert await rig.is_taken(b, a, body['handle'])


async def test_departure_after_a_time(rig):
    """Guards against an engine that answers on, or holds copies, when gone."""
    a, b, c = rig.engines
    run = await rig.begin(a)
    other = await rig.begin(b, 'other')
    _, body = await rig.move(a, b.address, last=False)
    await b.depart(0.01)
    assert not b.is_up
    assert await other == (200, False)
    with pytest.raises(aiohttp.ClientError):
        await rig.is_taken(b, a, body['handle'])
    assert (await rig.move(a, b.address, last=False))[0] == 503
    assert not run.done()
    assert (await rig.move(a, c.address, last=False))[0] == 200


@pytest.mark.parametrize('ends', ['run', 'copy'])
async def test_departure_after_the_runs(rig, ends):
    """Guards against a departure that cuts off a run or an answer."""
    a, b, _ = rig.engines
    if ends == 'run':
        a.behaviour.events = 10
    run = rig.spawn(rig.send(a))
    await wait_for(lambda: ends == 'run' or a.events_made('r'))
    await wait_for(lambda: a.ran)
    departure = rig.spawn(a.depart(None))
    if ends == 'copy':
        assert (await rig.move(a, b.address, last=True))[0] == 200
    assert await run == (200, ends == 'run')
    await departure
    assert not a.is_up
    if ends == 'copy':
        assert b.copies.slots_used == 1


async def test_departure_after_a_copy_without_its_caller(rig, gate):
    """Guards against a departure that ends a copy that no caller awaits."""
    a, b, _ = rig.engines
    run = await rig.begin(a)
    order = rig.spawn(rig.move(a, b.address, last=True))
    assert await run == (200, False)
    await wait_for(lambda: b.copies.slots_used)
    order.cancel()
    await wait_for(lambda: not a._work_in_progress)
    departure = rig.spawn(a.depart(None))
    assert (await rig.move(a, b.address, last=True))[0] == 409
    assert not departure.done()
    gate.set()
    await departure
    assert await rig.is_taken(b, a, 'h1')


async def test_departed_engine_closes_idle_connections(rig):
    """Guards against an engine that answers on kept connections when gone."""
    a, _, _ = rig.engines
    a.behaviour.events = 1
    reader, writer = await asyncio.open_connection(*a.address.split(':'))
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    await a.depart(0.0)
    async with asyncio.timeout(10):
        await reader.read()
    assert reader.at_eof()
    writer.close()


async def test_address_of_a_proxy(rig):
    """Guards against copies that are not found behind a proxy."""
    a, b, _ = rig.engines
    rig.network.add_address('127.1.1.1:1', b.copies)
    await rig.begin(a)
    status, _ = await rig.move(a, '127.1.1.1:1', last=False)
    assert status == 200
    assert b.copies.slots_used == 1


async def test_engine_without_a_network_answers_at_once(rig):
    """Guards against other tests' engines that start to check handles."""
    a, b, _ = rig.engines
    for engine in (a, b):
        engine.copies = None
    run = await rig.begin(a)
    status, body = await rig.move(a, UNKNOWN, last=True)
    assert (status, body) == (200, {'handle': 'h1', 'created': 0})
    assert await run == (200, False)
    assert await rig.is_taken(b, a, 'any')
