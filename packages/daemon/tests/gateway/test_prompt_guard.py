"""Tests of requests whose prompt crashes engines."""

import asyncio

import aiohttp
import pytest

from dotterelweir_core.gateway import prompt_blame
from dotterelweir_core.gateway import quarantine

BAD = 'f1:10,aa:20,bad:30'
ENGINES = ('engine-1', 'engine-2')


@pytest.fixture
def engines(deployment, monkeypatch):
    """Returns engines that end when they write on one part of a prompt."""
    # The tests do not wait between two ends.
    monkeypatch.setattr(prompt_blame, '_SAME_CAUSE_S', 0.0)
    engines = [deployment.engines[name] for name in ENGINES]
    for engine in engines:
        engine.behaviour.crash_part = 'bad:30'
        engine.behaviour.has_copies = False
    return engines


async def send(deployment, number, shared_parts, route='guide'):
    """Sends a generation and returns the status of its answer."""
    async with deployment.request(
        route,
        f'request-{number}',
        body=b'%d' % number,
        X_Token_Usage='90,40',
        X_Prompt_Prefix=f'{shared_parts},e{number}:30',
    ) as answer:
        try:
            await answer.read()
        except aiohttp.ClientPayloadError:
            return None
        return answer.status


async def wait_for_crashes(deployment, count):
    """Waits until a number of crashes is known."""
    async with asyncio.timeout(2):
        guard = deployment.gateway._parts.prompt_guard
        while len(guard.crashes(64)) < count:
            await asyncio.sleep(0.005)


async def start_again(engines):
    """Starts the engines that have ended."""
    for engine in engines:
        if not engine.is_up:
            await engine.start_again()


async def crash_engines(deployment, engines, shared_parts=(BAD, BAD)):
    """Sends a request with the part to each of the two engines."""
    for number, busy in enumerate(reversed(ENGINES)):
        loads = deployment.gateway._loads
        loads.get(busy).running += 5
        assert await send(deployment, number, shared_parts[number]) == 502
        loads.get(busy).running -= 5
        await wait_for_crashes(deployment, number + 1)
    assert [len(engine.ran) for engine in engines] == [1, 1]
    await start_again(engines)


@pytest.mark.parametrize('written', [0.0, 0.5, 1.0, 1.5])
async def test_a_part_that_crashes_engines_reaches_no_further_engine(
    deployment, engines, written
):
    """Guards against crashes of one engine after the other.

    An engine may end before, within or after the head of its answer.
    """
    for engine in engines:
        engine.behaviour.crash_bytes = written
    await crash_engines(deployment, engines)
    for number in range(2, 6):
        assert await send(deployment, number, BAD) == 503
    assert sum(len(engine.ran) for engine in engines) == 2


@pytest.mark.parametrize('count', [16, 18, 400])
async def test_a_part_among_many_is_blocked(deployment, engines, count):
    """Guards against prompts that are never blocked for their many parts."""
    parts = [f'{number:x}:1' for number in range(count)]
    assert await send(deployment, 8, ','.join(parts)) == 200
    for engine in engines:
        engine.ran.clear()
    parts.append('bad:30')
    await crash_engines(deployment, engines, (','.join(parts),) * 2)
    for number in range(2, 6):
        assert await send(deployment, number, ','.join(parts)) == 503
    assert sum(len(engine.ran) for engine in engines) == 2


async def test_sound_requests_with_the_other_parts_are_served(
    deployment, engines
):
    """Guards against blocks of sound requests that share some parts."""
    await crash_engines(deployment, engines)
    for number, parts in enumerate(('f1:10', 'f1:10,aa:20'), 2):
        assert await send(deployment, number, parts) == 200
    # The parts are cleared, so that the last one alone is blamed.
    assert await send(deployment, 4, '0b:10,bad:30') == 503


async def test_a_blocked_request_is_not_held(deployment, engines):
    """Guards against requests that wait for an engine that they can't get."""
    await crash_engines(deployment, engines)
    for name in ENGINES:
        deployment.gateway._loads.get(name).tokens += 60_000
    async with deployment.request(
        'guide', X_Token_Usage='90,40', X_Prompt_Prefix=f'{BAD},e0:30'
    ) as answer:
        assert answer.status == 503
        assert 2 < float(answer.headers['Retry-After']) <= 3


