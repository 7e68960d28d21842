"""Datagrams between gateways: their form and its check.

JSON serves here instead of the peers' Cap'n Proto schema: that library costs
each process several megabytes and start-up time, and digests are small.
"""

import base64
import struct
from typing import Any

import attrs
import orjson

from dotterelweir_core.gateway import broadcast
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import api
from dotterelweird.gateway import stream_api


@attrs.frozen
class Digest:
    """What an instance tells of itself.

    Attributes:
        instance_id: Its name.
        host: Its IP address.
        zone: Its availability zone.
        started_ms: Wall time of its start, in milliseconds.
        sequence: Number of the digest; grows.
        loads: Load that it causes, by target.
        counts: Requests and repeats that it counted, by service.
        reports: What it knows of the store's streams; empty if not told.
        known: Addresses of other instances; empty if not told.
        leaving: Whether it ends now.
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
    leaving: bool = False


@attrs.frozen
class RecordNotice:
    """Records of targets that an instance has just read.

    Attributes:
        records: The records.
        era: Era of the store that their offsets belong to.
    """

    records: tuple[api.Record, ...]
    era: int = 0


@attrs.frozen
class Departures:
    """Targets that leave or have left, as far as an instance knows."""

    rows: tuple[targets.Departure, ...]


Message = Digest | RecordNotice | Departures


# A mark that no JSON begins with, the number of a group, and their count.
_RELAY_MARK = b'>'
_RELAY_HEADER = struct.Struct('>cHH')


class DatagramInvalid(Exception):
    """The bytes are no datagram of a gateway."""


def encode(message: Message) -> bytes:
    """Encodes a message; names are short, as bytes have a price."""
    match message:
        case RecordNotice():
            rows = [_encode_record(row) for row in message.records]
            return orjson.dumps({'n': rows, 'e': message.era})
        case Departures():
            return orjson.dumps(
                {
                    'd': [
                        [row.target_id, row.started_ms, int(row.announced)]
                        for row in message.rows
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
                    [target_id, *map(int, attrs.astuple(row))]
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
            if message.leaving:
                body['x'] = 1
            return orjson.dumps(body)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        DatagramInvalid: It has another form.
    """
    try:
        body = orjson.loads(data)
        if 'n' in body:
            records = tuple(_decode_record(row) for row in body['n'])
            return RecordNotice(records, int(body['e']))
        if 'd' in body:
            return Departures(
                tuple(
                    targets.Departure(str(name), int(started), bool(announced))
                    for name, started, announced in body['d']
                )
            )
        return Digest(
            instance_id=str(body['i']),
            host=str(body['h']),
            zone=str(body['z']),
            started_ms=int(body['b']),
            sequence=int(body['s']),
            loads={
                str(target_id): gateway_load.DigestRow(*map(float, row))
                for target_id, *row in body['l']
            },
            counts={
                str(service): retry_budget.Counts(int(requests), int(repeated))
                for service, (requests, repeated) in body.get('u', {}).items()
            },
            reports={
                api.StoreStream(name): stream_api.ReadReport(
                    int(position),
                    str(content),
                    float(age_ms) / 1000.0,
                    int(era),
                )
                for name, (position, content, age_ms, era) in body.get(
                    'r', {}
                ).items()
            },
            known_hosts=tuple(map(str, body.get('k', ()))),
            leaving=bool(body.get('x')),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise DatagramInvalid(f'{type(exc).__name__}: {exc}') from exc


def add_relay_header(data: bytes, group: broadcast.Group | None) -> bytes:
    """Marks an encoded message that the receiver passes on to a group."""
    if group is None:
        return data
    return _RELAY_HEADER.pack(_RELAY_MARK, group.index, group.count) + data


def split_relay_header(data: bytes) -> tuple[broadcast.Group | None, bytes]:
    """The group that a message is passed on to, and the message.

    Raises:
        DatagramInvalid: The mark is cut off or names no group.
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
    """Encodes records that an instance asked for."""
    rows = [_encode_record(record) for record in batch.records]
    return orjson.dumps({'records': rows, 'end': batch.end, 'era': batch.era})


def decode_batch(data: bytes) -> api.Batch:
    """Decodes records that another instance gave.

    Raises:
        DatagramInvalid: They have another form.
    """
    try:
        body = orjson.loads(data)
        records = tuple(_decode_record(row) for row in body['records'])
        return api.Batch(records, int(body['end']), era=int(body['era']))
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise DatagramInvalid(f'{type(exc).__name__}: {exc}') from exc


def _encode_record(record: api.Record) -> list[Any]:
    value = record.value
    encoded = base64.b64encode(value).decode() if value else None
    return [record.key, record.offset, encoded]


def _decode_record(row: list[Any]) -> api.Record:
    key, offset, value = row
    decoded = base64.b64decode(value) if value else None
    return api.Record(str(key), decoded, int(offset))
