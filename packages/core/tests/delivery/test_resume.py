"""Tests of event ids."""

import pytest

from dotterelweir_core import errors
from dotterelweir_core.delivery import resume

OLD = 'old-key-of-16-bytes'
NEW = 'new-key-of-16-bytes'
REF = resume.GenerationRef('engine-3', 2**40 + 1, 'abc.def')


def _decode_error_kind(codec, event_id, organisation='acme'):
    with pytest.raises(errors.DotterelweirError) as caught:
        codec.decode(event_id, organisation)
    return caught.value.kind


def test_both_keys_are_accepted_during_a_rotation():
    """Guards against streams that cannot be resumed after a key change."""
    event_id = (
        resume.ResumeCodec([OLD]).encode_resume_token(REF, 'acme') + '.41'
    )
    codec = resume.ResumeCodec([NEW, OLD])
    assert codec.decode(event_id, 'acme') == resume.Position(REF, 41)
    first = codec.encode_resume_token(REF, 'acme') + '.-1'
    assert resume.ResumeCodec([NEW]).decode(first, 'acme').sequence == -1


def test_an_id_of_another_organisation_is_refused():
    """Guards against reading the stream of another organisation."""
    codec = resume.ResumeCodec([NEW])
    event_id = codec.encode_resume_token(REF, 'acme') + '.0'
    kind = _decode_error_kind(codec, event_id, 'acme2')
    assert kind is errors.ErrorKind.RESUME_FORBIDDEN


def test_altered_ids_are_invalid():
    """Guards against forged ids and crashes on malformed input."""
    codec = resume.ResumeCodec([NEW])
    resume_token = codec.encode_resume_token(REF, 'acme')
    invalid_ids = [
        '',
        '.',
        '.0',
        'é.0',
        resume_token,
        f'{resume_token}.',
        f'{resume_token}.x',
    ]
    invalid_ids += [
        f'{resume_token}.-2',
        f'{resume_token}.{"9" * 40}',
        'A' * 4000 + '.1',
    ]
    invalid_ids += [f'{resume_token[:n]}.0' for n in range(len(resume_token))]
    for position in range(len(resume_token)):
        other = 'A' if resume_token[position] != 'A' else 'B'
        invalid_ids.append(
            f'{resume_token[:position]}{other}{resume_token[position + 1 :]}.0'
        )
    invalid_ids.append(
        resume.ResumeCodec([OLD]).encode_resume_token(REF, 'acme') + '.0'
    )
    for event_id in invalid_ids:
        kind = _decode_error_kind(codec, event_id)
        assert kind is errors.ErrorKind.RESUME_INVALID, event_id
