"""Tests of the check of evacuated zones that the soak test makes."""

import random

import pytest

from dotterelweir_fakes.fleet import store as fleet_store
from dotterelweir_fakes.soak import evacuations


@pytest.fixture
async def evacuated(monkeypatch):
    """A check with an evacuation of zone-a, and the time of it."""
    running = evacuations.Evacuations(
        random.Random(1), fleet_store.FakeStore()
    )
    await running.evacuate('zone-a')
    return running, running._since_s['zone-a']


@pytest.mark.parametrize(
    ('zone', 'after_s', 'disturbed_s', 'count'),
    [
        ('zone-a', 5.1, 0.0, 1),
        ('zone-a', 4.9, 0.0, 0),
        ('zone-a', 5.1, 0.2, 0),
        ('zone-b', 9.0, 0.0, 0),
    ],
)
async def test_late_arrivals_are_reported(
    evacuated, zone, after_s, disturbed_s, count
):
    """Guards against a check that misses sends, or reports allowed ones."""
    running, since_s = evacuated
    running.record_arrival(
        't', zone, 'gateway-1', since_s + after_s, since_s + disturbed_s
    )
    assert len(running.late) == count


async def test_restored_zones_and_lost_records_are_not_checked(evacuated):
    """Guards against violations after the end of an evacuation."""
    running, since_s = evacuated
    running.store.back_up()
    running.store.rewind()
    running.record_arrival('t', 'zone-a', 'gateway-1', since_s + 9.0, 0.0)
    running.record_arrival('t', 'zone-a', 'gateway-1', since_s + 15.0, 0.0)
    assert len(running.late) == 1
    await running.restore('zone-a')
    running.record_arrival('t', 'zone-a', 'gateway-1', since_s + 30.0, 0.0)
    assert len(running.late) == 1
