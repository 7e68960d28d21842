"""Tests of the datagram codec and the replay protection."""

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
OTHER_KEY = 'other key of 16+ bytes'
NOW_S = 1.8e9

NAMES = strategies.text(
    strategies.characters(exclude_categories=['Cs']), min_size=1, max_size=16
)
# Packing omits zero bytes, so the greatest values take the most space.
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


def tuples_of(items):
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
    tuples_of(MEMBERS),
    tuples_of(LEAVING),
    tuples_of(REPORTS),
)
NUMBERS = strategies.integers(0, 2**64 - 1)
ENVELOPES = strategies.builds(
    codec.Envelope, NUMBERS, NUMBERS, NUMBERS, DATAGRAMS
)


def make_envelope(sequence=1, boot=1, sent_s=NOW_S, sender='i1'):
    datagram = messages.Datagram(messages.Kind.PING, sender, 5)
    return codec.Envelope(boot, sequence, int(sent_s * 1000), datagram)


def drop_reason(call, *args):
    with pytest.raises(codec.DatagramRejectedError) as caught:
        call(*args)
    return caught.value.reason


@hypothesis.given(ENVELOPES)
def test_round_trip_within_the_size_bound(sent):
    """Guards against lost fields and a size bound below the actual size."""
    datagram_codec = codec.Codec((KEY,))
    data = datagram_codec.encode(sent)
    datagram = sent.datagram
    bound = (
        messages.header_bytes(datagram)
        + sum(map(messages.member_bytes, datagram.members))
        + sum(map(messages.leaving_bytes, datagram.leaving))
        + sum(map(messages.report_bytes, datagram.reports))
    )
    assert len(data) <= bound
    if len(data) <= messages.DATAGRAM_MAX_BYTES:
        received = datagram_codec.decode(data)
        assert received == sent
        # Equality of leaving notices ignores their age.
        assert [notice.age_s for notice in received.datagram.leaving] == [
            notice.age_s for notice in datagram.leaving
        ]


@hypothesis.given(strategies.binary(max_size=1300))
def test_arbitrary_bytes_are_rejected(data):
    """Guards against an unexpected exception on arbitrary bytes."""
    with pytest.raises(codec.DatagramRejectedError):
        codec.Codec((KEY,)).decode(data)


@hypothesis.given(strategies.binary(max_size=1100))
def test_arbitrary_signed_bytes_raise_only_a_rejection(body):
    """Guards against an unexpected exception on a malformed body."""
    check_signed_body(body)


@hypothesis.given(ENVELOPES, strategies.data())
def test_mutated_signed_body_raises_only_a_rejection(sent, data):
    """Guards against pointers and texts that are read without validation."""
    encoded = codec.Codec((KEY,)).encode(sent)
    body = bytearray(encoded[messages.PREFIX_BYTES :])
    for _ in range(data.draw(strategies.integers(1, 6))):
        position = data.draw(strategies.integers(0, len(body) - 1))
        body[position] = data.draw(strategies.integers(0, 255))
    check_signed_body(
        bytes(body[: data.draw(strategies.integers(1, len(body)))])
    )


def check_signed_body(body):
    signed = bytes([codec.VERSION]) + body
    digest = digests.KeyedDigests((KEY,), b'datagram').sign(signed)
    try:
        codec.Codec((KEY,)).decode(signed[:1] + digest + signed[1:])
    except codec.DatagramRejectedError as error:
        assert error.reason in (
            codec.DropReason.MALFORMED,
            codec.DropReason.SIZE,
        )


@hypothesis.given(ENVELOPES, strategies.data())
def test_truncated_datagram_is_rejected(sent, data):
    """Guards against a truncated datagram that is accepted."""
    encoded = codec.Codec((KEY,)).encode(sent)
    end = data.draw(strategies.integers(0, len(encoded) - 1))
    with pytest.raises(codec.DatagramRejectedError):
        codec.Codec((KEY,)).decode(encoded[:end])


