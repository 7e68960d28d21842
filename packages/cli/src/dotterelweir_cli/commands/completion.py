"""The ``completion`` command, which prints shell completion scripts."""

import click
from click import shell_completion

_PROGRAM = 'dotterelweir'
_COMPLETE_VARIABLE = '_DOTTERELWEIR_COMPLETE'


@click.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Prints the completion script of a shell.

    Bash: eval "$(dotterelweir completion bash)"
    """
    completion_class = shell_completion.get_completion_class(shell)
    root_command = ctx.find_root().command
    click.echo(
        completion_class(
            root_command, {}, _PROGRAM, _COMPLETE_VARIABLE
        ).source()
    )
