"""Encoding and validation of the datagrams between gateways.

The format is JSON, unlike in ``dotterelweird.peers``, which uses Cap'n Proto:
the Cap'n Proto library costs each process several megabytes and start-up time,
and digests are small.
"""

import base64
import ipaddress
import math
import struct
from typing import Any

import attrs
import orjson

from dotterelweir_core.gateway import broadcast
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import load as gateway_load
from dotterelweir_core.gateway import quarantine
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import request_quarantine
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import turns
from dotterelweird.gateway import api
from dotterelweird.gateway import stream_api


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
        limits_fingerprint: Checksum of the limits of targets that the
            instance knows; None if the digest carries none.
        blocks_fingerprint: Checksum of the requests that the instance blocks;
            None if the digest carries none.
        wants_findings: Whether the receiver should send what it has found.
        leaving: Whether the instance stops now.
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
    limits_fingerprint: int | None = None
    blocks_fingerprint: int | None = None
    wants_findings: bool = False
    leaving: bool = False


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


@attrs.frozen
class PromptCrashes:
    """Crashes of engines that an instance suspects prompts of.

    Attributes:
        crashes: The crashes.
    """

    crashes: tuple[quarantine.PromptCrash, ...]


Message = (
    Digest
    | RecordNotice
    | Departures
    | PromptCrashes
    | quarantine.SoundParts
    | engine_ends.EndReport
    | request_quarantine.SoundRequest
    | rate_limits.LimitStatement
    | turns.TurnRequest
    | turns.TurnAnswer
)


# Header of a message that a relay forwards: a mark with which no JSON text
# begins, the index of the group, and the number of groups.
_RELAY_MARK = b'>'
_RELAY_HEADER = struct.Struct('>cHH')


