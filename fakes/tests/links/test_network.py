"""Tests of link proxies: cut and stalled links."""

import asyncio
import contextlib

import pytest

from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.links import loop
from dotterelweir_fakes.links import network

TIMEOUT_S = 5.0


class DatagramRecorder(asyncio.DatagramProtocol):
    """Queues the received datagrams with their origin."""

    def __init__(self):
        self.received = asyncio.Queue()

    def datagram_received(self, data, addr):
        self.received.put_nowait((data, addr))


@pytest.fixture
async def open_link():
    """Yields the rules, a function that connects, and the proxy's ports.

    The function connects to an echo server through a link proxy. It sends
    the address header itself, as ``LinkedEventLoop`` does, so that the test
    needs no second event loop.
    """
    async with contextlib.AsyncExitStack() as stack:
        links = network.Network()
        stack.push_async_callback(links.close)
        peer_port, datagram_port = processes.free_ports(2)
        links.rules.name_port(peer_port, 'entry', 'zone-a')
        link_proxy = await links.attach(peer_port, datagram_port)

        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        links.rules.name_port(port, 'engine', 'zone-b')

        async def connect():
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', link_proxy.connect_port
            )
            stack.callback(writer.transport.abort)
            writer.write(loop.addresses.pack(('127.0.0.1', port)))
            return reader, writer

        yield links.rules, connect, (peer_port, datagram_port)


async def read(reader, count):
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.read(count)


async def test_cut_resets_and_refuses_connections(open_link):
    """Guards against a cut that leaves open connections alive."""
    rules, connect, _ = open_link
    reader, writer = await connect()
    assert await read(reader, 1) == loop.addresses.CONNECTED
    writer.write(b'one')
    assert await read(reader, 10) == b'one'
    rules.cut('zone-a', 'engine')
    with contextlib.suppress(ConnectionResetError):
        assert await read(reader, 10) == b''
    refused, _ = await connect()
    assert await read(refused, 1) == loop.addresses.REFUSED
    rules.heal()
    again, _ = await connect()
    assert await read(again, 1) == loop.addresses.CONNECTED


@pytest.mark.parametrize('way', ['there', 'back', 'both'])
async def test_stall_delays_bytes_without_loss(open_link, way):
    """Guards against a stall that loses bytes or lets them pass."""
    rules, connect, _ = open_link
    reader, writer = await connect()
    assert await read(reader, 1) == loop.addresses.CONNECTED
    match way:
        case 'there':
            rules.stall_one_way('entry', 'engine')
        case 'back':
            rules.stall_one_way('engine', 'entry')
        case 'both':
            rules.stall('entry', 'engine')
    writer.write(b'one')
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.read(10)
    rules.heal()
    assert await read(reader, 10) == b'one'


async def test_datagrams_keep_origin_and_stalled_ones_are_lost(open_link):
    """Guards against datagrams that pass a stall or lose their origin."""
    rules, _, (peer_port, datagram_port) = open_link
    event_loop = asyncio.get_running_loop()
    remote_transport, remote = await event_loop.create_datagram_endpoint(
        DatagramRecorder, local_addr=('127.0.0.1', 0)
    )
    local_transport, local = await event_loop.create_datagram_endpoint(
        DatagramRecorder, local_addr=('127.0.0.1', datagram_port)
    )
    address = remote_transport.get_extra_info('sockname')
    rules.name_port(address[1], 'peer', 'zone-b')

    def send(data):
        packet = loop.addresses.pack(address) + data
        local_transport.sendto(packet, ('127.0.0.1', peer_port))

    async with asyncio.timeout(TIMEOUT_S):
        send(b'one')
        assert await remote.received.get() == (
            b'one',
            ('127.0.0.1', peer_port),
        )
        remote_transport.sendto(b'back', ('127.0.0.1', peer_port))
        packet, _ = await local.received.get()
        assert loop.addresses.unpack(packet) == address
        assert packet.endswith(b'back')
        rules.stall_one_way('zone-a', 'zone-b')
        send(b'lost')
        # The proxy handles datagrams in order, so the lost one has been
        # dropped when this one arrives.
        remote_transport.sendto(b'still', ('127.0.0.1', peer_port))
        packet, _ = await local.received.get()
        assert packet.endswith(b'still')
        rules.heal()
        send(b'two')
        assert await remote.received.get() == (
            b'two',
            ('127.0.0.1', peer_port),
        )
    remote_transport.close()
    local_transport.close()
