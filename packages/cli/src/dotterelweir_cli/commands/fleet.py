"""The ``fleet`` commands: a deployment of gateways as a whole."""

from collections.abc import Callable
import pathlib

import click

from dotterelweir_cli import context
from dotterelweir_cli import exits
from dotterelweir_cli import output
from dotterelweir_cli.fleet import deployment
from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import losses

# Time around a request in which the beliefs of its instance are shown, in
# seconds: heartbeats of targets are about one second apart.
_AROUND_S = 3.0

_LOG_FILES = click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)


def _plot_option(stem: str) -> Callable:
    """The option that names the file of a plot.

    Args:
        stem: Name of the file in the example, without a suffix.
    """
    return click.option(
        '--plot',
        type=click.Path(dir_okay=False, path_type=pathlib.Path),
        help=f'File for the plot, such as {stem}.png or {stem}.svg.',
    )


@click.group()
def fleet() -> None:
    """Asks all gateways of a deployment, or reads their logs."""


@fleet.command()
@click.option(
    '--instance',
    required=True,
    metavar='HOST:PORT',
    help='Any gateway, at its port for other gateways.',
)
@context.pass_context
def status(ctx: context.Context, instance: str) -> None:
    """Shows what the instances say, and where they differ."""
    found = context.run(deployment.ask(instance, ctx.timeout_s))
    sums = deployment.summary(found)
    rows = deployment.target_rows(found)
    if ctx.as_json:
        output.print_json({**sums, 'targets': rows})
        return
    output.print_fields(
        {
            name: ', '.join(value) if isinstance(value, list) else value
            for name, value in sums.items()
        }
    )
    click.echo('\nTargets:')
    headers = list(rows[0]) if rows else []
    output.print_table(headers, [list(row.values()) for row in rows])


@fleet.command()
@click.argument('request_id')
@_LOG_FILES
@context.pass_context
def explain(
    ctx: context.Context, request_id: str, files: tuple[pathlib.Path, ...]
) -> None:
    """Shows the decisions on a request, and what its instance believed."""
    lines = logs.read(files).lines
    decisions = logs.of_request(lines, request_id)
    if not decisions:
        raise exits.CommandError(
            exits.ExitCode.NOT_FOUND, f'no line names request {request_id}'
        )
    beliefs = list(logs.around(lines, decisions, _AROUND_S))
    if ctx.as_json:
        output.print_json(
            {
                'decisions': [_document(line) for line in decisions],
                'beliefs': [_document(line) for line in beliefs],
            }
        )
        return
    for title, part in (('Decisions', decisions), ('Beliefs', beliefs)):
        click.echo(f'{title}:')
        output.print_table(
            ['time', 'instance', 'event', 'fields'],
            [
                [
                    f'{line.at:%H:%M:%S.%f}'[:-3],
                    line.instance_id,
                    line.message,
                    ' '.join(
                        f'{name}={value}'
                        for name, value in line.fields.items()
                        if name != 'request_id'
                    ),
                ]
                for line in part
            ],
        )
        click.echo()


@fleet.command()
@_LOG_FILES
@_plot_option('run')
@context.pass_context
def report(
    ctx: context.Context,
    files: tuple[pathlib.Path, ...],
    plot: pathlib.Path | None,
) -> None:
    """Sums up a run from its logs, and draws it."""
    # Drawing takes a second to load, which other commands need not wait for.
    from dotterelweir_cli.fleet import report as reports  # noqa: PLC0415

    found = logs.read(files)
    figures = reports.collect(found.lines)
    rows = reports.table(figures)
    rows.append(['lines read', len(found.lines)])
    rows.append(['lines skipped', found.skipped])
    if ctx.as_json:
        output.print_json({str(name): value for name, value in rows})
    else:
        output.print_table(['figure', 'value'], rows)
    if plot is not None:
        _draw(lambda path: reports.draw(figures, path), plot)


@fleet.command(name='losses')
@_LOG_FILES
@_plot_option('losses')
@context.pass_context
def show_losses(
    ctx: context.Context,
    files: tuple[pathlib.Path, ...],
    plot: pathlib.Path | None,
) -> None:
    """Gives every request that was lost or late its cause."""
    ledger = losses.collect(logs.read(files).lines)
    rows = losses.table(ledger)
    groups = losses.groups(ledger)
    if ctx.as_json:
        output.print_json(
            {
                'owed': ledger.owed,
                'lost_or_late': len(ledger.losses),
                'unattributed_share': round(ledger.unattributed_share, 4),
                'causes': [
                    {'cause': cause, 'requests': count, 'tokens': tokens}
                    for cause, count, tokens in rows
                ],
                **groups,
            }
        )
    else:
        click.echo(
            f'{len(ledger.losses)} of {ledger.owed} requests lost or late, '
            f'{ledger.unattributed_share:.1%} of them without a cause'
        )
        output.print_table(['cause', 'requests', 'tokens'], rows)
        for name, counts in groups.items():
            click.echo()
            output.print_table(
                [name, 'requests'], [list(row) for row in counts.items()]
            )
    if plot is not None:
        _draw(lambda path: losses.draw(ledger, path), plot)


def _draw(draw: Callable[[pathlib.Path], None], path: pathlib.Path) -> None:
    """Draws a plot into a file.

    Raises:
        CommandError: The file cannot be written, or has an unknown suffix.
    """
    try:
        draw(path)
    except (OSError, ValueError) as exc:
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'cannot draw {path.name}: {exc}'
        ) from exc


def _document(line: logs.Line) -> dict[str, object]:
    return {
        'time': line.at.isoformat(),
        'instance_id': line.instance_id,
        'event': line.message,
        **line.fields,
    }
