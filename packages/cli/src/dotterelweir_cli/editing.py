"""Functions that the commands for reading and editing tables share."""

from collections.abc import Callable
import random
import typing

import aiohttp
import click

from dotterelweir_cli import context
from dotterelweir_cli import edits
from dotterelweir_cli import exits
from dotterelweir_cli import output
from dotterelweir_core import errors
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import records
from dotterelweir_logservice import http as platform_http

EditFactory = Callable[[fold.TablesState], records.EditRecord]
Function = typing.TypeVar('Function', bound=Callable)

_EXIT_CODES = {
    edits.EditOutcome.ACCEPTED: exits.ExitCode.ACCEPTED,
    edits.EditOutcome.REJECTED: exits.ExitCode.REJECTED,
    edits.EditOutcome.UNKNOWN: exits.ExitCode.UNKNOWN,
}


def edit_options(function: Function) -> Function:
    """Adds the options that all editing commands have."""
    for option in (
        click.option(
            '--dry-run',
            is_flag=True,
            help='Show the result of the edit without making it.',
        ),
        click.option(
            '--expect-revision',
            type=int,
            help='Reject the edit if a row that it names changed after '
            'this revision. Default: the revision that the command reads.',
        ),
        click.option(
            '--edit-id',
            help='Identifier of the edit. Repeat an edit whose result is '
            'unknown with the same identifier and the same '
            '--expect-revision.',
        ),
    ):
        function = option(function)
    return function


def read_state(ctx: context.Context) -> fold.TablesState:
    """Reads the newest state of the tables from the log.

    Raises:
        CommandError: UNREACHABLE if the log cannot be read.
    """
    return context.run(_read_state(ctx))


def run_edit(
    ctx: context.Context,
    make_edit: EditFactory,
    dry_run: bool,
) -> None:
    """Reads the tables, makes an edit, submits it and prints the result.

    Args:
        ctx: The shared options.
        make_edit: Makes the edit from the state that was read.
        dry_run: Whether to compute the result without appending the edit.

    Raises:
        CommandError: UNREACHABLE if the log cannot be read, or an error that
            ``make_edit`` raises.
        SystemExit: Always, with the exit code of the result.
    """
    report = context.run(_run_edit(ctx, make_edit, dry_run))
    _print_report(ctx, report, dry_run)
    raise SystemExit(int(_EXIT_CODES[report.outcome]))


async def _read_state(ctx: context.Context) -> fold.TablesState:
    async with aiohttp.ClientSession() as http:
        return await _read_or_fail(ctx, _make_editor(ctx, http))


async def _run_edit(
    ctx: context.Context, make_edit: EditFactory, dry_run: bool
) -> edits.EditReport:
    async with aiohttp.ClientSession() as http:
        editor = _make_editor(ctx, http)
        state = await _read_or_fail(ctx, editor)
        edit = make_edit(state)
        if dry_run:
            return editor.dry_run(state, edit)
        return await editor.submit(state, edit)


def _make_editor(
    ctx: context.Context, http: aiohttp.ClientSession
) -> edits.TablesEditor:
    log = platform_http.HttpLogClient(http, ctx.log_url, ctx.timeout_s)
    return edits.TablesEditor(log, ctx.stream, ctx.timeout_s, random.Random())


async def _read_or_fail(
    ctx: context.Context, editor: edits.TablesEditor
) -> fold.TablesState:
    """Reads the tables; a failure becomes a CommandError."""
    try:
        return await editor.read()
    except errors.DotterelweirError as exc:
        raise exits.CommandError(
            exits.ExitCode.UNREACHABLE, f'log at {ctx.log_url}: {exc.detail}'
        ) from exc


def _print_report(
    ctx: context.Context, report: edits.EditReport, dry_run: bool
) -> None:
    if ctx.as_json:
        document = records.CONVERTER.unstructure(report)
        output.print_json({**document, 'dry_run': dry_run})
        return
    prefix = 'dry run: ' if dry_run else ''
    position = ''
    if report.offset is not None:
        position = f' at offset {report.offset}, revision {report.revision}'
    click.echo(f'{prefix}{report.outcome.value}{position}')
    for detail in report.details:
        click.echo(f'  {detail}')
    match report.outcome:
        case edits.EditOutcome.REJECTED:
            for current_row in report.standing:
                presence = 'absent' if current_row.row is None else 'present'
                click.echo(
                    f'  now: {current_row.key} is {presence} '
                    f'at revision {current_row.revision}'
                )
        case edits.EditOutcome.UNKNOWN:
            click.echo(
                f'  repeat with --edit-id {report.edit_id} '
                f'--expect-revision {report.read_offset}'
            )
