"""Tests of an instance that alone has lost its links to all targets."""

import asyncio

import aiohttp
import pytest

from dotterelweir_fakes.fleet import deployment as fleet
from dotterelweir_fakes.fleet import target_links

ROUTES = ['read', 'book', 'guide', 'check']
CUTS = list(target_links.Cut)


def expected_events(first, last):
    """Returns the bytes of the events that a fake engine sends."""
    return b''.join(
        b'id: %d\ndata: token-%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


@pytest.fixture
async def pair(deployment):
    """Runs a second gateway, which the first one knows."""
    second = await deployment.start_second()
    gateways = (deployment.gateway, second)
    async with asyncio.timeout(5):
        while not (
            all(gateway._peers.view().peers for gateway in gateways)
            and second._is_ready()
        ):
            await asyncio.sleep(0.01)
    return deployment


@pytest.fixture
def links(pair):
    """Returns the links of the first gateway to the targets."""
    return target_links.TargetLinks(pair.gateway)


async def send(deployment, route, request_id, **options):
    """Returns status and body of an answer; no body if it is incomplete."""
    async with deployment.request(
        route, request_id=request_id, **options
    ) as answer:
        try:
            return answer.status, await answer.read()
        except aiohttp.ClientPayloadError:
            return answer.status, None


async def lose_targets(deployment, links, cut):
    """Cuts the links and lets the gateway notice it."""
    links.cut(cut)
    async with asyncio.timeout(5):
        number = 0
        while not deployment.gateway._reach.is_lost:
            number += 1
            await send(deployment, 'read', f'first-{number}')


def arrivals(deployment, request_id):
    """Returns how many times targets were sent a request."""
    return sum(
        engine.ran.count(request_id) for engine in deployment.engines.values()
    )


@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('cut', CUTS)
async def test_callers_of_a_partitioned_instance_are_served(
    pair, links, route, cut
):
    """Guards against an instance that fails what another one could serve."""
    await lose_targets(pair, links, cut)
    for number in range(5):
        request_id = f'{route}-{number}'
        status, body = await send(pair, route, request_id)
        assert status == 200
        assert body
        assert arrivals(pair, request_id) == 1


async def test_a_stream_is_passed_on_as_its_events_arrive(pair, links):
    """Guards against an answer that another instance collects first."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    for engine in pair.engines.values():
        engine.behaviour.event_s = 0.05
    pieces = []
    async with pair.request('guide') as answer:
        async for piece in answer.content.iter_any():
            pieces.append(piece)
    assert b''.join(pieces) == expected_events(1, 10)
    assert len(pieces) > 5


@pytest.mark.parametrize('route', ['read', 'book', 'check'])
async def test_requests_that_notice_the_loss_are_served(pair, links, route):
    """Guards against callers that pay for the detection."""
    links.cut(target_links.Cut.REFUSED)
    answers = await asyncio.gather(
        *(send(pair, route, f'request-{number}') for number in range(8))
    )
    assert [status for status, _ in answers].count(200) >= 6
    for number in range(8):
        assert arrivals(pair, f'request-{number}') <= 1


@pytest.mark.parametrize('cut', [target_links.Cut.RESET])
async def test_a_stream_that_may_be_resumed_goes_on(pair, links, cut):
    """Guards against streams that are lost although others reach engines."""
    for engine in pair.engines.values():
        engine.behaviour.event_s = 0.05
        engine.behaviour.events = 20
    async with pair.request('check') as answer:
        received = await answer.content.readany()
        links.cut(cut)
        received += await answer.read()
    assert received == expected_events(1, 20)


async def test_a_partitioned_instance_leaves_the_rotation(pair, links):
    """Guards against callers that are sent to an instance without engines."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    await pair.wait_ready(503)
    links.heal()
    await pair.wait_ready()
    assert (await send(pair, 'read', 'after'))[0] == 200
    assert not pair.gateway._reach.is_lost


async def test_an_instance_stays_ready_if_nobody_takes_requests(pair, links):
    """Guards against a deployment that leaves the rotation as a whole."""
    second = target_links.TargetLinks(pair._second_gateway)
    second.cut(target_links.Cut.REFUSED)
    for number in range(3):
        await send(pair, 'read', f's-{number}', gateway=pair._second_gateway)
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    async with asyncio.timeout(5):
        while pair.gateway._peers.view().taking_count:
            await asyncio.sleep(0.01)
    assert await pair.ready_status() == 200
    began_s = asyncio.get_running_loop().time()
    for route in ROUTES:
        status, _ = await send(pair, route, f'{route}-1')
        assert status == 503
    assert asyncio.get_running_loop().time() - began_s < 1.0


async def test_a_request_is_passed_on_once(pair, links):
    """Guards against two instances that pass a request to and fro."""
    second = target_links.TargetLinks(pair._second_gateway)
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    second.cut(target_links.Cut.REFUSED)
    async with asyncio.timeout(2):
        status, _ = await send(pair, 'book', 'request-1')
    assert status == 503


async def test_a_call_that_may_have_run_is_not_sent_again(pair, links):
    """Guards against a second run after an instance has ended."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    for name in ('shop-1', 'shop-2'):
        pair.engines[name].behaviour.hang = True
    call = asyncio.create_task(send(pair, 'book', 'request-1'))
    async with asyncio.timeout(2):
        while not arrivals(pair, 'request-1'):
            await asyncio.sleep(0.01)
    pair._second_gateway._callers.break_off()
    status, _ = await call
    assert status in (502, 504)
    assert arrivals(pair, 'request-1') == 1


async def test_the_caller_of_a_passed_request_can_leave(pair, links):
    """Guards against engines that work on for callers that have left."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    for engine in pair.engines.values():
        engine.behaviour.event_s = 0.05
        engine.behaviour.events = 200
    async with pair.request('guide') as answer:
        await answer.content.readany()
        answer.close()
    engines = [pair.engines[name] for name in ('engine-1', 'engine-2')]
    async with asyncio.timeout(1):
        while not any(engine.cancelled for engine in engines):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('route', ['read', 'guide'])
async def test_a_passed_request_keeps_its_headers(pair, links, route):
    """Guards against a second deadline, or a key that engines can read."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    await send(pair, route, 'request-1', deadline_ms=1500, X_Other='a')
    [headers] = [
        headers
        for engine in pair.engines.values()
        for headers in engine.received_headers
        if headers.get('x-attempt-id') == 'request-1'
    ]
    assert 1000 < int(headers['x-deadline-ms']) <= 1500
    assert headers['x-other'] == 'a'
    assert headers['x-tenant'] == fleet.ORGANISATION
    assert 'api-key' not in headers


async def test_an_engine_that_is_down_loses_no_target(deployment):
    """Guards against a conclusion from the end of single targets."""
    deployment.engines['shop-1'].crash()
    for number in range(6):
        await send(deployment, 'read', f'request-{number}')
    assert not deployment.gateway._reach.is_lost


async def test_an_instance_without_others_sends_by_itself(deployment):
    """Guards against requests that wait for instances that are not there."""
    links = target_links.TargetLinks(deployment.gateway)
    await lose_targets(deployment, links, target_links.Cut.REFUSED)
    assert (await send(deployment, 'read', 'request-1'))[0] == 503
    links.heal()
    assert (await send(deployment, 'read', 'request-2'))[0] == 200


async def test_a_lost_link_is_no_end_of_its_target(pair, links):
    """Guards against requests that are blocked everywhere after a cut."""
    ends = []
    detector = pair.gateway._parts.end_detector
    detector.subscribe(lambda end: ends.append(end.target.target_id))
    for engine in pair.engines.values():
        engine.behaviour.hang = True
    calls = [
        asyncio.create_task(send(pair, 'read', f'request-{number}'))
        for number in range(6)
    ]
    async with asyncio.timeout(2):
        while not all(pair.engines[f'shop-{n}'].ran for n in (1, 2)):
            await asyncio.sleep(0.01)
    links.cut(target_links.Cut.RESET)
    for engine in pair.engines.values():
        engine.behaviour.hang = False
    await asyncio.gather(*calls)
    async with asyncio.timeout(5):
        while detector._suspicions:
            await asyncio.sleep(0.01)
    assert not ends


async def test_the_end_of_a_target_is_still_noticed(pair, links):
    """Guards against deadly requests that nobody counts any more."""
    ends = []
    pair.gateway._parts.end_detector.subscribe(
        lambda end: ends.append(end.target.target_id)
    )
    shops = [pair.engines[name] for name in ('shop-1', 'shop-2')]
    for shop in shops:
        shop.behaviour.hang = True
    call = asyncio.create_task(send(pair, 'book', 'request-1'))
    async with asyncio.timeout(2):
        while not any(shop.ran for shop in shops):
            await asyncio.sleep(0.01)
    [ended] = [shop for shop in shops if shop.ran]
    ended.crash()
    await call
    async with asyncio.timeout(2):
        while ends != [ended.target_id]:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('route', ['read', 'check'])
async def test_a_request_that_has_run_here_is_not_refused_as_not_run(
    pair, links, route
):
    """Guards against "not run" from an instance that knows only its part."""
    for engine in pair.engines.values():
        engine.behaviour.hang = True
    call = asyncio.create_task(send(pair, route, 'request-1'))
    async with asyncio.timeout(2):
        while not arrivals(pair, 'request-1'):
            await asyncio.sleep(0.01)
    for engine in pair.engines.values():
        engine.behaviour.refuse = True
    links.cut(target_links.Cut.RESET)
    status, _ = await call
    assert status in (502, 504)


async def test_an_instance_that_stops_is_passed_nothing(pair, links):
    """Guards against requests passed to an instance that refuses them."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    pair._second_gateway.begin_stop()
    async with asyncio.timeout(1):
        while pair.gateway._peers.view().taking_count:
            await asyncio.sleep(0.01)
    assert await pair.ready_status() == 200


@pytest.mark.parametrize('route', ['book', 'guide'])
async def test_a_stop_denies_no_run_of_a_passed_request(pair, links, route):
    """Guards against "not run" for what another instance has sent."""
    await lose_targets(pair, links, target_links.Cut.REFUSED)
    for engine in pair.engines.values():
        engine.behaviour.hang = True
    call = asyncio.create_task(send(pair, route, 'request-1'))
    async with asyncio.timeout(2):
        while not arrivals(pair, 'request-1'):
            await asyncio.sleep(0.01)
    pair.gateway._callers.answer_pending()
    status, _ = await call
    assert status == 504
