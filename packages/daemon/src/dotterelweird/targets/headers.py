"""Removal of hop-by-hop headers (RFC 9110, section 7.6.1)."""

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def end_to_end(
    headers: Iterable[tuple[str, str]], also_removed: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Removes the headers that must not be forwarded.

    These are the hop-by-hop headers and those that a Connection header names.

    Args:
        headers: Names and values, in order; a name may occur several times.
        also_removed: Names of further headers to remove, in lower case.

    Returns:
        The remaining headers, in order.
    """
    pairs = tuple(headers)
    removed = HOP_BY_HOP | also_removed
    for name, value in pairs:
        if name.lower() == 'connection':
            removed |= {token.strip().lower() for token in value.split(',')}
    return tuple(pair for pair in pairs if pair[0].lower() not in removed)
