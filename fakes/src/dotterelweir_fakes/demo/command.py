"""The ``demo`` command: a deployment under load."""

import asyncio
import pathlib
import sys
import tempfile

import click
import orjson

from dotterelweir_fakes.demo import scenario
from dotterelweir_fakes.load import workload

_MUST_BE_ZERO = ('broken', 'duplicated_tokens', 'executed_twice')


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(sorted(workload.DEPLOYMENTS)),
    default='zwojex',
    show_default=True,
)
@click.option('--seed', type=int, default=1, show_default=True)
def demo(deployment: str, seed: int) -> None:
    """Runs a deployment under load; the last line is one JSON object.

    Exit code 1 if an answer was broken, a token was duplicated or a call
    was executed twice.
    """
    with tempfile.TemporaryDirectory(prefix='dotterelweir-') as name:
        try:
            summary = asyncio.run(
                scenario.run(
                    workload.DEPLOYMENTS[deployment],
                    seed,
                    pathlib.Path(name),
                    click.echo,
                )
            )
        except (scenario.DemoError, RuntimeError) as exc:
            click.echo(str(exc), err=True)
            sys.exit(2)
    click.echo(orjson.dumps(summary).decode())
    if any(summary[name] for name in _MUST_BE_ZERO):
        sys.exit(1)
