"""Tests of complete deployments while processes or the platform fail.

Every test runs real processes. The callers and the stand-ins take the
counts, never the system under test.
"""

import asyncio
import signal

NO_VIOLATIONS = {
    'broken': 0,
    'duplicated_tokens': 0,
    'executed_twice': 0,
    'ran_despite_not_run': 0,
}


async def summarise(system, tally):
    """Returns all counts, and those that must be zero."""
    summary = tally.summary(await system.cluster.executions())
    return summary, {name: summary[name] for name in NO_VIOLATIONS}


async def test_rolling_replacement_interrupts_no_request(start_system):
    """Guards against a planned stop that breaks or refuses requests."""
    system = await start_system()
    async with system.under_load() as tally:
        for number in range(3):
            old = system.cluster.instances[0]
            await system.cluster.start_instance(f'new-{number}', number)
            system.use_instances()
            await system.wait_until_ready(4)
            old.child.terminate()
            assert await old.child.wait() == 0, old.child.output()
            system.cluster.instances.remove(old)
            system.use_instances()
    summary, violations = await summarise(system, tally)
    assert violations == NO_VIOLATIONS, str(
        [r for r in tally.results if r.outcome.value == 'broken']
    )
    assert summary['whole'] == summary['requests'] > 0, summary


async def test_streams_resume_when_their_instance_is_killed(start_system):
    """Guards against tokens lost or repeated when an instance is killed."""
    system = await start_system()
    probe_task = asyncio.create_task(system.balancer.run())
    tasks = [await system.start_stream(400) for _ in range(9)]
    victim = system.cluster.instances[0]
    assert system.events(victim, 'target-chosen')
    victim.child.kill()
    results = await asyncio.gather(*tasks)
    probe_task.cancel()
    outcomes = {result.outcome.value for result in results}
    assert outcomes == {'whole'}, results
    assert sum(result.duplicated_tokens for result in results) == 0
    assert sum(result.resumes for result in results) > 0


async def test_streams_of_a_killed_engine_are_never_broken(start_system):
    """Guards against a stream that continues with another generation."""
    system = await start_system()
    async with system.under_load() as tally:
        await system.wait_until(lambda: len(tally.results) > 10)
        engine = next(
            child
            for child in system.group.children
            if child.name.startswith('guide-llm')
        )
        engine.kill()
        previous_count = len(tally.results)
        await system.wait_until(
            lambda: len(tally.results) > previous_count + 30
        )
    summary, violations = await summarise(system, tally)
    assert violations == NO_VIOLATIONS
    codes = set(summary['refusals_by_code'])
    assert codes <= {'generation-lost', 'claim-in-progress'}, summary


async def test_streams_of_a_frozen_engine_end(start_system):
    """Guards against callers that wait indefinitely for a frozen engine."""
    system = await start_system(engines=2)
    tasks = [await system.start_stream(600) for _ in range(6)]
    engine = next(
        child
        for child in system.group.children
        if child.name.startswith('guide-llm')
    )
    engine.process.send_signal(signal.SIGSTOP)
    try:
        results = await asyncio.gather(*tasks)
    finally:
        engine.process.send_signal(signal.SIGCONT)
    outcomes = [result.outcome.value for result in results]
    assert set(outcomes) <= {'whole', 'incomplete', 'refused'}, results
    assert 'whole' in outcomes


async def test_a_booking_runs_once_when_its_instance_is_killed(start_system):
    """Guards against a repeat at another instance that books again."""
    system = await start_system(services=1)
    url = system.cluster.service_urls[0]
    await system.send_json(f'{url}/faults', {'delay_s': 1.0}, 'PUT')
    victim = system.cluster.instances[0]
    system.balancer.urls = (victim.caller_url,)
    await system.wait_until_ready(1)
    first = asyncio.create_task(system.book('booking-1', 'key-1'))
    # The event target-chosen precedes the request to the service, so the
    # test waits for the load of the service.
    await system.wait_until(lambda: first.done() or _has_booking(system, url))
    assert not first.done(), (first.result(), victim.child.output())
    victim.child.kill()
    assert (await first).outcome.value == 'broken'
    system.cluster.instances.remove(victim)
    system.use_instances()
    await system.wait_until_ready(2)
    repeat = await system.book('booking-1', 'key-1')
    assert (repeat.outcome.value, repeat.execution) == ('refused', 'unknown')
    await system.wait_until(lambda: _executed(system, 'booking-1'))
    repeat = await system.book('booking-1', 'key-1')
    assert repeat.execution in ('unknown', 'ran')
    assert await system.executions('booking-1') == 1


