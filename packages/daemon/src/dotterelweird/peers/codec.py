"""Datagrams as bytes: version, keyed digest and a packed capnp body."""

import enum
import importlib.resources

import attrs
import capnp

from dotterelweir_core.membership import messages
from dotterelweir_core.targets import model
from dotterelweird.peers import digests

VERSION = 1
_PURPOSE = b'datagram'
_UINT16_MAX = 2**16 - 1
_UINT32_MAX = 2**32 - 1
_INCARNATION_END = 2**63
# A body of 1,200 bytes has no use for more; bounds what a packed body of
# zeros can expand to.
_TRAVERSAL_WORDS = 4096
_TARGET_STATES = (
    model.TargetState.LIVE,
    model.TargetState.LEAVING,
    model.TargetState.GONE,
)


def _load_schema() -> object:
    resource = importlib.resources.files('dotterelweird.peers').joinpath(
        'messages.capnp'
    )
    with importlib.resources.as_file(resource) as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


class Drop(enum.StrEnum):
    """Why a datagram was dropped."""

    SIZE = 'size'
    VERSION = 'version'
    DIGEST = 'digest'
    MALFORMED = 'malformed'
    STALE = 'stale'
    REPLAYED = 'replayed'


class DatagramRejectedError(Exception):
    """A datagram that must be dropped.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: Drop) -> None:
        super().__init__(reason.value)
        self.reason = reason


@attrs.frozen
class Envelope:
    """A datagram and what protects it against replay.

    Attributes:
        boot: Number of the sender's run; rises at each start.
        sequence: Number of the datagram in that run.
        sent_at_ms: When it was sent, in wall milliseconds.
        datagram: The datagram.
    """

    boot: int
    sequence: int
    sent_at_ms: int
    datagram: messages.Datagram


class Codec:
    """Encodes and decodes datagrams."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._digests = digests.Digests(keys, _PURPOSE)

    def encode(self, envelope: Envelope) -> bytes:
        """Encodes a datagram."""
        datagram = envelope.datagram
        body = _SCHEMA.Datagram.new_message(
            incarnation=datagram.incarnation,
            offset=datagram.offset,
            bestOffset=datagram.best_offset,
            boot=envelope.boot,
            sequence=envelope.sequence,
            sentAtMs=envelope.sent_at_ms,
            probeId=datagram.probe_id,
            kind=int(datagram.kind),
            senderUnknown=datagram.sender_unknown,
            senderId=datagram.sender_id,
            leavingDigest=datagram.leaving_digest,
        )
        # Empty fields are left out: a null pointer takes one byte.
        if datagram.best_holder:
            body.bestHolder = datagram.best_holder
        if datagram.cursor:
            body.cursor = datagram.cursor
        if datagram.subject is not None:
            _write_member(body.init('subject'), datagram.subject)
        for field, items, write in (
            ('members', datagram.members, _write_member),
            ('leaving', datagram.leaving, _write_leaving),
            ('reports', datagram.reports, _write_report),
        ):
            if items:
                rows = body.init(field, len(items))
                for index, item in enumerate(items):
                    write(rows[index], item)
        signed = bytes([VERSION]) + body.to_bytes_packed()
        return signed[:1] + self._digests.sign(signed) + signed[1:]

    def decode(self, data: bytes) -> Envelope:
        """Decodes a datagram.

        Raises:
            DatagramRejectedError: It is not a valid datagram of this version
                and these keys. No other exception is raised.
        """
        if (
            not messages.PREFIX_BYTES
            < len(data)
            <= (messages.DATAGRAM_MAX_BYTES)
        ):
            raise DatagramRejectedError(Drop.SIZE)
        if data[0] != VERSION:
            raise DatagramRejectedError(Drop.VERSION)
        body = data[messages.PREFIX_BYTES :]
        digest = data[1 : messages.PREFIX_BYTES]
        if not self._digests.verify(data[:1] + body, digest):
            raise DatagramRejectedError(Drop.DIGEST)
        try:
            return _read_envelope(body)
        except (ValueError, capnp.KjException) as error:
            raise DatagramRejectedError(Drop.MALFORMED) from error


def _write_member(row: object, member: messages.Member) -> None:
    row.incarnation = member.incarnation
    row.port = member.port
    row.state = int(member.state)
    row.memberId = member.member_id
    row.zone = member.zone
    row.host = member.host


def _write_leaving(row: object, leaving: messages.Leaving) -> None:
    row.incarnation = leaving.incarnation
    row.targetId = leaving.target_id
    row.ageS = min(leaving.age_s, _UINT32_MAX)


def _write_report(row: object, report: model.LoadReport) -> None:
    row.incarnation = report.incarnation
    row.measuredAtMs = max(0, round(report.measured_at_s * 1000))
    row.memoryUsedTokens = min(report.memory_used_tokens, _UINT32_MAX)
    row.memoryTotalTokens = min(report.memory_total_tokens, _UINT32_MAX)
    row.running = min(report.running, _UINT16_MAX)
    row.waiting = min(report.waiting, _UINT16_MAX)
    row.state = _TARGET_STATES.index(report.state)
    row.targetId = report.target_id


def _read_envelope(data: bytes) -> Envelope:
    body = _SCHEMA.Datagram.from_bytes_packed(
        data, traversal_limit_in_words=_TRAVERSAL_WORDS, nesting_limit=4
    )
    subject = None
    if body._has('subject'):
        subject = _read_member(body.subject)
    datagram = messages.Datagram(
        messages.Kind(body.kind),
        _name(body.senderId),
        _incarnation(body.incarnation),
        body.offset,
        body.probeId,
        body.senderUnknown,
        subject,
        _text(body.cursor, 2 * messages.NAME_MAX_BYTES),
        body.bestOffset,
        _text(body.bestHolder, messages.NAME_MAX_BYTES),
        body.leavingDigest,
        tuple(_read_member(row) for row in body.members),
        tuple(
            messages.Leaving(
                _name(row.targetId), _incarnation(row.incarnation), row.ageS
            )
            for row in body.leaving
        ),
        tuple(_read_report(row) for row in body.reports),
    )
    return Envelope(body.boot, body.sequence, body.sentAtMs, datagram)


def _read_member(row: object) -> messages.Member:
    return messages.Member(
        _name(row.memberId),
        _text(row.zone, messages.NAME_MAX_BYTES),
        _name(row.host),
        row.port,
        _incarnation(row.incarnation),
        messages.MemberState(row.state),
    )


def _read_report(row: object) -> model.LoadReport:
    if row.state >= len(_TARGET_STATES):
        raise ValueError('unknown state of a target')
    return model.LoadReport(
        _name(row.targetId),
        _incarnation(row.incarnation),
        _TARGET_STATES[row.state],
        row.running,
        row.waiting,
        row.memoryUsedTokens,
        row.memoryTotalTokens,
        row.measuredAtMs / 1000,
    )


def _text(text: str, limit_bytes: int) -> str:
    if len(text.encode()) > limit_bytes:
        raise ValueError('text is too long')
    return text


def _name(text: str) -> str:
    if not text:
        raise ValueError('name is empty')
    return _text(text, messages.NAME_MAX_BYTES)


def _incarnation(value: int) -> int:
    # One below the end can still be refuted with a greater one.
    if value >= _INCARNATION_END - 1:
        raise ValueError('incarnation is too large')
    return value
