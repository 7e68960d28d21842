"""Tests of instances that are frozen and resumed by signals."""

import asyncio
import contextlib
import signal


@contextlib.asynccontextmanager
async def frozen(system, victim, observer):
    """Stops an instance by SIGSTOP during the block.

    It resumes once another instance lists it as dead.
    """
    victim.child.process.send_signal(signal.SIGSTOP)
    try:
        yield
        await system.wait_for_state(observer, victim, 'dead')
    finally:
        victim.child.process.send_signal(signal.SIGCONT)


async def test_streams_continue_after_a_freeze(start_system):
    """Guards against tokens lost or repeated after a freeze (P1, P2)."""
    system = await start_system(services=1)
    victim, observer, _ = system.cluster.instances
    await system.wait_for_full_membership()
    system.use_only(victim)
    await system.wait_until_ready(1)
    streams = [await system.start_stream(400) for _ in range(4)]
    async with frozen(system, victim, observer):
        revision = await system.edit('route', 'delete', 'lookup')
        await system.wait_until_in_force(
            revision, [i for i in system.cluster.instances if i is not victim]
        )
    results = await asyncio.gather(*streams)
    assert {result.outcome.value for result in results} == {'whole'}, results
    assert sum(result.duplicated_tokens for result in results) == 0
    await system.wait_until_in_force(revision)
    await system.wait_for_state(observer, victim, 'alive')
    await system.wait_for_state(victim, observer, 'alive')


async def test_bookings_run_once_despite_a_freeze(start_system):
    """Guards against a call that a resumed instance repeats (P3, P4)."""
    system = await start_system(services=1)
    victim, observer, _ = system.cluster.instances
    await system.wait_for_full_membership()
    url = system.cluster.service_urls[0]
    await system.send_json(f'{url}/faults', {'delay_s': 0.5}, 'PUT')
    system.use_only(victim)
    await system.wait_until_ready(1)
    keys = {f'booking-{n}': f'key-{n}' if n % 2 else None for n in range(8)}
    tasks = [
        asyncio.create_task(system.book(key, idempotency_key))
        for key, idempotency_key in keys.items()
    ]
    # Some calls run at the service; others wait for a claim or a target.
    await system.wait_until(lambda: system.events(victim, 'target-chosen'))
    async with frozen(system, victim, observer):
        system.use_only(observer)
        await system.wait_until_ready(1)
        repeats = {
            key: await system.book(key, idempotency_key)
            for key, idempotency_key in keys.items()
            if idempotency_key
        }
    results = await asyncio.gather(*tasks)
    executions = await system.cluster.executions()
    assert max(executions.values()) == 1, executions
    for result in results:
        executed = executions.get(result.business_key, 0)
        match result.outcome.value:
            case 'whole':
                assert executed == 1, result
            case 'refused':
                repeat = repeats.get(result.business_key)
                ran_elsewhere = repeat and repeat.outcome.value == 'whole'
                if result.execution == 'not run' and not ran_elsewhere:
                    assert executed == 0, result
            case _:
                raise AssertionError(result)
    for result in repeats.values():
        assert result.outcome.value in ('whole', 'refused'), result


async def test_a_resumed_instance_reverts_no_tables(start_system):
    """Guards against a resumed instance that restores stale tables (P7)."""
    system = await start_system(engines=1, services=1)
    victim, observer, _ = system.cluster.instances
    await system.wait_for_full_membership()
    async with frozen(system, victim, observer):
        await system.edit('route', 'delete', 'lookup')
        revision = await system.edit('route', 'delete', 'booking')
    await system.wait_until_in_force(revision)
    tables = [
        await system.query_admin(instance, 'tables')
        for instance in system.cluster.instances
    ]
    assert tables[0] == tables[1] == tables[2]
    assert set(tables[0]['routes']) == {'short', 'long'}


async def test_a_resumed_instance_sends_no_work_to_a_leaving_engine(
    start_system,
):
    """Guards against work for an engine that left during a freeze (P5)."""
    system = await start_system(engines=2, services=1)
    victim, observer, _ = system.cluster.instances
    await system.wait_for_full_membership()
    system.use_only(victim)
    await system.wait_until_ready(1)
    url = system.cluster.engine_urls[0]
    loop = asyncio.get_running_loop()
    async with frozen(system, victim, observer):
        await system.send_json(f'{url}/faults', {'kind': 'leave'})
        deadline_s = loop.time() + 3.0
        # The requests wait in the socket buffers of the frozen instance.
        waiting = [system.stream(20) for _ in range(12)]
        await system.wait_until(lambda: loop.time() >= deadline_s)
    results = await asyncio.gather(*waiting)
    for result in results:
        assert result.outcome.value in ('whole', 'refused'), result
    async with system.http.get(f'{url}/stats') as response:
        start_delays_s = (await response.json())['started_after_leaving_s']
    assert all(after_s <= 3.0 for after_s in start_delays_s), start_delays_s
