"""Fuzz tests of everything that is decoded from outside the process.

Whatever is received, a decoder raises only its declared errors, and what it
returns is within bounds.
"""

import base64
import ipaddress
import os
import random
import struct

import attrs
import hypothesis
from hypothesis import strategies
import orjson
import pytest
import yarl

from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import tables
from dotterelweir_core.gateway import targets
from dotterelweir_platform import configuration
from dotterelweir_platform import registrations
from dotterelweir_platform import store
from dotterelweir_platform import wire
from dotterelweird.gateway import api
from dotterelweird.gateway import digests
from dotterelweird.gateway import settings as gateway_settings

# Number of cases per test, set by ``make fuzz``, which draws other cases for
# each of its seeds. Without it the cases are the same in every run.
FUZZ_CASES = os.environ.get('FUZZ_CASES')
CASES = hypothesis.settings(
    max_examples=int(FUZZ_CASES or 300),
    deadline=None,
    derandomize=FUZZ_CASES is None,
)

REGISTRATION = {
    'service': 'model',
    'addr': '10.0.0.1:8000',
    'zone': 'a',
    'version': '1',
    'slots': 24,
    'state': 'ready',
    'warmupLeftMs': 0,
    'seq': 1,
    'born': 1_780_000_000_000,
}
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'r',
            'host': 'shop.example',
            'pathPrefix': '/a',
            'kind': 'stream',
            'timeoutMs': 3000,
            'targetLatencyMs': 300,
            'service': 'model',
            'priority': 2,
        }
    ],
    'services': [
        {'name': 'model', 'engine': {'slots': 24, 'kvTokens': 30_000}}
    ],
    'tenants': [{'name': 'o', 'keys': ['k'], 'priority': 1}],
    'limits': {'headerBytes': 8192},
}

# Strings that resemble numbers or addresses but are invalid, unusual or out of
# range.
UNUSUAL_STRINGS = strategies.sampled_from(
    [
        '',
        '²',
        '١',
        'nan',
        'inf',
        '-inf',
        '1e400',
        '1e300',
        '-1',
        '1e18',
        '9' * 25,
        '9' * 5000,
        '0x10',
        '1_000',
        ' 7 ',
        '10.0.0.1:²',
        '10.0.0.1:' + '9' * 5000,
        '10.0.0.1/x:80',
        'a b:80',
        'user@10.0.0.1:80',
        '[::1]:80',
        '\ud800',
    ]
)
JSON_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
    | UNUSUAL_STRINGS.filter(lambda text: text != '\ud800')
)
JSON_VALUES = strategies.recursive(
    JSON_SCALARS,
    lambda item: (
        strategies.lists(item, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), item, max_size=3
        )
    ),
    max_leaves=6,
)


def encode_json(value):
    """Encodes a value as JSON.

    Integers beyond the signed 64-bit range become floats or, from 10**300 on,
    strings of digits.
    """

    def to_encodable(part):
        match part:
            case dict():
                return {
                    name: to_encodable(item) for name, item in part.items()
                }
            case list():
                return [to_encodable(item) for item in part]
            case int() if abs(part) >= 2**63:
                return float(part) if abs(part) < 10**300 else str(part)
            case _:
                return part

    return orjson.dumps(to_encodable(value))


@strategies.composite
def mutated(draw, valid):
    """Draws a copy of a valid value with one part replaced or removed."""

    def change(value):
        if isinstance(value, dict) and value and draw(strategies.booleans()):
            name = draw(strategies.sampled_from(sorted(value)))
            rest = {key: part for key, part in value.items() if key != name}
            if draw(strategies.integers(0, 5)) == 0:
                return rest
            return rest | {name: change(value[name])}
        if isinstance(value, list) and value and draw(strategies.booleans()):
            return [change(value[0]), *value[1:]]
        return draw(JSON_VALUES)

    return change(valid)


