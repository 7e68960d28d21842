"""The ``completion`` command."""

import click
from click import shell_completion

_PROGRAM = 'dotterelweir'
_VARIABLE = '_DOTTERELWEIR_COMPLETE'


@click.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Prints the completion script of a shell.

    Bash: eval "$(dotterelweir completion bash)"
    """
    kind = shell_completion.get_completion_class(shell)
    root = ctx.find_root().command
    click.echo(kind(root, {}, _PROGRAM, _VARIABLE).source())
