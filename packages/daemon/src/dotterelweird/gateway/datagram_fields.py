"""Decoding of single fields of datagrams, with checks."""

import ipaddress
import math

# Greatest integer in a message, which every JSON library can encode.
_INTEGER_MAX = 2**63 - 1
# Greatest number of a load or time in a message. Sums of such numbers stay
# finite.
_NUMBER_MAX = 2**53


def decode_host(value: object) -> str:
    """Returns a value that must be an IP address.

    A name would be resolved while the event loop waits, and asyncio closes
    the socket at the first one that it cannot encode.

    Raises:
        ValueError: The value is not an IP address.
    """
    if not isinstance(value, str):
        raise ValueError('a host is not a string')
    ipaddress.ip_address(value)
    return value


def decode_integer(value: object, lowest: int = 0) -> int:
    """Returns a value that must be an integer in the range of messages.

    Args:
        value: The value.
        lowest: Smallest number that is accepted.

    Raises:
        ValueError: The value is not an integer or is out of range.
    """
    if type(value) is not int or not lowest <= value <= _INTEGER_MAX:
        raise ValueError('not an integer, or out of range')
    return value


def decode_number(value: object) -> float:
    """Returns a value that must be a number in the range of messages.

    Raises:
        ValueError: The value is not a number or is out of range.
    """
    if type(value) not in (int, float) or not abs(value) <= _NUMBER_MAX:
        raise ValueError('not a number, or out of range')
    return float(value)


def decode_unbounded(value: object) -> float:
    """Returns a number of at least 0, infinite if it is missing."""
    return math.inf if value is None else decode_duration_s(value)


def decode_duration_s(value: object) -> float:
    """Returns a number of at least 0.

    Raises:
        ValueError: The value is not a number, is negative or out of range.
    """
    number = decode_number(value)
    if number < 0:
        raise ValueError('a negative number')
    return number
