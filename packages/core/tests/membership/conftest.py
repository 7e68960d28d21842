"""Groups of instances on an in-memory datagram network."""

import pytest

from dotterelweir_fakes import datagrams


@pytest.fixture
def make_group():
    """Makes a group of running instances that are members of each other."""

    def make(count, seed=1, zones=1, joined=True):
        group = datagrams.Group(seed, zones)
        group.start_many(count)
        if joined:
            group.run_until(group.has_converged, 30.0)
        return group

    return make
