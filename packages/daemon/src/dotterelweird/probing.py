"""Tells a target that has ended from one that lost a connection."""

import asyncio


async def accepts_connections(host: str, port: int, timeout_s: float) -> bool:
    """Whether a target accepts a connection; closes it at once.

    Args:
        host: IP address of the target.
        port: Port of the target.
        timeout_s: Timeout of the connection, in seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def refuses_connections(host: str, port: int, timeout_s: float) -> bool:
    """Whether a target refuses a connection, as one that has ended does.

    A target that goes on accepts or resets connections, and a cut link, which
    shows nothing, does not answer.

    Args:
        host: IP address of the target.
        port: Port of the target.
        timeout_s: Timeout of the connection, in seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
