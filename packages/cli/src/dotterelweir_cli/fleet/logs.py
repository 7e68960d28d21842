"""Reads the logs of the gateways of a deployment."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import pathlib
from typing import Any

import attrs
import orjson

# Fields that every line has; the rest are inputs and outcomes.
_COMMON_FIELDS = frozenset(
    {'message', 'level', 'logger', 'instance_id', 'zone', 'event', 'time'}
)


@attrs.frozen
class Line:
    """One log line.

    Attributes:
        written_at: When it was written.
        instance_id: Who wrote it.
        zone: Availability zone of the instance.
        message: Name of the event.
        fields: Inputs and outcomes.
    """

    written_at: datetime.datetime
    instance_id: str
    zone: str
    message: str
    fields: dict[str, Any]


@attrs.define
class ReadResult:
    """Lines of several files in the order of their times.

    Attributes:
        lines: The lines.
        skipped: Lines that are no log lines of a gateway.
    """

    lines: list[Line]
    skipped: int = 0


def read(paths: Iterable[pathlib.Path]) -> ReadResult:
    """Reads log files; text before the JSON object of a line is ignored.

    Raises:
        OSError: A file cannot be read.
    """
    result = ReadResult([])
    for path in paths:
        with path.open('rb') as file:
            for raw in file:
                line = parse(raw)
                if line is None:
                    result.skipped += 1
                else:
                    result.lines.append(line)
    result.lines.sort(key=lambda line: line.written_at)
    return result


def parse(raw: bytes) -> Line | None:
    """Parses one line; None if it is no log line of a gateway."""
    json_start = raw.find(b'{')
    if json_start < 0:
        return None
    try:
        body = orjson.loads(raw[json_start:])
        return Line(
            datetime.datetime.fromisoformat(body['time']),
            body['instance_id'],
            str(body.get('zone', '')),
            body['message'],
            {
                name: value
                for name, value in body.items()
                if name not in _COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def request_lines(lines: list[Line], request_id: str) -> list[Line]:
    """The decisions on one request, in order."""
    return [
        line for line in lines if line.fields.get('request_id') == request_id
    ]


def state_lines(
    lines: list[Line], decisions: list[Line], margin_s: float
) -> Iterator[Line]:
    """What its instance believed of others while a request was served.

    Args:
        lines: All lines.
        decisions: The decisions on the request.
        margin_s: Time before the first and after the last decision.
    """
    if not decisions:
        return
    margin = datetime.timedelta(seconds=margin_s)
    earliest, latest = (
        decisions[0].written_at - margin,
        decisions[-1].written_at + margin,
    )
    instances = {line.instance_id for line in decisions}
    target_ids = {
        value
        for line in decisions
        for name, value in line.fields.items()
        if name in ('target_id', 'backup_id', 'source', 'destination')
    }
    for line in lines:
        if (
            not earliest <= line.written_at <= latest
            or line.instance_id not in instances
        ):
            continue
        if 'request_id' in line.fields:
            continue
        target_id = line.fields.get('target_id')
        if target_id is None or target_id in target_ids:
            yield line
