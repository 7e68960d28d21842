"""Brittle targets under more requests than they run at once."""

import random

import pytest

from dotterelweir_fakes.fleet import engine as fleet_engine
from dotterelweir_fakes.soak import trials

ENGINES = 3
SLOTS = 8


@pytest.mark.parametrize(('route', 'instances'), [('book', 3), ('read', 2)])
async def test_brittle_targets_are_not_overfilled(tmp_path, route, instances):
    """Guards against targets that fall over because they must turn away."""
    async with trials.Trial(
        tmp_path, instances, ENGINES, trials.SERVICES[route]
    ) as trial:
        rng = random.Random(1)
        for engine in trial.engines.values():
            engine.behaviour = fleet_engine.Behaviour(
                delay_s=0.3, slots_max=SLOTS, brittle='3'
            )
        # The instances learn it from answers to a load that fits.
        await trial.send_load(route, 40.0, trials.STABLE_S, rng, 'first')
        for engine in trial.engines.values():
            engine.falls = 0
        await trial.send_load(route, 120.0, 6.0, rng, 'second')
        await trial.wait_answers()
    falls = sum(engine.falls for engine in trial.engines.values())
    assert falls <= 2 + ENGINES // 10
    statuses = [
        answer.status
        for request_id, answer in trial.answers.items()
        if request_id.startswith('second')
    ]
    # The targets run 80 a second, of 120 that are sent.
    assert statuses.count(200) > 0.4 * len(statuses)
    assert set(statuses) <= {200, 503}
