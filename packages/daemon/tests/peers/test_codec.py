"""Tests of the codec of datagrams and of the replay protection."""

import hypothesis
from hypothesis import strategies
import pytest

from dotterelweir_core.membership import dissemination
from dotterelweir_core.membership import messages
from dotterelweir_core.targets import model
from dotterelweird.peers import codec
from dotterelweird.peers import digests
from dotterelweird.peers import replay

KEY = 'first key of 16+ bytes'
OTHER = 'other key of 16+ bytes'
NOW_S = 1.8e9

NAMES = strategies.text(
    strategies.characters(exclude_categories=['Cs']), min_size=1, max_size=16
)
# The greatest values have no zero byte, which makes them longest.
INCARNATIONS = strategies.integers(0, 2**63 - 2)
OFFSETS = strategies.integers(-1, 2**63 - 1)
MEMBERS = strategies.builds(
    messages.Member,
    NAMES,
    NAMES,
    NAMES,
    strategies.integers(0, 65535),
    INCARNATIONS,
    strategies.sampled_from(messages.MemberState),
)
LEAVING = strategies.builds(
    messages.Leaving, NAMES, INCARNATIONS, strategies.integers(0, 2**32 - 1)
)
REPORTS = strategies.builds(
    model.LoadReport,
    NAMES,
    INCARNATIONS,
    strategies.sampled_from(model.TargetState),
    strategies.integers(0, 65535),
    strategies.integers(0, 65535),
    strategies.integers(0, 2**32 - 1),
    strategies.integers(0, 2**32 - 1),
    strategies.integers(0, 2**41).map(lambda ms: ms / 1000),
)


def tuples(items):
    return strategies.lists(items, max_size=5).map(tuple)


DATAGRAMS = strategies.builds(
    messages.Datagram,
    strategies.sampled_from(messages.Kind),
    NAMES,
    INCARNATIONS,
    OFFSETS,
    strategies.integers(0, 2**32 - 1),
    strategies.booleans(),
    strategies.none() | MEMBERS,
    NAMES | strategies.just(''),
    OFFSETS,
    NAMES | strategies.just(''),
    strategies.integers(0, 2**64 - 1),
    tuples(MEMBERS),
    tuples(LEAVING),
    tuples(REPORTS),
)
NUMBERS = strategies.integers(0, 2**64 - 1)
ENVELOPES = strategies.builds(
    codec.Envelope, NUMBERS, NUMBERS, NUMBERS, DATAGRAMS
)


def envelope(sequence=1, boot=1, sent_s=NOW_S, sender='i1'):
    datagram = messages.Datagram(messages.Kind.PING, sender, 5)
    return codec.Envelope(boot, sequence, int(sent_s * 1000), datagram)


def drop_reason(call, *args):
    with pytest.raises(codec.DatagramRejectedError) as caught:
        call(*args)
    return caught.value.reason


@hypothesis.given(ENVELOPES)
def test_round_trip_within_the_size_bound(sent):
    """Guards against lost fields and a bound below the real size."""
    subject = codec.Codec((KEY,))
    data = subject.encode(sent)
    datagram = sent.datagram
    bound = (
        messages.header_bytes(datagram)
        + sum(map(messages.member_bytes, datagram.members))
        + sum(map(messages.leaving_bytes, datagram.leaving))
        + sum(map(messages.report_bytes, datagram.reports))
    )
    assert len(data) <= bound
    if len(data) <= messages.DATAGRAM_MAX_BYTES:
        received = subject.decode(data)
        assert received == sent
        # The age is not part of the identity of the news.
        assert [news.age_s for news in received.datagram.leaving] == [
            news.age_s for news in datagram.leaving
        ]


@hypothesis.given(strategies.binary(max_size=1300))
def test_any_bytes_are_rejected(data):
    """Guards against an unexpected exception on arbitrary bytes."""
    with pytest.raises(codec.DatagramRejectedError):
        codec.Codec((KEY,)).decode(data)


@hypothesis.given(strategies.binary(max_size=1100))
def test_any_signed_bytes_raise_only_a_rejection(body):
    """Guards against an unexpected exception on a malformed body."""
    check_signed(body)


@hypothesis.given(ENVELOPES, strategies.data())
def test_mutated_signed_body_raises_only_a_rejection(sent, data):
    """Guards against pointers and texts that the reader trusts."""
    whole = codec.Codec((KEY,)).encode(sent)
    body = bytearray(whole[messages.PREFIX_BYTES :])
    for _ in range(data.draw(strategies.integers(1, 6))):
        at = data.draw(strategies.integers(0, len(body) - 1))
        body[at] = data.draw(strategies.integers(0, 255))
    check_signed(bytes(body[: data.draw(strategies.integers(1, len(body)))]))