# Greatest integer in a message, which every JSON library can encode.
_INTEGER_MAX = 2**63 - 1
# Greatest number of a load or time in a message. Sums of such numbers stay
# finite.
_NUMBER_MAX = 2**53


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
        case PromptCrashes():
            return orjson.dumps(
                {
                    'q': [
                        [
                            crash.request_id,
                            crash.target_id,
                            int(crash.age_s * 1000),
                            *crash.parts,
                        ]
                        for crash in message.crashes
                    ]
                }
            )
        case quarantine.SoundParts():
            return orjson.dumps({'o': sorted(message.parts)})
        case engine_ends.EndReport():
            row = [message.target_id, message.started_ms, message.age_s]
            return orjson.dumps({'c': [*row, *sorted(message.keys)]})
        case request_quarantine.SoundRequest():
            return orjson.dumps({'w': [message.key, message.age_s]})
        case rate_limits.LimitStatement():
            return orjson.dumps({'m': _encode_statement(message)})
        case turns.TurnRequest():
            row = [message.number, message.wait_max_s, int(message.urgent)]
            row += _encode_statement(message.statement)
            return orjson.dumps({'t': row})
        case turns.TurnAnswer():
            row = [message.number, int(message.granted), message.wait_s]
            row += _encode_statement(message.statement)
            return orjson.dumps({'a': row})
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
            if message.limits_fingerprint is not None:
                body['f'] = message.limits_fingerprint
            if message.blocks_fingerprint is not None:
                body['p'] = message.blocks_fingerprint
            if message.wants_findings:
                body['g'] = 1
            if message.leaving:
                body['x'] = 1
            return orjson.dumps(body)


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
            return RecordNotice(records, _decode_integer(body['e']))
        if 'd' in body:
            return Departures(
                tuple(
                    targets.Departure(
                        str(name), _decode_integer(started), bool(announced)
                    )
                    for name, started, announced in body['d']
                )
            )
        if 'q' in body:
            return PromptCrashes(
                tuple(
                    quarantine.PromptCrash(
                        str(request_id),
                        str(target_id),
                        frozenset(map(str, parts)),
                        _decode_number(age_ms) / 1000.0,
                    )
                    for request_id, target_id, age_ms, *parts in body['q']
                )
            )
        if 'o' in body:
            return quarantine.SoundParts(frozenset(map(str, body['o'])))
        if 'c' in body:
            target_id, started_ms, age_s, *keys = body['c']
            return engine_ends.EndReport(
                str(target_id),
                _decode_integer(started_ms),
                frozenset(map(str, keys)),
                _decode_duration_s(age_s),
            )
        if 'w' in body:
            key, age_s = body['w']
            return request_quarantine.SoundRequest(
                str(key), _decode_duration_s(age_s)
            )
        if 'm' in body:
            return _decode_statement(body['m'])
        if 't' in body:
            number, wait_max_s, urgent, *statement = body['t']
            return turns.TurnRequest(
                _decode_integer(number),
                _decode_statement(statement),
                _decode_duration_s(wait_max_s),
                bool(urgent),
            )
        if 'a' in body:
            number, granted, wait_s, *statement = body['a']
            return turns.TurnAnswer(
                _decode_integer(number),
                bool(granted),
                _decode_duration_s(wait_s),
                _decode_statement(statement),
            )
        return Digest(
            instance_id=str(body['i']),
            host=_decode_host(body['h']),
            zone=str(body['z']),
            started_ms=_decode_integer(body['b']),
            sequence=_decode_integer(body['s']),
            loads={
                str(target_id): gateway_load.DigestRow(
                    *map(_decode_number, row)
                )
                for target_id, *row in body['l']
            },
            counts={
                str(service): retry_budget.Counts(
                    _decode_integer(requests), _decode_integer(repeated)
                )
                for service, (requests, repeated) in body.get('u', {}).items()
            },
            reports={
                api.StoreStream(name): stream_api.ReadReport(
                    _decode_integer(position, lowest=-1),
                    str(content),
                    _decode_number(age_ms) / 1000.0,
                    _decode_integer(era),
                )
                for name, (position, content, age_ms, era) in body.get(
                    'r', {}
                ).items()
            },
            known_hosts=tuple(map(_decode_host, body.get('k', ()))),
            limits_fingerprint=(
                _decode_integer(body['f']) if 'f' in body else None
            ),
            blocks_fingerprint=(
                _decode_integer(body['p']) if 'p' in body else None
            ),
            wants_findings=bool(body.get('g')),
            leaving=bool(body.get('x')),
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
        end, era = map(_decode_integer, (body['end'], body['era']))
        return api.Batch(records, end, era=era)
    except api.DECODE_ERRORS as exc:
        raise DatagramInvalid(f'{type(exc).__name__}: {exc}') from exc


def _encode_record(record: api.Record) -> list[Any]:
    value = record.value
    encoded = base64.b64encode(value).decode() if value else None
    return [record.key, record.offset, encoded]


def _decode_record(row: list[Any]) -> api.Record:
    key, offset, value = row
    decoded = base64.b64decode(value) if value else None
    return api.Record(str(key), decoded, _decode_integer(offset))


def _encode_statement(statement: rate_limits.LimitStatement) -> list[Any]:
    # JSON has no infinite numbers; the library encodes them as null.
    return [
        statement.target_id,
        statement.started_ms,
        statement.rate_per_s,
        statement.sent_age_s,
        statement.received_age_s,
    ]


def _decode_statement(row: list[Any]) -> rate_limits.LimitStatement:
    target_id, started_ms, rate_per_s, sent_age_s, received_age_s = row
    return rate_limits.LimitStatement(
        str(target_id),
        _decode_integer(started_ms),
        _decode_unbounded(rate_per_s),
        _decode_unbounded(sent_age_s),
        _decode_duration_s(received_age_s),
    )


def _decode_unbounded(value: object) -> float:
    """Returns a number of at least 0, infinite if it is missing."""
    return math.inf if value is None else _decode_duration_s(value)


def _decode_duration_s(value: object) -> float:
    """Returns a number of at least 0.

    Raises:
        ValueError: The value is not a number, is negative or out of range.
    """
    number = _decode_number(value)
    if number < 0:
        raise ValueError('a negative number')
    return number


def _decode_host(value: object) -> str:
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


def _decode_integer(value: object, lowest: int = 0) -> int:
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


def _decode_number(value: object) -> float:
    """Returns a value that must be a number in the range of messages.

    Raises:
        ValueError: The value is not a number or is out of range.
    """
    if type(value) not in (int, float) or not abs(value) <= _NUMBER_MAX:
        raise ValueError('not a number, or out of range')
    return float(value)
