"""Tests of the reports of learned speeds."""

import types

import attrs
import pytest

from dotterelweir_core import events
from dotterelweir_core import timers
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import placement
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import digests
from dotterelweird.gateway import speed_reports
from dotterelweird.gateway import statistics

TARGETS = [
    targets.Target(
        f'e{number}', 'model', '::1', 80, 'a', 24, targets.TargetState.READY
    )
    for number in range(4)
]
EXCHANGE = types.SimpleNamespace(
    service=types.SimpleNamespace(name='model'),
    request=types.SimpleNamespace(request_id='r'),
    shortest_event_gap_s=0.18,
)


@pytest.fixture
def timer_service():
    return timers.VirtualTimerService()


def test_reports_are_bounded(timer_service, caplog):
    """Guards against a log event for each request or computation.

    The speed of an engine changes with each computation, and every request
    goes to an engine that is too slow for it.
    """
    caplog.set_level('INFO')
    loads = load.LoadRegistry()
    reporter = speed_reports.SpeedReporter(
        timer_service, loads, statistics.Statistics()
    )
    choice = placement.Choice(TARGETS[0], 1.0, 4, False, 0.2, True)
    for second in range(90):
        now_s = timer_service.monotonic_s()
        rows = {
            target.target_id: load.DigestRow(served=1, event_us=36_000)
            for target in TARGETS
        }
        if second % 2:
            rows['e0'] = attrs.evolve(rows['e0'], event_us=16_000)
        loads.set_peer('i2', rows, now_s)
        loads.speeds.view(TARGETS, 'model', now_s)
        reporter.report_choice(EXCHANGE, choice)
        timer_service.advance(1.0)
    numbers = [record.event for record in caplog.records]
    for event in (
        events.TARGET_SPEED_DIFFERS,
        events.SPEEDS_UNEVEN,
        events.PAUSE_EXPECTED,
    ):
        assert numbers.count(event.number) == 2
    fields = [
        record.fields
        for record in caplog.records
        if record.event == events.PAUSE_EXPECTED.number
    ]
    assert [row['choices'] for row in fields] == [1, 60]


def test_speeds_add_few_bytes_to_a_digest():
    """Guards against digests that grow by over 30 bytes for each target."""

    def size(row):
        digest = digests.Digest('i', '::1', 'a', 1, 1, {'e0': row})
        return len(digests.encode(digest))

    # The slowest engine that is served: an event in 2 s, 1,000 tokens in 20 s.
    row = load.DigestRow(3, 9000, 2200, 1000, 10)
    learned = attrs.evolve(
        row, late=999, event_us=2_000_000, prefill_us=20_000_000
    )
    assert size(learned) - size(row) <= 30
    assert digests.decode(
        digests.encode(digests.Digest('i', '::1', 'a', 1, 1, {'e0': learned}))
    ).loads == {'e0': learned}
