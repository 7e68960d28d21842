"""A short test of planned stops while engines leave and pause runs."""

import asyncio

import pytest

from dotterelweir_fakes.soak import moves
from dotterelweir_fakes.soak import moving_engines

# Copies that queue for a while.
QUEUED = moving_engines.Setting((0.2, 0.6), False, 0.3, 0.0, False)
# Copies that take longer than a call, some to an engine without room.
SLOW = moving_engines.Setting((0.45, 1.35), True, 0.5, 0.3, False)
# The same without kept copies, so that runs must be moved.
SLOW_MOVES = moving_engines.Setting((0.45, 1.35), False, 0.5, 0.3, False)


@pytest.mark.parametrize(
    ('seed', 'setting'),
    [(3, QUEUED), (5, SLOW), (7, SLOW_MOVES)],
    ids=['queued', 'slow', 'slow moves'],
)
def test_a_stopped_run_goes_on(tmp_path, seed, setting):
    """Guards against runs that are stopped before their way on is certain.

    The command ``moves`` makes longer runs.
    """
    soak = moves.MovesSoak(
        seed, 0, 3, tmp_path, setting=setting, duration_s=10.0
    )
    result = asyncio.run(soak.run())
    assert result['violations'] == []
    assert result['stop'] > 0
    assert result['departures'] > 0
    assert result['copy_orders'] > 0
    assert 0 < result['calls_per_run_max'] <= moving_engines.CALLS_PER_RUN_MAX
    if not setting.backups:
        assert result['stopped_for_move'] > 0
