"""Exit codes and expected errors of the client."""

import enum

import click


class ExitCode(enum.IntEnum):
    """Exit codes of the client.

    Attributes:
        ACCEPTED: Success, or an edit was accepted.
        USAGE: Wrong options or file content, or a query that an instance
            refused.
        REJECTED: An edit was rejected.
        UNKNOWN: The outcome of an edit is unknown.
        UNREACHABLE: The platform or an instance is unreachable.
        NOT_FOUND: A row, route or request was not found.
    """

    ACCEPTED = 0
    USAGE = 2
    REJECTED = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    NOT_FOUND = 6


HELP = """Exit codes: 0 success or accepted, 2 usage, 3 rejected, 4 unknown
(repeat the same edit with its --edit-id), 5 platform or instance
unreachable, 6 not found."""


class CommandError(click.ClickException):
    """An expected failure, printed as one line without a traceback.

    Args:
        code: Exit code of the client.
        message: Description of the failure.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.exit_code = int(code)