def check_usable(target):
    """Checks that requests can be sent to a target and peers told of it."""
    url = yarl.URL.build(
        scheme='http', authority=target.address, path='/x', encoded=True
    )
    assert (url.host, url.port) == (target.host.strip('[]'), target.port)
    assert url == yarl.URL(f'http://{target.address}/x')
    assert ipaddress.ip_address(url.host) and 1 <= url.port <= 65_535
    assert 0 < target.slots < 2**31
    assert 0 <= target.warm_up_left_s <= 86_400
    assert 0 <= target.started_ms <= 10**13
    assert 1 <= len(target.service) <= 255
    assert 1 <= len(target.zone) <= 255
    assert target.target_id and target.target_id.isprintable()
    row = targets.Departure(target.target_id, target.started_ms, True)
    message = digests.Departures((row,))
    assert digests.decode(digests.encode(message)) == message


@CASES
@hypothesis.given(mutated(REGISTRATION))
@hypothesis.example(REGISTRATION | {'addr': '10.0.0.1:²'})
@hypothesis.example(REGISTRATION | {'addr': '10.0.0.1:' + '9' * 5000})
@hypothesis.example(REGISTRATION | {'addr': '10.0.0.1/x:80'})
@hypothesis.example(REGISTRATION | {'born': 1e300})
@hypothesis.example(REGISTRATION | {'slots': 1e300})
@hypothesis.example(REGISTRATION | {'warmupLeftMs': -1e308})
def test_a_registration_is_a_valid_target_or_rejected(registration):
    """Guards against a record of another writer that stops the follower.

    An undeclared error would be raised again by each read of the record, so
    that the instance would never get past it.
    """
    try:
        target = registrations.decode('t1', encode_json(registration))
    except api.RecordInvalid:
        return
    check_usable(target)


# Values that orjson does not encode, and values of an extreme size. The parser
# accepts 1,024 levels of nesting, which is more than the recursion limit.
EXTREME_VALUES = [
    b'[' * 1000 + b']' * 1000,
    b'{"a":' * 1000 + b'1' + b'}' * 1000,
    b'[' * 100_000,
    b'"' + b'x' * 200_000 + b'"',
    b'[' + b'7,' * 100_000 + b'7]',
    b'1e999',
    b'-1e308',
    b'1e308',
    b'9' * 400,
    b'18446744073709551616',
    b'9223372036854775808',
    b'NaN',
    b'-Infinity',
    b'"\\ud800"',
    b'"\xff"',
    b'""',
    b'-1',
    b'0.5',
    b'true',
    b'null',
]


def encode_with_raw(document, name, raw):
    """Encodes a document with one field replaced by raw bytes."""
    rest = {key: part for key, part in document.items() if key != name}
    encoded = orjson.dumps(rest)[:-1]
    return encoded + b',"' + name.encode() + b'":' + raw + b'}'


@pytest.mark.parametrize('raw', EXTREME_VALUES, ids=range(len(EXTREME_VALUES)))
@pytest.mark.parametrize('name', sorted(REGISTRATION))
def test_an_extreme_field_is_a_valid_target_or_rejected(name, raw):
    """Guards against one field of a record that stops the follower."""
    try:
        target = registrations.decode(
            't1', encode_with_raw(REGISTRATION, name, raw)
        )
    except api.RecordInvalid as exc:
        assert len(str(exc)) <= 200
        return
    check_usable(target)


ADDRESS_PARTS = strategies.sampled_from(
    ['10.0.0.1', '::1', 'fe80::1', '%eth0', '[', ']', ':', ':80', '80', '/']
) | strategies.text(max_size=3)


@CASES
@hypothesis.given(strategies.lists(ADDRESS_PARTS, max_size=6).map(''.join))
@hypothesis.example('fe80::1%eth0:80')
@hypothesis.example('[fe80::1%eth0]:80')
@hypothesis.example('::1:80')
@hypothesis.example('[10.0.0.1]:80')
@hypothesis.example('[::1:80')
@hypothesis.example('10.0.0.1]:80')
@hypothesis.example('0.0.0.0:80')
@hypothesis.example('10.0.0.1:0')
@hypothesis.example('10.0.0.1:65536')
@hypothesis.example('10.0.0.1:-1')
def test_an_address_is_usable_or_rejected(address):
    """Guards against an address that fails the requests sent to it."""
    try:
        target = registrations.decode(
            't1', encode_json(REGISTRATION | {'addr': address})
        )
    except api.RecordInvalid:
        return
    check_usable(target)
    assert not ipaddress.ip_address(target.host.strip('[]')).is_unspecified


