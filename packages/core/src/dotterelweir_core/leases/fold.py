"""Replays leases from the control stream, by the timestamps of the log."""

import attrs
import cattrs
from cattrs.preconf import orjson as orjson_converter
import orjson

ACQUIRE_KIND = 'acquire'

_CONVERTER = orjson_converter.make_converter()


@attrs.frozen
class Acquire:
    """A record that requests to acquire or renew a lease.

    Attributes:
        lease: Name of the lease, such as ``orders/POOL``.
        holder: Unique name of this run of the instance.
        request_id: Unique name of the append of this record.
        ttl_s: Duration of the lease from the timestamp of the record, in
            seconds.
        kind: Kind of the record.
    """

    lease: str
    holder: str
    request_id: str
    ttl_s: float
    kind: str = ACQUIRE_KIND


@attrs.frozen
class Lease:
    """A lease that was granted; it may have expired.

    Attributes:
        name: Name of the lease.
        holder: Unique name of the run of the instance that holds it.
        fencing: Fencing token: the offset of the record that acquired the
            lease. A renewal keeps it.
        expires_s: When it expires, in wall seconds of the log.
    """

    name: str
    holder: str
    fencing: int
    expires_s: float


def encode(record: Acquire) -> bytes:
    """Encodes a record."""
    return _CONVERTER.dumps(record)


def decode(data: bytes) -> Acquire | None:
    """Decodes a record.

    Args:
        data: Bytes of a record of the control stream.

    Returns:
        The record, or None if it is of another kind.

    Raises:
        ValueError: The record is malformed, or its ``ttl_s`` is not positive.
    """
    try:
        document = orjson.loads(data)
        if not isinstance(document, dict):
            raise ValueError('not a lease record: not an object')
        if document.get('kind') != ACQUIRE_KIND:
            return None
        record = _CONVERTER.structure(document, Acquire)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ValueError(f'not a lease record: {error}') from error
    if record.ttl_s <= 0.0:
        raise ValueError(f'not a lease record: ttl_s is {record.ttl_s}')
    return record


class LeaseTable:
    """Holds the newest lease of each name."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        # Highest timestamp so far; the timestamps of records may go back.
        self._log_time_s = float('-inf')

    def find(self, name: str) -> Lease | None:
        """Returns the newest lease of a name, or None; it may have expired."""
        return self._leases.get(name)

    def apply(
        self, offset: int, time_s: float, record: Acquire
    ) -> Lease | None:
        """Applies the next record of the stream.

        Args:
            offset: Offset of the record.
            time_s: When the log appended the record, in wall seconds.
            record: The record.

        Returns:
            The lease that was acquired or renewed; None if another holder
            has it.
        """
        self._log_time_s = max(self._log_time_s, time_s)
        lease = self._leases.get(record.lease)
        fencing = offset
        if lease is not None and lease.expires_s > self._log_time_s:
            if lease.holder != record.holder:
                return None
            fencing = lease.fencing
        lease = Lease(
            record.lease,
            record.holder,
            fencing,
            self._log_time_s + record.ttl_s,
        )
        self._leases[record.lease] = lease
        return lease
