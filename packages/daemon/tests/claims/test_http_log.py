"""Tests of claims in the fake platform's log over HTTP on loopback."""

import asyncio
import random

import aiohttp
from aiohttp import test_utils
import pytest
import pytest_asyncio

from dotterelweir_core import errors
from dotterelweir_core.tables import model as tables_model
from dotterelweir_fakes.platform import app as fake_app
from dotterelweir_fakes.platform import log as fake_log
from dotterelweir_logservice import http
from dotterelweird import timers
from dotterelweird.claims import api as claims_api
from dotterelweird.claims import service as claims_service
from dotterelweird.settings import model as settings_model

ROUTE = tables_model.Route(
    'book', tables_model.Match('/book'), 'shop', repeatable=False
)
CLAIMS = settings_model.Claims(decision_timeout_s=3.0)
OUTCOME = claims_api.Outcome(errors.Execution.RAN, 200, (), b'booked')


@pytest_asyncio.fixture
async def make_platform():
    """Returns a function that creates a platform.

    It returns the platform and a function that starts an instance and returns
    a function to claim a key.
    """
    timer = timers.LoopTimerService(asyncio.get_running_loop())
    session = aiohttp.ClientSession()
    started, servers = [], []

    async def make(**options):
        platform = fake_app.Platform(timer, fake_log.LogOptions(**options))
        server = test_utils.TestServer(fake_app.create_app(platform))
        await server.start_server()
        servers.append(server)
        url = str(server.make_url('/'))
        settings = settings_model.Platform(url, url)

        def start_instance():
            log = http.HttpLogClient(session, url, settings.log_timeout_s)
            service = claims_service.ClaimsService(
                log, timer, random.Random(1), settings, CLAIMS
            )
            service.start()
            started.append(service)

            def claim(key='k'):
                return service.claim(
                    claims_api.ClaimRequest(
                        'acme', ROUTE, key, 'hash', timer.monotonic_s() + 10.0
                    )
                )

            return claim

        return platform, start_instance

    yield make
    for service in started:
        await service.stop(0.0)
    for server in servers:
        await server.close()
    await session.close()


@pytest.mark.parametrize(
    'faults',
    [
        {},
        {'lose_responses': 1},
        {'lose_responses': 3},
        {'response_delay_s': 0.5},
        {'delay_s': 0.2},
    ],
)
async def test_one_of_two_instances_is_granted_the_key(make_platform, faults):
    """Guards against two grants when the log is slow or loses responses."""
    platform, start_instance = await make_platform()
    platform.change_faults({'log': faults})
    results = await asyncio.gather(
        start_instance()(), start_instance()(), return_exceptions=True
    )
    grants = [each for each in results if isinstance(each, claims_api.Grant)]
    assert len(grants) == 1
    (refused,) = [each for each in results if each not in grants]
    assert refused.kind is errors.ErrorKind.CLAIM_IN_PROGRESS
    assert refused.execution is errors.Execution.UNKNOWN


async def test_the_outcome_is_replayed_from_the_log(make_platform):
    """Guards against a second execution by a repeat at another instance."""
    _, start_instance = await make_platform()
    grant = await start_instance()()
    grant.end(OUTCOME)
    other = start_instance()

    async def repeat():
        try:
            return await other()
        except errors.DotterelweirError as error:
            assert error.kind is errors.ErrorKind.CLAIM_IN_PROGRESS
            await asyncio.sleep(0)
            return None

    replayed = None
    async with asyncio.timeout(10.0):
        while replayed is None:
            replayed = await repeat()
    assert replayed == OUTCOME


async def test_claims_are_refused_while_the_log_is_down(make_platform):
    """Guards against a grant without a record in the log."""
    platform, start_instance = await make_platform()
    claim = start_instance()
    platform.change_faults({'log': {'appends_down': True}})
    with pytest.raises(errors.DotterelweirError) as caught:
        await claim()
    assert caught.value.kind is errors.ErrorKind.CLAIMS_UNAVAILABLE
    assert caught.value.execution is errors.Execution.NOT_RUN
    platform.change_faults({'log': {'appends_down': False}})
    assert isinstance(await claim(), claims_api.Grant)


async def test_an_instance_starts_on_a_log_with_expired_records(make_platform):
    """Guards against a start that keeps reading at an expired offset."""
    _, start_instance = await make_platform(retention_records=2)
    claim = start_instance()
    for number in range(4):
        await claim(f'key-{number}')
    other = start_instance()
    with pytest.raises(errors.DotterelweirError) as caught:
        await other('key-3')
    assert caught.value.kind is errors.ErrorKind.CLAIM_IN_PROGRESS


async def test_claims_share_appends_under_a_rate_limit(make_platform):
    """Guards against calls that fail because of the log's rate limit."""
    _, start_instance = await make_platform(appends_per_s=2.0)
    claim = start_instance()
    results = await asyncio.gather(
        *(claim(f'key-{number}') for number in range(100))
    )
    assert all(isinstance(each, claims_api.Grant) for each in results)
