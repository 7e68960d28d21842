"""Tests of the adapter that sends orders, against the fake engine."""

import asyncio
import socket

import aiohttp
import attrs
import pytest

from dotterelweir_core import errors
from dotterelweir_core.orders import plan
from dotterelweir_core.targets import model as targets_model
from dotterelweir_fakes.engine import app as engine_app
from dotterelweir_fakes.engine import batch
from dotterelweird import timers
from dotterelweird.targets import orders

DESIRED = plan.DesiredState(('m',), ('a',), 'v1', 'both')
TARGET = targets_model.Target('e-1', 1, 'llm', 'z1', '127.0.0.1', 0)


@pytest.mark.parametrize(
    ('fencing', 'expires_in_s', 'kind'),
    [
        (7, 60.0, None),
        (6, 60.0, errors.ErrorKind.TARGET_REFUSED),
        (7, -60.0, errors.ErrorKind.TARGET_REFUSED),
    ],
)
async def test_engines_accept_or_refuse_orders(fencing, expires_in_s, kind):
    """Guards against orders whose fields the engine does not interpret."""
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    server = await engine_app.start_server(
        TARGET, batch.EngineOptions(), timer
    )
    now_s = timer.wall_s()
    error_kind = None
    async with aiohttp.ClientSession() as session:
        client = orders.HttpOrderClient(session)
        await client.send_order(
            server.target,
            plan.Order(attrs.evolve(DESIRED, version='v0'), 7, now_s + 60.0),
            5.0,
        )
        try:
            await client.send_order(
                server.target,
                plan.Order(DESIRED, fencing, now_s + expires_in_s),
                5.0,
            )
        except errors.DotterelweirError as error:
            error_kind = error.kind
    state = dict(server.engine.orders.state)
    await server.stop()
    assert error_kind == kind
    assert state['version'] == ('v1' if kind is None else 'v0')


async def test_an_order_to_an_unreachable_engine_was_not_run():
    """Guards against an undelivered order that counts as accepted."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        target = attrs.evolve(TARGET, port=probe.getsockname()[1])
        async with aiohttp.ClientSession() as session:
            with pytest.raises(errors.DotterelweirError) as raised:
                await orders.HttpOrderClient(session).send_order(
                    target, plan.Order(DESIRED, 1, 1.0), 5.0
                )
    assert raised.value.kind is errors.ErrorKind.TARGET_UNREACHABLE
