"""Encoding and validation of the datagrams between gateways.

The format is JSON, unlike in ``dotterelweird.peers``, which uses Cap'n Proto:
the Cap'n Proto library costs each process several megabytes and start-up time,
and digests are small.
"""

import base64
import struct
from typing import Any

import attrs
import orjson

from dotterelweir_core.gateway import broadcast
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import datagram_fields
from dotterelweird.gateway import finding_codec
from dotterelweird.gateway import stream_api
from dotterelweird.gateway.sharing import waiting_codec


@attrs.frozen
class FindingChecksums:
    """Checksums by which instances notice findings that they lack.

    Attributes:
        limits: Checksum of the limits of targets.
        blocks: Checksum of the blocked requests.
        evacuations: Checksum of the evacuated zones.
    """

    limits: int
    blocks: int
    evacuations: int = 0


@attrs.frozen
class Digest:
    """Digest of an instance's state, sent to the other instances.

    Attributes:
        instance_id: Id of the instance.
        host: IP address of the instance.
        zone: Availability zone of the instance.
        started_ms: Wall time at which the instance started, in milliseconds.
        sequence: Sequence number of the digest; increases from one to the
            next.
        loads: Load that the instance causes, by target.
        counts: Requests and retries that the instance counted, by service.
        reports: Reports about the streams of the store; empty if the digest
            carries none.
        known_hosts: IP addresses of other instances; empty if the digest
            carries none.
        checksums: Checksums of the instance's findings; None if the digest
            carries none.
        wants_findings: Whether the receiver should send what it has found.
        leaving: Whether the instance stops now.
        waiting: Generations that wait at the instance; None if none does, or
            if their order does not concern others.
        takes_requests: Whether the instance sends requests of others: it
            reaches targets, has its state, and does not stop.
    """

    instance_id: str
    host: str
    zone: str
    started_ms: int
    sequence: int
    loads: dict[str, gateway_load.DigestRow]
    counts: dict[str, retry_budget.Counts] = attrs.field(factory=dict)
    reports: dict[api.StoreStream, stream_api.ReadReport] = attrs.field(
        factory=dict
    )
    known_hosts: tuple[str, ...] = ()
    checksums: FindingChecksums | None = None
    wants_findings: bool = False
    leaving: bool = False
    waiting: service_order.WaitingState | None = None
    takes_requests: bool = True


@attrs.frozen
class RecordNotice:
    """Notice of records of targets that an instance has just read.

    Attributes:
        records: The records.
        era: Era of the store that the offsets belong to.
    """

    records: tuple[api.Record, ...]
    era: int = 0


@attrs.frozen
class Departures:
    """Departures of targets that an instance knows of.

    Attributes:
        departures: The departures.
    """

    departures: tuple[targets.Departure, ...]


Message = Digest | RecordNotice | Departures | finding_codec.Finding


# Header of a message that a relay forwards: a mark with which no JSON text
# begins, the index of the group, and the number of groups.
_RELAY_MARK = b'>'
_RELAY_HEADER = struct.Struct('>cHH')


class DatagramInvalid(Exception):
    """The bytes encode no message or batch of a gateway."""


def encode(message: Message) -> bytes:
    """Encodes a message; field names are short to keep datagrams small.

    Args:
        message: The message.
    """
    match message:
        case RecordNotice():
            rows = [_encode_record(row) for row in message.records]
            return orjson.dumps({'n': rows, 'e': message.era})
        case Departures():
            return orjson.dumps(
                {
                    'd': [
                        [
                            departure.target_id,
                            departure.started_ms,
                            int(departure.announced),
                        ]
                        for departure in message.departures
                    ]
                }
            )
        case Digest():
            body: dict[str, Any] = {
                'i': message.instance_id,
                'h': message.host,
                'z': message.zone,
                'b': message.started_ms,
                's': message.sequence,
                'l': [
                    [target_id, *_encode_load(row)]
                    for target_id, row in message.loads.items()
                ],
            }
            if message.counts:
                body['u'] = {
                    service: attrs.astuple(counts)
                    for service, counts in message.counts.items()
                }
            if message.reports:
                body['r'] = {
                    stream.value: [
                        report.position,
                        report.fingerprint,
                        int(report.age_s * 1000),
                        report.era,
                    ]
                    for stream, report in message.reports.items()
                }
            if message.known_hosts:
                body['k'] = message.known_hosts
            if message.checksums is not None:
                body['f'] = _encode_checksums(message.checksums)
            if message.wants_findings:
                body['g'] = 1
            if message.leaving:
                body['x'] = 1
            if message.waiting is not None:
                body['y'] = waiting_codec.encode(message.waiting)
            if not message.takes_requests:
                body['el'] = 1
            return orjson.dumps(body)
        case _:
            return orjson.dumps(finding_codec.encode(message))


