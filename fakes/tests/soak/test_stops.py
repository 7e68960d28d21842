"""A short test of planned stops of gateway processes under load."""

import asyncio

import pytest

from dotterelweir_fakes.soak import stops


@pytest.mark.parametrize('seed', [2])
def test_planned_stop_loses_no_request(tmp_path, seed):
    """Guards against requests that a stop cuts or a process drops.

    Callers use kept connections at all times of a stop. The command
    ``stops`` makes longer runs.
    """
    soak = stops.StopsSoak(seed, 2, 2, tmp_path)
    result = asyncio.run(soak.run())
    assert result['violations'] == []
    assert result['stop'] > 0
    assert result['whole_while_stopping'] > 0
