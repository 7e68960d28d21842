"""Tests of instances that are stopped by signals, as real processes."""

import asyncio
import json
import socket

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


async def connect(instance, receive_bytes=None):
    """Opens a connection to the callers' port, with a small buffer if set."""
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    port = int(instance.caller_url.rpartition(':')[2])
    await asyncio.get_running_loop().sock_connect(sock, ('127.0.0.1', port))
    return await asyncio.open_connection(sock=sock, limit=receive_bytes or 1)


def booking(key):
    """Returns the bytes of a booking request."""
    body = json.dumps({'key': key}).encode()
    return (
        b'POST /shop/orders HTTP/1.1\r\nHost: i\r\n'
        b'X-Organisation: org-1\r\nContent-Length: %d\r\n\r\n' % len(body)
    ) + body


async def book_without_reading(system, instance, writer, most):
    """Sends bookings whose answers nobody reads; returns how many ended.

    Ends at ``most``, or when the instance waits for room in a buffer.
    """
    first = len(system.events(instance, 'request-ended'))
    for sent in range(1, most + 1):
        writer.write(booking(f'{first + sent:050000}'))
        await writer.drain()

        def has_ended(expected=first + sent):
            ended = system.events(instance, 'request-ended')
            return len(ended) >= expected

        try:
            await system.wait_until(has_ended, timeout_s=1.0)
        except TimeoutError:
            return sent - 1
    return most


async def test_a_stop_waits_for_callers_that_read_slowly(start_system):
    """Guards against answers cut at the exit in the write buffers."""
    system = await start_system(
        instances=1, engines=1, services=1, drain_grace_s=0.1
    )
    stopping = system.cluster.instances[0]
    _, writer = await connect(stopping, 65_536)
    capacity = await book_without_reading(system, stopping, writer, 500)
    writer.close()
    reader, writer = await connect(stopping, 65_536)
    # The last answer fits only into the buffer of the process.
    answered = await book_without_reading(
        system, stopping, writer, capacity - 1
    )
    stopping.child.terminate()
    await system.wait_until(
        lambda: system.events(stopping, 'instance-draining')
    )
    answers = b''
    while chunk := await reader.read(32_768):
        answers += chunk
        await asyncio.sleep(0.01)
    writer.close()
    assert answers.count(b'"execution_number"') == answered == capacity - 1
    assert await stopping.child.wait() == 0


async def test_a_stop_with_a_deadline_records_calls_it_gives_up(start_system):
    """Guards against a killed process whose calls have no outcome."""
    system = await start_system(
        instances=2,
        engines=1,
        services=1,
        drain_grace_s=0.1,
        drain_deadline_s=3.0,
    )
    stopping, other = system.cluster.instances
    await system.send_json(
        f'{system.cluster.service_urls[0]}/faults', {'delay_s': 20.0}, 'PUT'
    )
    system.use_only(stopping)
    await system.wait_until_ready(1)
    call = asyncio.create_task(system.book('given-up', 'key-1'))
    await system.wait_until(call_has_been_sent(system))
    stopping.child.terminate()
    assert await stopping.child.wait(timeout_s=3.0) == 0
    assert (await call).execution == 'unknown'
    system.use_only(other)
    await system.wait_until_ready(1)
    async with asyncio.timeout(1.0):
        repeat = await system.book('given-up', 'key-1')
    assert repeat.execution == 'unknown', repeat


def call_has_been_sent(system):
    """Returns a condition: the service handles a call."""

    async def is_running():
        load = await system.load_report(system.cluster.service_urls[0])
        return load['running'] == 1

    return is_running
