"""Addresses as six bytes, which precede what passes through a gateway."""

import socket
import struct

ADDRESS_BYTES = 6
CONNECTED = b'\x01'
REFUSED = b'\x00'

_FORMAT = struct.Struct('!4sH')


def pack(address: tuple[str, int]) -> bytes:
    """Encodes an IPv4 address and a port."""
    return _FORMAT.pack(socket.inet_aton(address[0]), address[1])


def unpack(data: bytes) -> tuple[str, int]:
    """Decodes an IPv4 address and a port.

    Raises:
        struct.error: There are not six bytes.
    """
    host, port = _FORMAT.unpack(data[:ADDRESS_BYTES])
    return socket.inet_ntoa(host), port
