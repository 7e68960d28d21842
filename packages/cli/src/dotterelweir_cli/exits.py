"""Exit codes of the operators' client."""

import enum

import click


class ExitCode(enum.IntEnum):
    """What an exit code means."""

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
    """An expected failure: one line and an exit code."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.exit_code = int(code)
