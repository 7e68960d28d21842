"""The ``watch`` command, which prints changes of one instance."""

import time

import click
import orjson

from dotterelweir_cli import admin
from dotterelweir_cli import context


@click.command()
@click.option(
    '--count',
    type=click.IntRange(min=1),
    help='Stop after this many changes.',
)
@context.pass_context
def watch(ctx: context.Context, count: int | None) -> None:
    """Prints changes of one instance as they happen."""
    context.run(_watch(ctx, count))


async def _watch(ctx: context.Context, count: int | None) -> None:
    printed_count = 0
    async for change in admin.AdminClient(ctx.admin_url).watch():
        _print_change(ctx, change)
        printed_count += 1
        if count is not None and printed_count >= count:
            return


def _print_change(ctx: context.Context, change: dict) -> None:
    if ctx.as_json:
        click.echo(orjson.dumps(change).decode())
        return
    fields = dict(change)
    time_of_day = time.strftime(
        '%H:%M:%S', time.localtime(fields.pop('time_s'))
    )
    name = fields.pop('name')
    event_number = fields.pop('event')
    lost = fields.pop('lost', 0)
    field_text = ' '.join(f'{key}={value}' for key, value in fields.items())
    click.echo(f'{time_of_day} {event_number} {name} {field_text}'.rstrip())
    if lost:
        click.echo(f'({lost} changes were not shown)')
