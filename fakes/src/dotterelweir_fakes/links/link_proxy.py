"""Proxy for the connections and datagrams of one instance."""

import asyncio
import contextlib
import typing

from dotterelweir_fakes.links import addresses
from dotterelweir_fakes.links import rules as rules_module

_HOST = '127.0.0.1'
_CHUNK_BYTES = 65_536


class LinkProxy:
    """Forwards the connections and datagrams of one instance under rules.

    The proxy owns the datagram address that the instance announces to its
    peers, so that they see this address as the origin of its datagrams.

    Attributes:
        connect_port: Port on which the proxy accepts the instance's
            outgoing connections; 0 until it is open.
    """

    def __init__(
        self, rules: rules_module.Rules, peer_port: int, datagram_port: int
    ) -> None:
        """Makes a closed proxy; ``open`` opens it.

        Args:
            rules: Rules of all links.
            peer_port: Port on which the instance's peers reach it.
            datagram_port: Port on which the instance receives datagrams
                from the proxy.
        """
        self.connect_port = 0
        self._rules = rules
        self._own_port = peer_port
        self._datagram_port = datagram_port
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Starts to listen for connections and datagrams."""
        await self._listen()
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._relay_datagram),
            local_addr=(_HOST, self._own_port),
        )

    async def _listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._accept, _HOST, port)
        self.connect_port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and ends every connection."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _relay_datagram(self, data: bytes, origin: tuple[str, int]) -> None:
        if self._datagrams is None:
            return
        if origin[1] != self._datagram_port:
            # The sender's link proxy has applied the rules.
            packet = addresses.pack(origin) + data
            self._datagrams.sendto(packet, (_HOST, self._datagram_port))
            return
        destination = addresses.unpack(data)
        if self._rules.mode(self._own_port, destination[1]):
            return
        asyncio.get_running_loop().call_later(
            self._rules.delay_s(self._own_port, destination[1]),
            self._send,
            data[addresses.ADDRESS_BYTES :],
            destination,
        )

    def _send(self, data: bytes, destination: tuple[str, int]) -> None:
        if self._datagrams is not None and not self._datagrams.is_closing():
            self._datagrams.sendto(data, destination)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._connect(reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            # Only ``close`` cancels these tasks. The cancellation stops
            # here because asyncio logs a cancelled connection callback of a
            # server as an error.
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        header = await reader.readexactly(addresses.ADDRESS_BYTES)
        host, port = addresses.unpack(header)
        if rules_module.Mode.STALL in (
            self._rules.mode(self._own_port, port),
            self._rules.mode(port, self._own_port),
        ):
            self._rules.stalled_connects += 1
        modes = [
            await self._rules.wait_while_stalled(self._own_port, port),
            await self._rules.wait_while_stalled(port, self._own_port),
        ]
        try:
            if rules_module.Mode.CUT in modes:
                raise ConnectionRefusedError
            remote_reader, remote_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.write(addresses.REFUSED)
            await writer.drain()
            return
        try:
            writer.write(addresses.CONNECTED)
            await self._forward_connection(
                port, (reader, writer), (remote_reader, remote_writer)
            )
        finally:
            remote_writer.transport.abort()

    async def _forward_connection(
        self, port: int, local: typing.Any, remote: typing.Any
    ) -> None:
        """Forwards bytes until the connection is cut, reset or closed."""
        own_port = self._own_port
        forwarding = asyncio.gather(
            self._forward_bytes(local[0], remote[1], own_port, port),
            self._forward_bytes(remote[0], local[1], port, own_port),
        )
        tasks = {
            asyncio.ensure_future(forwarding),
            asyncio.create_task(self._rules.wait_until_cut(own_port, port)),
            asyncio.create_task(self._rules.wait_until_cut(port, own_port)),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: int,
        destination: int,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if delay_s := self._rules.delay_s(source, destination):
                await asyncio.sleep(delay_s)
            mode = await self._rules.wait_while_stalled(source, destination)
            if mode is rules_module.Mode.CUT:
                return
            writer.write(data)
            await writer.drain()
        await self._rules.wait_while_stalled(source, destination)
        with contextlib.suppress(OSError):
            writer.write_eof()


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback."""

    def __init__(
        self, on_datagram: typing.Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        self._on_datagram(data, (addr[0], addr[1]))
