"""Encoding of findings and turns in the datagrams between gateways.

Findings are what one instance has learned and all must know: prompts and
requests that end targets, the limits of targets, and evacuated zones.
"""

from typing import Any

import attrs

from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import pace
from dotterelweir_core.gateway import quarantine
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import request_quarantine
from dotterelweir_core.gateway import stream_origins
from dotterelweir_core.gateway import turns
from dotterelweird.gateway import datagram_fields


@attrs.frozen
class PromptCrashes:
    """Crashes of engines that an instance suspects prompts of.

    Attributes:
        crashes: The crashes.
    """

    crashes: tuple[quarantine.PromptCrash, ...]


Finding = (
    PromptCrashes
    | quarantine.SoundParts
    | engine_ends.EndReport
    | request_quarantine.SoundRequest
    | rate_limits.LimitStatement
    | pace.PaceNotice
    | turns.TurnRequest
    | turns.TurnAnswer
    | evacuations.Evacuation
    | stream_origins.OriginNews
    | stream_origins.OriginQuery
    | stream_origins.OriginAnswer
)


def encode(finding: Finding) -> dict[str, Any]:
    """Returns the fields of a finding, or of a message about turns.

    Args:
        finding: The finding or message.
    """
    match finding:
        case PromptCrashes():
            return {
                'q': [
                    [
                        crash.request_id,
                        crash.target_id,
                        int(crash.age_s * 1000),
                        *crash.parts,
                    ]
                    for crash in finding.crashes
                ]
            }
        case quarantine.SoundParts():
            parts = sorted(finding.ages_s)
            ages_s = [round(finding.ages_s[part], 3) for part in parts]
            return {'o': parts, 'oa': ages_s}
        case engine_ends.EndReport():
            row = [finding.target_id, finding.started_ms, finding.age_s]
            return {'c': [*row, *sorted(finding.keys)]}
        case request_quarantine.SoundRequest():
            return {'w': [finding.key, finding.age_s]}
        case rate_limits.LimitStatement():
            return {'m': _encode_statement(finding)}
        case turns.TurnRequest():
            row = [finding.number, finding.wait_max_s, int(finding.urgent)]
            row += _encode_statement(finding.statement)
            # An instance of an older version ignores the second field.
            if finding.pace is not None:
                return {'t': row, 'tp': _encode_pace(finding.pace)}
            return {'t': row}
        case pace.PaceNotice():
            return {'p': _encode_pace(finding)}
        case turns.TurnAnswer():
            row = [finding.number, int(finding.granted), finding.wait_s]
            row += _encode_statement(finding.statement)
            return {'a': row}
        case evacuations.Evacuation():
            row = [finding.zone, int(finding.active)]
            return {'v': [*row, finding.offset, finding.era]}
        case stream_origins.OriginNews():
            rows = [
                [
                    statement.request_id,
                    *_encode_origin(statement.origin),
                    statement.lifetime_s,
                ]
                for statement in finding.statements
            ]
            return {'j': rows}
        case stream_origins.OriginQuery():
            row = [finding.number, finding.request_id]
            return {'jq': [*row, finding.service, finding.lifetime_s]}
        case stream_origins.OriginAnswer():
            origin = finding.origin
            row = [finding.number, int(finding.known.is_complete)]
            row += [_encode_origin(origin) if origin else None]
            return {'ja': [*row, *sorted(finding.known.versions)]}


