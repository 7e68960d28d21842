"""Keyed digests of messages between instances."""

import hashlib
import hmac

DIGEST_BYTES = 16


class KeyedDigests:
    """Signs with the first key and verifies with every key.

    A key rotation takes three steps, each completed on every instance before
    the next: append the new key, move it to the front, remove the old key.
    """

    def __init__(self, keys: tuple[str, ...], purpose: bytes) -> None:
        """Sets the keys and the purpose.

        Args:
            keys: Secrets of 16 to 64 bytes.
            purpose: Kind of message, in at most 16 bytes. A digest for one
                purpose is not valid for another.
        """
        self._keys = [key.encode() for key in keys]
        self._purpose = purpose

    def sign(self, data: bytes) -> bytes:
        """Returns the digest of the data under the first key."""
        return self._digest(self._keys[0], data)

    def verify(self, data: bytes, digest: bytes) -> bool:
        """Returns whether the digest is valid under one of the keys."""
        return any(
            hmac.compare_digest(self._digest(key, data), digest)
            for key in self._keys
        )

    def _digest(self, key: bytes, data: bytes) -> bytes:
        return hashlib.blake2b(
            data, digest_size=DIGEST_BYTES, key=key, person=self._purpose
        ).digest()