@CASES
@hypothesis.given(strategies.binary(max_size=255))
@hypothesis.example(b'')
@hypothesis.example(b'\xff\xfe')
@hypothesis.example(b't1\r\nX-Attempt-Id: 1')
@hypothesis.example(b'\x00' * 255)
@hypothesis.example(b'x' * 255)
def test_a_key_is_a_usable_id_or_rejected(key):
    """Guards against an id that is no header value, which fails requests."""
    value = orjson.dumps(REGISTRATION)
    for errors in ('replace', 'surrogateescape'):
        try:
            target = registrations.decode(key.decode(errors=errors), value)
        except api.RecordInvalid:
            continue
        check_usable(target)


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('born', 1.5e15),
        ('born', 1_780_000_000_000.5),
        ('born', -1),
        ('warmupLeftMs', 'soon'),
        ('warmupLeftMs', None),
        ('warmupLeftMs', True),
        ('slots', 1.5),
        ('seq', 'x'),
        ('zone', ''),
    ],
)
def test_a_field_out_of_range_is_rejected(name, value):
    """Guards against numbers that no engine states of itself."""
    with pytest.raises(api.RecordInvalid):
        registrations.decode('t1', encode_json(REGISTRATION | {name: value}))


@pytest.mark.parametrize(
    ('value', 'left_s'),
    [(-1, 0.0), (-1e308, 0.0), (1e308, 86_400.0), (2**64, 86_400.0)],
)
def test_a_warm_up_out_of_range_is_clamped(value, left_s):
    """Guards against a sound engine that is left out for an odd figure."""
    target = registrations.decode(
        'engine-1', encode_json(REGISTRATION | {'warmupLeftMs': value})
    )
    assert target.warm_up_left_s == left_s


@pytest.mark.parametrize('name', ['warmupS', 'warmupPerS'])
@pytest.mark.parametrize('value', [-1, 1e308, '25', None, True])
def test_a_stated_pace_out_of_range_is_rejected(name, value):
    """Guards against a pace at which a target gets nothing or everything."""
    service = CONFIGURATION['services'][0] | {name: value}
    with pytest.raises(api.RecordInvalid):
        configuration.decode(
            encode_json(CONFIGURATION | {'services': [service]})
        )


def test_the_usual_registrations_are_accepted():
    """Guards against checks that reject engines."""
    for change in (
        {},
        {'addr': '[fd00::1]:65535'},
        {'slots': 24.0, 'born': 1.78e12},
        {'warmupLeftMs': 1234.5},
    ):
        target = registrations.decode(
            'engine-1', encode_json(REGISTRATION | change)
        )
        check_usable(target)


@pytest.mark.parametrize('raw', EXTREME_VALUES, ids=range(len(EXTREME_VALUES)))
@pytest.mark.parametrize(
    'name', [*sorted(CONFIGURATION), 'name', 'host', 'timeoutMs', 'attempts']
)
def test_an_extreme_configuration_is_valid_or_rejected(name, raw):
    """Guards against one field of the configuration that stops the reads."""
    if name in CONFIGURATION:
        encoded = encode_with_raw(CONFIGURATION, name, raw)
    else:
        route = encode_with_raw(CONFIGURATION['routes'][0], name, raw)
        routes = b'[' + route + b']'
        encoded = encode_with_raw(CONFIGURATION, 'routes', routes)
    try:
        decoded = configuration.decode(encoded)
    except api.RecordInvalid as exc:
        assert len(str(exc)) <= 200
        return
    check_tables(decoded)


@CASES
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_no_registration(value):
    """Guards against unreadable bytes that stop the follower."""
    with pytest.raises(api.RecordInvalid):
        registrations.decode('t1', value)


