"""Tests of instances that are stopped by signals, as real processes."""

LOG_DOWN = {'down': True}


async def test_a_stop_before_readiness_refuses_every_request(start_system):
    """Guards against the answer "no route" before the tables were read."""
    system = await start_system(instances=1, engines=1, services=1)
    await system.set_platform_faults(log=LOG_DOWN)
    # The next instance could otherwise read the tables from this peer.
    system.cluster.instances[0].child.kill()
    unready = await system.cluster.start_instance('entry-2', 1)
    unready.child.terminate()
    await system.wait_until(
        lambda: system.events(unready, 'instance-draining')
    )
    url = f'{unready.caller_url}/shop/orders'
    headers = {'X-Organisation': 'org-1'}
    async with system.http.post(url, json={}, headers=headers) as response:
        answer = await response.json()
    assert answer['code'] == 'shutting-down', answer
    assert answer['execution'] == 'not run'
    assert await unready.child.wait() == 0, unready.child.output()


async def test_an_operator_who_watches_does_not_delay_a_stop(start_system):
    """Guards against a process that outlives its last request by a minute."""
    system = await start_system(
        instances=1, engines=1, services=1, drain_grace_s=0.1
    )
    watched = system.cluster.instances[0]
    url = f'{watched.admin_url}/admin/v1/watch'
    async with system.http.get(url) as response:
        watched.child.terminate()
        text = (await response.read()).decode()
    assert 'instance-stopped' in text
    assert await watched.child.wait(timeout_s=5.0) == 0
