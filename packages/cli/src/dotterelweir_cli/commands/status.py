"""The ``status`` command, which shows the state of one instance."""

import click

from dotterelweir_cli import admin
from dotterelweir_cli import context
from dotterelweir_cli import output


@click.command()
@context.pass_context
def status(ctx: context.Context) -> None:
    """Shows the state of one instance."""
    client = admin.AdminClient(ctx.admin_url)
    document = context.run(client.get('/admin/v1/status'))
    if ctx.as_json:
        output.print_json(document)
        return
    output.print_fields(
        {
            name: value
            for name, value in document.items()
            if not isinstance(value, list | dict)
        }
    )
    for section in ('tables', 'requests'):
        click.echo(f'\n{section.capitalize()}:')
        output.print_fields(document.get(section, {}))
    for section in ('targets', 'peers'):
        rows = document.get(section, [])
        click.echo(f'\n{section.capitalize()}:')
        headers = list(rows[0]) if rows else []
        output.print_table(headers, [list(row.values()) for row in rows])
