"""Tests of the sequence check of server-sent events."""

from hypothesis import given
from hypothesis import strategies
import pytest

from dotterelweir_core.delivery import sse

DONE = b'data: [DONE]\n\n'


def _event(number, reason='null', prefix=b''):
    body = b'{"choices":[{"delta":{"content":" t%d"},"finish_reason":%s}]}' % (
        number,
        reason.encode(),
    )
    return b'id: %s%d\ndata: %s\n\n' % (prefix, number, body)


def _whole(count, prefix=b''):
    events = [_event(i, prefix=prefix) for i in range(count - 1)]
    return b''.join([*events, _event(count - 1, '"stop"', prefix), DONE])


def _feed(cursor, stream, cuts):
    out = []
    start = 0
    for end in [*sorted(cuts), len(stream)]:
        if cursor.complete or cursor.fault is not None:
            break
        out.append(cursor.feed(stream[start:end]))
        start = end
    return b''.join(out)


@given(
    cuts=strategies.sets(strategies.integers(0, len(_whole(6)))),
    line_end=strategies.sampled_from([b'\n', b'\r\n']),
)
def test_any_chunking_gives_the_same_events(cuts, line_end):
    """Guards against events that are lost or merged at chunk borders."""
    cursor = sse.GenerationCursor(b'T.')
    stream = _whole(6).replace(b'\n', line_end)
    out = _feed(cursor, stream, [min(c, len(stream)) for c in cuts])
    assert out == _whole(6, b'T.')
    assert cursor.complete
    assert cursor.next_sequence == 6


CASES = {
    'duplicate': (
        [_event(0), _event(0), _event(1, '"stop"'), DONE],
        2,
        None,
    ),
    'skipped': ([_event(0), _event(2), DONE], 1, sse.LinkFault.GAP),
    'skipped-last': (
        [_event(0), _event(1), DONE],
        2,
        sse.LinkFault.INCOMPLETE,
    ),
    'engine-error': (
        [_event(0), b'event: error\ndata: {"code":"x"}\n\n', DONE],
        1,
        sse.LinkFault.ENGINE_ERROR,
    ),
    'no-number': (
        [_event(0), b'data: {"choices":[]}\n\n'],
        1,
        sse.LinkFault.MALFORMED,
    ),
    'numbered-end-mark': (
        [_event(0, '"stop"'), b'id: 1\ndata: [DONE]\n\n'],
        1,
        None,
    ),
    'end-mark-after-gap': (
        [_event(0, '"stop"'), b'id: 2\ndata: [DONE]\n\n'],
        1,
        sse.LinkFault.GAP,
    ),
    'comment': ([b': ping\n\n', _event(0, '"stop"'), DONE], 1, None),
}


@pytest.mark.parametrize('one_chunk', [True, False])
@pytest.mark.parametrize('case', CASES)
def test_sequence_faults(case, one_chunk):
    """Guards against repeated, missing or foreign events at the caller."""
    events, delivered, fault = CASES[case]
    cursor = sse.GenerationCursor(b'T.')
    stream = b''.join(events)
    cuts = []
    if not one_chunk:
        cuts = [len(b''.join(events[:i])) for i in range(1, len(events))]
    out = _feed(cursor, stream, cuts)
    assert out.count(b'id: T.') == delivered
    assert cursor.fault is fault
    assert cursor.complete is (fault is None)
    assert out.endswith(DONE) is (fault is None)


def test_a_new_link_forgets_the_partial_event():
    """Guards against half an event that is glued to the resumed stream."""
    cursor = sse.GenerationCursor(b'T.')
    out = cursor.feed(_event(0) + _event(1)[:9])
    cursor.start_link()
    out += cursor.feed(_event(1, '"stop"') + DONE)
    assert out == _whole(2, b'T.')
    assert cursor.last_event_id == b'T.1'


def test_an_engine_that_repeats_the_end_is_believed():
    """Guards against whole answers that never count as complete."""
    cursor = sse.GenerationCursor(b'T.')
    cursor.feed(_event(0) + DONE)
    assert cursor.fault is sse.LinkFault.INCOMPLETE
    cursor.start_link()
    assert cursor.feed(DONE) == DONE
    assert cursor.complete
    plain = sse.GenerationCursor(b'T.')
    plain.feed(b'id: 0\ndata: {"choices":[{"text":"x"}]}\n\n' + DONE)
    assert plain.complete


def test_an_event_without_an_end_is_not_buffered_for_ever():
    """Guards against unbounded memory for one stream."""
    cursor = sse.GenerationCursor(b'T.')
    for _ in range(20):
        if cursor.fault is None:
            cursor.feed(b'x' * 65_536)
    assert cursor.fault is sse.LinkFault.MALFORMED
