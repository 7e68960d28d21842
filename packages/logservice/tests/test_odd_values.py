"""Tests of odd values in the log and the instance list."""

import orjson
import pytest

from dotterelweir_core.tables import checkpoint
from dotterelweir_core.tables import fold
from dotterelweir_core.tables import records
from dotterelweir_logservice import http

DEEP = b'[' * 1000 + b']' * 1000
ROW = {
    'target_id': 't',
    'incarnation': 1,
    'service': 's',
    'zone': 'z',
    'host': '10.0.0.1',
    'port': 1,
    'state': 'live',
}


def encode_with_raw(document, name, raw):
    rest = {key: part for key, part in document.items() if key != name}
    encoded = orjson.dumps(rest)[:-1]
    return encoded + b',"' + name.encode() + b'":' + raw + b'}'


@pytest.mark.parametrize(
    'name', ['version', 'kind', 'edit_id', 'read_offset', 'put_routes']
)
@pytest.mark.parametrize('raw', [DEEP, b'"' + b'x' * 5_000 + b'"', b'1e308'])
def test_an_odd_record_is_skipped(name, raw):
    """Guards against one record of the log that ends its readers."""
    edit = orjson.loads(records.encode(records.EditRecord('e', -1)))
    data = encode_with_raw(edit, name, raw)
    replay = checkpoint.LogReplay(0)
    replay.add(0, data)
    replay.finish()
    [skipped] = replay.skipped
    assert isinstance(skipped, fold.SkippedRecord)
    with pytest.raises(records.UnreadableRecordError) as caught:
        records.decode(data)
    assert len(str(caught.value)) <= 2_000


class _Client:
    def __init__(self, document):
        self.document = document

    async def request(self, *args, **options):
        return None

    def decode_json(self, response):
        return self.document


@pytest.mark.parametrize('name', sorted(ROW))
@pytest.mark.parametrize('raw', [DEEP, b'18446744073709551615', b'-1', b'[]'])
async def test_an_odd_row_does_not_hide_the_others(name, raw):
    """Guards against an instance list that one row makes unreadable."""
    instances = http.HttpInstanceList(None, 'http://127.0.0.1:1', 1.0)
    odd = orjson.loads(encode_with_raw(ROW, name, raw))
    instances._client = _Client([odd, ROW])
    [listed] = await instances.fetch()
    assert listed.target.target_id == 't'
