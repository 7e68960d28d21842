"""Tests of engines that name a limit, with real processes and real time."""

import asyncio
import random

import attrs
import pytest

from dotterelweir_fakes.soak import trials

# Duration of the load before and after the engines name their limits, in
# seconds.
_BEFORE_S = 1.0
_AFTER_S = 10.0
# Requests of a load that lasts a moment longer than the counted windows.
_COUNTED_FROM_S = trials.STABLE_S + trials.TOLD_S


@attrs.frozen
class Case:
    """A load on engines of which some name a limit."""

    limit_per_s: float
    limited: int
    engines: int
    route: str
    rate_per_s: float
    instances: int


async def play(directory, case):
    """Plays a load and returns the trial and the time of the first limit."""
    async with trials.Trial(
        directory, case.instances, case.engines, trials.SERVICES[case.route]
    ) as trial:
        load = asyncio.create_task(
            trial.send_load(
                case.route,
                case.rate_per_s,
                _BEFORE_S + _AFTER_S,
                random.Random(7),
            )
        )
        await asyncio.sleep(_BEFORE_S)
        named_s = asyncio.get_running_loop().time()
        for engine in list(trial.engines.values())[: case.limited]:
            engine.behaviour = attrs.evolve(
                engine.behaviour, limit=str(case.limit_per_s)
            )
        await load
        await trial.wait_answers()
    return trial, named_s


def received(trial, case, from_s):
    """Most requests that a limited engine got in a window."""
    return max(
        trials.worst_window([at_s for at_s, _ in engine.arrivals], from_s)
        for engine in list(trial.engines.values())[: case.limited]
    )


@pytest.mark.parametrize(
    'case',
    [
        Case(2.0, 1, 3, 'read', 30, 3),
        Case(2.0, 1, 3, 'guide', 20, 3),
        Case(0.6, 2, 4, 'read', 40, 6),
        Case(5.0, 1, 2, 'book', 60, 6),
    ],
    ids=lambda case: f'{case.route}-{case.limit_per_s}',
)
async def test_an_engine_gets_no_more_than_its_limit(tmp_path, case):
    """Guards against instances that exceed the limit of an engine together."""
    trial, named_s = await play(tmp_path, case)
    most = received(trial, case, named_s + _COUNTED_FROM_S)
    assert most <= trials.allowed_requests(case.limit_per_s)
    statuses = [answer.status for answer in trial.answers.values()]
    assert statuses.count(200) >= 0.98 * len(statuses)


async def test_requests_beyond_all_limits_are_refused_at_once(tmp_path):
    """Guards against limits that are exceeded, or left unused."""
    case = Case(2.0, 3, 3, 'read', 30, 3)
    trial, named_s = await play(tmp_path, case)
    counted_s = named_s + _COUNTED_FROM_S
    most = received(trial, case, counted_s)
    assert most <= trials.allowed_requests(case.limit_per_s)
    late = [a for a in trial.answers.values() if a.sent_s >= counted_s]
    served = sum(answer.status == 200 for answer in late)
    window_s = _AFTER_S - _COUNTED_FROM_S
    assert served >= 0.7 * case.limited * case.limit_per_s * window_s
    refused = [answer for answer in late if answer.status == 503]
    assert len(refused) + served == len(late)
    assert all(answer.retry_after_s is not None for answer in refused)
    assert sorted(a.taken_s for a in refused)[len(refused) // 2] < 0.1
