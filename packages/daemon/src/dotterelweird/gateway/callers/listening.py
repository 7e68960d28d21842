"""Listens for callers without a burst of accepted connections."""

import asyncio
from collections.abc import Callable
import socket

# Connections that may wait to be accepted. After a restart of many instances
# hundreds arrive in one burst.
_BACKLOG = 1024
# Connections accepted in one turn of the event loop, as a share of those that
# are allowed, and the largest number. A connection over the bound is closed
# two or three turns later, and has its descriptor until then.
_ACCEPT_SHARE = 1 / 64
_ACCEPTED_MAX = 32


async def listen(
    make_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    connections_max: int,
) -> asyncio.Server:
    """Listens on an address.

    Args:
        make_protocol: Creates the protocol of a connection.
        host: IP address.
        port: Port.
        connections_max: Number of connections that are allowed.

    Returns:
        The server, which accepts connections.
    """
    accepted = int(_ACCEPT_SHARE * connections_max)
    accepted = min(max(accepted, 1), _ACCEPTED_MAX)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=_BACKLOG
    )
    listener.setblocking(False)
    # asyncio accepts as many connections in one turn as the backlog holds.
    server = await asyncio.get_running_loop().create_server(
        make_protocol, sock=listener, backlog=accepted
    )
    listener.listen(_BACKLOG)
    return server