async def test_a_resumable_request_crashes_two_engines_at_most(
    deployment, engines
):
    """Guards against restarts that crash engines with the next requests."""
    assert await send(deployment, 1, BAD, 'check') == 502
    await wait_for_crashes(deployment, 2)
    await start_again(engines)
    assert await send(deployment, 2, BAD, 'check') == 503
    assert sum(len(engine.ran) for engine in engines) == 2


async def test_a_block_does_not_end_a_generation_that_has_begun(
    deployment, engines
):
    """Guards against sound streams that are lost when a block begins."""
    first = engines[0]
    for engine in engines:
        engine.behaviour.crash_part = ''
        engine.behaviour.has_copies = True
    first.behaviour.event_s = 0.05
    first.behaviour.cut_after = 4
    deployment.gateway._loads.get('engine-2').running += 5
    async with deployment.request(
        'guide', X_Token_Usage='90,40', X_Prompt_Prefix=f'{BAD},e1:30'
    ) as answer:
        await answer.content.readany()
        guard = deployment.gateway._parts.prompt_guard
        for number in range(3):
            guard.apply_finding(
                quarantine.PromptCrash(
                    f'other-{number}', f't{number}', frozenset({'f1'})
                ),
                '127.0.0.1',
            )
        assert await send(deployment, 2, BAD) == 503
        rest = await answer.read()
    assert rest.endswith(b'token-10\n\n')


async def test_a_part_that_is_no_number_does_not_end_a_stream(
    deployment, engines
):
    """Guards against parts of a prompt that no datagram can carry as is."""
    await crash_engines(deployment, engines)
    for number, part in enumerate((b'f1\xff', b'f1 x'), 2):
        prefix = (b'%b:1,f1:10,e0:30' % part).decode(
            'utf-8', 'surrogateescape'
        )
        assert await send(deployment, number, prefix) == 200


@pytest.mark.parametrize('events', [0, 1])
async def test_engines_that_break_off_answers_block_no_prompt(
    deployment, engines, events
):
    """Guards against blocks because of engines that go on."""
    for engine in engines:
        engine.behaviour.crash_part = ''
        engine.behaviour.cut_after = events
    for number in range(4):
        status = await send(deployment, number, BAD)
        assert status == (None if events else 502)
    for engine in engines:
        engine.behaviour.cut_after = None
    assert await send(deployment, 4, BAD) == 200


@pytest.mark.parametrize('written', [0.0, 0.5, 1.0])
async def test_an_unrelated_crash_blocks_no_sound_request(
    deployment, engines, written
):
    """Guards against a first part that is blocked beside a deadly part.

    Another engine ends for itself while it reads in a sound request with the
    same first part, before, within or after the head of its answer.
    """
    for engine in engines:
        engine.behaviour.crash_bytes = written
    for number in range(3, 5):
        assert await send(deployment, number, 'f1:10,b0:20') == 200
    for engine in engines:
        engine.ran.clear()
    engines[1].behaviour.crash_part = 'b1:20'
    # The first one goes to the first engine, the second one to the second.
    await crash_engines(deployment, engines, (BAD, 'f1:10,b1:20'))
    for number, parts in enumerate(('f1:10,b1:20', 'f1:10,b2:20'), 2):
        engines[1].behaviour.crash_part = ''
        assert await send(deployment, number, parts) == 200


async def test_a_blocked_prompt_is_tried_once(
    deployment, engines, monkeypatch
):
    """Guards against sound prompts that no request can clear."""
    monkeypatch.setattr(quarantine, '_TRIAL_DELAYS_S', (0.0, 30.0))
    for engine in engines:
        engine.behaviour.crash_part = 'f1:10'
    await crash_engines(deployment, engines, ('f1:10', 'f1:10'))
    assert await send(deployment, 2, 'f1:10') == 502
    await wait_for_crashes(deployment, 3)
    await start_again(engines)
    assert await send(deployment, 3, 'f1:10') == 503
    assert sum(len(engine.ran) for engine in engines) == 3


async def test_a_trial_clears_a_sound_prompt(deployment, engines, monkeypatch):
    """Guards against sound prompts that stay blocked after a trial."""
    monkeypatch.setattr(quarantine, '_TRIAL_DELAYS_S', (0.0, 30.0))
    for engine in engines:
        engine.behaviour.crash_part = 'f1:10'
    await crash_engines(deployment, engines, ('f1:10', 'f1:10'))
    for engine in engines:
        engine.behaviour.crash_part = ''
    for number in range(2, 5):
        assert await send(deployment, number, 'f1:10') == 200
