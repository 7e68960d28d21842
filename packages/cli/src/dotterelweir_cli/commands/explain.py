"""The ``explain`` command, which shows how a request would be routed."""

import click

from dotterelweir_cli import admin
from dotterelweir_cli import context
from dotterelweir_cli import exits
from dotterelweir_cli import output


@click.command()
@click.option('--path', required=True, help='URL path of the request.')
@click.option('--model', default='', help='Model of the request.')
@click.option('--organisation', default='', help='Organisation.')
@click.option(
    '--prompt-tokens',
    type=click.IntRange(min=0),
    default=100,
    show_default=True,
    help='Size of the prompt, in tokens.',
)
@click.option(
    '--max-output-tokens',
    type=click.IntRange(min=1),
    help='Limit of the output, in tokens.',
)
@context.pass_context
def explain(
    ctx: context.Context,
    path: str,
    model: str,
    organisation: str,
    prompt_tokens: int,
    max_output_tokens: int | None,
) -> None:
    """Shows which route, pool and target a request would get, and why."""
    query = {
        'path': path,
        'model': model,
        'organisation': organisation,
        'prompt_tokens': prompt_tokens,
        'max_output_tokens': max_output_tokens,
    }
    client = admin.AdminClient(ctx.admin_url)
    explanation = context.run(client.post('/admin/v1/explain', query))
    if ctx.as_json:
        output.print_json(explanation)
    else:
        _print_explanation(explanation)
    if explanation.get('route') is None:
        raise exits.CommandError(
            exits.ExitCode.NOT_FOUND, 'no route matches the request'
        )


def _print_explanation(explanation: dict) -> None:
    output.print_fields(
        {
            'route': explanation.get('route'),
            'pool': explanation.get('pool'),
            'decision': explanation.get('decision'),
        }
    )
    click.echo('\nRoutes considered:')
    output.print_table(
        ['route', 'matches', 'reason'],
        [
            [row['route'], 'yes' if row['matches'] else 'no', row['reason']]
            for row in explanation.get('routes', [])
        ],
    )
    click.echo('\nTargets considered:')
    output.print_table(
        ['target', 'cost (s)', 'reason'],
        [
            [row['target_id'], f'{row["score"]:.3f}', row['reason']]
            for row in explanation.get('candidates', [])
        ],
    )
