"""Tests of the sequence checks on server-sent events."""

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


def _complete_stream(count, prefix=b''):
    events = [_event(i, prefix=prefix) for i in range(count - 1)]
    return b''.join([*events, _event(count - 1, '"stop"', prefix), DONE])


def _feed(cursor, stream, cuts):
    output = []
    start = 0
    for end in [*sorted(cuts), len(stream)]:
        if cursor.complete or cursor.fault is not None:
            break
        output.append(cursor.feed(stream[start:end]))
        start = end
    return b''.join(output)


@given(
    cuts=strategies.sets(strategies.integers(0, len(_complete_stream(6)))),
    line_end=strategies.sampled_from([b'\n', b'\r\n']),
)
def test_any_chunking_gives_the_same_events(cuts, line_end):
    """Guards against events lost or merged at chunk boundaries."""
    cursor = sse.GenerationCursor(b'T.')
    stream = _complete_stream(6).replace(b'\n', line_end)
    output = _feed(cursor, stream, [min(c, len(stream)) for c in cuts])
    assert output == _complete_stream(6, b'T.')
    assert cursor.complete
    assert cursor.next_sequence == 6


CASES = {
    'duplicate': (
        [_event(0), _event(0), _event(1, '"stop"'), DONE],
        2,
        None,
    ),
    'skipped': ([_event(0), _event(2), DONE], 1, sse.ConnectionFault.GAP),
    'skipped-last': (
        [_event(0), _event(1), DONE],
        2,
        sse.ConnectionFault.INCOMPLETE,
    ),
    'engine-error': (
        [_event(0), b'event: error\ndata: {"code":"x"}\n\n', DONE],
        1,
        sse.ConnectionFault.ENGINE_ERROR,
    ),
    'no-number': (
        [_event(0), b'data: {"choices":[]}\n\n'],
        1,
        sse.ConnectionFault.MALFORMED,
    ),
    'numbered-end-mark': (
        [_event(0, '"stop"'), b'id: 1\ndata: [DONE]\n\n'],
        1,
        None,
    ),
    'end-mark-after-gap': (
        [_event(0, '"stop"'), b'id: 2\ndata: [DONE]\n\n'],
        1,
        sse.ConnectionFault.GAP,
    ),
    'comment': ([b': ping\n\n', _event(0, '"stop"'), DONE], 1, None),
}


@pytest.mark.parametrize('one_chunk', [True, False])
@pytest.mark.parametrize('case', CASES)
def test_faults_in_the_sequence_are_detected(case, one_chunk):
    """Guards against duplicate, missing or invalid events at the caller."""
    events, delivered, fault = CASES[case]
    cursor = sse.GenerationCursor(b'T.')
    stream = b''.join(events)
    cuts = []
    if not one_chunk:
        cuts = [len(b''.join(events[:i])) for i in range(1, len(events))]
    output = _feed(cursor, stream, cuts)
    assert output.count(b'id: T.') == delivered
    assert cursor.fault is fault
    assert cursor.complete is (fault is None)
    assert output.endswith(DONE) is (fault is None)


def test_a_new_connection_discards_the_partial_event():
    """Guards against a partial event that is joined to the resumed stream."""
    cursor = sse.GenerationCursor(b'T.')
    output = cursor.feed(_event(0) + _event(1)[:9])
    cursor.prepare_resume()
    output += cursor.feed(_event(1, '"stop"') + DONE)
    assert output == _complete_stream(2, b'T.')
    assert cursor.last_event_id == b'T.1'


def test_a_repeated_end_mark_completes_the_generation():
    """Guards against whole streams that never count as complete.

    Engines may omit the finish reason or leave it null in the last event.
    """
    cursor = sse.GenerationCursor(b'T.')
    cursor.feed(_event(0) + DONE)
    assert cursor.fault is sse.ConnectionFault.INCOMPLETE
    cursor.prepare_resume()
    assert cursor.feed(DONE) == DONE
    assert cursor.complete
    without_finish_reason = sse.GenerationCursor(b'T.')
    without_finish_reason.feed(
        b'id: 0\ndata: {"choices":[{"text":"x"}]}\n\n' + DONE
    )
    assert without_finish_reason.complete


def test_buffering_of_an_unterminated_event_is_bounded():
    """Guards against unbounded memory use of one stream."""
    cursor = sse.GenerationCursor(b'T.')
    for _ in range(20):
        if cursor.fault is None:
            cursor.feed(b'x' * 65_536)
    assert cursor.fault is sse.ConnectionFault.MALFORMED
