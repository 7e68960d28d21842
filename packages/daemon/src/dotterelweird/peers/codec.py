"""Encoding of datagrams: version, keyed digest, packed Cap'n Proto body."""

import enum
import importlib.resources

import attrs
import capnp

from dotterelweir_core.membership import messages
from dotterelweir_core.targets import model
from dotterelweird.peers import digests

VERSION = 1
_DIGEST_PURPOSE = b'datagram'
_UINT16_MAX = 2**16 - 1
_UINT32_MAX = 2**32 - 1
_INCARNATION_END = 2**63
# No valid datagram, of at most 1,200 bytes, needs more words. The limit
# bounds how far a packed body of zeros can expand.
_TRAVERSAL_LIMIT_WORDS = 4096
# The number of a state in a datagram is its index.
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


class DropReason(enum.StrEnum):
    """Reason for dropping a datagram, as in the log and the metrics."""

    SIZE = 'size'
    VERSION = 'version'
    DIGEST = 'digest'
    MALFORMED = 'malformed'
    STALE = 'stale'
    REPLAYED = 'replayed'


class DatagramRejectedError(Exception):
    """Raised for a datagram that must be dropped.

    Attributes:
        reason: Reason for dropping it.
    """

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@attrs.frozen
class Envelope:
    """A datagram with the fields that protect it against replay.

    Attributes:
        boot: Number of the sender's process run; increases at each start.
        sequence: Number of the datagram within that run.
        sent_at_ms: Wall-clock time of sending, in milliseconds since the
            Unix epoch.
        datagram: The datagram.
    """

    boot: int
    sequence: int
    sent_at_ms: int
    datagram: messages.Datagram


class Codec:
    """Encodes and decodes datagrams."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        """Sets the keys.

        Args:
            keys: Secrets of the keyed digest. The first signs, all verify.
        """
        self._digests = digests.KeyedDigests(keys, _DIGEST_PURPOSE)

    def encode(self, envelope: Envelope) -> bytes:
        """Encodes and signs a datagram."""
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
        # Empty fields are not written: a null pointer takes one byte.
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
                builders = body.init(field, len(items))
                for index, item in enumerate(items):
                    write(builders[index], item)
        digest_input = bytes([VERSION]) + body.to_bytes_packed()
        return (
            digest_input[:1]
            + self._digests.sign(digest_input)
            + digest_input[1:]
        )

    def decode(self, data: bytes) -> Envelope:
        """Verifies and decodes a datagram.

        Raises:
            DatagramRejectedError: The data is not a valid datagram of this
                version, signed with one of the keys. No other exception
                is raised.
        """
        if (
            not messages.PREFIX_BYTES
            < len(data)
            <= (messages.DATAGRAM_MAX_BYTES)
        ):
            raise DatagramRejectedError(DropReason.SIZE)
        if data[0] != VERSION:
            raise DatagramRejectedError(DropReason.VERSION)
        body = data[messages.PREFIX_BYTES :]
        digest = data[1 : messages.PREFIX_BYTES]
        if not self._digests.verify(data[:1] + body, digest):
            raise DatagramRejectedError(DropReason.DIGEST)
        try:
            return _read_envelope(body)
        except (ValueError, capnp.KjException) as error:
            raise DatagramRejectedError(DropReason.MALFORMED) from error


def _write_member(builder: object, member: messages.Member) -> None:
    builder.incarnation = member.incarnation
    builder.port = member.port
    builder.state = int(member.state)
    builder.memberId = member.member_id
    builder.zone = member.zone
    builder.host = member.host


def _write_leaving(builder: object, leaving: messages.Leaving) -> None:
    builder.incarnation = leaving.incarnation
    builder.targetId = leaving.target_id
    builder.ageS = min(leaving.age_s, _UINT32_MAX)


def _write_report(builder: object, report: model.LoadReport) -> None:
    builder.incarnation = report.incarnation
    builder.measuredAtMs = max(0, round(report.measured_at_s * 1000))
    builder.memoryUsedTokens = min(report.memory_used_tokens, _UINT32_MAX)
    builder.memoryTotalTokens = min(report.memory_total_tokens, _UINT32_MAX)
    builder.running = min(report.running, _UINT16_MAX)
    builder.waiting = min(report.waiting, _UINT16_MAX)
    builder.state = _TARGET_STATES.index(report.state)
    builder.targetId = report.target_id


def _read_envelope(packed_body: bytes) -> Envelope:
    body = _SCHEMA.Datagram.from_bytes_packed(
        packed_body,
        traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        nesting_limit=4,
    )
    subject = None
    if body._has('subject'):
        subject = _read_member(body.subject)
    datagram = messages.Datagram(
        messages.Kind(body.kind),
        _check_name(body.senderId),
        _check_incarnation(body.incarnation),
        body.offset,
        body.probeId,
        body.senderUnknown,
        subject,
        _check_text(body.cursor, 2 * messages.NAME_MAX_BYTES),
        body.bestOffset,
        _check_text(body.bestHolder, messages.NAME_MAX_BYTES),
        body.leavingDigest,
        tuple(_read_member(reader) for reader in body.members),
        tuple(
            messages.Leaving(
                _check_name(reader.targetId),
                _check_incarnation(reader.incarnation),
                reader.ageS,
            )
            for reader in body.leaving
        ),
        tuple(_read_report(reader) for reader in body.reports),
    )
    return Envelope(body.boot, body.sequence, body.sentAtMs, datagram)


def _read_member(reader: object) -> messages.Member:
    return messages.Member(
        _check_name(reader.memberId),
        _check_text(reader.zone, messages.NAME_MAX_BYTES),
        _check_name(reader.host),
        reader.port,
        _check_incarnation(reader.incarnation),
        messages.MemberState(reader.state),
    )


def _read_report(reader: object) -> model.LoadReport:
    if reader.state >= len(_TARGET_STATES):
        raise ValueError('unknown state of a target')
    return model.LoadReport(
        _check_name(reader.targetId),
        _check_incarnation(reader.incarnation),
        _TARGET_STATES[reader.state],
        reader.running,
        reader.waiting,
        reader.memoryUsedTokens,
        reader.memoryTotalTokens,
        reader.measuredAtMs / 1000,
    )


def _check_text(text: str, limit_bytes: int) -> str:
    if len(text.encode()) > limit_bytes:
        raise ValueError('text is too long')
    return text


def _check_name(text: str) -> str:
    if not text:
        raise ValueError('name is empty')
    return _check_text(text, messages.NAME_MAX_BYTES)


def _check_incarnation(value: int) -> int:
    # A member refutes a suspicion with a greater incarnation, which has to
    # be below the end too.
    if value >= _INCARNATION_END - 1:
        raise ValueError('incarnation is too large')
    return value
