"""Command line of the client: shared options and commands."""

import click

from dotterelweir_cli import context
from dotterelweir_cli import exits
from dotterelweir_cli.commands import apply
from dotterelweir_cli.commands import completion
from dotterelweir_cli.commands import explain
from dotterelweir_cli.commands import fleet
from dotterelweir_cli.commands import pool
from dotterelweir_cli.commands import route
from dotterelweir_cli.commands import status
from dotterelweir_cli.commands import watch


@click.group(epilog=exits.HELP)
@click.option(
    '--log-url',
    envvar='DOTTERELWEIR_LOG_URL',
    default='http://127.0.0.1:7000',
    show_default=True,
    show_envvar=True,
    help="Base URL of the platform's log.",
)
@click.option(
    '--stream',
    envvar='DOTTERELWEIR_STREAM',
    default='config',
    show_default=True,
    show_envvar=True,
    help='Name of the configuration stream.',
)
@click.option(
    '--admin-url',
    envvar='DOTTERELWEIR_ADMIN_URL',
    default='http://127.0.0.1:7300',
    show_default=True,
    show_envvar=True,
    help="Base URL of an instance's admin port.",
)
@click.option(
    '--output',
    '-o',
    type=click.Choice([kind.value for kind in context.OutputFormat]),
    default=context.OutputFormat.TABLE.value,
    show_default=True,
    help='Tables for people or JSON for programs.',
)
@click.option(
    '--timeout-s',
    type=click.FloatRange(min=0.1),
    default=10.0,
    show_default=True,
    help='Time limit of an edit and its confirmation, in seconds.',
)
@click.version_option(package_name='dotterelweir')
@click.pass_context
def main(
    ctx: click.Context,
    log_url: str,
    stream: str,
    admin_url: str,
    output: str,
    timeout_s: float,
) -> None:
    """Edits the tables of routes and pools and queries instances."""
    ctx.obj = context.Context(
        log_url=log_url,
        stream=stream,
        admin_url=admin_url,
        output=context.OutputFormat(output),
        timeout_s=timeout_s,
    )


main.add_command(apply.apply)
main.add_command(completion.completion)
main.add_command(explain.explain)
main.add_command(fleet.fleet)
main.add_command(pool.pool)
main.add_command(route.route)
main.add_command(status.status)
main.add_command(watch.watch)
