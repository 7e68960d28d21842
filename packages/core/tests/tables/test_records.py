"""Tests of the format of configuration records."""

import json

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from dotterelweir_core.tables import fold
from dotterelweir_core.tables import model
from dotterelweir_core.tables import records
from dotterelweir_core.targets import model as targets_model

EDIT = records.EditRecord(
    edit_id='e1',
    read_offset=7,
    put_routes=(
        model.Route(
            'r',
            model.Match('/v1/', ('m',), ('o',)),
            'p',
            priority=0,
            max_output_tokens=5,
            organisation_limit_tokens_per_s=1.5,
            key_format=model.KeyFormat.UUID7,
        ),
    ),
    put_pools=(
        model.Pool('p', targets_model.TargetKind.ENGINE, 's', model='m'),
    ),
    delete_routes=('old',),
    delete_pools=('older',),
)
CHECKPOINT = records.CheckpointRecord(3, 'ab', b'\x00\xff')


@pytest.mark.parametrize('record', [EDIT, CHECKPOINT])
def test_records_round_trip(record):
    """Guards against fields that are lost or changed by the encoding."""
    assert records.decode(records.encode(record)) == record


def changed(record, **fields):
    document = orjson.loads(records.encode(record))
    document.update(fields)
    return orjson.dumps(document)


ROUTE = {'name': 'r', 'match': {}, 'pool': 'p'}


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (b'', 'not JSON'),
        (b'\xff\xfe', 'not JSON'),
        (records.encode(EDIT)[:-1], 'not JSON'),
        (b'[]', 'not a JSON object'),
        (b'[' * 100_000, 'not JSON'),
        (changed(EDIT, version=2), 'unknown version'),
        (changed(EDIT, version=True), 'unknown version'),
        (changed(EDIT, kind='rename'), 'unknown kind'),
        (changed(EDIT, kind=['edit']), 'unknown kind'),
        (changed(EDIT, later_field=1), 'extra fields'),
        (changed(EDIT, edit_id=''), 'edit_id'),
        (changed(EDIT, edit_id=None), 'edit_id'),
        (changed(EDIT, read_offset=-2), 'read_offset'),
        (changed(EDIT, read_offset=1.0), 'read_offset'),
        (changed(EDIT).replace(b':7,', b':%d,' % 2**70), 'read_offset'),
        (changed(EDIT, delete_routes='abc'), 'delete_routes'),
        (changed(EDIT, delete_routes=[1]), 'delete_routes'),
        (changed(EDIT, put_routes=['r']), 'put_routes'),
        (changed(EDIT, put_routes=[{**ROUTE, 'repeatable': 'no'}]), 'repeat'),
        (changed(EDIT, put_routes=[{**ROUTE, 'key_format': 'x'}]), 'key_for'),
        (changed(CHECKPOINT, state='%'), 'base64'),
        (changed(CHECKPOINT, state=1), 'base64'),
        (changed(CHECKPOINT, covers_offset=-2), 'covers_offset'),
    ],
)
def test_unreadable_records_give_a_typed_error(data, reason):
    """Guards against a corrupt record that stops every instance."""
    with pytest.raises(records.UnreadableRecordError, match=reason):
        records.decode(data)


def test_every_wrong_field_of_a_record_is_named():
    """Guards against decoding that stops at the first invalid field."""
    route = {'name': 1, 'match': {}, 'pool': 'p', 'priority': 'high'}
    data = changed(EDIT, put_routes=[route], read_offset='x')
    with pytest.raises(records.UnreadableRecordError) as caught:
        records.decode(data)
    for field in ('name', 'priority', 'read_offset'):
        assert field in str(caught.value)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.sampled_from([EDIT, CHECKPOINT]), st.data())
def test_any_record_is_decoded_or_skipped(record, data):
    """Guards against a record that stops the fold with another error."""
    row = document = orjson.loads(records.encode(record))
    if record is EDIT and data.draw(st.booleans()):
        name = data.draw(st.sampled_from(['put_routes', 'put_pools']))
        row = document[name][0]
        row = row.get('match', row) if data.draw(st.booleans()) else row
    row[data.draw(st.sampled_from(sorted(row)))] = data.draw(JSON)
    # Unlike orjson, json encodes integers of any size and lone surrogates.
    encoded = json.dumps(document).encode()
    result = fold.fold(fold.TablesState(), 0, encoded)
    kinds = fold.EditResult | fold.SkippedRecord | records.CheckpointRecord
    assert isinstance(result, kinds)
