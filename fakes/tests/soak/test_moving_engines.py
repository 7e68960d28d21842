"""Tests of what engines record of the runs that they stop or break off."""

import asyncio

import aiohttp
import pytest

from dotterelweir_fakes.fleet import copies
from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import moving_engines

SETTING = moving_engines.Setting((0.0, 0.0), False, 0.0, 0.0, False)


@pytest.fixture
async def play():
    """Two engines of a network, their ledger, and a client session."""
    ledger, network = guarantees.Ledger(), copies.CopyNetwork(1)
    engines = []
    behaviour = fleet_engine.Behaviour(events=200, event_s=0.02)
    for target_id in ('a', 'b'):
        engine = moving_engines.MovingEngine(
            target_id, ledger, {'r': behaviour}, SETTING, '1', lambda _: None
        )
        engine.copies = network.add(engine)
        await engine.start()
        engines.append(engine)
    async with aiohttp.ClientSession() as session:
        yield engines, ledger, session
    for engine in engines:
        await engine.stop()


async def begin_run(engine, session):
    """Starts a run; returns its answer after the first event."""
    headers = fleet.request_headers('guide', 'r', 9000)
    headers['X-Expect-Instance'] = engine.target_id
    answer = await session.post(
        f'http://{engine.address}/guide/x', headers=headers
    )
    await answer.content.readany()
    return answer


async def wait_end(run):
    async with asyncio.timeout(2.0):
        while run.ended_s is None:
            await asyncio.sleep(0.01)


async def test_a_run_stopped_for_a_move_is_recorded(play):
    """Guards against lost streams that look as if nobody stopped them."""
    (source, destination), ledger, session = play
    answer = await begin_run(source, session)
    order = {'id': 'r', 'to': destination.address, 'last': True}
    await session.post(f'http://{source.address}/-/kv-move', json=order)
    (run,) = ledger.runs_of('r')
    await wait_end(run)
    assert (run.stopped, run.cut_off) == (True, False)
    answer.close()


async def test_a_run_that_is_only_copied_is_not_recorded_as_stopped(play):
    """Guards against blaming a copy for a run that ended otherwise."""
    (source, destination), ledger, session = play
    answer = await begin_run(source, session)
    order = {'id': 'r', 'to': destination.address, 'last': False}
    await session.post(f'http://{source.address}/-/kv-move', json=order)
    answer.close()
    (run,) = ledger.runs_of('r')
    await wait_end(run)
    assert (run.stopped, run.cut_off) == (False, False)


async def test_a_run_under_which_its_engine_ends_is_recorded(play):
    """Guards against blaming a gateway for an engine that breaks off."""
    (source, _), ledger, session = play
    answer = await begin_run(source, session)
    await source.depart(0.05)
    (run,) = ledger.runs_of('r')
    await wait_end(run)
    assert (run.stopped, run.cut_off) == (False, True)
    answer.close()


@pytest.mark.parametrize('excess', [0, 1])
async def test_calls_about_a_run_are_bounded(play, excess):
    """Guards against a soak that does not count refused calls."""
    engines, _, session = play
    source, destination = engines
    maximum = moving_engines.CALLS_PER_RUN_MAX
    order = {'id': 'r', 'to': destination.address, 'last': False}
    for _ in range(maximum + excess):
        url = f'http://{source.address}/-/kv-move'
        async with session.post(url, json=order) as answer:
            assert answer.status == 404
    most_calls = moving_engines.find_most_calls(engines)
    assert most_calls.count == maximum + excess
    assert (most_calls.violation is not None) is bool(excess)
