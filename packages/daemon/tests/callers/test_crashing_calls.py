"""Tests of a call that ends the services that begin to run it."""

import asyncio

import attrs

from dotterelweir_core.tables import model as tables_model
from dotterelweird.callers import service_attempts

REPEATABLE = tables_model.Route(
    'stock', tables_model.Match('/stock'), 'shop', repeatable=True
)
# Ends after which a request counts as known, and further sends allowed.
ENDS_MAX = 3
LATE_SENDS_MAX = 3


async def start_crashing_service(ended):
    """Starts a service that ends with the first call, and returns its port."""

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        ended.append(server)
        server.close()
        writer.transport.abort()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    return server.sockets[0].getsockname()[1]


async def test_a_call_that_ends_its_services_is_kept_from_the_others(
    service_harness,
):
    """Guards against repeats that end service after service."""
    harness = await service_harness(*([[]] * 10))
    ended = []
    for target_id, target in list(harness.targets.items()):
        port = await start_crashing_service(ended)
        harness.targets[target_id] = attrs.evolve(target, port=port)
    request = service_attempts.CallerRequest(
        'GET', '/stock/crash', (), b'{"key": "k1"}'
    )
    for number in range(4):
        await harness.call(REPEATABLE, request, request_id=f'r{number}')
    assert len(ended) <= ENDS_MAX + LATE_SENDS_MAX
