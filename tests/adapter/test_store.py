"""Parsing of the answers of the platform's store."""

import contextlib
import struct

import aiohttp
from aiohttp import web
import orjson
import pytest

from dotterelweir_platform import store
from dotterelweird.gateway import api
from dotterelweird.gateway import settings as gateway_settings

READ_HEADER = struct.pack('>QQ', 9, 0)


def encode_record(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack('>I', len(content)) + content


@contextlib.asynccontextmanager
async def store_with_answers(bodies, eras):
    """Runs a store that sends the given answers in order; yields a client.

    Args:
        bodies: Bodies of the answers.
        eras: Eras in the headers of the answers; no header if empty.
    """
    answers = iter(zip(bodies, eras, strict=True))

    async def answer(request):
        body, era = next(answers)
        headers = {'Store-Era': era} if era else {}
        return web.Response(body=body, headers=headers)

    async with store_that_answers(answer) as client:
        yield client


@contextlib.asynccontextmanager
async def store_that_answers(answer):
    """Runs a store with the given handler of requests; yields a client."""
    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    address = gateway_settings.Address(*runner.addresses[0][:2])
    try:
        async with aiohttp.ClientSession() as session:
            yield store.PlatformStore(session, address)
    finally:
        await runner.cleanup()


def test_records_are_numbered_from_the_requested_offset():
    """Guards against off-by-one offsets."""
    body = READ_HEADER + encode_record(b'a', b'1') + encode_record(b'b', b'')
    batch = store.parse_records(body, 7)
    assert batch.records == (
        api.Record('a', b'1', 7),
        api.Record('b', None, 8),
    )
    assert batch.end == 9


def test_a_partial_read_reports_more_records():
    """Guards against available records that are left unread."""
    head = struct.pack('>QQ', 9, 0)
    assert store.parse_records(head + encode_record(b'a', b'1'), 7).has_more
    assert not store.parse_records(
        head + encode_record(b'a', b'1'), 8
    ).has_more


def test_an_empty_read_keeps_the_offset():
    """Guards against records that are skipped after an empty read."""
    assert store.parse_records(READ_HEADER, 7) == api.Batch((), 7)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        READ_HEADER[:9],
        READ_HEADER + b'\x00\x00',
        READ_HEADER + encode_record(b'a', b'1')[:-1],
        READ_HEADER + struct.pack('>I', 0),
    ],
)
def test_a_truncated_body_is_rejected(body):
    """Guards against a truncated answer that passes for a short one."""
    with pytest.raises(api.StoreUnavailable):
        store.parse_records(body, 7)


@pytest.mark.parametrize(
    ('text', 'era'), [('7', 7), ('', 0), ('x', 0), ('-1', 0), ('²', 0)]
)
async def test_a_batch_has_the_era_of_its_answer(text, era):
    """Guards against offsets of one era that are used in another."""
    async with store_with_answers([READ_HEADER], [text]) as client:
        batch = await client.read(api.StoreStream.TARGETS, 7)
    assert batch.era == era


@pytest.mark.parametrize(
    'key',
    [b'"\xff\xfe"', b'"\\udcff\\udcfe"', b'"\\ud800"', b'""', b'"a\\u0000"'],
)
async def test_a_key_that_is_not_text_does_not_hide_a_page(key):
    """Guards against a snapshot that one odd key makes unreadable."""
    page = (
        b'{"items":[{"key":"a","value":"eA==","offset":1},{"key":%b,'
        b'"value":"eA==","offset":2}],"hasMore":%b,"end":3}'
    )
    pages = [page % (key, b'true'), page % (b'"z"', b'false')]
    async with store_with_answers(pages, ['', '']) as client:
        batch = await client.read_snapshot(api.StoreStream.TARGETS)
    assert [record.key for record in batch.records][::3] == ['a', 'z']


def test_a_key_has_the_same_name_in_snapshots_and_reads():
    """Guards against a removal that does not name the entry it removes."""
    body = READ_HEADER + encode_record(b'\xff', b'1')
    page = b'{"items":[{"key":"\xff","value":"MQ==","offset":7}],'
    page += b'"hasMore":false,"end":8}'
    assert store.parse_records(body, 7).records == tuple(
        store.parse_page(page)['records']
    )


async def test_the_next_page_begins_after_the_bytes_of_the_last_key():
    """Guards against a page that is read again without end."""
    queries = []

    async def answer(request):
        queries.append(request.rel_url.raw_query_string)
        more = b'true' if len(queries) < 2 else b'false'
        return web.Response(
            body=b'{"items":[{"key":"\xffa b","value":"","offset":1}],'
            b'"hasMore":%b,"end":2}' % more
        )

    async with store_that_answers(answer) as client:
        await client.read_snapshot(api.StoreStream.TARGETS)
    assert queries[1].endswith('&after=%FFa+b')


async def test_pages_that_do_not_advance_are_rejected():
    """Guards against a snapshot that grows until the memory is full."""
    page = (
        b'{"items":[{"key":"a","value":"","offset":1}],"hasMore":true,"end":2}'
    )
    async with store_with_answers([page] * 9, [''] * 9) as client:
        with pytest.raises(api.StoreUnavailable, match='sent twice'):
            await client.read_snapshot(api.StoreStream.TARGETS)


async def test_pages_of_two_eras_are_rejected():
    """Guards against a snapshot that mixes records of two eras."""
    page = orjson.dumps(
        {
            'items': [{'key': 'a', 'value': '', 'offset': 1}],
            'hasMore': True,
            'end': 2,
        }
    )
    async with store_with_answers([page, page], ['1', '2']) as client:
        with pytest.raises(api.StoreUnavailable):
            await client.read_snapshot(api.StoreStream.TARGETS)


async def test_a_snapshot_ends_where_its_first_page_ended():
    """Guards against unread records that were written between two pages."""
    item = {'key': 'a', 'value': '', 'offset': 1}
    pages = [
        orjson.dumps({'items': [item], 'hasMore': True, 'end': 2}),
        orjson.dumps(
            {'items': [item | {'key': 'z'}], 'hasMore': False, 'end': 5}
        ),
    ]
    async with store_with_answers(pages, ['', '']) as client:
        batch = await client.read_snapshot(api.StoreStream.TABLES)
    assert batch.end == 2
