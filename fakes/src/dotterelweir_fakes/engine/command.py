"""The ``engine`` command, which runs one engine in its own process."""

import asyncio
import os
import signal

import attrs
import click

from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.engine import app
from dotterelweir_fakes.engine import batch
from dotterelweird import timers

_DEFAULTS = batch.EngineOptions()


async def _serve(
    target: targets_model.Target,
    options: batch.EngineOptions,
    models: tuple[str, ...],
) -> None:
    loop = asyncio.get_running_loop()
    server = await app.start_server(
        target,
        options,
        timers.LoopTimerService(loop),
        # The process ends without a clean shutdown, as a killed one does.
        on_die=lambda: os._exit(1),
        models=models,
    )
    click.echo(f'engine {target.target_id} listens on {server.target.port}')
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    await stopped.wait()
    await server.stop()


def _engine_options(function):
    """Adds a command-line option for each field of ``EngineOptions``."""
    for field in reversed(attrs.fields(batch.EngineOptions)):
        name = field.name.replace('_', '-')
        if field.type is bool:
            flag = f'--{name}/--no-{name}'
            option = click.option(flag, default=field.default)
        else:
            option = click.option(
                f'--{name}',
                type=field.type,
                default=field.default,
                show_default=True,
            )
        function = option(function)
    return function


@click.command()
@click.option('--host', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, help='0: chosen by the system.')
@click.option('--target-id', required=True)
@click.option('--service', required=True)
@click.option('--zone', required=True)
@click.option('--incarnation', type=int, default=1, show_default=True)
@click.option(
    '--model',
    'models',
    multiple=True,
    help='A model that is loaded at the start.',
)
@_engine_options
def engine(
    host: str,
    port: int,
    target_id: str,
    service: str,
    zone: str,
    incarnation: int,
    models: tuple[str, ...],
    **options: object,
) -> None:
    """Runs one engine until SIGTERM."""
    target = targets_model.Target(
        target_id, incarnation, service, zone, host, port
    )
    asyncio.run(_serve(target, batch.EngineOptions(**options), models))
