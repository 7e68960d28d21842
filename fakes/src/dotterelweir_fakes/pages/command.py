"""The ``docs`` command."""

import pathlib

import click

from dotterelweir_fakes.pages import render


@click.command()
@click.option(
    '--directory',
    type=click.Path(path_type=pathlib.Path, file_okay=False, exists=True),
    default='docs',
    show_default=True,
)
def docs(directory: pathlib.Path) -> None:
    """Renders the reference pages from the code."""
    (directory / 'events.md').write_text(render.events_page())
    (directory / 'settings.md').write_text(render.settings_page())
