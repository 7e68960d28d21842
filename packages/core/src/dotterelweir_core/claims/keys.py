"""Parsing and hashing of idempotency keys."""

import hashlib
import re
import uuid

import attrs
import xxhash

from dotterelweir_core import errors
from dotterelweir_core.tables import model as tables_model

KEY_MAX_LENGTH = 255
# Keys whose time is further in the future are rejected: with a clock error of
# that size, the age of a key cannot be compared with the window. Claims are
# kept up to this much longer than the window.
FUTURE_TOLERANCE_S = 300.0
_DIGEST_BYTES = 16
_UUID_PATTERN = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}', re.I)


@attrs.frozen
class IdempotencyKey:
    """A key that identifies one call of an organisation on a route.

    Attributes:
        text: The key in its canonical form.
        time_s: Creation time in a version 7 UUID, in seconds since the Unix
            epoch; None for other keys.
    """

    text: str
    time_s: float | None


def parse(value: str, key_format: tables_model.KeyFormat) -> IdempotencyKey:
    """Parses the value of an Idempotency-Key header.

    The quotes of a structured field string are removed and a UUID is
    converted to lower case, so that both spellings identify the same call.

    Args:
        value: Value of the header.
        key_format: Format of the keys that the route accepts.

    Raises:
        DotterelweirError: IDEMPOTENCY_KEY_INVALID if the key is empty, too
            long, not printable or not in the format of the route.
    """
    text = value.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not 1 <= len(text) <= KEY_MAX_LENGTH or not text.isprintable():
        raise errors.DotterelweirError(
            errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
            f'An idempotency key has 1 to {KEY_MAX_LENGTH} printable '
            'characters',
        )
    time_s = None
    if _UUID_PATTERN.fullmatch(text):
        text = text.lower()
        parsed_uuid = uuid.UUID(text)
        if parsed_uuid.version == 7:
            time_s = (parsed_uuid.int >> 80) / 1000.0
    if time_s is None and key_format is tables_model.KeyFormat.UUID7:
        raise errors.DotterelweirError(
            errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
            'This route accepts only version 7 UUIDs as keys',
        )
    return IdempotencyKey(text, time_s)


def digest(*parts: bytes) -> str:
    """Returns a collision-resistant hash of several byte strings, in hex.

    Each part is prefixed with its length, so that moving bytes from one part
    to the next changes the hash.
    """
    state = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.hexdigest()


def key_hash(organisation: str, route: str, key: IdempotencyKey) -> str:
    """Returns the hash under which a key is claimed."""
    return digest(organisation.encode(), route.encode(), key.text.encode())


def partition(hashed_key: str, partitions: int) -> int:
    """Returns the index of the claim stream that holds the claims of a key.

    Args:
        hashed_key: Result of ``key_hash``.
        partitions: Number of claim streams.
    """
    return xxhash.xxh64_intdigest(hashed_key.encode()) % partitions
