"""Tests that the dispatcher holds placements after a process pause."""

import asyncio

import pytest

from dotterelweir_core import timers
from dotterelweir_core.policy import api as policy_api
from dotterelweird import dispatch

HOLD_S = 0.5


class PausableTimer(timers.VirtualTimerService):
    """Virtual time that can pass without callbacks, as in a paused process."""

    paused_s = 0.0

    def monotonic_s(self):
        return super().monotonic_s() + self.paused_s


class FakeScheduler:
    """Places every request at once."""

    def __init__(self):
        self.waiting = []

    def submit(self, item, now_s):
        self.waiting.append(item.request_id)

    def decide(self, now_s):
        placed = [
            policy_api.Placement(request_id, 'engine', 1, 'test')
            for request_id in self.waiting
        ]
        self.waiting.clear()
        return placed

    def next_wakeup_s(self):
        return None


def item(request_id):
    return policy_api.WorkItem(
        request_id=request_id,
        route='long',
        pool='models',
        organisation='org',
        priority=1,
        prompt_tokens=1,
        max_output_tokens=None,
        prefix_hashes=(),
        arrived_s=0.0,
        deadline_s=60.0,
        repeatable=True,
    )


async def run_callbacks():
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('paused_s', 'held'), [(0.5, False), (1.5, True), (20.0, True)]
)
async def test_placements_wait_after_a_pause(paused_s, held):
    """Guards against work for a target that left during a pause (P5).

    A paused process misses the notices of its targets, so it must poll them
    before it places requests again.
    """
    timer = PausableTimer()
    dispatcher = dispatch.Dispatcher(FakeScheduler(), timer, HOLD_S)
    dispatcher.start()
    timer.advance(1.0)
    timer.paused_s += paused_s
    placing = asyncio.create_task(dispatcher.place(item('r1')))
    await run_callbacks()
    assert placing.done() is not held
    timer.advance(HOLD_S + 0.01)
    await run_callbacks()
    assert placing.done()
    again = asyncio.create_task(dispatcher.place(item('r2')))
    await run_callbacks()
    assert again.done()
    dispatcher.stop()
