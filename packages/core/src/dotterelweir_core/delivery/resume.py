"""Event ids with which any instance can resume a generation.

An event id is ``TOKEN.N``. TOKEN, the resume token, is the base64url encoding
of a record that identifies the generation, followed by a keyed digest. N is
the engine's sequence number of the event, or -1 for the position before the
first event.
"""

import base64
import binascii
from collections.abc import Sequence
import hashlib
import hmac
import struct

import attrs

from dotterelweir_core import errors

_VERSION = 1
_DIGEST_BYTES = 12
_ORGANISATION_BYTES = 8
# Version, incarnation, digest of the organisation, target id length in bytes.
_HEADER = struct.Struct(f'>BQ{_ORGANISATION_BYTES}sB')
_MAX_TOKEN_CHARACTERS = 1024
_MAX_SEQUENCE_DIGITS = 10


@attrs.frozen
class GenerationRef:
    """Identifies a generation and the engine that runs it.

    Attributes:
        target_id: Target id of the engine.
        incarnation: Incarnation of the engine.
        generation_id: Id that the engine assigned to the generation.
    """

    target_id: str
    incarnation: int
    generation_id: str


@attrs.frozen
class Position:
    """A generation and the last event of it that the caller received.

    Attributes:
        ref: The generation.
        sequence: Sequence number of the event; -1 for none.
    """

    ref: GenerationRef
    sequence: int


class ResumeCodec:
    """Encodes and verifies event ids.

    Args:
        keys: Secrets of the digest, at most 64 bytes each. The first key
            signs; all keys verify, so that keys can be rotated.

    Raises:
        ValueError: No key is given.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        if not keys:
            raise ValueError('at least one key is required')
        self._keys = tuple(key.encode() for key in keys)

    def encode_resume_token(
        self, ref: GenerationRef, organisation: str
    ) -> str:
        """Encodes the resume token in the event ids of one generation.

        Args:
            ref: The generation.
            organisation: The organisation that may resume the generation.
        """
        key = self._keys[0]
        target = ref.target_id.encode()
        record = (
            _HEADER.pack(
                _VERSION,
                ref.incarnation,
                _organisation_digest(key, organisation),
                len(target),
            )
            + target
            + ref.generation_id.encode()
        )
        signed = record + _digest(key, record)
        return base64.urlsafe_b64encode(signed).rstrip(b'=').decode()

    def decode(self, event_id: str, organisation: str) -> Position:
        """Verifies and decodes an event id.

        Args:
            event_id: ``TOKEN.N`` as sent by the caller.
            organisation: The organisation of the caller.

        Raises:
            DotterelweirError: RESUME_INVALID if the event id is malformed or
                was not signed with one of the keys; RESUME_FORBIDDEN if it
                belongs to another organisation.
        """
        resume_token, _, number = event_id.rpartition('.')
        sequence = _parse_sequence(number)
        signed = _decode_base64(resume_token)
        record, digest = signed[:-_DIGEST_BYTES], signed[-_DIGEST_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(_digest(key, record), digest):
                return Position(
                    _parse_record(key, record, organisation), sequence
                )
        raise _invalid('the digest does not match')


def _organisation_digest(key: bytes, organisation: str) -> bytes:
    return hashlib.blake2b(
        organisation.encode(),
        digest_size=_ORGANISATION_BYTES,
        key=key,
        person=b'organisation',
    ).digest()


def _digest(key: bytes, record: bytes) -> bytes:
    return hashlib.blake2b(
        record, digest_size=_DIGEST_BYTES, key=key, person=b'event-id'
    ).digest()


def _invalid(detail: str) -> errors.DotterelweirError:
    return errors.DotterelweirError(
        errors.ErrorKind.RESUME_INVALID, f'The event id is invalid: {detail}'
    )


def _parse_sequence(number: str) -> int:
    digits = number.removeprefix('-')
    if (
        not digits.isascii()
        or not digits.isdigit()
        or len(digits) > _MAX_SEQUENCE_DIGITS
        or int(number) < -1
    ):
        raise _invalid('it does not end with a sequence number')
    return int(number)


def _decode_base64(resume_token: str) -> bytes:
    if len(resume_token) > _MAX_TOKEN_CHARACTERS:
        raise _invalid('it is too long')
    padded = resume_token + '=' * (-len(resume_token) % 4)
    try:
        signed = base64.b64decode(padded, altchars='-_', validate=True)
    except (binascii.Error, ValueError) as error:
        raise _invalid('it is not base64url') from error
    if len(signed) < _HEADER.size + _DIGEST_BYTES:
        raise _invalid('it is too short')
    return signed


def _parse_record(
    key: bytes, record: bytes, organisation: str
) -> GenerationRef:
    version, incarnation, owner_digest, target_size = _HEADER.unpack_from(
        record
    )
    if version != _VERSION:
        raise _invalid(f'version {version} is not known')
    if not hmac.compare_digest(
        owner_digest, _organisation_digest(key, organisation)
    ):
        raise errors.DotterelweirError(errors.ErrorKind.RESUME_FORBIDDEN)
    identifiers = record[_HEADER.size :]
    return GenerationRef(
        identifiers[:target_size].decode(),
        incarnation,
        identifiers[target_size:].decode(),
    )
