"""Tests of targets that start, leave or restart, and platform outages."""

import asyncio

DOWN = {'down': True}
UP = {'down': False}


async def started_generations(system, url):
    """Returns how many generations an engine has started."""
    async with system.http.get(f'{url}/stats') as response:
        return (await response.json())['started']


async def wait_until_whole(system):
    """Sends streams until one is complete."""

    async def is_whole():
        return (await system.stream(10)).outcome.value == 'whole'

    await system.wait_until(is_whole)


async def test_an_instance_starts_while_the_log_is_down(start_system):
    """Guards against an instance that cannot start without the log (P7)."""
    system = await start_system(instances=2, services=1)
    revision = await system.edit('route', 'delete', 'lookup')
    await system.wait_until_in_force(revision)
    await system.set_platform_faults(log=DOWN)
    new_instance = await system.cluster.start_instance('entry-9', 2)
    system.use_only(new_instance)
    await system.wait_until_ready(1)
    assert await system.revision(new_instance) == revision
    restored = system.events(new_instance, 'tables-restored')
    assert [line['source'] for line in restored] == ['peer']
    assert (await system.stream(30)).outcome.value == 'whole'
    await system.set_platform_faults(log=UP)
    revision = await system.edit('route', 'delete', 'booking')
    await system.wait_until_in_force(revision)


async def test_an_instance_is_not_ready_before_it_has_targets(
    start_system,
):
    """Guards against an instance that is ready before it has targets."""
    system = await start_system(instances=1, engines=1, services=1)
    await system.set_platform_faults(log=DOWN, instances=DOWN)
    new_instance = await system.cluster.start_instance('entry-9', 1)
    await system.wait_until(
        lambda: system.events(new_instance, 'instance-list-unreachable')
    )
    system.use_only(new_instance)
    await system.balancer.probe()
    assert system.balancer.ready_count == 0
    await system.set_platform_faults(log=UP, instances=UP)
    await system.wait_until_ready(1)
    assert (await system.stream(30)).outcome.value == 'whole'


async def test_targets_change_while_the_instance_list_is_down(start_system):
    """Guards against work for targets that leave during an outage (P5, P6)."""
    system = await start_system(instances=2, services=1)
    leaving = await system.engine_url('guide-llm-1')
    await system.set_platform_faults(instances=DOWN)
    await system.wait_until(
        lambda: all(
            system.events(instance, 'instance-list-unreachable')
            for instance in system.cluster.instances
        )
    )
    streams = [await system.start_stream(300) for _ in range(6)]
    await system.send_json(f'{leaving}/faults', {'kind': 'leave'})
    system.newest_child('guide-llm-2').kill()
    await system.cluster.start_engine(3)
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + 4.0
    while loop.time() < deadline_s:
        result = await system.stream(10)
        assert result.outcome.value in ('whole', 'refused'), result
    results = await asyncio.gather(*streams)
    assert {r.outcome.value for r in results} <= {'whole', 'incomplete'}
    assert all(r.execution == 'ran' for r in results if r.execution)
    assert sum(result.duplicated_tokens for result in results) == 0
    await system.set_platform_faults(instances=UP)
    url = system.cluster.engine_urls[-1]

    async def is_used():
        await system.stream(10)
        return await started_generations(system, url) > 0

    await system.wait_until(is_used)
    async with system.http.get(f'{leaving}/stats') as response:
        start_delays_s = (await response.json())['started_after_leaving_s']
    assert all(after_s <= 3.0 for after_s in start_delays_s), start_delays_s


async def test_a_target_restarts_at_the_same_address(start_system):
    """Guards against a stream that continues in a new incarnation (P1)."""
    system = await start_system(instances=2, engines=1, services=1)
    streams = [await system.start_stream(600) for _ in range(4)]
    url = system.cluster.engine_urls[0]
    system.newest_child('guide-llm-1').kill()
    await system.newest_child('guide-llm-1').wait()
    await system.cluster.start_engine(0, port=int(url.rsplit(':', 1)[1]))
    results = await asyncio.gather(*streams)
    for result in results:
        assert result.outcome.value == 'incomplete', result
        assert result.execution == 'ran', result
        assert result.duplicated_tokens == 0
    assert await started_generations(system, url) == 0
    await wait_until_whole(system)
    for instance in system.cluster.instances:

        async def is_listed_live(instance=instance):
            status = await system.query_admin(instance, 'status')
            rows = [
                row
                for row in status['targets']
                if row['target'] == 'guide-llm-1'
            ]
            return [row['state'] for row in rows] == ['live']

        await system.wait_until(is_listed_live)
    assert await started_generations(system, url) > 0
