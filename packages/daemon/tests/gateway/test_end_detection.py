"""Tests of the signs by which an instance knows that a target has ended."""

import asyncio

import attrs
import pytest

from dotterelweir_core.gateway import targets
from dotterelweird import timers
from dotterelweird.gateway import api
from dotterelweird.gateway import end_detection
from dotterelweird.gateway import statistics

TARGET = targets.Target(
    't', 's', '10.0.0.1', 80, 'a', 8, targets.TargetState.READY, started_ms=100
)
NEIGHBOUR = attrs.evolve(TARGET, target_id='n', host='10.0.0.2')


@attrs.define
class Exchange:
    """What the detector needs of a request."""

    request: api.CallerRequest
    key: str = 'key'


class Reach:
    """An instance that reaches targets, or none."""

    cut_off = False

    async def is_cut_off(self, since_s):
        return self.cut_off

    def record_failed(self, target):
        pass


class Detection:
    """A detector with two registered targets.

    Attributes:
        accepting: Hosts that accept connections.
        ends: The ends that it has reported.
    """

    def __init__(self):
        self.directory = targets.TargetDirectory()
        self.directory.set_first_snapshot_end(0)
        self.offset = 0
        self.reach = Reach()
        self.store_answers = True
        self.accepting = {'10.0.0.2'}
        self.ends = []
        self.returned = []
        self.detector = end_detection.EndDetector(
            timers.LoopTimerService(asyncio.get_running_loop()),
            self.reach,
            statistics.Statistics(),
            self.directory,
            lambda: self.store_answers,
        )
        self.detector.accepts_connections = self.accepts
        self.detector.subscribe(self.ends.append)
        self.detector.subscribe_returns(self.returned.append)
        for target in (TARGET, NEIGHBOUR):
            self.register(target.target_id, target)

    async def accepts(self, host, port, timeout_s):
        return host in self.accepting

    def register(self, target_id, target):
        self.offset += 1
        change = self.directory.apply(target_id, target, self.offset)
        self.detector.apply_change(change)

    def give_up(self):
        """Gives up a request that the target has not answered."""
        request = api.CallerRequest(
            'r', 'GET', '/x', 'h', '', None, [], b'', shared_parts=('p',)
        )
        sent_s = self.detector._timers.elapsed_s() - 1.0
        self.detector.report_unanswered(Exchange(request), TARGET, sent_s)

    async def settle(self):
        """Waits until nothing is left to be tested."""
        async with asyncio.timeout(5):
            while self.detector._tasks:
                await asyncio.sleep(0.001)

    async def end_signs(self):
        await self.settle()
        return [
            (end.target.started_ms, len(end.requests)) for end in self.ends
        ]


@pytest.fixture
async def detection():
    return Detection()


async def test_a_restart_ends_what_had_no_answer(detection):
    """Guards against an engine that is back before its entry goes."""
    detection.give_up()
    detection.register('t', attrs.evolve(TARGET, started_ms=200))
    assert await detection.end_signs() == [(100, 1)]
    assert 0.9 <= detection.ends[0].age_s < 2.0


async def test_a_removed_target_that_is_not_reached_has_ended(detection):
    """Guards against engines that go dark unnoticed."""
    detection.give_up()
    detection.register('t', None)
    assert await detection.end_signs() == [(100, 1)]


async def test_a_removed_target_that_accepts_goes_on(detection):
    """Guards against blame for engines that leave without saying so."""
    detection.accepting.add('10.0.0.1')
    detection.give_up()
    detection.register('t', None)
    assert await detection.end_signs() == []


async def test_another_target_at_the_address_shows_the_end(detection):
    """Guards against a new start whose connections hide the end."""
    detection.accepting.add('10.0.0.1')
    detection.give_up()
    detection.register('t2', attrs.evolve(TARGET, target_id='t2'))
    detection.register('t', None)
    assert await detection.end_signs() == [(100, 1)]


async def test_an_instance_that_is_cut_off_reports_no_end(detection):
    """Guards against ends that only the instance's own links suggest."""
    detection.reach.cut_off = True
    detection.give_up()
    detection.register('t', None)
    assert await detection.end_signs() == []


async def test_a_target_that_registers_again_is_given_back(detection):
    """Guards against blame for engines behind a partition."""
    detection.give_up()
    detection.register('t', None)
    assert await detection.end_signs() == [(100, 1)]
    detection.register('t', TARGET)
    assert detection.returned == [TARGET]


async def test_a_silent_target_is_known_without_the_store(
    detection, monkeypatch
):
    """Guards against engines that go dark while the store is away."""
    monkeypatch.setattr(end_detection, '_SILENCE_PROBE_INTERVAL_S', 0.0)
    detection.store_answers = False
    detection.give_up()
    assert await detection.end_signs() == [(100, 1)]


@pytest.mark.parametrize('store_answers', [True, False])
async def test_a_slow_target_has_not_ended(
    detection, monkeypatch, store_answers
):
    """Guards against blame for engines that are slow."""
    monkeypatch.setattr(end_detection, '_SILENCE_PROBE_INTERVAL_S', 0.0)
    detection.store_answers = store_answers
    detection.accepting.add('10.0.0.1')
    detection.give_up()
    detection.detector.record_answer(TARGET)
    assert await detection.end_signs() == []


async def test_without_a_reached_neighbour_silence_shows_nothing(
    detection, monkeypatch
):
    """Guards against blame for engines of a zone that is cut off."""
    monkeypatch.setattr(end_detection, '_SILENCE_PROBE_INTERVAL_S', 0.0)
    detection.store_answers = False
    detection.accepting.clear()
    detection.give_up()
    assert await detection.end_signs() == []


async def test_requests_without_an_answer_take_little_memory(detection):
    """Guards against callers that fill the memory with what they send."""
    parts = ('x' * 65, *(f'{number:032x}' for number in range(200)))
    request = end_detection.InFlight('key', 'r' * 16_000, parts)
    kept = request.without_excess()
    assert len(kept.request_id) == 64
    assert kept.shared_parts == parts[1:33]
    begun = attrs.evolve(request, begun=True).without_excess()
    assert begun.shared_parts == ()
