"""Encoding and decoding of the headers of requests and answers."""

import math
import re

import pytest

from dotterelweir_core.gateway import targets
from dotterelweir_platform import wire
from dotterelweird.gateway import api

DIALECT = wire.PlatformDialect()
TARGET = targets.Target(
    't1', 's', '10.0.0.1', 80, 'a', 8, targets.TargetState.READY
)


def request_with(*headers):
    return DIALECT.decode_request('POST', '/a/b?c=%20', headers, b'')


def test_numbers_of_a_request_are_decoded():
    """Guards against a prompt size that is taken for the output limit."""
    request = request_with(
        (b'X-Token-Usage', b'1460,80'),
        (b'X-Length-Hint', b'64.5'),
        (b'X-Deadline-Ms', b'1500'),
        (b'Last-Event-Id', b'17'),
        (b'Resumes', b'attempt-0'),
    )
    assert (request.prompt_tokens, request.output_tokens_max) == (1460, 80)
    assert request.output_tokens_expected == 64
    assert request.timeout_s == 1.5
    assert request.last_event_id == 17
    assert request.resumed_id == 'attempt-0'
    assert request.path == '/a/b'


@pytest.mark.parametrize(
    ('value', 'shared_parts'),
    [
        (b'5c1e:800,91bd:410,e440:250', ('5c1e', '91bd')),
        (b'e440:250', ()),
        (b'', ()),
        (b',,x', ()),
        (b'a:1,a:2,b:2,c:3', ('a', 'b')),
        (
            b','.join(b'%x:1' % number for number in range(200)),
            tuple(f'{number:x}' for number in range(199)),
        ),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(value, shared_parts):
    """Guards against a request's own part taken for one of others."""
    request = request_with((b'X-Prompt-Prefix', value))
    assert request.shared_parts == shared_parts


@pytest.mark.parametrize('part_id', [b'a' * 33, b'a\xff', b'two words'])
def test_a_part_that_is_no_number_is_known_by_its_digest(part_id):
    """Guards against prompts that are not blocked because of an odd id."""
    first, second = (
        request_with((b'X-Prompt-Prefix', part_id + rest)).shared_parts
        for rest in (b':1,b:2,c:3', b':2,b:7,d:1')
    )
    assert first == second
    assert len(first) == 2 and first[1] == 'b'
    assert re.fullmatch('[0-9a-f]{32}', first[0])


@pytest.mark.parametrize('value', [b'soon', b'', b'-'])
def test_an_invalid_deadline_is_rejected_or_ignored(value):
    """Guards against a request that never times out."""
    if not value:
        assert request_with((b'X-Deadline-Ms', value)).timeout_s is None
        return
    with pytest.raises(ValueError, match='could not convert'):
        request_with((b'X-Deadline-Ms', value))


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (200, [(b'Server-Brittle', b'3')], 3.0),
        (503, [(b'Server-Brittle', b'0'), (b'X-Not-Executed', b'1')], 0.0),
        (200, [(b'Server-Brittle', b'x')], None),
        (200, [], math.inf),
        (503, [(b'X-Not-Executed', b'1')], None),
        (421, [(b'Server-Brittle', b'3')], None),
    ],
)
def test_brittleness_is_decoded(status, headers, expected):
    """Guards against a refusal that is taken for the end of a statement."""
    if status == 200:
        headers = [*headers, (b'X-Upstream-Seal', b's')]
    facts = DIALECT.decode_answer(
        'r1', status, [(b'X-Attempt-Id', b'r1'), *headers]
    )
    assert facts.notice.refusals_max_per_s == expected


def test_attempt_headers():
    """Guards against an attempt without deadline, target or organisation."""
    request = request_with(
        (b'X-Attempt-Id', b'r1'), (b'X-Deadline-Ms', b'1500')
    )
    options = api.AttemptOptions(
        TARGET,
        0.75,
        'org',
        copy=api.RunCopy('10.0.0.2:80', 'h'),
        last_event_id=0,
    )
    headers = dict(DIALECT.attempt_headers(request, options))
    assert headers == {
        'X-Attempt-Id': 'r1',
        'X-Deadline-Ms': '750',
        'X-Expect-Instance': 't1',
        'X-Tenant': 'org',
        'Kv-From': '10.0.0.2:80/h',
        'Last-Event-Id': '0',
    }


HEADERS = (
    (b'Host', b'shop.example'),
    (b'X-Attempt-Id', b'r2'),
    (b'Api-Key', b'key-1'),
    (b'X-Deadline-Ms', b'1500'),
    (b'Connection', b'close, X-Private'),
    (b'X-Private', b'1'),
    (b'Content-Length', b'4'),
    (b'Last-Event-Id', b'3'),
    (b'Resumes', b'r1'),
)
FORWARDED = {
    'Host': 'shop.example',
    'X-Attempt-Id': 'r2',
    'Api-Key': 'key-1',
    'X-Deadline-Ms': '750',
    'Last-Event-Id': '3',
    'Resumes': 'r1',
}