def decode(body: dict[str, Any]) -> Finding | None:
    """Decodes a finding, or a message about turns.

    Args:
        body: Fields of a datagram.

    Returns:
        The finding or message; None if the datagram holds something else.

    Raises:
        ValueError: A field is invalid; also other errors of
            ``api.DECODE_ERRORS``.
    """
    if 'q' in body:
        return PromptCrashes(
            tuple(
                quarantine.PromptCrash(
                    str(request_id),
                    str(target_id),
                    frozenset(map(str, parts)),
                    datagram_fields.decode_number(age_ms) / 1000.0,
                )
                for request_id, target_id, age_ms, *parts in body['q']
            )
        )
    if 'o' in body:
        parts = list(map(str, body['o']))
        # Instances of an older version state parts without ages, at once.
        ages_s = body.get('oa', [0.0] * len(parts))
        return quarantine.SoundParts(
            {
                part: datagram_fields.decode_duration_s(age_s)
                for part, age_s in zip(parts, ages_s, strict=True)
            }
        )
    if 'c' in body:
        target_id, started_ms, age_s, *keys = body['c']
        return engine_ends.EndReport(
            str(target_id),
            datagram_fields.decode_integer(started_ms),
            frozenset(map(str, keys)),
            datagram_fields.decode_duration_s(age_s),
        )
    if 'w' in body:
        key, age_s = body['w']
        return request_quarantine.SoundRequest(
            str(key), datagram_fields.decode_duration_s(age_s)
        )
    if 'm' in body:
        return _decode_statement(body['m'])
    if 'p' in body:
        return _decode_pace(body['p'])
    if 't' in body:
        number, wait_max_s, urgent, *statement = body['t']
        return turns.TurnRequest(
            datagram_fields.decode_integer(number),
            _decode_statement(statement),
            datagram_fields.decode_duration_s(wait_max_s),
            bool(urgent),
            _decode_pace(body['tp']) if 'tp' in body else None,
        )
    if 'a' in body:
        number, granted, wait_s, *statement = body['a']
        return turns.TurnAnswer(
            datagram_fields.decode_integer(number),
            bool(granted),
            datagram_fields.decode_duration_s(wait_s),
            _decode_statement(statement),
        )
    if 'v' in body:
        zone, active, offset, era = body['v']
        return evacuations.Evacuation(
            _decode_zone(zone),
            bool(active),
            datagram_fields.decode_integer(offset, lowest=-1),
            datagram_fields.decode_integer(era),
        )
    if 'j' in body:
        return stream_origins.OriginNews(
            tuple(
                stream_origins.OriginStatement(
                    str(request_id),
                    _decode_origin(origin),
                    datagram_fields.decode_duration_s(lifetime_s),
                )
                for request_id, *origin, lifetime_s in body['j']
            )
        )
    if 'jq' in body:
        number, request_id, service, lifetime_s = body['jq']
        return stream_origins.OriginQuery(
            datagram_fields.decode_integer(number),
            str(request_id),
            str(service),
            datagram_fields.decode_duration_s(lifetime_s),
        )
    if 'ja' in body:
        number, is_complete, origin, *versions = body['ja']
        return stream_origins.OriginAnswer(
            datagram_fields.decode_integer(number),
            None if origin is None else _decode_origin(origin),
            stream_origins.KnownVersions(
                frozenset(map(str, versions)), bool(is_complete)
            ),
        )
    return None


def _encode_origin(origin: stream_origins.StreamOrigin) -> list[str]:
    return [origin.service, origin.software_version]


def _decode_origin(row: list[Any]) -> stream_origins.StreamOrigin:
    service, software_version = row
    return stream_origins.StreamOrigin(str(service), str(software_version))


def _decode_zone(value: object) -> str:
    """Returns a value that must be the name of a zone.

    Raises:
        ValueError: The value is not a string, is empty or not printable.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError('not the name of a zone')
    return value


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
        datagram_fields.decode_integer(started_ms),
        datagram_fields.decode_unbounded(rate_per_s),
        datagram_fields.decode_unbounded(sent_age_s),
        datagram_fields.decode_duration_s(received_age_s),
    )


def _encode_pace(notice: pace.PaceNotice) -> list[Any]:
    return [
        notice.target_id,
        notice.started_ms,
        round(notice.cold_left_s, 3),
        round(notice.cold_per_s, 3),
        round(notice.learned_per_s, 3),
    ]


def _decode_pace(row: list[Any]) -> pace.PaceNotice:
    target_id, started_ms, cold_left_s, cold_per_s, learned_per_s = row
    return pace.PaceNotice(
        str(target_id),
        datagram_fields.decode_integer(started_ms),
        datagram_fields.decode_duration_s(cold_left_s),
        datagram_fields.decode_duration_s(cold_per_s),
        datagram_fields.decode_duration_s(learned_per_s),
    )
