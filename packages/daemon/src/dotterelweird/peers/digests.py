"""Keyed digests of what instances send to each other."""

import hashlib
import hmac

DIGEST_BYTES = 16


class KeyedDigests:
    """Signs with the first key and accepts every key.

    During a key rotation the new key is first added behind the old one on
    every instance, then put in front, and then the old one is removed.
    """

    def __init__(self, keys: tuple[str, ...], purpose: bytes) -> None:
        """Takes the keys.

        Args:
            keys: Secrets of 16 to 64 bytes.
            purpose: At most 16 bytes that keep digests of one kind of
                message from being valid for another kind.
        """
        self._keys = [key.encode() for key in keys]
        self._purpose = purpose

    def sign(self, data: bytes) -> bytes:
        """The digest of some data."""
        return self._digest(self._keys[0], data)

    def verify(self, data: bytes, digest: bytes) -> bool:
        """Whether a digest was made with one of the keys."""
        return any(
            hmac.compare_digest(self._digest(key, data), digest)
            for key in self._keys
        )

    def _digest(self, key: bytes, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, digest_size=DIGEST_BYTES, key=key, person=self._purpose
        ).digest()