def test_other_versions_and_keys_are_rejected():
    """Guards against accepting datagrams of another version or group."""
    data = codec.Codec((KEY,)).encode(make_envelope())
    other_version = bytes([codec.VERSION + 1]) + data[1:]
    decode = codec.Codec((KEY,)).decode
    assert drop_reason(decode, other_version) is codec.DropReason.VERSION
    decode = codec.Codec((OTHER_KEY,)).decode
    assert drop_reason(decode, data) is codec.DropReason.DIGEST
    changed = data[:-1] + bytes([data[-1] ^ 1])
    decode = codec.Codec((KEY,)).decode
    assert drop_reason(decode, changed) is codec.DropReason.DIGEST


@pytest.mark.parametrize(
    ('sender', 'receiver'),
    [
        ((KEY,), (KEY, OTHER_KEY)),
        ((KEY, OTHER_KEY), (KEY,)),
        ((KEY, OTHER_KEY), (OTHER_KEY, KEY)),
        ((OTHER_KEY, KEY), (KEY, OTHER_KEY)),
        ((OTHER_KEY,), (OTHER_KEY, KEY)),
    ],
)
def test_key_rotation(sender, receiver):
    """Guards against a rotation step after which datagrams are rejected."""
    data = codec.Codec(sender).encode(make_envelope())
    assert codec.Codec(receiver).decode(data) == make_envelope()


def test_page_of_long_names_fits():
    """Guards against a page of members that exceeds the size of a datagram."""
    members = [
        messages.Member(f'{i:064}', 'z' * 64, 'h' * 64, 65535, 2**63 - 2)
        for i in range(50)
    ]
    header = messages.Datagram(messages.Kind.SYNC, 's' * 64, 2**63 - 2)
    cursor, received_members = '', []
    for _ in range(50):
        page = dissemination.build_page(header, members, (), cursor)
        sent = codec.Envelope(2**64 - 1, 2**64 - 1, 2**64 - 1, page)
        data = codec.Codec((KEY,)).encode(sent)
        assert len(data) <= messages.DATAGRAM_MAX_BYTES
        received_members += codec.Codec((KEY,)).decode(data).datagram.members
        cursor = page.cursor
        if not cursor:
            break
    assert received_members == members


def test_replayed_datagrams_are_rejected():
    """Guards against a recorded datagram that is accepted again."""
    guard = replay.ReplayGuard()
    for sequence in (10, 12, 11, 12 + replay.WINDOW_DATAGRAMS, 14):
        guard.check(make_envelope(sequence), NOW_S)
    for sequence in (11, 12 + replay.WINDOW_DATAGRAMS, 14, 12, 1):
        reason = drop_reason(guard.check, make_envelope(sequence), NOW_S)
        assert reason is codec.DropReason.REPLAYED
    guard.check(make_envelope(10, sender='i2'), NOW_S)


@pytest.mark.parametrize('shift_s', [-31.0, 31.0])
def test_stale_datagrams_are_rejected(shift_s):
    """Guards against accepting datagrams that are delayed or dated ahead."""
    stale_envelope = make_envelope(sent_s=NOW_S + shift_s)
    reason = drop_reason(replay.ReplayGuard().check, stale_envelope, NOW_S)
    assert reason is codec.DropReason.STALE


def test_a_restarted_sender_is_accepted():
    """Guards against rejecting a sender by the window of its earlier run."""
    guard = replay.ReplayGuard()
    guard.check(make_envelope(900, boot=5), NOW_S)
    guard.check(make_envelope(1, boot=6), NOW_S + 1)
    old_envelope = make_envelope(901, boot=5)
    assert (
        drop_reason(guard.check, old_envelope, NOW_S + 2)
        is codec.DropReason.REPLAYED
    )
    # After the clock of the sender was set back, it is accepted once every
    # datagram of the earlier run is stale.
    new_envelope = make_envelope(1, boot=4, sent_s=NOW_S + 70)
    guard.check(new_envelope, NOW_S + 70)


def test_remembered_senders_are_bounded():
    """Guards against memory that grows with invented names of senders."""
    guard = replay.ReplayGuard()
    for index in range(replay.SENDERS_MAX + 10):
        guard.check(make_envelope(sender=f'i{index}'), NOW_S)
    assert guard.sender_count == replay.SENDERS_MAX
