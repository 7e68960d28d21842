"""Tests of the ends of targets that instances share."""

from dotterelweir_core.gateway import engine_ends


def report(target_id, *keys, age_s=0.0, started_ms=0):
    return engine_ends.EndReport(target_id, started_ms, frozenset(keys), age_s)


def test_reports_of_one_end_are_merged():
    """Guards against an end that counts once for each instance."""
    ends = engine_ends.EndRegistry()
    assert ends.apply(report('shop-1', 'a'), 10.0)
    assert ends.apply(report('shop-1', 'b', age_s=0.5), 10.6)
    assert not ends.apply(report('shop-1', 'a', age_s=2.0), 12.0)
    (end,) = ends
    assert end.keys == {'a', 'b'}


def test_the_ends_of_two_starts_are_two():
    """Guards against targets that start again and are taken for one end."""
    ends = engine_ends.EndRegistry()
    ends.apply(report('shop-1', 'a'), 10.0)
    ends.apply(report('shop-1', 'a', started_ms=5), 10.5)
    ends.apply(report('shop-1', 'a', started_ms=5), 20.0)
    assert len(ends) == 3


def test_the_memory_of_ends_is_bounded():
    """Guards against callers that end targets with ever new requests."""
    ends = engine_ends.EndRegistry()
    for number in range(1000):
        keys = [f'{number}-{n}' for n in range(200)]
        ends.apply(report(f'shop-{number}', *keys), number / 10.0)
    assert len(ends) <= 256
    assert all(len(end.keys) <= 128 for end in ends)
    ends.expire(10_000.0)
    assert len(ends) == 0


def test_the_key_tells_path_caller_and_body_apart():
    """Guards against sound requests that share a part with another."""
    keys = {
        engine_ends.request_key('h', '/a', 'org', b'x'),
        engine_ends.request_key('h', '/b', 'org', b'x'),
        engine_ends.request_key('h', '/a', 'other', b'x'),
        engine_ends.request_key('h', '/a', 'org', b'y'),
        engine_ends.request_key('h', '/a', '', b'orgx'),
    }
    assert len(keys) == 5
