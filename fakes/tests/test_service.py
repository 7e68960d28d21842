"""Tests of the stand-in for plain services."""

from aiohttp import test_utils
from click import testing
import pytest

from dotterelweir_fakes import __main__ as command_line
from dotterelweir_fakes import service


def test_the_command_is_listed():
    """Guards against a command that is missing from the command line."""
    result = testing.CliRunner().invoke(command_line.main, ['--help'])
    assert 'service' in result.output


@pytest.mark.parametrize(
    ('body', 'headers', 'key'),
    [
        (b'{"key": "k1"}', {}, 'k1'),
        (b'{"key": "k1"}', {'X-Business-Key': 'k2'}, 'k2'),
        (b'not json', {}, ''),
        (b'[1]', {}, ''),
    ],
)
async def test_executions_are_counted(body, headers, key):
    """Guards against counts that miss a second execution."""
    state = service.ServiceState()
    async with test_utils.TestClient(
        test_utils.TestServer(service.create_app(state))
    ) as client:
        for _ in range(2):
            response = await client.post(
                '/book', data=body, headers={'X-Request-Id': 'r1', **headers}
            )
        assert (await response.json())['execution_number'] == 2
        counts = await (await client.get('/counts')).json()
    assert counts['by_request_id'] == {'r1': 2}
    assert counts['by_business_key'] == {key: 2}


async def test_faults_and_state_are_set_from_outside():
    """Guards against a refusal that is counted as an execution."""
    state = service.ServiceState()
    async with test_utils.TestClient(
        test_utils.TestServer(service.create_app(state))
    ) as client:
        await client.put('/faults', json={'faults': ['refuse']})
        await client.put('/state', json={'state': 'leaving'})
        refused = await client.post('/book', data=b'{}')
        assert refused.status == 503
        assert (await refused.json(content_type=None))['execution'] == (
            'not run'
        )
        assert refused.headers['X-Target-State'] == 'leaving'
        load = await (await client.get('/v1/load')).json()
    assert load['state'] == 'leaving'
    assert not state.by_request_id
