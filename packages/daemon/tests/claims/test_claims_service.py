"""Tests of the claims service on the in-memory log."""

import asyncio

import attrs
import pytest

from dotterelweir_core import errors
from dotterelweir_core.claims import records
from dotterelweir_core.tables import model as tables_model
from dotterelweird.claims import api as claims_api
from dotterelweird.settings import model as settings_model

ROUTE = tables_model.Route(
    'book', tables_model.Match('/book'), 'shop', repeatable=False
)
UUID7_ROUTE = attrs.evolve(ROUTE, key_format=tables_model.KeyFormat.UUID7)


def _uuid7(time_s, tail='7abc-8def-0123456789ab'):
    digits = f'{round(time_s * 1000):012x}'
    return f'{digits[:8]}-{digits[8:]}-{tail}'


def _claim(simulation, name, key, route=ROUTE, timeout_s=60.0):
    request = claims_api.ClaimRequest(
        'acme', route, key, 'hash', simulation.timer.monotonic_s() + timeout_s
    )
    return asyncio.create_task(
        simulation.instances[name].claims.claim(request)
    )


async def _error(simulation, task):
    """Returns kind and execution of the error that a task raises."""
    with pytest.raises(errors.DotterelweirError) as caught:
        await simulation.finish([task])
    return caught.value.kind.value, caught.value.execution.value


@pytest.mark.parametrize(
    ('age_s', 'log_ahead_s', 'expected'),
    [
        (0.0, 0.0, None),
        (86_000.0, 0.0, None),
        (-299.0, 0.0, None),
        (86_500.0, 0.0, ('idempotency-key-expired', 'unknown')),
        (-301.0, 0.0, ('idempotency-key-invalid', 'unknown')),
        (86_000.0, 600.0, ('idempotency-key-expired', 'unknown')),
    ],
)
async def test_keys_are_validated_by_their_own_time(
    claims_simulation, age_s, log_ahead_s, expected
):
    """Guards against a key that is accepted after its claim has expired."""
    simulation = await claims_simulation()
    key = _uuid7(simulation.timer.wall_s() - age_s)
    simulation.log.clock_ahead_s = log_ahead_s
    task = _claim(simulation, 'a', key, UUID7_ROUTE)
    if expected is None:
        (grant,) = await simulation.finish([task])
        grant.check_dispatch()
    else:
        assert await _error(simulation, task) == expected


async def test_waiting_claims_share_an_append(claims_simulation):
    """Guards against exceeding the log's append rate for all instances."""
    simulation = await claims_simulation()
    tasks = []
    for number in range(40):
        tasks.append(_claim(simulation, 'a', f'key-{number}'))
        await simulation.settle()
        simulation.timer.advance(0.01)
    await simulation.finish(tasks)
    times_s = simulation.instances['a'].view.append_times_s
    gaps_s = [
        later - earlier
        for earlier, later in zip(times_s, times_s[1:], strict=False)
    ]
    assert times_s[0] == 0.0
    assert min(gaps_s) >= 0.05 - 1e-9
    assert len(times_s) <= 10


async def test_a_new_instance_reads_earlier_claims(claims_simulation):
    """Guards against a start that misses claims when records have expired."""
    simulation = await claims_simulation()
    for key in ('old', 'kept'):
        await simulation.finish([_claim(simulation, 'a', key)])
    simulation.log.expire('claims-0', 1)
    await simulation.add_instance('c', simulation.instances['a'])
    await simulation.settle()
    task = _claim(simulation, 'c', 'kept')
    assert await _error(simulation, task) == ('claim-in-progress', 'unknown')


async def test_unreadable_records_are_skipped(claims_simulation):
    """Guards against one invalid record that blocks all calls with a key."""
    simulation = await claims_simulation()
    simulation.log.add_records('claims-0', (b'{', b'{"kind": "unheard-of"}'))
    await simulation.finish([_claim(simulation, 'a', 'k')])


async def test_a_missing_record_counts_as_an_outage(claims_simulation):
    """Guards against a grant that ignores a claim in a missing record."""
    simulation = await claims_simulation()
    simulation.log.add_records('claims-0', (b'{', b'{'))
    del simulation.log.streams['claims-0'][0]
    task = _claim(simulation, 'a', 'k')
    assert await _error(simulation, task) == ('claims-unavailable', 'not run')


async def test_a_large_answer_is_not_kept(claims_simulation):
    """Guards against a replay of a truncated body or without execution."""
    simulation = await claims_simulation(
        claims=settings_model.Claims(outcome_max_bytes=10)
    )
    (grant,) = await simulation.finish([_claim(simulation, 'a', 'k')])
    grant.end(
        claims_api.Outcome(errors.Execution.RAN, 200, (('A', 'b'),), b'x' * 11)
    )
    await simulation.wait(1.0)
    (outcome,) = await simulation.finish([_claim(simulation, 'b', 'k')])
    assert outcome.execution is errors.Execution.RAN
    assert outcome.body is None


async def test_a_caller_that_gives_up_leaves_the_key_free(claims_simulation):
    """Guards against a key that stays claimed by a call that never ran."""
    simulation = await claims_simulation()
    task = _claim(simulation, 'a', 'k')
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    await simulation.wait(1.0)
    assert task.cancelled()
    (grant,) = await simulation.finish([_claim(simulation, 'b', 'k')])
    grant.check_dispatch()


async def test_claims_spread_over_partitions(claims_simulation):
    """Guards against instances that map a key to different streams."""
    platform = settings_model.Platform('l', 'i', claim_partitions=3)
    simulation = await claims_simulation(platform=platform)
    for number in range(12):
        await simulation.finish([_claim(simulation, 'a', f'key-{number}')])
        task = _claim(simulation, 'b', f'key-{number}')
        assert (await _error(simulation, task))[0] == 'claim-in-progress'
    assert len(simulation.log.streams) == 3


@pytest.mark.parametrize(
    'claims',
    [
        settings_model.Claims(window_s=59.0),
        settings_model.Claims(window_s=604_800.0),
    ],
)
async def test_settings_that_lose_claims_are_rejected(
    claims_simulation, claims
):
    """Guards against claims that expire before their call is dispatched."""
    with pytest.raises(errors.DotterelweirError) as caught:
        await claims_simulation(claims=claims)
    assert caught.value.kind is errors.ErrorKind.SETTINGS_INVALID


async def test_stop_appends_queued_records(claims_simulation):
    """Guards against the loss of outcomes in a graceful shutdown."""
    simulation = await claims_simulation()
    (grant,) = await simulation.finish([_claim(simulation, 'a', 'k')])
    grant.end(claims_api.Outcome(errors.Execution.RAN, 200, (), b''))
    stopped = asyncio.create_task(simulation.instances['a'].claims.stop())
    await simulation.finish([stopped])
    last = simulation.log.streams['claims-0'][-1]
    assert isinstance(records.decode(last.data), records.Outcome)


async def test_all_streams_share_the_time_to_stop(claims_simulation):
    """Guards against a stop that takes its time limit once per stream."""
    platform = settings_model.Platform('log', 'list', claim_partitions=4)
    simulation = await claims_simulation(platform=platform)
    simulation.log.down = True
    waiting = [_claim(simulation, 'a', f'k{n}') for n in range(40)]
    await simulation.settle()
    stop = simulation.instances['a'].claims.stop(1.0)
    stopped = asyncio.create_task(stop)
    await simulation.settle()
    simulation.timer.advance(1.0)
    await simulation.settle()
    assert stopped.done()
    for task in waiting:
        task.cancel()