@CASES
@hypothesis.given(mutated(CONFIGURATION))
@hypothesis.example(
    CONFIGURATION | {'routes': [CONFIGURATION['routes'][0] | {'host': 7}]}
)
@hypothesis.example(
    CONFIGURATION
    | {'routes': [CONFIGURATION['routes'][0] | {'pathPrefix': []}]}
)
@hypothesis.example(
    CONFIGURATION
    | {
        'routes': [
            CONFIGURATION['routes'][0]
            | {'backends': [{'service': 'a', 'weight': 0}] * 2}
        ]
    }
)
@hypothesis.example(
    CONFIGURATION
    | {'routes': [CONFIGURATION['routes'][0] | {'service': None}]}
)
@hypothesis.example(
    CONFIGURATION
    | {
        'routes': [
            CONFIGURATION['routes'][0]
            | {'backends': [{'service': 'a', 'weight': 1e308}] * 2}
        ]
    }
)
@hypothesis.example(CONFIGURATION | {'limits': {'idleMs': -5}})
@hypothesis.example(CONFIGURATION | {'limits': {'headerMs': 1e308}})
@hypothesis.example(CONFIGURATION | {'limits': {'bodyBytes': -1}})
@hypothesis.example(CONFIGURATION | {'version': 1e300})
@hypothesis.example(
    CONFIGURATION | {'tenants': [{'name': 'a\r\nb', 'keys': ['k']}]}
)
def test_a_configuration_is_valid_or_rejected(value):
    """Guards against an invalid configuration that stops the follower."""
    try:
        decoded = configuration.decode(encode_json(value))
    except api.RecordInvalid:
        return
    check_tables(decoded)


def check_tables(decoded):
    """Checks that tables can be put in force and told to peers."""
    assert 0 <= decoded.version < 2**63
    limits = decoded.limits
    assert 0 <= min(limits.header_bytes, limits.body_bytes)
    assert 0 <= limits.idle_timeout_s <= 1e8
    assert 0 <= limits.header_timeout_s <= 1e8
    for organisation in (decoded.organisations or {}).values():
        assert organisation.name.isprintable()
    route = decoded.match('shop.example', '/a')
    if route is not None:
        for organisation in (decoded.organisations or {}).values():
            head = service_order.QueueHead(
                service_order.QueueKey(1, False),
                tables.urgency(route, organisation),
                0.0,
                0.0,
                False,
            )
            state = service_order.WaitingState((head,))
            digest = digests.Digest('i', '10.0.0.1', 'z', 0, 1, {})
            digest = attrs.evolve(digest, waiting=state)
            assert digests.decode(digests.encode(digest)).waiting.heads
        assert isinstance(route.pick_service(random.Random(1)), str)
        for time_s in (route.timeout_s, route.objective_s, route.event_gap_s):
            assert 0 <= time_s <= 1e8


HEADER_VALUES = (
    UNUSUAL_STRINGS
    | strategies.text(max_size=30)
    | strategies.floats().map(str)
    | strategies.integers().map(str)
)


@CASES
@hypothesis.given(HEADER_VALUES, HEADER_VALUES, HEADER_VALUES, HEADER_VALUES)
@hypothesis.example('inf', '5', '5', '1')
@hypothesis.example('1e300', '1e300', '5', '1')
@hypothesis.example('5', '9' * 5000, '9' * 25, '1')
@hypothesis.example('5', '5', '5', '9' * 25)
@hypothesis.example('5', '5', 'nan', '1')
def test_a_request_is_malformed_or_has_bounded_counts(
    prompt, output, time_left, event_id
):
    """Guards against a caller that corrupts the load digests.

    Token counts are sent to peers in the load digests. A count that does not
    fit would keep this instance from sending its load; one beyond the
    precision of the peers' sums would erase the other loads in them.
    """
    headers = [
        (name.encode(), text.encode('utf-8', 'surrogateescape'))
        for name, text in (
            (wire.TOKEN_COUNTS, f'{prompt},{output}'),
            (wire.OUTPUT_TOKENS_HINT, output),
            (wire.TIME_LEFT, time_left),
            (wire.LAST_EVENT_ID, event_id),
        )
        if '\ud800' not in text
    ]
    try:
        request = wire.PlatformDialect().decode_request(
            'POST', '/a', headers, b''
        )
    except ValueError:
        return
    tokens = request.prompt_tokens + request.output_tokens_expected
    assert 0 <= tokens < 2**31
    row = load.DigestRow(1, tokens, request.prompt_tokens)
    digest = digests.Digest('i', '10.0.0.1', 'z', 0, 1, {'t1': row})
    assert digests.decode(digests.encode(digest)).loads == {'t1': row}
    if request.timeout_s is not None:
        assert min(30.0, request.timeout_s) <= 30.0
    if request.last_event_id is not None:
        assert request.last_event_id < 2**63


