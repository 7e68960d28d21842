"""The ``linked`` command: an instance behind a link proxy."""

import asyncio
import pathlib

import click

from dotterelweir_fakes.links import loop
from dotterelweird import composition
from dotterelweird.settings import loader


@click.command()
@click.argument('settings_file', type=click.Path(path_type=pathlib.Path))
@click.option('--connect-port', type=int, required=True)
@click.option('--datagram-port', type=int, required=True)
def linked(
    settings_file: pathlib.Path, connect_port: int, datagram_port: int
) -> None:
    """Runs an instance that communicates through the link proxy of a test."""
    settings = loader.load(settings_file)
    event_loop = loop.LinkedEventLoop(
        ('127.0.0.1', connect_port), datagram_port
    )
    with asyncio.Runner(loop_factory=lambda: event_loop) as runner:
        runner.run(composition.run(settings))
