"""Tests of the gateways that cut and stall links."""

import asyncio
import contextlib

import pytest

from dotterelweir_fakes.demo import processes
from dotterelweir_fakes.links import loop
from dotterelweir_fakes.links import network

TIMEOUT_S = 5.0


class Echo(asyncio.DatagramProtocol):
    """Keeps the datagrams that arrive."""

    def __init__(self):
        self.arrived = asyncio.Queue()

    def datagram_received(self, data, addr):
        self.arrived.put_nowait((data, addr))


@pytest.fixture
async def open_link():
    """An echo server, a network and a way to connect through a gateway.

    The linked event loop only redirects calls, so that its methods can run
    against the gateway's own loop here.
    """
    async with contextlib.AsyncExitStack() as stack:
        links = network.Network()
        stack.push_async_callback(links.close)
        own, inner = processes.free_ports(2)
        links.rules.name(own, 'entry', 'zone-a')
        gateway = await links.attach(own, inner)

        async def answer(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        links.rules.name(port, 'engine', 'zone-b')

        async def connect():
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', gateway.connect_port
            )
            stack.callback(writer.transport.abort)
            writer.write(loop.addresses.pack(('127.0.0.1', port)))
            return reader, writer

        yield links.rules, connect, (own, inner)


async def read(reader, count):
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.read(count)


async def test_a_cut_resets_and_refuses(open_link):
    """Guards against a cut that lets an open connection live on."""
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
async def test_a_stall_keeps_the_bytes(open_link, way):
    """Guards against a stall that loses bytes or passes them on."""
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


async def test_datagrams_keep_their_origin_and_are_lost(open_link):
    """Guards against datagrams that pass a cut or seem to come elsewhere."""
    rules, _, (own, inner) = open_link
    running = asyncio.get_running_loop()
    far_transport, far = await running.create_datagram_endpoint(
        Echo, local_addr=('127.0.0.1', 0)
    )
    near_transport, near = await running.create_datagram_endpoint(
        Echo, local_addr=('127.0.0.1', inner)
    )
    address = far_transport.get_extra_info('sockname')
    rules.name(address[1], 'peer', 'zone-b')

    def send(data):
        packet = loop.addresses.pack(address) + data
        near_transport.sendto(packet, ('127.0.0.1', own))

    async with asyncio.timeout(TIMEOUT_S):
        send(b'one')
        assert await far.arrived.get() == (b'one', ('127.0.0.1', own))
        far_transport.sendto(b'back', ('127.0.0.1', own))
        packet, _ = await near.arrived.get()
        assert loop.addresses.unpack(packet) == address
        assert packet.endswith(b'back')
        rules.stall_one_way('zone-a', 'zone-b')
        send(b'lost')
        # The gateway answers in order, so the first has been dropped when
        # the second arrives.
        far_transport.sendto(b'still', ('127.0.0.1', own))
        packet, _ = await near.arrived.get()
        assert packet.endswith(b'still')
        rules.heal()
        send(b'two')
        assert await far.arrived.get() == (b'two', ('127.0.0.1', own))
    far_transport.close()
    near_transport.close()