@pytest.mark.parametrize(
    ('headers', 'last_event_id', 'forwarded'),
    [
        (HEADERS, None, FORWARDED),
        (HEADERS, 7, FORWARDED | {'Last-Event-Id': '7'}),
        (
            HEADERS[:-2],
            7,
            FORWARDED | {'Last-Event-Id': '7', 'Resumes': 'r2'},
        ),
    ],
)
def test_a_forwarded_request_is_that_of_the_caller(
    headers, last_event_id, forwarded
):
    """Guards against another key, deadline or event at the instance."""
    request = request_with(*headers)
    rows = DIALECT.forwarded_headers(request, 0.75, last_event_id)
    assert len(rows) == len(forwarded)
    assert dict(rows) == forwarded


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run', 'own'),
    [
        (200, [(b'X-Attempt-Id', b'r1')], False, True),
        (200, [(b'X-Attempt-Id', b'r2')], False, False),
        (200, [], False, False),
        (503, [(b'X-Not-Executed', b'1')], True, False),
        (
            503,
            [(b'X-Not-Executed', b'1'), (b'X-Attempt-Id', b'r2')],
            True,
            False,
        ),
        (
            503,
            [(b'X-Not-Executed', b'1'), (b'X-Attempt-Id', b'r1')],
            True,
            True,
        ),
        (503, [(b'X-Attempt-Id', b'r1')], False, True),
        (421, [], True, False),
        (
            200,
            [(b'X-Attempt-Id', b'r1'), (b'X-Attempt-Id', b'r2')],
            False,
            False,
        ),
        (421, [(b'X-Attempt-Id', b'r1')], True, True),
    ],
)
def test_answer_facts(status, headers, not_run, own):
    """Guards against a wrong "not run" and answers to other requests."""
    facts = DIALECT.decode_answer('r1', status, headers)
    assert (facts.not_run, facts.matches_request) == (not_run, own)


def test_refusal_headers():
    """Guards against a retry delay in the wrong unit."""
    assert dict(DIALECT.refusal_headers('r1', 0.25)) == {
        'X-Attempt-Id': 'r1',
        'Retry-After': '0.250',
    }
    assert DIALECT.refusal_headers('', None) == []


def test_only_a_refusal_answers_a_request_without_an_id():
    """Guards against a foreign answer to a request without an id."""
    refusal = [(b'X-Not-Executed', b'1')]
    assert DIALECT.decode_answer('', 400, refusal).matches_request
    assert not DIALECT.decode_answer('', 200, []).matches_request


def test_a_seal_that_is_not_forwarded_does_not_count():
    """Guards against a success that reaches its caller without a seal."""
    headers = [(b'X-Upstream-Seal', b's'), (b'Connection', b'X-Upstream-Seal')]
    assert not DIALECT.decode_answer('r1', 200, headers).sealed
    assert DIALECT.decode_answer('r1', 200, headers[:1]).sealed


def decode_limit(status, *headers):
    """Returns the limit in the notice of an answer to request ``r1``."""
    echo = (b'X-Attempt-Id', b'r1')
    return DIALECT.decode_answer('r1', status, [echo, *headers]).notice


SEALED = (b'X-Upstream-Seal', b's')


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    [
        (b'1.4', 1.4),
        (b' 0.1 ', 0.1),
        (b'0', 0.0),
        (b'-3', 0.0),
        (b'1e400', math.inf),
        (b'nan', None),
        (b'', None),
        (b'few', None),
        (b'9' * 5000, math.inf),
    ],
)
def test_a_limit_is_decoded(text, limit_per_s):
    """Guards against a limit that is not read, or that fails an attempt."""
    notice = decode_limit(200, SEALED, (b'Server-Limit', text))
    assert notice.limit_per_s == limit_per_s


def test_a_limit_stands_in_any_answer():
    """Guards against limits that only successful answers carry."""
    refusal = [
        (b'X-Not-Executed', b'1'),
        (b'Retry-After', b'2'),
        (b'Server-Leaving', b'1'),
        (b'Server-Limit', b'0.5'),
    ]
    assert decode_limit(503, *refusal) == api.TargetNotice(True, 2.0, 0.5)
    assert decode_limit(500, (b'Server-Limit', b'2')).limit_per_s == 2.0


def test_only_a_proper_answer_shows_that_there_is_no_limit():
    """Guards against a spoilt answer that ends a limit."""
    assert decode_limit(200, SEALED).limit_per_s == math.inf
    assert decode_limit(200) == api.NO_NOTICE
    assert decode_limit(503, (b'X-Not-Executed', b'1')) == api.NO_NOTICE
    assert decode_limit(421, (b'Server-Limit', b'2')) == api.NO_NOTICE
    other = [(b'X-Attempt-Id', b'r2'), SEALED, (b'Server-Limit', b'2')]
    assert DIALECT.decode_answer('r1', 200, other).notice == api.NO_NOTICE
