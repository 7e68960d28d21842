"""Cuts the links of one gateway in this process to all targets."""

import asyncio
import enum

import aiohttp

from dotterelweird.gateway import composition
from dotterelweird.gateway import target_client


class Cut(enum.Enum):
    """What becomes of connections to targets."""

    REFUSED = 'new ones are refused, open ones live on'
    RESET = 'open ones are reset, new ones refused'
    HANG = 'open ones are silent, new ones time out'


class TargetLinks:
    """The links of one gateway to all targets.

    Links to the store, to callers and to other gateways stay as they are.

    Args:
        gateway: The gateway.
    """

    def __init__(self, gateway: composition.Gateway) -> None:
        self._connector = gateway._session.connector
        self._make_connection = self._connector._create_connection
        self._connector._create_connection = self._connect
        reach = gateway._reach
        self._probe = reach.accepts_connections
        reach.accepts_connections = self._accepts_connections
        detector = gateway._parts.end_detector
        self._refuses = detector.refuses_connections
        detector.refuses_connections = self._refuses_connections
        self._cut: Cut | None = None

    def cut(self, cut: Cut) -> None:
        """Cuts all links.

        Args:
            cut: What becomes of the connections.
        """
        self._cut = cut
        for protocol in self._open_protocols():
            match cut:
                case Cut.RESET:
                    protocol.transport.abort()
                case Cut.HANG:
                    protocol.transport.pause_reading()

    def heal(self) -> None:
        """Ends the cut."""
        self._cut = None
        for protocol in self._open_protocols():
            protocol.transport.resume_reading()

    def _open_protocols(self) -> list[aiohttp.client_proto.ResponseHandler]:
        return [
            protocol
            for protocol in self._connector._acquired
            if getattr(protocol, 'transport', None) is not None
        ]

    async def _connect(self, request, traces, limits):
        if self._cut is Cut.HANG:
            await asyncio.sleep(target_client.CONNECT_TIMEOUT_S)
            raise aiohttp.ConnectionTimeoutError
        if self._cut is not None:
            raise aiohttp.ClientConnectorError(
                request.connection_key, ConnectionRefusedError()
            )
        return await self._make_connection(request, traces, limits)

    async def _accepts_connections(
        self, host: str, port: int, timeout_s: float
    ) -> bool:
        if self._cut is Cut.HANG:
            await asyncio.sleep(timeout_s)
        if self._cut is not None:
            return False
        return await self._probe(host, port, timeout_s)

    async def _refuses_connections(
        self, host: str, port: int, timeout_s: float
    ) -> bool:
        if self._cut is None:
            return await self._refuses(host, port, timeout_s)
        if self._cut is Cut.HANG:
            await asyncio.sleep(timeout_s)
        return self._cut is not Cut.HANG
