"""Tests of the turns that instances give each other, in virtual time."""

import asyncio

import pytest

from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import targets
from dotterelweir_fakes.fleet import turn_network
from dotterelweir_fakes.soak import trials

TARGET = targets.Target(
    'shop-1', 'plain', '10.0.0.1', 80, 'a', 8, targets.TargetState.READY
)


class Network(turn_network.TurnNetwork):
    """Instances and a target that names a limit."""

    def __init__(self, count):
        super().__init__(count, TARGET)

    def report(self, host, rate_per_s):
        self.limiters[host].report(
            rate_limits.LimitStatement(TARGET.target_id, 0, rate_per_s, 0.01)
        )

    def sent_in_worst_window(self):
        return trials.worst_window(self.sent_s, 0.0)


@pytest.mark.parametrize('count', [3, 30, 195])
@pytest.mark.parametrize('rate_per_s', [0.0, 0.1, 1.4, 20.0])
async def test_a_limit_is_kept_and_used_at_any_size(count, rate_per_s):
    """Guards against shares of a limit that are too large or too small."""
    network = Network(count)
    network.report(network.hosts[0], rate_per_s)
    await network.run(30.0)
    allowed = trials.allowed_requests(rate_per_s)
    assert network.sent_in_worst_window() <= allowed
    assert len(network.sent_s) >= 0.8 * (30.0 * rate_per_s - 1.0)


async def test_a_limit_is_kept_while_datagrams_are_lost():
    """Guards against instances that send without a coordinator's answer."""
    network = Network(30)
    network.report(network.hosts[0], 2.0)
    network.timers.advance(3.0)
    network.lost_share = 0.05
    await network.run(15.0)
    assert network.sent_in_worst_window() <= trials.allowed_requests(2.0)
    assert len(network.sent_s) >= 15


async def test_the_next_coordinator_serves_in_place_of_a_dead_one():
    """Guards against a target that nobody uses after its coordinator died."""
    network = Network(6)
    network.report(network.hosts[0], 8.0)
    await network.run(5.0)
    coordinator = (
        network.limiters[network.hosts[0]]
        ._rank_coordinators(TARGET.target_id)[0]
        .removeprefix('node-')
    )
    network.dead = {coordinator}
    await network.run(4.0, load_per_s=10.0)
    before_count = len(network.sent_s)
    left = [host for host in network.hosts if host != coordinator]
    for host in left:
        network.views[host] = network.view(host, left)
    await network.run(4.0)
    assert network.sent_in_worst_window() <= trials.allowed_requests(8.0)
    assert before_count > 40
    assert len(network.sent_s) - before_count >= 0.7 * 4.0 * 8.0 * 5 / 6


async def test_the_parts_of_a_divided_network_share_a_limit():
    """Guards against parts that each use a whole limit."""
    network = Network(30)
    network.report(network.hosts[0], 5.0)
    await network.run(5.0)
    for number, host in enumerate(network.hosts):
        network.sides[host] = number % 3
        network.views[host] = network.view(
            host, network.hosts[number % 3 :: 3]
        )
    await network.run(15.0)
    assert network.sent_in_worst_window() <= trials.allowed_requests(5.0)
    assert len(network.sent_s) >= 0.8 * 5.0 * 20.0


async def test_a_started_instance_asks_with_what_it_learned():
    """Guards against a coordinator that does not know the limit yet."""
    network = Network(6)
    network.report(network.hosts[0], 1.0)
    await network.run(5.0)
    for host in network.hosts[1:]:
        network.limiters[host] = network.create(host)
    before_s = network.timers.monotonic_s()
    while network.timers.monotonic_s() < before_s + 10.0:
        network.timers.advance(0.05)
        if await network.limiters[network.hosts[0]].acquire(TARGET, 'request'):
            network.sent_s.append(network.timers.monotonic_s())
    assert network.sent_in_worst_window() <= trials.allowed_requests(1.0)


