"""Options that all commands share."""

import asyncio
from collections.abc import Coroutine
import enum
import typing

import attrs
import click

Result = typing.TypeVar('Result')


class OutputFormat(enum.StrEnum):
    """Formats of printed results."""

    TABLE = 'table'
    JSON = 'json'


@attrs.frozen
class Context:
    """Values of the shared options.

    Attributes:
        log_url: Base URL of the platform's log.
        stream: Name of the configuration stream.
        admin_url: Base URL of an instance's admin port.
        output: Format of printed results.
        timeout_s: Time limit of an edit and its confirmation, of one request
            to the log, and of one request of ``fleet status`` to a gateway,
            in seconds.
    """

    log_url: str
    stream: str
    admin_url: str
    output: OutputFormat
    timeout_s: float

    @property
    def as_json(self) -> bool:
        """Whether results are printed as JSON."""
        return self.output is OutputFormat.JSON


pass_context = click.make_pass_decorator(Context)


def run(coroutine: Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Runs the asynchronous part of a command to its end."""
    return asyncio.run(coroutine)