def check_signed(body):
    signed = bytes([codec.VERSION]) + body
    digest = digests.Digests((KEY,), b'datagram').sign(signed)
    try:
        codec.Codec((KEY,)).decode(signed[:1] + digest + signed[1:])
    except codec.DatagramRejectedError as error:
        assert error.reason in (codec.Drop.MALFORMED, codec.Drop.SIZE)


@hypothesis.given(ENVELOPES, strategies.data())
def test_truncated_datagram_is_rejected(sent, data):
    """Guards against a datagram that was cut and still counts."""
    whole = codec.Codec((KEY,)).encode(sent)
    end = data.draw(strategies.integers(0, len(whole) - 1))
    with pytest.raises(codec.DatagramRejectedError):
        codec.Codec((KEY,)).decode(whole[:end])


def test_foreign_version_and_key():
    """Guards against datagrams of another version or another group."""
    data = codec.Codec((KEY,)).encode(envelope())
    foreign = bytes([codec.VERSION + 1]) + data[1:]
    decode = codec.Codec((KEY,)).decode
    assert drop_reason(decode, foreign) is codec.Drop.VERSION
    decode = codec.Codec((OTHER,)).decode
    assert drop_reason(decode, data) is codec.Drop.DIGEST
    changed = data[:-1] + bytes([data[-1] ^ 1])
    decode = codec.Codec((KEY,)).decode
    assert drop_reason(decode, changed) is codec.Drop.DIGEST


@pytest.mark.parametrize(
    ('sender', 'receiver'),
    [
        ((KEY,), (KEY, OTHER)),
        ((KEY, OTHER), (KEY,)),
        ((KEY, OTHER), (OTHER, KEY)),
        ((OTHER, KEY), (KEY, OTHER)),
        ((OTHER,), (OTHER, KEY)),
    ],
)
def test_key_rotation(sender, receiver):
    """Guards against a rotation step that cuts instances off."""
    data = codec.Codec(sender).encode(envelope())
    assert codec.Codec(receiver).decode(data) == envelope()


def test_page_of_long_names_fits():
    """Guards against a page of the full state that is too long to read."""
    members = [
        messages.Member(f'{i:064}', 'z' * 64, 'h' * 64, 65535, 2**63 - 2)
        for i in range(50)
    ]
    header = messages.Datagram(messages.Kind.SYNC, 's' * 64, 2**63 - 2)
    cursor, seen = '', []
    for _ in range(50):
        page = dissemination.build_page(header, members, (), cursor)
        sent = codec.Envelope(2**64 - 1, 2**64 - 1, 2**64 - 1, page)
        data = codec.Codec((KEY,)).encode(sent)
        assert len(data) <= messages.DATAGRAM_MAX_BYTES
        seen += codec.Codec((KEY,)).decode(data).datagram.members
        cursor = page.cursor
        if not cursor:
            break
    assert seen == members


def test_replayed_datagrams():
    """Guards against a recorded datagram that is taken again."""
    guard = replay.ReplayGuard()
    for sequence in (10, 12, 11, 12 + replay.WINDOW, 14):
        guard.check(envelope(sequence), NOW_S)
    for sequence in (11, 12 + replay.WINDOW, 14, 12, 1):
        reason = drop_reason(guard.check, envelope(sequence), NOW_S)
        assert reason is codec.Drop.REPLAYED
    guard.check(envelope(10, sender='i2'), NOW_S)


@pytest.mark.parametrize('shift_s', [-31.0, 31.0])
def test_stale_datagram(shift_s):
    """Guards against datagrams that were held back or dated ahead."""
    stale = envelope(sent_s=NOW_S + shift_s)
    reason = drop_reason(replay.ReplayGuard().check, stale, NOW_S)
    assert reason is codec.Drop.STALE


def test_restarted_sender():
    """Guards against a restart that the window of the old run blocks."""
    guard = replay.ReplayGuard()
    guard.check(envelope(900, boot=5), NOW_S)
    guard.check(envelope(1, boot=6), NOW_S + 1)
    old = envelope(901, boot=5)
    assert drop_reason(guard.check, old, NOW_S + 2) is codec.Drop.REPLAYED
    # The clock went back: taken once every datagram of the old run is stale.
    later = envelope(1, boot=4, sent_s=NOW_S + 70)
    guard.check(later, NOW_S + 70)


def test_memory_of_senders_is_bounded():
    """Guards against memory that grows with invented names."""
    guard = replay.ReplayGuard()
    for index in range(replay.SENDERS_MAX + 10):
        guard.check(envelope(sender=f'i{index}'), NOW_S)
    assert guard.senders == replay.SENDERS_MAX