@CASES
@hypothesis.given(strategies.integers(200, 599), HEADER_VALUES, HEADER_VALUES)
@hypothesis.example(503, '9' * 5000, '1')
def test_a_notice_has_a_finite_pause(status, retry_after, leaving):
    """Guards against a header of a target that makes an attempt fail."""
    notice = wire.decode_notice(
        status, [(wire.RETRY_AFTER, retry_after), (wire.LEAVING, leaving)]
    )
    assert 0.0 <= notice.pause_s <= 31_536_000.0


@CASES
@hypothesis.given(HEADER_VALUES)
@hypothesis.example('9' * 5000)
@hypothesis.example('9' * 25)
def test_an_era_is_bounded(text):
    """Guards against an era that stops the reads or the gossip."""
    era = store.parse_era(text)
    assert 0 <= era < 2**63


PAGE = {
    'items': [
        {'key': 't1', 'value': base64.b64encode(b'x').decode(), 'offset': 3}
    ],
    'hasMore': False,
    'end': 4,
}


@CASES
@hypothesis.given(mutated(PAGE))
@hypothesis.example(PAGE | {'end': 1e300})
def test_a_page_is_valid_or_the_store_unavailable(page):
    """Guards against an answer of the store that stops the follower."""
    check_page(encode_json(page))


@CASES
@hypothesis.given(strategies.binary(max_size=255))
@hypothesis.example(b'\xff')
@hypothesis.example(b'\\ud800')
def test_a_page_with_any_key_is_valid_or_the_store_unavailable(key):
    """Guards against a key that raises an undeclared error."""
    escaped = key.replace(b'\\', b'').replace(b'"', b'')
    for quoted in (key, escaped):
        item = b'{"key":"%b","value":"","offset":3}' % quoted
        check_page(b'{"items":[%b],"hasMore":false,"end":4}' % item)


@pytest.mark.parametrize('raw', EXTREME_VALUES, ids=range(len(EXTREME_VALUES)))
@pytest.mark.parametrize('name', ['items', 'hasMore', 'end', 'key', 'offset'])
def test_an_extreme_page_is_valid_or_the_store_unavailable(name, raw):
    """Guards against an offset that no message to peers can hold."""
    if name in PAGE:
        check_page(encode_with_raw(PAGE, name, raw))
        return
    item = encode_with_raw(PAGE['items'][0], name, raw)
    check_page(encode_with_raw(PAGE, 'items', b'[' + item + b']'))


def check_page(body):
    """Checks the offsets and keys of a page, if it is valid."""
    try:
        parsed = store.parse_page(body)
    except api.StoreUnavailable:
        return
    assert 0 <= parsed['end'] < 2**63
    for record in parsed['records']:
        assert isinstance(record.key, str)
        assert 0 <= record.offset < 2**63


@CASES
@hypothesis.given(strategies.binary(max_size=120), strategies.integers(0, 9))
def test_records_are_valid_or_the_store_unavailable(body, cut):
    """Guards against a truncated answer that stops the follower."""
    head = struct.pack('>QQI', 9, 0, max(0, len(body) - cut))
    for answer in (body, head + body):
        try:
            batch = store.parse_records(answer, 3)
        except api.StoreUnavailable:
            continue
        assert batch.end == 3 + len(batch.records)


