"""Tests of instances that are stopped by signals, as real processes."""

import asyncio
import json
import signal
import socket

import pytest

LOG_DOWN = {'down': True}
WITH_DEADLINE = {
    'engines': 1,
    'services': 1,
    'drain_grace_s': 0.1,
    'drain_deadline_s': 3.0,
}


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
    return await asyncio.open_connection(
        sock=sock, limit=receive_bytes or 65_536
    )


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
    system = await start_system(instances=2, **WITH_DEADLINE)
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


async def test_a_stop_refuses_a_request_that_stays_incomplete(start_system):
    """Guards against an incomplete request that keeps the process running."""
    system = await start_system(instances=1, **WITH_DEADLINE)
    stopping = system.cluster.instances[0]
    reader, writer = await connect(stopping)
    writer.write(booking('incomplete')[:-5])
    await writer.drain()

    async def is_answering():
        status = await system.query_admin(stopping, 'status')
        return status['requests']['answering'] == 1

    await system.wait_until(is_answering)
    stopping.child.terminate()
    answer = await reader.read()
    writer.close()
    assert b'"shutting-down"' in answer, answer
    assert b'"not run"' in answer
    assert await stopping.child.wait(timeout_s=3.0) == 0


async def test_answers_in_the_grace_period_close_connections(start_system):
    """Guards against requests that cross the close of a kept connection."""
    system = await start_system(instances=1, engines=1, services=1)
    stopping = system.cluster.instances[0]
    reader, writer = await connect(stopping)
    stopping.child.terminate()
    await system.wait_until(
        lambda: system.events(stopping, 'instance-draining')
    )
    writer.write(booking('in-grace'))
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b'HTTP/1.1 200 OK'), answer
    assert b'\r\nConnection: close\r\n' in answer
    # The connection ended with the answer, not with the process.
    assert stopping.child.running


async def test_calls_accepted_late_are_not_given_up(start_system):
    """Guards against "unknown" for short calls because of the stop alone."""
    system = await start_system(
        instances=1, **WITH_DEADLINE | {'drain_grace_s': 2.0}
    )
    await system.send_json(
        f'{system.cluster.service_urls[0]}/faults', {'delay_s': 0.2}, 'PUT'
    )
    stopping = system.cluster.instances[0]

    async def book(number):
        reader, writer = await connect(stopping)
        writer.write(booking(f'late-{number}'))
        answer = await reader.read()
        writer.close()
        return answer

    stopping.child.terminate()
    await system.wait_until(
        lambda: system.events(stopping, 'instance-draining')
    )
    calls = []
    while not (calls and calls[-1].done() and b' 503 ' in calls[-1].result()):
        calls.append(asyncio.create_task(book(len(calls))))
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*calls)
    assert b' 200 OK' in answers[0]
    assert [each for each in answers if b'"unknown"' in each] == []


@pytest.mark.parametrize(
    'signals',
    [
        (signal.SIGHUP,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
    ],
)
async def test_signals_of_a_stop_cut_no_request(start_system, signals):
    """Guards against signals that end the process at once."""
    system = await start_system(
        instances=1, engines=1, services=1, drain_grace_s=0.1
    )
    system.use_only(system.cluster.instances[0])
    stopping = system.cluster.instances[0]
    stream = await system.start_stream(200)
    for number in signals:
        stopping.child.process.send_signal(number)
        await system.wait_until(
            lambda: (
                system.events(stopping, 'instance-draining')
                or not stopping.child.running
            )
        )
    assert (await stream).outcome.value == 'whole'
    assert await stopping.child.wait() == 0


def call_has_been_sent(system):
    """Returns a condition: the service handles a call."""

    async def is_running():
        load = await system.load_report(system.cluster.service_urls[0])
        return load['running'] == 1

    return is_running
