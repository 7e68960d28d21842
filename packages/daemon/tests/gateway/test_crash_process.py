"""Tests of a request that ends its engines, with real processes."""

import asyncio
import random

import attrs
import pytest

from dotterelweir_fakes.soak import crashing
from dotterelweir_fakes.soak import trials


@attrs.frozen
class Case:
    """A request that ends its engines and comes again and again."""

    route: str
    interval_s: float
    engines: int
    instances: int
    back_s: float = 1.5
    duration_s: float = 12.0
    crash_events: int | None = None
    dark: bool = False
    keeps_id: bool = True


async def play(directory, case):
    """Plays the request beside sound ones and returns the trial."""
    async with crashing.CrashTrial(
        directory, case.instances, case.engines, case.route, case.back_s
    ) as trial:
        for engine in trial.engines.values():
            engine.crash_events = case.crash_events
            engine.dark, engine.keeps_id = case.dark, case.keeps_id
        rng = random.Random(11)
        await asyncio.gather(
            trial.send_crashes(
                case.interval_s, case.duration_s, random.Random(rng.random())
            ),
            trial.send_sound(
                20.0, case.duration_s, random.Random(rng.random())
            ),
        )
        await trial.wait_answers()
    return trial


def check_kept_from_engines(trial):
    """Checks that few sends came late, and that sound requests were served."""
    third_end_s = trial.third_end_s()
    assert third_end_s < float('inf')
    assert trial.late_sends() <= crashing.LATE_SENDS_MAX
    counted_s = third_end_s + crashing.COUNTED_AFTER_S
    assert trial.served_share('sound', counted_s) >= 0.95


@pytest.mark.parametrize(
    'case',
    [
        Case('read', 0.4, 3, 3),
        Case('book', 0.4, 3, 3),
        Case('guide', 0.4, 3, 3),
        Case('check', 0.4, 4, 3),
        Case('check', 0.4, 3, 3, crash_events=2),
        Case('read', 1.5, 6, 6),
        Case('book', 3.0, 3, 3, back_s=2.5, duration_s=25.0),
    ],
    ids=lambda case: f'{case.route}-{case.interval_s}-{case.crash_events}',
)
async def test_a_request_that_ends_its_engines_is_kept_from_them(
    tmp_path, case
):
    """Guards against repeats that end engine after engine."""
    check_kept_from_engines(await play(tmp_path, case))


@pytest.mark.parametrize(
    'case',
    [
        Case('read', 2.0, 8, 3, 4.0, 24.0, dark=True),
        Case('book', 2.0, 8, 3, 4.0, 24.0, dark=True, keeps_id=False),
        Case('book', 2.0, 8, 3, 1.0, 24.0, dark=True),
        Case('guide', 3.0, 8, 3, 4.0, 24.0, dark=True),
    ],
    ids=lambda case: f'{case.route}-{case.back_s}-{case.keeps_id}',
)
async def test_a_request_under_which_engines_go_dark_is_refused(
    tmp_path, case
):
    """Guards against ends that show neither in a reset nor in a refusal."""
    check_kept_from_engines(await play(tmp_path, case))


async def test_sound_requests_are_served_while_engines_go_dark(tmp_path):
    """Guards against blame for engines that go dark by themselves."""
    async with crashing.CrashTrial(tmp_path, 3, 8, 'read', 4.0) as trial:
        for engine in trial.engines.values():
            engine.dark = engine.keeps_id = True
            engine.behaviour.delay_s = 0.1
        load = asyncio.create_task(
            trial.send_repeats(20.0, 20.0, random.Random(3))
        )
        engines = list(trial.engines.values())
        async for number in trials.pace(1.5, 9.0):
            engines[number].end()
        await load
        await trial.wait_answers()
    assert trial.served_share('popular', 0.0) == 1.0


async def test_a_popular_request_is_served_after_all_engines_ended(tmp_path):
    """Guards against blame for ends that the request did not cause."""
    async with crashing.CrashTrial(tmp_path, 3, 3, 'read') as trial:
        for engine in trial.engines.values():
            engine.behaviour.delay_s = 0.1
        load = asyncio.create_task(
            trial.send_repeats(60.0, 16.0, random.Random(3))
        )
        await asyncio.sleep(2.0)
        for engine in trial.engines.values():
            engine.end()
        ended_s = asyncio.get_running_loop().time()
        await load
        await trial.wait_answers()
    assert trial.served_share('popular', ended_s + 9.0) >= 0.95