async def _has_booking(system, url):
    """Returns whether the service is executing a call."""
    async with system.http.get(f'{url}/v1/load') as answer:
        return (await answer.json())['running'] > 0


async def _executed(system, key):
    """Returns whether a booking has been executed."""
    return await system.executions(key) >= 1


async def test_outage_of_the_platform(start_system):
    """Guards against an outage of the log that stops unrelated work.

    Streams and bookings without an idempotency key do not need the log.
    """
    system = await start_system()
    down = {'down': True}
    await system.set_platform_faults(log=down, instances=down)
    stream = await system.stream(50)
    assert stream.outcome.value == 'whole'
    unkeyed = await system.book('no-key')
    assert unkeyed.outcome.value == 'whole'
    keyed = await system.book('keyed', 'key-2')
    assert (keyed.code, keyed.execution) == ('claims-unavailable', 'unknown')
    assert await system.executions('keyed') == 0
    up = {'down': False}
    await system.set_platform_faults(log=up, instances=up)

    async def served():
        result = await system.book('keyed', 'key-2')
        return result.outcome.value == 'whole'

    await system.wait_until(served)
    assert await system.executions('keyed') == 1


async def test_an_edit_after_an_outage_takes_effect(start_system):
    """Guards against instances that stop reading the log after an outage."""
    system = await start_system()
    await system.set_platform_faults(log={'down': True})
    await system.wait_until(
        lambda: all(
            system.events(instance, 'log-unreachable')
            for instance in system.cluster.instances
        )
    )
    await system.set_platform_faults(log={'down': False})
    report = await system.run_client('route', 'delete', 'lookup')
    assert report['outcome'] == 'accepted'

    async def in_force():
        for instance in system.cluster.instances:
            url = f'{instance.admin_url}/admin/v1/tables'
            async with system.http.get(url) as response:
                if (await response.json())['revision'] < report['revision']:
                    return False
        return True

    await system.wait_until(in_force, timeout_s=18.0)


async def test_a_leaving_engine_gets_no_new_work(start_system):
    """Guards against work for an engine 3 s after it announced leaving."""
    system = await start_system()
    url = system.cluster.engine_urls[0]
    target_id = (await system.load_report(url))['target_id']
    async with system.under_load() as tally:
        await system.wait_until(lambda: len(tally.results) > 10)
        await system.send_json(f'{url}/faults', {'kind': 'leave'})
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + 3.0
        await system.wait_until(lambda: loop.time() >= deadline_s)
        placements_before = _count_placements(system, target_id)
        previous_count = len(tally.results)
        await system.wait_until(
            lambda: len(tally.results) > previous_count + 30
        )
        assert _count_placements(system, target_id) == placements_before > 0
    _, violations = await summarise(system, tally)
    assert violations == NO_VIOLATIONS


def _count_placements(system, target_id):
    """Returns how often the instances chose a target."""
    return sum(
        line['target_id'] == target_id
        for instance in system.cluster.instances
        for line in system.events(instance, 'target-chosen')
    )


async def test_engines_load_the_version_of_their_pool(start_system):
    """Guards against an edit of a pool that is not applied to its engines."""
    system = await start_system()
    stream = await system.start_stream(200)
    pool = system.group.directory / 'pool.json5'
    pool.write_text(
        '{kind: "engine", service: "guide-llm", model: "guide", version: "v2"}'
    )
    report = await system.run_client('pool', 'put', 'models', str(pool))
    assert report['outcome'] == 'accepted'

    async def all_loaded():
        versions = [
            (await system.load_report(url))['version']
            for url in system.cluster.engine_urls
        ]
        return set(versions) == {'v2'}

    # Engines that ignore fencing tokens get orders only after the lease of
    # the pool has expired, and the weight store permits one load per second.
    await system.wait_until(all_loaded, timeout_s=60.0)
    assert (await stream).outcome.value == 'whole'
