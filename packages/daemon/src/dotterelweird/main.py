"""Command line of the daemon."""

import asyncio
import logging
import os
import pathlib
import sys

import click

from dotterelweir_core import errors
from dotterelweird.settings import loader


@click.command()
@click.argument(
    'settings_file',
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
)
@click.option(
    '--check',
    is_flag=True,
    help='Check the settings file, print every problem and exit.',
)
@click.version_option(package_name='dotterelweird')
def main(settings_file: pathlib.Path, check: bool) -> None:
    """Runs an entry instance with the settings in SETTINGS_FILE.

    Exit codes: 0 after a graceful stop or a check without problems, 2 for
    usage, 3 when the settings are wrong, 4 when an address cannot be listened
    on.
    """
    try:
        settings = loader.load(settings_file)
    except loader.SettingsError as exc:
        for problem in exc.problems:
            click.echo(str(problem), err=True)
        sys.exit(3)
    if check:
        click.echo(f'{settings_file.name}: no problem found')
        return
    # Imported late so that ``--check`` does not load the whole daemon.
    from dotterelweird import composition

    try:
        asyncio.run(composition.run(settings))
        _exit_now()
    except errors.DotterelweirError as exc:
        click.echo(str(exc), err=True)
        sys.exit(1)
    except OSError as exc:
        click.echo(f'cannot listen: {exc.strerror}', err=True)
        sys.exit(4)


def _exit_now() -> None:
    """Ends the process without the interpreter's clean-up.

    It takes a tenth of a second of processor time and more, which a stop with
    a deadline does not have beside load. Nothing is left to clean up: all
    connections are closed and all tasks have ended.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
