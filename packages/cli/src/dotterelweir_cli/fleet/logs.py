"""Reads and selects log lines of the gateways of a deployment."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import pathlib
from typing import Any

import attrs
import orjson

# Fields of every log line; the others belong to the event.
_COMMON_FIELDS = frozenset(
    {'message', 'level', 'logger', 'instance_id', 'zone', 'event', 'time'}
)


@attrs.frozen
class Line:
    """One log line of a gateway.

    Attributes:
        written_at: Time at which the line was written.
        instance_id: Gateway that wrote the line.
        zone: Availability zone of the gateway; empty if the line has none.
        message: Name of the event.
        fields: Fields of the event.
    """

    written_at: datetime.datetime
    instance_id: str
    zone: str
    message: str
    fields: dict[str, Any]


@attrs.define
class ReadResult:
    """Log lines that were read from several files.

    Attributes:
        lines: The log lines, sorted by time.
        skipped: Number of lines that are not log lines of a gateway.
    """

    lines: list[Line]
    skipped: int = 0


def read(paths: Iterable[pathlib.Path]) -> ReadResult:
    """Reads log files and sorts their lines by time.

    Args:
        paths: The files.

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
    """Parses one line of a file.

    Args:
        raw: The line. Text before its JSON object is ignored.

    Returns:
        The log line, or None if it is not a log line of a gateway.
    """
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
    """Returns the lines that name a request, in their order."""
    return [
        line for line in lines if line.fields.get('request_id') == request_id
    ]


def state_lines(
    lines: list[Line], decisions: list[Line], margin_s: float
) -> Iterator[Line]:
    """Yields the lines on the state that decisions were based on.

    These lines name no request, were written by the gateway of the request
    during it, and concern its targets or no specific target.

    Args:
        lines: All lines.
        decisions: The lines that name the request.
        margin_s: Time before the first and after the last decision that is
            covered too, in seconds.
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
