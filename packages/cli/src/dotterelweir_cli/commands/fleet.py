"""The ``fleet`` commands, which cover a whole deployment of gateways."""

from collections.abc import Callable
import pathlib

import click

from dotterelweir_cli import context
from dotterelweir_cli import exits
from dotterelweir_cli import output
from dotterelweir_cli.fleet import deployment
from dotterelweir_cli.fleet import logs
from dotterelweir_cli.fleet import losses

# Time before and after a request for which ``explain`` shows the state that
# the gateway logged, in seconds. Targets send a heartbeat about once per
# second.
_MARGIN_S = 3.0

_LOG_FILES = click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)


def _plot_option(example_stem: str) -> Callable:
    """Makes the ``--plot`` option, which names the file of a plot.

    Args:
        example_stem: File name without suffix that the help text shows.
    """
    return click.option(
        '--plot',
        type=click.Path(dir_okay=False, path_type=pathlib.Path),
        help=f'File for the plot, such as {example_stem}.png or '
        f'{example_stem}.svg.',
    )


@click.group()
def fleet() -> None:
    """Queries all gateways of a deployment, or reads their logs."""


@fleet.command()
@click.option(
    '--instance',
    required=True,
    metavar='HOST:PORT',
    help='Any gateway, at its port for other gateways.',
)
@context.pass_context
def status(ctx: context.Context, instance: str) -> None:
    """Shows the status of all gateways and where they differ."""
    deployment_status = context.run(
        deployment.query_instances(instance, ctx.timeout_s)
    )
    summary_fields = deployment.summary(deployment_status)
    rows = deployment.target_rows(deployment_status)
    queues = deployment.queue_rows(deployment_status)
    if ctx.as_json:
        output.print_json(
            {**summary_fields, 'targets': rows, 'queues': queues}
        )
        return
    output.print_fields(
        {
            name: ', '.join(value) if isinstance(value, list) else value
            for name, value in summary_fields.items()
        }
    )
    click.echo('\nTargets:')
    headers = list(rows[0]) if rows else []
    output.print_table(headers, [list(row.values()) for row in rows])
    if queues:
        click.echo('\nHeads of queues:')
        output.print_table(
            list(queues[0]), [list(row.values()) for row in queues]
        )


@fleet.command()
@click.argument('request_id')
@_LOG_FILES
@context.pass_context
def explain(
    ctx: context.Context, request_id: str, files: tuple[pathlib.Path, ...]
) -> None:
    """Shows the decisions on a request and the state they were based on."""
    lines = logs.read(files).lines
    decisions = logs.request_lines(lines, request_id)
    if not decisions:
        raise exits.CommandError(
            exits.ExitCode.NOT_FOUND, f'no line names request {request_id}'
        )
    state_events = list(logs.state_lines(lines, decisions, _MARGIN_S))
    if ctx.as_json:
        output.print_json(
            {
                'decisions': [_line_document(line) for line in decisions],
                'beliefs': [_line_document(line) for line in state_events],
            }
        )
        return
    for title, section in (
        ('Decisions', decisions),
        ('Beliefs', state_events),
    ):
        click.echo(f'{title}:')
        output.print_table(
            ['time', 'instance', 'event', 'fields'],
            [
                [
                    f'{line.written_at:%H:%M:%S.%f}'[:-3],
                    line.instance_id,
                    line.message,
                    ' '.join(
                        f'{name}={value}'
                        for name, value in line.fields.items()
                        if name != 'request_id'
                    ),
                ]
                for line in section
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
    """Summarises a run from its logs and draws a plot of it."""
    # Importing matplotlib takes a second; only this command needs it.
    from dotterelweir_cli.fleet import report as report_module  # noqa: PLC0415

    read_result = logs.read(files)
    statistics = report_module.collect(read_result.lines)
    rows = report_module.statistic_rows(statistics)
    rows.append(['lines read', len(read_result.lines)])
    rows.append(['lines skipped', read_result.skipped])
    if ctx.as_json:
        output.print_json({str(name): value for name, value in rows})
    else:
        output.print_table(['figure', 'value'], rows)
    if plot is not None:
        _draw(lambda path: report_module.draw(statistics, path), plot)


@fleet.command(name='losses')
@_LOG_FILES
@_plot_option('losses')
@context.pass_context
def show_losses(
    ctx: context.Context,
    files: tuple[pathlib.Path, ...],
    plot: pathlib.Path | None,
) -> None:
    """Shows the causes of lost and late requests."""
    loss_report = losses.collect(logs.read(files).lines)
    rows = losses.cause_rows(loss_report)
    groups = losses.counts_by_group(loss_report)
    if ctx.as_json:
        output.print_json(
            {
                'owed': loss_report.eligible_requests,
                'lost_or_late': len(loss_report.losses),
                'unattributed_share': round(loss_report.unattributed_share, 4),
                'causes': [
                    {'cause': cause, 'requests': count, 'tokens': tokens}
                    for cause, count, tokens in rows
                ],
                **groups,
            }
        )
    else:
        click.echo(
            f'{len(loss_report.losses)} of {loss_report.eligible_requests} '
            'requests lost or late, '
            f'{loss_report.unattributed_share:.1%} of them without a cause'
        )
        output.print_table(['cause', 'requests', 'tokens'], rows)
        for name, counts in groups.items():
            click.echo()
            output.print_table(
                [name, 'requests'], [list(row) for row in counts.items()]
            )
    if plot is not None:
        _draw(lambda path: losses.draw(loss_report, path), plot)


def _draw(draw: Callable[[pathlib.Path], None], path: pathlib.Path) -> None:
    """Draws a plot into a file.

    Args:
        draw: Draws the plot into a file.
        path: The file.

    Raises:
        CommandError: USAGE if the file cannot be written or has an unknown
            suffix.
    """
    try:
        draw(path)
    except (OSError, ValueError) as exc:
        raise exits.CommandError(
            exits.ExitCode.USAGE, f'cannot draw {path.name}: {exc}'
        ) from exc


def _line_document(line: logs.Line) -> dict[str, object]:
    """Returns a log line as a JSON document."""
    return {
        'time': line.written_at.isoformat(),
        'instance_id': line.instance_id,
        'event': line.message,
        **line.fields,
    }
