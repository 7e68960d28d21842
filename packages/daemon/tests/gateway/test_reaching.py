"""Tests of what an instance concludes from its own links to targets."""

import asyncio
import random

import attrs
import pytest

from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import reaching
from dotterelweird.gateway import statistics

TARGET = targets.Target(
    't1', 's', '10.0.0.1', 80, 'a', 8, targets.TargetState.READY
)
OTHER = attrs.evolve(TARGET, target_id='t2', host='10.0.0.2')


@pytest.mark.parametrize(
    ('taking_peers', 'knows_others', 'expected'),
    [(1, True, True), (0, True, False), (0, False, True)],
)
async def test_who_knows_of_nobody_blames_no_target(
    taking_peers, knows_others, expected
):
    """Guards against a cut link that is taken for the end of all targets."""
    directory = targets.TargetDirectory()
    for offset, target in enumerate((TARGET, OTHER)):
        directory.apply(target.target_id, target, offset)
    keeper = reaching.ReachKeeper(
        timers.LoopTimerService(asyncio.get_running_loop()),
        random.Random(1),
        directory,
        statistics.Statistics(),
        lambda: taking_peers,
        lambda: knows_others,
    )

    async def refuse(host, port, timeout_s):
        return False

    keeper.accepts_connections = refuse
    keeper.record_failed(TARGET)
    keeper.record_failed(OTHER)
    async with asyncio.timeout(2):
        assert await keeper.is_cut_off(0.0) is expected
    keeper.close()
