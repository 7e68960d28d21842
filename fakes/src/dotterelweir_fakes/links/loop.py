"""Event loop whose connections and datagrams go through a link proxy."""

import asyncio
import errno
import socket
import typing

from dotterelweir_fakes.links import addresses

Address = tuple[str, int]


class LinkedEventLoop(asyncio.SelectorEventLoop):
    """Redirects connections and datagrams to a link proxy.

    The destination precedes the data, so that the proxy can forward it.
    """

    def __init__(self, proxy_address: Address, datagram_port: int) -> None:
        """Makes a loop.

        Args:
            proxy_address: Address on which the proxy accepts connections.
            datagram_port: Port to which the proxy forwards datagrams.
        """
        super().__init__()
        self._proxy_address = proxy_address
        self._datagram_port = datagram_port

    async def sock_connect(
        self, sock: socket.socket, address: typing.Any
    ) -> None:
        await super().sock_connect(sock, self._proxy_address)
        await self.sock_sendall(sock, addresses.pack(address))
        if await self.sock_recv(sock, 1) != addresses.CONNECTED:
            raise ConnectionRefusedError(
                errno.ECONNREFUSED, f'no link to {address}'
            )

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: typing.Callable[[], asyncio.DatagramProtocol],
        local_addr: Address,
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        tunnel = _Tunnel(protocol_factory(), local_addr)
        await super().create_datagram_endpoint(
            lambda: tunnel, local_addr=(local_addr[0], self._datagram_port)
        )
        return tunnel.outer, tunnel.protocol


class _OuterTransport(asyncio.DatagramTransport):
    """Transport that the instance's protocol sees; sends to the proxy."""

    def __init__(
        self, inner: asyncio.DatagramTransport, proxy_address: Address
    ) -> None:
        super().__init__({'sockname': proxy_address})
        self._inner = inner
        self._proxy_address = proxy_address

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        assert addr is not None
        self._inner.sendto(addresses.pack(addr) + data, self._proxy_address)

    def close(self) -> None:
        self._inner.close()

    def abort(self) -> None:
        self._inner.abort()


class _Tunnel(asyncio.DatagramProtocol):
    """Exchanges datagrams with the proxy, which owns the local address.

    Attributes:
        outer: Transport for the instance's protocol.
        protocol: The instance's protocol.
    """

    outer: _OuterTransport

    def __init__(
        self, protocol: asyncio.DatagramProtocol, proxy_address: Address
    ) -> None:
        self.protocol = protocol
        self._proxy_address = proxy_address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        inner = typing.cast(asyncio.DatagramTransport, transport)
        self.outer = _OuterTransport(inner, self._proxy_address)
        self.protocol.connection_made(self.outer)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        origin = addresses.unpack(data)
        self.protocol.datagram_received(
            data[addresses.ADDRESS_BYTES :], origin
        )

    def error_received(self, exc: Exception) -> None:
        self.protocol.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        self.protocol.connection_lost(exc)
