"""Tests of limits, refusals and problem documents."""

import json

import pytest

from dotterelweir_core import errors

CHAT = '/v1/chat/completions'
GOOD = b'{"messages": [{"role": "user", "content": "x"}]}'

# Name of the case: path, headers, body, status, error code.
REFUSED = {
    'malformed-json': (CHAT, {}, b'{', 400, 'malformed-request'),
    'not-an-object': (CHAT, {}, b'[]', 400, 'malformed-request'),
    'no-messages': (CHAT, {}, b'{}', 400, 'malformed-request'),
    'bad-stream': (
        CHAT,
        {},
        b'{"stream": "yes", "prompt": "x"}',
        400,
        'malformed-request',
    ),
    'bad-bound': (
        CHAT,
        {},
        b'{"max_tokens": 0, "prompt": "x"}',
        400,
        'malformed-request',
    ),
    'bad-timeout': (
        CHAT,
        {'X-Request-Timeout-S': 'nan'},
        GOOD,
        400,
        'malformed-request',
    ),
    'bad-priority': (
        CHAT,
        {'X-Request-Priority': '10'},
        GOOD,
        400,
        'malformed-request',
    ),
    'large-body': (CHAT, {}, b'x' * 5_000_000, 413, 'body-too-large'),
    'large-header': (
        CHAT,
        {'X-Large': 'x' * 9_000},
        GOOD,
        431,
        'headers-too-large',
    ),
    'very-large-header': (
        CHAT,
        {'X-Large': 'x' * 100_000},
        GOOD,
        431,
        'headers-too-large',
    ),
    'no-organisation': (
        CHAT,
        {'X-Organisation': ''},
        GOOD,
        401,
        'organisation-missing',
    ),
    'unknown-route': ('/nowhere', {}, GOOD, 404, 'route-not-found'),
    'no-such-engine-path': ('/v1/other', {}, GOOD, 404, 'route-not-found'),
    'no-event-id': ('/v1/streams', {}, None, 400, 'malformed-request'),
    'empty-pool': (CHAT, {}, GOOD, 503, 'pool-empty'),
}


@pytest.mark.parametrize('case', REFUSED)
async def test_refusals(cluster, case):
    """Guards against refusals without a correct problem document."""
    instance = await cluster.add_instance()
    path, headers, body, status, code = REFUSED[case]
    method = 'GET' if body is None else 'POST'
    async with instance.session.request(
        method, path, data=body, headers=headers
    ) as response:
        assert response.content_type == 'application/problem+json'
        problem = json.loads(await response.read())
    assert (response.status, problem['code']) == (status, code)
    assert problem['execution'] == 'not run'
    assert problem['request_id'] == response.headers['X-Request-Id']
    retryable = errors.RESPONSES[errors.ErrorKind(code)].retryable
    assert ('Retry-After' in response.headers) is retryable
    if case == 'empty-pool':
        assert response.headers['Retry-After'] == '3'


async def test_an_unsupported_idempotency_key_is_refused(cluster):
    """Guards against a repeat that runs a completion a second time."""
    await cluster.add_engine()
    for repeatable, status in ((False, 400), (True, 200)):
        instance = await cluster.add_instance(route={'repeatable': repeatable})
        async with instance.session.post(
            CHAT, data=GOOD, headers={'Idempotency-Key': 'k'}
        ) as response:
            assert response.status == status


async def test_services_and_unexpected_errors(cluster, caplog):
    """Guards against tracebacks in the answers to callers."""
    instance = await cluster.add_instance()
    async with instance.session.put('/shop/1', data=b'x') as response:
        assert await response.read() == b'x'
    async with instance.session.post('/shop/1', data=b'fail') as response:
        problem = await response.json(content_type=None)
    assert response.status == 500
    assert problem['code'] == 'internal'
    assert problem['execution'] == 'unknown'
    logged = [r for r in caplog.records if r.message == 'unexpected-error']
    assert len(logged) == 1
    assert 'RuntimeError' in caplog.text


async def test_readiness(cluster):
    """Guards against new work at an instance that is shutting down."""
    instance = await cluster.add_instance()
    for path in ('/healthz', '/readyz'):
        async with instance.session.get(path) as response:
            assert response.status == 200
    instance.refusal_reasons.append(errors.ErrorKind.SHUTTING_DOWN)
    for path, status in (('/healthz', 200), ('/readyz', 503), (CHAT, 503)):
        async with instance.session.get(path) as response:
            assert response.status == status


@pytest.mark.parametrize(
    ('headers', 'execution'),
    [({}, 'not run'), ({'Idempotency-Key': 'key-1'}, 'unknown')],
)
async def test_a_refused_repeat_is_not_reported_as_not_run(
    cluster, headers, execution
):
    """Guards against "not run" for a call that ran at another instance.

    During an outage of the log, an instance without claims answered the
    repeat of a booking that had run with "not run".
    """
    instance = await cluster.add_instance()
    instance.refusal_reasons.append(errors.ErrorKind.SHUTTING_DOWN)
    async with instance.session.post(
        '/shop/orders', data=b'{}', headers=headers
    ) as response:
        assert (await response.json())['execution'] == execution


async def test_a_request_that_can_never_run_is_refused_as_not_run(cluster):
    """Guards against "unknown" for a request that cannot have run."""
    instance = await cluster.add_instance()
    async with instance.session.post(
        '/nothing', data=b'{}', headers={'Idempotency-Key': 'key-1'}
    ) as response:
        assert (await response.json())['execution'] == 'not run'
