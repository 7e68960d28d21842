"""A short soak with real processes."""

import asyncio

import pytest

from dotterelweir_fakes.soak import command

# Time of faults and traffic, in seconds. Longer runs are made by hand with
# ``make soak``.
_DURATION_S = 6.0


# Seed 164: the proxy passed a reset on as a plain close, so that a cut answer
# without a length looked whole.
@pytest.mark.parametrize('seed', [7, 164])
def test_no_guarantee_is_violated(tmp_path, seed):
    """Guards against broken promises under overlapping faults."""
    soak = command.Soak(
        seed, _DURATION_S, 2, 'dotterelweir_platform', tmp_path
    )
    result = asyncio.run(soak.run())
    assert result['violations'] == []
    assert result['whole'] > 0
    assert result['faults']