@CASES
@hypothesis.given(
    strategies.binary(max_size=40), strategies.binary(min_size=1, max_size=200)
)
@hypothesis.example(b'', b'{}')
@hypothesis.example(b'a', b'[' * 200)
def test_an_evacuation_is_valid_or_rejected(name, value):
    """Guards against an operator's record that stops the follower."""
    platform_store = store.PlatformStore(
        None, gateway_settings.Address('127.0.0.1', 1)
    )
    key = (b'evacuate/' + name).decode(errors='surrogateescape')
    record = api.Record(key, value, 3)
    try:
        zone = platform_store.evacuated_zone(record)
        active = platform_store.decode_evacuation(record)
    except api.RecordInvalid as exc:
        assert len(str(exc)) <= 200
        return
    finding = evacuations.Evacuation(zone, active, 3, 0)
    assert digests.decode(digests.encode(finding)) == finding


DIGEST = {
    'i': 'i',
    'h': '10.0.0.1',
    'z': 'z',
    'b': 1,
    's': 1,
    'l': [['t1', 1, 2, 3, 4, 5]],
    'y': [[[123, 1, 0, 2, -500, 1500, 1]], [[456, 7000]]],
    'u': {'model': [1, 2]},
    'r': {'targets': [1, 'c', 5, 0]},
    'k': ['10.0.0.2'],
}


@CASES
@hypothesis.given(mutated(DIGEST | {'f': [1, 2, 3]}))
def test_a_datagram_with_checksums_is_valid_or_dropped(body):
    """Guards against checksums that raise an undeclared error."""
    check_datagram(encode_json(body))


@CASES
@hypothesis.given(mutated({'v': ['zone-a', 1, 3, 0]}))
def test_an_evacuation_of_a_peer_is_valid_or_dropped(body):
    """Guards against a finding that raises an undeclared error."""
    check_datagram(encode_json(body))


@CASES
@hypothesis.given(mutated(DIGEST))
def test_a_datagram_is_valid_or_dropped(body):
    """Guards against a datagram that raises an undeclared error."""
    check_datagram(encode_json(body))


def check_datagram(data):
    """Checks that the content of a valid message can be sent on."""
    try:
        message = digests.decode(data)
    except digests.DatagramInvalid:
        return
    digests.encode(message)
    if isinstance(message, digests.Digest):
        for host in (message.host, *message.known_hosts):
            assert ipaddress.ip_address(host)
        for report in message.reports.values():
            assert -1 <= report.position < 2**63
            assert 0 <= report.era < 2**63
            assert abs(report.age_s) < 2**53


@CASES
@hypothesis.given(mutated({'records': [['t1', 3, None]], 'end': 4, 'era': 0}))
def test_records_of_a_peer_are_valid_or_dropped(body):
    """Guards against an answer of a peer that stops the follower."""
    check_batch(encode_json(body))


def check_batch(data):
    """Checks that the records of a peer can be sent on, if they are valid."""
    try:
        batch = digests.decode_batch(data)
    except digests.DatagramInvalid:
        return
    assert digests.decode_batch(digests.encode_batch(batch)) == batch


@pytest.mark.parametrize('raw', EXTREME_VALUES, ids=range(len(EXTREME_VALUES)))
@pytest.mark.parametrize('name', [*sorted(DIGEST), 'n', 'd', 'q', 'o', 'v'])
def test_an_extreme_datagram_is_valid_or_dropped(name, raw):
    """Guards against one field of a datagram that raises another error."""
    report = b'{"targets":[' + raw + b',"c",' + raw + b',0]}'
    for field in (raw, b'[[' + raw + b',1,1]]', b'[["a",' + raw + b',1]]'):
        check_datagram(encode_with_raw(DIGEST | {'e': 0}, name, field))
    check_datagram(encode_with_raw(DIGEST, 'r', report))


@pytest.mark.parametrize('raw', EXTREME_VALUES, ids=range(len(EXTREME_VALUES)))
@pytest.mark.parametrize('name', ['records', 'end', 'era'])
def test_extreme_records_of_a_peer_are_valid_or_dropped(name, raw):
    """Guards against one field of a peer's answer that ends the reads."""
    batch = {'records': [], 'end': 4, 'era': 0}
    for field in (raw, b'[[' + raw + b',1,null]]', b'[["t1",' + raw + b',1]]'):
        check_batch(encode_with_raw(batch, name, field))
