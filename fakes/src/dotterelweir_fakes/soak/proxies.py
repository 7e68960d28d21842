"""Loopback proxies in front of engines and the store."""

import asyncio
import socket
import struct
import typing

from dotterelweir_fakes.links import link_proxy as link_proxy_module
from dotterelweir_fakes.links import rules as links_rules


class BackendProxy(link_proxy_module.LinkProxy):
    """Forwards connections to one fixed address under the rules.

    Args:
        rules: Rules of all proxies.
        name: Name of the destination in the rules; the other end of each
            link is named ``caller``.
        host: Destination host.
        port: Destination port.
    """

    def __init__(
        self, rules: links_rules.Rules, name: str, host: str, port: int
    ) -> None:
        super().__init__(rules, 0, 0)
        self._name = name
        self._host = host
        self._port = port

    @property
    def address(self) -> str:
        """Host and port on which the proxy listens."""
        return f'127.0.0.1:{self.connect_port}'

    async def open(self) -> None:
        """Listens on a free port."""
        await self._listen()
        self._own_port = self.connect_port
        self._rules.name_port(self._own_port, 'caller', 'any')
        self._rules.name_port(self._port, self._name, 'any')

    def refuse(self) -> None:
        """Refuses connections, as the address of an engine that has ended."""
        if self._server is not None:
            self._server.close()

    async def accept_again(self) -> None:
        """Accepts connections again after ``refuse``."""
        if self._server is not None and not self._server.is_serving():
            await self._listen(self.connect_port)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        mode = await self._rules.wait_while_stalled(self._own_port, self._port)
        if mode is links_rules.Mode.CUT:
            raise ConnectionRefusedError
        remote: tuple[typing.Any, typing.Any] = await asyncio.open_connection(
            self._host, self._port
        )
        for side in (writer, remote[1]):
            # A cut or a reset ends both connections with a reset: after an
            # orderly close, an interrupted answer without a length would
            # appear complete. With a linger time of 0 an abort resets.
            side.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        try:
            await self._forward_connection(
                self._port, (reader, writer), remote
            )
        finally:
            remote[1].transport.abort()