def decode(data: bytes) -> Message:
    """Decodes a message.

    Args:
        data: The message without a relay header.

    Raises:
        DatagramInvalid: The message is malformed.
    """
    try:
        body = orjson.loads(data)
        if 'n' in body:
            records = tuple(_decode_record(row) for row in body['n'])
            return RecordNotice(
                records, datagram_fields.decode_integer(body['e'])
            )
        if 'd' in body:
            return Departures(
                tuple(
                    targets.Departure(
                        str(name),
                        datagram_fields.decode_integer(started),
                        bool(announced),
                    )
                    for name, started, announced in body['d']
                )
            )
        finding = finding_codec.decode(body)
        if finding is not None:
            return finding
        return Digest(
            instance_id=str(body['i']),
            host=datagram_fields.decode_host(body['h']),
            zone=str(body['z']),
            started_ms=datagram_fields.decode_integer(body['b']),
            sequence=datagram_fields.decode_integer(body['s']),
            loads={
                str(target_id): gateway_load.DigestRow(
                    *map(datagram_fields.decode_number, row)
                )
                for target_id, *row in body['l']
            },
            counts={
                str(service): retry_budget.Counts(
                    datagram_fields.decode_integer(requests),
                    datagram_fields.decode_integer(repeated),
                )
                for service, (requests, repeated) in body.get('u', {}).items()
            },
            reports={
                api.StoreStream(name): stream_api.ReadReport(
                    datagram_fields.decode_integer(position, lowest=-1),
                    str(content),
                    datagram_fields.decode_number(age_ms) / 1000.0,
                    datagram_fields.decode_integer(era),
                )
                for name, (position, content, age_ms, era) in body.get(
                    'r', {}
                ).items()
            },
            known_hosts=tuple(
                map(datagram_fields.decode_host, body.get('k', ()))
            ),
            checksums=(
                FindingChecksums(
                    *map(datagram_fields.decode_integer, body['f'])
                )
                if 'f' in body
                else None
            ),
            wants_findings=bool(body.get('g')),
            leaving=bool(body.get('x')),
            waiting=(waiting_codec.decode(body['y']) if 'y' in body else None),
            takes_requests=not body.get('el'),
        )
    except api.DECODE_ERRORS as exc:
        raise DatagramInvalid(f'{type(exc).__name__}: {exc}') from exc


def add_relay_header(data: bytes, group: broadcast.Group | None) -> bytes:
    """Adds the header of a message that the receiver forwards to a group.

    Args:
        data: The encoded message.
        group: The group; None for a message that is not forwarded, which
            stays as it is.
    """
    if group is None:
        return data
    return _RELAY_HEADER.pack(_RELAY_MARK, group.index, group.count) + data


def split_relay_header(data: bytes) -> tuple[broadcast.Group | None, bytes]:
    """Splits a datagram into the relay header and the encoded message.

    Args:
        data: The datagram.

    Returns:
        The group to which the message is to be forwarded, None without a
        header; and the encoded message.

    Raises:
        DatagramInvalid: The header is truncated or its group is invalid.
    """
    if data[:1] != _RELAY_MARK:
        return None, data
    try:
        _, index, count = _RELAY_HEADER.unpack_from(data)
    except struct.error as exc:
        raise DatagramInvalid(str(exc)) from exc
    if index >= count:
        raise DatagramInvalid('no such group')
    return broadcast.Group(index, count), data[_RELAY_HEADER.size :]


def encode_batch(batch: api.Batch) -> bytes:
    """Encodes the records that an instance requested.

    Args:
        batch: The records.
    """
    rows = [_encode_record(record) for record in batch.records]
    return orjson.dumps({'records': rows, 'end': batch.end, 'era': batch.era})


def decode_batch(data: bytes) -> api.Batch:
    """Decodes the records that another instance served.

    Args:
        data: Body of the answer.

    Raises:
        DatagramInvalid: The body is malformed.
    """
    try:
        body = orjson.loads(data)
        records = tuple(_decode_record(row) for row in body['records'])
        end, era = map(
            datagram_fields.decode_integer, (body['end'], body['era'])
        )
        return api.Batch(records, end, era=era)
    except api.DECODE_ERRORS as exc:
        raise DatagramInvalid(f'{type(exc).__name__}: {exc}') from exc


def _encode_checksums(checksums: FindingChecksums) -> list[int]:
    """Returns the checksums, the last one only while a zone is evacuated.

    Instances of an older version drop a digest with three checksums.
    """
    fields = list(attrs.astuple(checksums))
    return fields if checksums.evacuations else fields[:2]


def _encode_load(row: gateway_load.DigestRow) -> list[int]:
    """Returns the fields of a row without zeros at its end."""
    fields = list(map(int, attrs.astuple(row)))
    while fields and not fields[-1]:
        fields.pop()
    return fields


def _encode_record(record: api.Record) -> list[Any]:
    value = record.value
    encoded = base64.b64encode(value).decode() if value else None
    return [record.key, record.offset, encoded]


def _decode_record(row: list[Any]) -> api.Record:
    key, offset, value = row
    decoded = base64.b64decode(value) if value else None
    return api.Record(
        str(key), decoded, datagram_fields.decode_integer(offset)
    )
