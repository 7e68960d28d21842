"""The ``platform`` command, which runs the platform's stand-in."""

import asyncio

from aiohttp import web
import click

from dotterelweir_fakes.platform import app
from dotterelweir_fakes.platform import log
from dotterelweird import timers


@click.command()
@click.option('--host', default='127.0.0.1', show_default=True)
@click.option('--port', type=click.IntRange(0, 65535), required=True)
@click.option(
    '--appends-per-s',
    type=click.FloatRange(min=0.0, min_open=True),
    default=300.0,
    show_default=True,
    help='Appends that the log accepts per second.',
)
@click.option(
    '--retention-records',
    type=click.IntRange(min=1),
    help='Maximum number of records retained per stream; no limit by default.',
)
@click.option(
    '--retention-s',
    type=click.FloatRange(min=0.0, min_open=True),
    help='Age up to which records are retained; no limit by default.',
)
@click.option(
    '--instances-lag-s',
    type=click.FloatRange(min=0.0),
    default=0.0,
    show_default=True,
    help='Delay until a change is visible in the instance list.',
)
@click.option(
    '--weight-loads-per-s',
    type=click.FloatRange(min=0.0, min_open=True),
    default=1.0,
    show_default=True,
    help='Starts of weight loads that the weight store permits per second.',
)
def platform(
    host: str,
    port: int,
    appends_per_s: float,
    retention_records: int | None,
    retention_s: float | None,
    instances_lag_s: float,
    weight_loads_per_s: float,
) -> None:
    """Runs the log, the instance list and the weight store."""
    options = log.LogOptions(appends_per_s, retention_records, retention_s)

    async def make_app() -> web.Application:
        timer = timers.LoopTimerService(asyncio.get_running_loop())
        return app.create_app(
            app.Platform(timer, options, instances_lag_s, weight_loads_per_s)
        )

    # Shutdown does not wait for long polls to end.
    web.run_app(
        make_app(),
        host=host,
        port=port,
        access_log=None,
        shutdown_timeout=0.5,
    )
