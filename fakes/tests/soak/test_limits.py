"""A short seeded run of the soak with engines that name limits."""

import pytest

from dotterelweir_fakes.soak import limits


@pytest.mark.parametrize('seed', [1, 2])
async def test_limits_are_kept_while_instances_fail(tmp_path, seed):
    """Guards against limits and paces that restarts and freezes break."""
    result = await limits.LimitSoak(seed, 18.0, 3, tmp_path).run()
    assert result['violations'] == []
    assert result['statuses']['200'] > 0
    assert sum(result['cold'].values()) > 0


async def test_limits_are_kept_while_seeds_are_stale(tmp_path):
    """Guards against instances that give out a limit each."""
    soak = limits.LimitSoak(3, 20.0, 5, tmp_path, stale_seeds=True)
    result = await soak.run()
    assert result['violations'] == []
    assert result['statuses']['200'] > 0
