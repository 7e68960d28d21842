"""Tests of what the callers of planned stops count as a violation."""

import pytest

from dotterelweir_fakes.soak import guarantees
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import kept_callers
from dotterelweir_fakes.soak import kept_connections
from dotterelweir_fakes.soak import planned_requests


class CutConnection:
    """A connection that ends 1 s after each request, during its run.

    Attributes:
        sent_s: Monotonic time of the next request, in seconds.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self.sent_s = 100.0

    async def send(self, request, give_up_s, rate_bytes_s):
        request_id = request.partition(b'X-Attempt-Id: ')[2].split()[0]
        self._ledger.begin_run(request_id.decode(), 't', False, self.sent_s)
        return kept_connections.Reply(self.sent_s, self.sent_s + 1.0)


@pytest.fixture
def callers(tmp_path):
    node = instances.Instance(1, tmp_path, '127.0.0.1:9')
    return kept_callers.Callers(guarantees.Ledger(), [node], lambda _: None)


async def cut_requests(callers, count):
    """Cuts off some requests; returns the number of violations."""
    connection = CutConnection(callers.ledger)
    maker = planned_requests.RequestMaker.draw(0)
    for _ in range(count):
        request = maker.make_stream('guide', 400)
        request.behaviour.pause_after = None
        request.timeout_s = 60.0
        await callers._send(callers.nodes[0], connection, request)
    callers.check()
    return len(callers.ledger.violations)


async def test_each_request_cut_in_a_stop_is_a_violation(callers):
    """Guards against a stop that may lose a few requests."""
    callers.stopped_s['gateway-1'] = 96.0
    assert await cut_requests(callers, 2) == 2


async def test_each_request_cut_after_a_reload_is_a_violation(callers):
    """Guards against a reload that may lose a few requests."""
    callers.reloaded_s['gateway-1'] = 98.5
    assert await cut_requests(callers, 2) == 2


@pytest.mark.parametrize(('count', 'violations'), [(3, 0), (4, 1)])
async def test_cuts_without_planned_work(callers, count, violations):
    """Guards against a process that loses requests at other times."""
    callers.reloaded_s['gateway-1'] = 97.5
    assert await cut_requests(callers, count) == violations


async def test_delay_of_the_test_itself_is_no_violation(callers):
    """Guards against blaming a process for engines that the test delays."""
    callers.stopped_s['gateway-1'] = 96.0
    callers.stalled_s = 97.5
    assert await cut_requests(callers, 2) == 0
    assert callers.counts == {'disturbed': 2}