async def test_the_end_of_a_limit_reaches_all_instances():
    """Guards against instances that keep a limit that has ended."""
    network = Network(30)
    network.report(network.hosts[0], 1.0)
    await network.run(5.0)
    network.timers.advance(1.0)
    network.report(network.hosts[1], rate_limits.UNLIMITED)
    for limiter in network.limiters.values():
        assert not limiter.limits.is_limited(TARGET)


async def test_a_limit_that_changes_in_each_answer_sends_bounded_news():
    """Guards against datagrams to all instances for each answer."""
    network = Network(3)
    sent = []
    network.limiters[network.hosts[0]]._broadcast = sent.append
    for number in range(200):
        network.timers.advance(0.02)
        network.report(network.hosts[0], 5.0 + number % 2)
    assert len(sent) <= 2 * 4.0 / 0.2


async def test_a_raised_limit_is_used_at_once():
    """Guards against the wait for a turn at the rate of the old limit."""
    network = Network(6)
    network.report(network.hosts[0], 0.1)
    await network.run(3.0)
    network.timers.advance(1.0)
    network.report(network.hosts[1], 20.0)
    network.sent_s.clear()
    await network.run(3.0)
    assert len(network.sent_s) >= 0.7 * 3.0 * 20.0


class WaitingCallers:
    """Requests that wait for turns at the instances of a network.

    Args:
        network: The network.
    """

    def __init__(self, network):
        self._network = network
        self.sent_s = []
        self._tasks = []

    def start(self, wait_max_s):
        host = self._network.rng.choice(self._network.hosts)
        self._tasks.append(asyncio.create_task(self._wait(host, wait_max_s)))

    async def _wait(self, host, wait_max_s):
        limiter = self._network.limiters[host]
        if await limiter.acquire(TARGET, 'request', wait_max_s):
            self.sent_s.append(self._network.timers.monotonic_s())

    async def run(self, seconds, interval_s=0.02):
        """Lets time pass and the waiting requests act."""
        for _ in range(round(seconds / interval_s)):
            self._network.timers.advance(interval_s)
            for _ in range(4):
                await asyncio.sleep(0)


@pytest.mark.parametrize('count', [3, 30])
@pytest.mark.parametrize('lowered_per_s', [0.2, 1.0])
async def test_turns_given_before_a_limit_was_lowered_are_not_used_after_it(
    count, lowered_per_s
):
    """Guards against sends on turns of a limit that no longer holds."""
    network = Network(count)
    network.report(network.hosts[0], 3.0)
    network.timers.advance(5.0)
    callers = WaitingCallers(network)
    for _ in range(40):
        callers.start(4.5)
        await callers.run(0.1)
    assert len(callers.sent_s) >= 8
    network.report(network.hosts[-1], lowered_per_s)
    lowered_s = network.timers.monotonic_s()
    for _ in range(60):
        callers.start(4.5)
        await callers.run(0.1)
    # Also at the start of the window that the rule counts from.
    late_s = [sent_s for sent_s in callers.sent_s if sent_s > lowered_s + 0.5]
    allowed = trials.allowed_requests(lowered_per_s)
    assert trials.worst_window(late_s, 0.0) <= min(
        allowed, 1 + 4.5 * lowered_per_s
    )
    # The lower limit is used.
    assert len(late_s) >= 0.5 * 5.5 * lowered_per_s


async def test_a_coordinator_that_answers_again_is_used_soon():
    """Guards against the long waits of a lower rank that outlast its use."""
    network = Network(6)
    network.report(network.hosts[0], 2.0)
    await network.run(3.0)
    ranked = network.limiters[network.hosts[0]]._rank_coordinators(
        TARGET.target_id
    )
    network.dead = {name.removeprefix('node-') for name in ranked[:2]}
    await network.run(1.5)
    refused = [host for host in network.hosts if host not in network.dead]
    network.dead = set()
    network.timers.advance(1.0)
    for host in refused:
        network.timers.advance(1.0)
        assert await network.limiters[host].acquire(TARGET, 'request')
