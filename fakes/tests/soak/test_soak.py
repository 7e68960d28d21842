"""A short soak test with gateway processes."""

import asyncio

import pytest

from dotterelweir_fakes.soak import command
from dotterelweir_fakes.soak import linked_gateway

# Duration of faults and traffic, in seconds. ``make soak`` makes longer runs.
_DURATION_S = 6.0


# Seed 164 covers a fault of the proxy: it forwarded a reset as an orderly
# close, so that an interrupted answer without a length appeared complete.
@pytest.mark.parametrize('seed', [7, 164])
def test_no_guarantee_is_violated(tmp_path, seed):
    """Guards against violated guarantees under overlapping faults."""
    soak = command.Soak(
        seed, _DURATION_S, 2, 'dotterelweir_platform', tmp_path
    )
    result = asyncio.run(soak.run())
    assert result['violations'] == []
    assert result['whole'] > 0
    assert result['faults']


def test_a_crowd_violates_no_guarantee(tmp_path):
    """Guards against callers of parts of requests that disturb the others."""
    soak = command.Soak(
        7, _DURATION_S, 2, 'dotterelweir_platform', tmp_path, crowd=30
    )
    result = asyncio.run(soak.run())
    assert result['violations'] == []
    assert result['whole'] > 0
    assert 'crowd, ' in (tmp_path / 'faults.log').read_text()


# Seed 1 covers a request that had run at an instance before its links were
# lost, and was refused as not run by the one that it was passed to.
def test_mixed_versions_and_lost_links_violate_no_guarantee(tmp_path):
    """Guards against streams of two versions, and runs that are denied."""
    soak = command.Soak(
        1, 20.0, 3, linked_gateway.__name__, tmp_path, mixed=True
    )
    result = asyncio.run(soak.run())
    assert result['violations'] == []
    assert result['taken_up_whole'] > 0
    assert ': links ' in (tmp_path / 'faults.log').read_text()
