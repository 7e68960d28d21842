"""Structured logs: one JSON object per line, with its event number."""

import logging
import sys
import typing

from pythonjsonlogger import json as json_logger

_STANDARD_FIELDS = '%(message)s %(levelname)s %(name)s'


class EventFormatter(json_logger.JsonFormatter):
    """Formats log records of ``dotterelweir_core.events`` as JSON.

    Args:
        instance_id: Name of the instance, in every line.
        zone: Availability zone, in every line.
    """

    def __init__(self, instance_id: str, zone: str) -> None:
        super().__init__(
            _STANDARD_FIELDS,
            rename_fields={'levelname': 'level', 'name': 'logger'},
            timestamp='time',
            static_fields={'instance_id': instance_id, 'zone': zone},
        )

    def add_fields(
        self,
        log_data: dict[str, typing.Any],
        record: logging.LogRecord,
        message_dict: dict[str, typing.Any],
    ) -> None:
        """Adds the fields of the event to the top level of the object."""
        super().add_fields(log_data, record, message_dict)
        for name, value in log_data.pop('fields', {}).items():
            log_data.setdefault(name, value)


def configure(
    level: str,
    instance_id: str,
    zone: str,
    stream: typing.TextIO = sys.stderr,
) -> None:
    """Sends all log lines of the process to a stream.

    Args:
        level: Name of the lowest level that is logged.
        instance_id: Name of the instance, in every line.
        zone: Availability zone, in every line.
        stream: Stream that the lines are written to.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(EventFormatter(instance_id, zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # transitions and aiohttp log each internal step at INFO.
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.getLogger('aiohttp').setLevel(logging.WARNING)
