"""Tests of repeats that wait for the end of the call in progress."""

import asyncio

import pytest

from dotterelweir_core.tables import model as tables_model
from dotterelweird.callers import service_attempts
from dotterelweird.callers import service_calls
from dotterelweird.settings import model as settings_model

ROUTE = tables_model.Route(
    'booking', tables_model.Match('/book'), 'shop', repeatable=False
)
WAITING = settings_model.Claims(repeat_wait_s=2.0)
REQUEST = service_attempts.CallerRequest(
    'POST',
    '/book',
    (('Idempotency-Key', 'key-1'), ('X-Business-Key', 'k')),
    b'',
)


def call(simulation, name, request_id):
    return asyncio.create_task(
        simulation.instances[name].call_handler.call(
            ROUTE, REQUEST, timeout_s=60.0, request_id=request_id
        )
    )


@pytest.mark.parametrize('second', ['a', 'b'])
async def test_a_repeat_gets_the_answer_of_the_call_in_progress(
    claims_simulation, second
):
    """Guards against refusing a repeat that is sent right after the response.

    The response of a call reaches its caller before its outcome is in the
    log. This failure occurred in the demo.
    """
    simulation = await claims_simulation(claims=WAITING)
    tasks = [call(simulation, 'a', 'r0'), call(simulation, second, 'r1')]
    first, repeat = await simulation.finish(tasks)
    assert first.response.status == repeat.response.status == 200
    assert repeat.response.headers[service_calls.REPLAYED_HEADER] == 'true'
    by_key = sum(state.by_business_key['k'] for state in simulation.services)
    assert by_key == 1


async def test_a_repeat_does_not_wait_for_ever(claims_simulation):
    """Guards against a repeat that hangs when the claim's holder crashed."""
    simulation = await claims_simulation(claims=WAITING)
    gate = asyncio.Event()
    for state in simulation.services:
        state.gate = gate
    first = call(simulation, 'a', 'r0')
    while not any(state.running for state in simulation.services):
        await simulation.settle()
    await simulation.instances['a'].kill()
    gate.set()
    began_s = simulation.timer.monotonic_s()
    (repeat,) = await simulation.finish([call(simulation, 'b', 'r1')])
    assert repeat.error.kind.value == 'claim-in-progress'
    assert repeat.error.execution.value == 'unknown'
    assert simulation.timer.monotonic_s() - began_s < 4.0
    first.cancel()
