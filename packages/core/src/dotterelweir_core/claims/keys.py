"""Parsing and hashing of idempotency keys."""

import hashlib
import re
import uuid

import attrs
import xxhash

from dotterelweir_core import errors
from dotterelweir_core.tables import model as tables_model

KEY_MAX_LENGTH = 255
# A key this far ahead cannot come from a clock error that still lets the
# window be judged; claims are kept this much longer than the window.
FUTURE_TOLERANCE_S = 300.0
_DIGEST_BYTES = 16
_UUID_PATTERN = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}', re.I)


@attrs.frozen
class IdempotencyKey:
    """A key that names one call of one organisation on one route.

    Attributes:
        text: The key in its canonical form.
        time_s: When a version 7 UUID was made, in wall seconds; None for
            other keys.
    """

    text: str
    time_s: float | None


def parse(value: str, key_format: tables_model.KeyFormat) -> IdempotencyKey:
    """Parses the value of an Idempotency-Key header.

    The quotes of a structured field string are removed, and a UUID is
    brought to lower case, so that both spellings name the same call.

    Raises:
        DotterelweirError: IDEMPOTENCY_KEY_INVALID.
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
    """A collision-resistant hash of several byte strings, in hex.

    Each part is preceded by its length, so that moving bytes from one part
    to the next gives another hash.
    """
    state = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.hexdigest()


def key_hash(organisation: str, route: str, key: IdempotencyKey) -> str:
    """The hash under which a key is claimed."""
    return digest(organisation.encode(), route.encode(), key.text.encode())


def partition(hashed_key: str, partitions: int) -> int:
    """The number of the claim stream that a key belongs to."""
    return xxhash.xxh64_intdigest(hashed_key.encode()) % partitions
