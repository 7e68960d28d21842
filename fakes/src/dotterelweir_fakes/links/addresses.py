"""Encoding of the addresses that instances and link proxies exchange.

An address takes six bytes. It precedes the data of a connection and of each
datagram between an instance and its link proxy.
"""

import socket
import struct

ADDRESS_BYTES = 6
CONNECTED = b'\x01'
REFUSED = b'\x00'

_FORMAT = struct.Struct('!4sH')


def pack(address: tuple[str, int]) -> bytes:
    """Encodes an IPv4 address and a port in six bytes."""
    return _FORMAT.pack(socket.inet_aton(address[0]), address[1])


def unpack(data: bytes) -> tuple[str, int]:
    """Decodes an IPv4 address and a port from the first six bytes.

    Args:
        data: Encoded address; bytes after the sixth are ignored.

    Raises:
        struct.error: The data has fewer than six bytes.
    """
    host, port = _FORMAT.unpack(data[:ADDRESS_BYTES])
    return socket.inet_ntoa(host), port
