"""Short plays of instances that alone lose all targets."""

import pytest

from dotterelweir_fakes.fleet import target_links
from dotterelweir_fakes.soak import partitions


@pytest.mark.parametrize(
    ('cut', 'route'),
    [
        (target_links.Cut.HANG, 'read'),
        (target_links.Cut.RESET, 'guide'),
        (target_links.Cut.REFUSED, 'book'),
    ],
)
async def test_callers_of_cut_instances_are_served(tmp_path, cut, route):
    """Guards against instances without targets that serve nobody."""
    play = partitions.PartitionPlay(1, cut, 3, 2, 6.0, route, tmp_path)
    result = await play.run()
    assert result['violations'] == []
    assert result['at_cut']['sent'] > 0
