"""Tests of the exchange between gateways, in virtual time."""

import random

import attrs
import orjson
import pytest

from dotterelweir_core import timers
from dotterelweir_core.gateway import engine_ends
from dotterelweir_core.gateway import evacuations
from dotterelweir_core.gateway import load
from dotterelweir_core.gateway import rate_limits
from dotterelweir_core.gateway import retry_budget
from dotterelweir_core.gateway import service_order
from dotterelweir_core.gateway import service_queues
from dotterelweir_core.gateway import targets
from dotterelweir_core.gateway import turns
from dotterelweir_core.gateway import waiting
from dotterelweird.gateway import api
from dotterelweird.gateway import digests
from dotterelweird.gateway import end_detection
from dotterelweird.gateway import exchange as exchanges
from dotterelweird.gateway import findings as finding_exchange
from dotterelweird.gateway import limiting
from dotterelweird.gateway import origins
from dotterelweird.gateway import peers
from dotterelweird.gateway import prompt_guard as prompt_guards
from dotterelweird.gateway import request_guard as request_guards
from dotterelweird.gateway import settings as gateway_settings
from dotterelweird.gateway import statistics
from dotterelweird.gateway import stream_api
from dotterelweird.gateway import trials
from dotterelweird.gateway.sharing import waiting_codec


def make_settings(name, host, seeds=('10.0.0.1',)):
    return gateway_settings.GatewaySettings(
        instance_id=name,
        zone='a',
        callers=gateway_settings.Address(host, 80),
        ready=gateway_settings.Address(host, 81),
        metrics=None,
        peers_port=7200,
        seed_hosts=seeds,
        grace_s=8.0,
        repeat_ratio=0.2,
        repeat_burst=50.0,
        repeat_window_s=10.0,
        settle_s=2.0,
        memory_bytes=128_000_000,
        fds_max=4_096,
    )


@attrs.define(eq=False)
class Node:
    """An instance's peer exchange, attached to a simulated network."""

    network: 'Network'
    host: str
    seeds: tuple = ('10.0.0.1',)
    loads: load.LoadRegistry = attrs.field(factory=load.LoadRegistry)
    budgets: retry_budget.BudgetRegistry = attrs.field(
        factory=lambda: retry_budget.BudgetRegistry(0.2, 50.0, 10.0)
    )
    queues: service_queues.ServiceQueues = attrs.field(
        factory=lambda: service_queues.ServiceQueues(
            service_order.ServiceOrder()
        )
    )
    record_notices: list = attrs.field(factory=list)
    received_departures: list = attrs.field(factory=list)
    known_departures: tuple = ()
    reports: dict = attrs.field(factory=dict)
    received_reports: list = attrs.field(factory=list)
    prompt_guard: prompt_guards.PromptGuard = attrs.field(init=False)
    limiter: limiting.TargetLimiter = attrs.field(init=False)
    request_guard: request_guards.RequestGuard = attrs.field(init=False)
    stream_origins: origins.StreamOrigins = attrs.field(init=False)
    findings: finding_exchange.FindingExchange = attrs.field(init=False)
    exchange: peers.PeerExchange = attrs.field(init=False)
    closed: bool = False

    def __attrs_post_init__(self):
        trial_turns = trials.TrialTurns(
            f'node-{self.host}',
            self.network.timers,
            lambda: self.exchange.view(),
        )
        self.prompt_guard = prompt_guards.PromptGuard(
            self.network.timers,
            statistics.Statistics(),
            random.Random(self.host),
            trial_turns,
        )
        self.limiter = limiting.TargetLimiter(
            f'node-{self.host}',
            self.network.timers,
            statistics.Statistics(),
            lambda host, message: self.exchange.send_to(host, message),
            lambda message: self.exchange.send_to_all(message),
            lambda: self.exchange.view(),
        )
        self.request_guard = request_guards.RequestGuard(
            self.network.timers,
            statistics.Statistics(),
            random.Random(self.host),
            trial_turns,
        )
        self.stream_origins = origins.StreamOrigins(
            self.network.timers,
            statistics.Statistics(),
            targets.TargetDirectory(),
            lambda: 0.0,
            None,
            lambda host, message: self.exchange.send_to(host, message),
            lambda: self.exchange.view(),
        )
        self.findings = finding_exchange.FindingExchange(
            self.network.timers,
            random.Random(self.host),
            lambda count: self.known_departures[:count],
            self.prompt_guard,
            self.request_guard,
            self.limiter,
            self.stream_origins,
            lambda host, message: self.exchange.send_to(host, message),
            lambda message: self.exchange.send_to_all(message),
        )
        self.exchange = peers.PeerExchange(
            make_settings(f'node-{self.host}', self.host, self.seeds),
            self.network.timers,
            random.Random(self.host),
            self.loads,
            self.budgets,
            None,
            self.record_notices.append,
            self.received_departures.append,
            lambda: self.reports,
            lambda host, reports: self.received_reports.append(
                (host, reports)
            ),
            self.findings,
            self.queues,
        )
        self.queues.subscribe(self.exchange.schedule_digest)
        self.prompt_guard.subscribe(self.findings.send_finding)

    def sendto(self, data, address):
        self.network.deliver(self, data, address[0])

    def close(self):
        self.closed = True


class Network:
    """Delivers datagrams immediately, except to and from cut-off hosts."""

    def __init__(self):
        self.timers = timers.VirtualTimerService()
        self.nodes = {}
        self.cut = set()
        self.datagrams = []

    def add(self, host, seeds=('10.0.0.1',)):
        node = self.nodes[host] = Node(self, host, seeds)
        node.exchange.connection_made(node)
        return node

    def remove(self, *hosts):
        """Stops instances as a planned stop does."""
        for host in hosts:
            exchange = self.nodes.pop(host).exchange
            exchange.close()
            exchange.connection_lost(None)

    def counts(self):
        """Returns how many instances each one knows, itself included."""
        return [node.exchange.instance_count for node in self.nodes.values()]

    def deliver(self, sender, data, host):
        self.datagrams.append(data)
        receiver = self.nodes.get(host)
        if receiver and not {host, sender.host} & self.cut:
            receiver.exchange.datagram_received(data, (sender.host, 7200))


@pytest.fixture
def network():
    new_network = Network()
    for number in (1, 2, 3):
        new_network.add(f'10.0.0.{number}')
    new_network.timers.advance(1.2)
    return new_network


def test_instances_find_each_other_through_a_seed(network):
    """Guards against instances that are known to the seed only."""
    assert [
        node.budgets.instance_counts.ever_seen
        for node in network.nodes.values()
    ] == [3, 3, 3]


def test_seeds_of_changed_settings_are_contacted_at_once(network):
    """Guards against instances with stale seeds that never find the others."""
    new = [network.add(f'10.0.1.{n}', ('10.0.9.1',)) for n in (1, 2, 3)]
    network.timers.advance(5.0)
    assert network.counts() == [3, 3, 3, 1, 1, 1]
    for node in new:
        node.exchange.set_seeds(('10.0.0.2', '10.0.0.3'))
    assert network.counts() == [6] * 6
    assert {n.exchange.view().is_informed for n in new} == {True}


def test_instances_that_return_at_their_addresses_are_found(network):
    """Guards against a deployment that stays in two parts after a restart."""
    for number in (4, 5, 6):
        network.add(f'10.0.0.{number}')
    network.timers.advance(1.0)
    for node in network.nodes.values():
        node.exchange.set_seeds(('10.0.0.1', '10.0.0.2', '10.0.0.3'))
    seeds = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
    network.remove(*seeds)
    network.timers.advance(120.0)
    assert network.counts() == [3, 3, 3]
    for host in seeds:
        network.add(host, seeds)
    network.timers.advance(1.0)
    assert network.counts() == [6] * 6


def test_an_instance_that_hears_nobody_is_not_known_to_be_alone(network):
    """Guards against a whole limit at each of several cut-off instances."""
    new = [network.add(f'10.0.1.{n}', ('10.0.9.1',)) for n in range(1, 6)]
    network.timers.advance(90.0)
    statement = limit_statement(5.0)
    sent = 0
    for node in new:
        assert not node.exchange.view().is_informed
        node.limiter.report(statement)
    for _ in range(400):
        network.timers.advance(0.01)
        for node in new:
            request = turns.TurnRequest(1, statement, 0.0)
            sent += node.limiter._answer(request).granted
    assert sent <= len(new)


def test_silent_instances_count_until_the_roster_was_read(network):
    """Guards against silence that is taken for the end of an instance."""
    first = network.nodes['10.0.0.1']
    network.cut |= {'10.0.0.2', '10.0.0.3'}
    network.timers.advance(120.0)
    assert first.exchange.view().reachable_share == pytest.approx(1 / 3)
    first.exchange.record_roster_read(network.timers.monotonic_s())
    assert first.exchange.view().reachable_share == 1.0


def test_silent_instances_of_a_group_are_forgotten_soon(network):
    """Guards against limits that stay unused after a machine is lost."""
    network.cut.add('10.0.0.3')
    network.timers.advance(10.0)
    first = network.nodes['10.0.0.1'].exchange
    assert first.view().reachable_share == pytest.approx(2 / 3)
    network.timers.advance(60.0)
    assert first.view().reachable_share == 1.0


def test_an_unheard_address_shares_the_limits(network):
    """Guards against a whole limit in a part that knows of others."""
    first = network.nodes['10.0.0.1']
    first.exchange.contact('10.0.9.1')
    assert first.exchange.view().reachable_share == pytest.approx(3 / 4)
    network.timers.advance(61.0)
    assert first.exchange.view().reachable_share == 1.0


def test_loads_are_summed_over_peers(network):
    """Guards against loaded engines that look idle to other instances."""
    first, second, third = network.nodes.values()
    first.loads.get('t').running = 2
    first.loads.get('t').tokens = 500
    second.loads.get('t').running = 1
    for node in (first, second):
        node.exchange.schedule_digest()
    network.timers.advance(0.05)
    seen = third.loads.get('t')
    assert (seen.peer_running, seen.peer_tokens) == (3.0, 500.0)


def test_the_load_of_a_silent_peer_is_discarded(network):
    """Guards against load of a failed instance that stays counted."""
    first, second, _ = network.nodes.values()
    first.loads.get('t').running = 2
    first.exchange.schedule_digest()
    network.timers.advance(0.1)
    network.cut.add('10.0.0.1')
    network.timers.advance(3.0)
    assert second.loads.get('t').peer_running == 0
    assert second.exchange.instance_count == 2
    network.cut.clear()
    network.timers.advance(1.0)
    assert second.loads.get('t').peer_running == 2


def add_waiting(network, node, priority, ordered=True):
    """Lets a generation wait at an instance; returns its queue and entry."""
    now_s = network.timers.monotonic_s()
    queue = node.queues.get('model', False, ordered)
    entry = waiting.QueueEntry(
        now_s, 4.0, service_order.Urgency(priority), organisation=7
    )
    node.queues.add(queue, entry, now_s)
    return queue, entry


def count_ahead(network, waiter):
    queue, entry = waiter
    return queue.count_ahead(entry, network.timers.monotonic_s())


def test_waiting_generations_are_told_to_others(network):
    """Guards against capacity that a less urgent request takes elsewhere.

    Nothing is told while no request waits, or if priorities are equal.
    """
    first, second, third = network.nodes.values()
    add_waiting(network, third, 0, ordered=False)
    network.timers.advance(1.0)
    assert not any(b'"y"' in data for data in network.datagrams)
    less_urgent = add_waiting(network, second, 1)
    assert count_ahead(network, less_urgent) == 0
    urgent = add_waiting(network, first, 0)
    network.timers.advance(0.05)
    assert count_ahead(network, less_urgent) == 1
    assert count_ahead(network, urgent) == 0
    first.queues.remove(*urgent, network.timers.monotonic_s())
    network.timers.advance(0.05)
    assert count_ahead(network, less_urgent) == 0


def test_the_head_of_an_instance_that_died_is_forgotten(network):
    """Guards against capacity that stays free for a dead instance."""
    first, second, _ = network.nodes.values()
    less_urgent = add_waiting(network, second, 1)
    add_waiting(network, first, 0)
    network.timers.advance(0.1)
    assert count_ahead(network, less_urgent) == 1
    network.cut.add('10.0.0.1')
    network.timers.advance(3.0)
    assert count_ahead(network, less_urgent) == 0


def test_lost_digests_of_a_queue_are_replaced_by_the_next(network):
    """Guards against an order that rests on a single datagram."""
    first, second, _ = network.nodes.values()
    less_urgent = add_waiting(network, second, 1)
    network.cut.add('10.0.0.1')
    add_waiting(network, first, 0)
    network.timers.advance(0.1)
    assert count_ahead(network, less_urgent) == 0
    network.cut.clear()
    # Two periods of the digests.
    network.timers.advance(1.0)
    assert count_ahead(network, less_urgent) == 1


def test_a_queue_takes_few_bytes_of_a_digest():
    """Guards against digests that crowded queues make too large."""
    head = service_order.QueueHead(
        service_order.QueueKey(2**32 - 1, False),
        service_order.Urgency(10**9, 10**9),
        -1e9,
        -1e9,
        True,
    )
    state = service_order.WaitingState(
        (head,) * 2, {2**32 - number: 1e15 for number in range(1, 9)}
    )
    one, two = (
        len(
            orjson.dumps(waiting_codec.encode(attrs.evolve(state, heads=part)))
        )
        for part in (state.heads[:1], state.heads)
    )
    assert two - one <= 60
    decoded = waiting_codec.decode(waiting_codec.encode(state))
    assert decoded.heads[0].queue == head.queue
    assert len(decoded.uses) == 8


def test_a_leaving_peer_is_removed_at_once(network):
    """Guards against load of a stopped instance that stays counted."""
    first, second, _ = network.nodes.values()
    first.exchange.close()
    assert first.closed
    assert second.exchange.instance_count == 2


def test_record_notices_reach_every_peer(network):
    """Guards against peers that must read every change from the store."""
    first, second, third = network.nodes.values()
    record = api.Record('t1', b'{"state":"draining"}', 12)
    first.exchange.send_record_notice(
        api.StoreStream.TARGETS, [record, api.Record('t2', None, 13)], 4
    )
    for node in (second, third):
        (batch,) = node.record_notices
        assert batch.era == 4
        assert batch.records == (record, api.Record('t2', None, 13))


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'{}',
        b'{"n": 7}',
        b'{"n": [["k"]]}',
        b'{"n": [], "e": "x"}',
        b'{"d": [["t1"]]}',
        b'>',
        b'>\x00\x03\x00\x02{}',
        b'>\x00\x00\x00\x00{}',
        orjson.dumps({'i': 'x', 'h': 'h', 'z': 'a', 'b': 1, 's': 'y'}),
        orjson.dumps(
            {'i': 'x', 'h': 'h', 'z': 'a', 'b': 1, 's': 1, 'l': [['t', 'x']]}
        ),
        orjson.dumps(
            {
                'i': 'x',
                'h': 'h',
                'z': 'a',
                'b': 1,
                's': 1,
                'l': [],
                'r': {'t': 1},
            }
        ),
    ],
)
def test_a_bad_datagram_changes_nothing(network, data):
    """Guards against malformed and foreign datagrams."""
    first = network.nodes['10.0.0.1']
    first.exchange.datagram_received(data, ('10.9.9.9', 1))
    assert first.exchange.instance_count == 3
    assert first.record_notices == []


def send_digest_of_other_start(network):
    """Sends a digest of instance 2 with an earlier start time.

    Returns:
        The instance that receives the digest.
    """
    first = network.nodes['10.0.0.1']
    digest = {
        'i': 'node-10.0.0.2',
        'h': '10.0.0.2',
        'z': 'a',
        'b': 1,
        's': 1,
        'l': [['t', 9, 9, 0]],
    }
    first.exchange.datagram_received(orjson.dumps(digest), ('10.0.0.2', 1))
    return first


def test_an_old_digest_changes_nothing(network):
    """Guards against datagrams that arrive out of order."""
    first = send_digest_of_other_start(network)
    assert first.loads.get('t').peer_running == 0


def test_a_restart_with_an_earlier_wall_time_is_accepted(network):
    """Guards against restarted instances that are ignored.

    If the wall clock was set back before the restart, the digests were
    taken for old ones until the previous start counted as silent. In a large
    deployment this takes most of a minute.
    """
    second = network.nodes['10.0.0.2']
    second.loads.get('t').running = 2
    second.exchange.schedule_digest()
    network.timers.advance(0.05)
    network.cut.add('10.0.0.2')
    network.timers.advance(0.6)
    first = send_digest_of_other_start(network)
    assert first.loads.get('t').peer_running == 9


def test_all_instances_of_a_large_deployment_find_each_other():
    """Guards against instances that discover only their own zone."""
    network = Network()
    for number in range(1, 61):
        network.add(f'10.0.0.{number}')
    network.timers.advance(8.0)
    counts = {node.exchange.instance_count for node in network.nodes.values()}
    assert counts == {60}


def test_a_budget_is_shared_with_silent_instances(network):
    """Guards against budget shares that grow while all instances serve."""
    network.cut.add('10.0.0.3')
    network.timers.advance(4.0)
    assert network.nodes['10.0.0.2'].exchange.instance_count == 2
    network.add('10.0.0.4')
    network.timers.advance(1.0)
    instance_counts = network.nodes['10.0.0.2'].budgets.instance_counts
    assert (instance_counts.ever_seen, instance_counts.reachable) == (4, 3)


def test_reports_reach_every_peer(network):
    """Guards against a read by each instance of what one has read."""
    first, second, third = network.nodes.values()
    report = stream_api.ReadReport(7, 'c', 0.25, era=3)
    first.reports[api.StoreStream.TARGETS] = report
    first.exchange.send_reports()
    for node in (second, third):
        host, reports = node.received_reports[-1]
        assert host == '10.0.0.1'
        assert reports == {api.StoreStream.TARGETS: report}


def test_the_load_of_a_restarted_peer_is_discarded(network):
    """Guards against load of a peer's previous start that stays counted."""
    first, second, _ = network.nodes.values()
    first.loads.get('t').running = 2
    first.exchange.schedule_digest()
    network.timers.advance(0.1)
    del network.nodes['10.0.0.1']
    network.timers.advance(0.1)
    network.add('10.0.0.1')
    network.timers.advance(1.0)
    assert second.loads.get('t').peer_running == 0


def test_retries_reach_every_peer(network):
    """Guards against instances that together exceed the retry budget."""
    first, second, _ = network.nodes.values()
    first.budgets.subscribe(first.exchange.schedule_digest)
    while first.budgets.take('s', network.timers.monotonic_s(), urgent=True):
        pass
    network.timers.advance(0.05)
    assert not second.budgets.take('s', network.timers.monotonic_s())


DEPARTURE = targets.Departure('t1', 1_700_000_000_000, announced=True)


def test_a_departure_reaches_every_peer(network):
    """Guards against peers that send work to a leaving target."""
    first, second, third = network.nodes.values()
    first.exchange.send_departure(DEPARTURE)
    assert (
        second.received_departures == third.received_departures == [DEPARTURE]
    )
    assert first.received_departures == []


def test_a_new_instance_receives_known_departures(network):
    """Guards against departed targets in use at a restarted instance.

    The store may have been restored from a copy that still has their entries.
    """
    network.nodes['10.0.0.1'].known_departures = (DEPARTURE,)
    new_node = network.add('10.0.0.4')
    network.timers.advance(1.0)
    assert DEPARTURE in new_node.received_departures


def exchange_with(*parts):
    """Returns a request with shared parts of its prompt."""
    request = api.CallerRequest(
        'r', 'POST', '/', '', '', None, [], b'', shared_parts=parts
    )
    return exchanges.Exchange(request, *[None] * 8)


def report_crashes(nodes):
    """Reports a crash on the same part at each of the instances."""
    network = nodes[0].network
    for number, node in enumerate(nodes):
        engine = targets.Target(
            f't{number}',
            's',
            '10.1.0.1',
            80,
            'a',
            8,
            targets.TargetState.READY,
        )
        request = end_detection.InFlight.of(exchange_with('bad', 'a'))
        node.prompt_guard.report_end(end_detection.End(engine, (request,)))
        if number == 0:
            # Ends at the same moment count once.
            network.timers.advance(0.5)


def blocked_at(nodes, *parts):
    return [
        node.prompt_guard.find_error(exchange_with(*parts)) is not None
        for node in nodes
    ]


def test_crashes_at_different_instances_block_a_prompt_everywhere(network):
    """Guards against instances that each have to see all crashes."""
    nodes = list(network.nodes.values())
    report_crashes(nodes[:2])
    network.timers.advance(0.01)
    assert blocked_at(nodes, 'bad', 'a') == [True] * 3
    nodes[2].prompt_guard.report_sound(exchange_with('a'))
    network.timers.advance(0.31)
    assert blocked_at(nodes, 'bad') == [True] * 3
    assert blocked_at(nodes, 'a') == [False] * 3


def test_a_lost_report_of_a_crash_is_sent_again(network):
    """Guards against further crashes after a lost datagram."""
    nodes = list(network.nodes.values())
    network.cut.add('10.0.0.3')
    report_crashes(nodes[:2])
    network.cut.clear()
    network.timers.advance(0.6)
    assert blocked_at(nodes, 'bad', 'a') == [True] * 3


def test_a_new_instance_learns_of_crashes(network):
    """Guards against further crashes through a restarted instance."""
    report_crashes(list(network.nodes.values())[:2])
    network.timers.advance(1.0)
    new_node = network.add('10.0.0.4')
    network.timers.advance(1.0)
    assert blocked_at([new_node], 'bad', 'a') == [True]


def test_a_new_instance_learns_of_crashes_of_long_prompts(network):
    """Guards against findings that are lost with a datagram that is too big.

    The largest datagram of IPv4 has 65,507 bytes.
    """
    parts = ('bad', *(f'{number:032x}' for number in range(250)))
    node = network.nodes['10.0.0.1']
    for number in range(12):
        engine = targets.Target(
            f't{number}', 's', 'h', 80, 'a', 8, targets.TargetState.READY
        )
        request = end_detection.InFlight.of(exchange_with(*parts))
        node.prompt_guard.report_end(end_detection.End(engine, (request,)))
        network.timers.advance(0.5)
    new_node = network.add('10.0.0.4')
    network.timers.advance(1.0)
    assert blocked_at([new_node], *parts) == [True]
    assert max(map(len, network.datagrams)) < 20_000


def test_an_instance_that_restarts_quickly_learns_of_crashes(network):
    """Guards against further crashes through an instance that never left."""
    report_crashes(list(network.nodes.values())[:2])
    network.timers.advance(3.0)
    restarted = network.add('10.0.0.3')
    network.timers.advance(0.6)
    assert blocked_at([restarted], 'bad', 'a') == [True]


def test_a_lost_report_of_sound_parts_is_sent_again(network):
    """Guards against instances that suspect different parts."""
    nodes = list(network.nodes.values())
    report_crashes(nodes[:2])
    network.cut.add('10.0.0.3')
    nodes[0].prompt_guard.report_sound(exchange_with('a'))
    network.cut.clear()
    network.timers.advance(0.2)
    assert blocked_at(nodes, 'bad') == [True] * 3


def test_a_cut_instance_learns_of_crashes(network):
    """Guards against crashes during a cut that is too short to be noticed."""
    nodes = list(network.nodes.values())
    network.cut.add('10.0.0.3')
    report_crashes(nodes[:2])
    network.timers.advance(0.9)
    network.cut.clear()
    network.timers.advance(1.5)
    assert blocked_at(nodes, 'bad', 'a') == [True] * 3


def limit_statement(rate_per_s):
    return rate_limits.LimitStatement('shop-1', 0, rate_per_s, 0.01)


@pytest.mark.parametrize('rate_per_s', [2.0, rate_limits.UNLIMITED])
def test_an_instance_that_was_cut_off_learns_of_limits(network, rate_per_s):
    """Guards against news that is lost while an instance is cut off."""
    first, cut_off = network.nodes['10.0.0.1'], network.nodes['10.0.0.3']
    if rate_per_s == rate_limits.UNLIMITED:
        first.limiter.report(limit_statement(2.0))
        network.timers.advance(4.0)
    network.cut.add('10.0.0.3')
    network.timers.advance(0.1)
    first.limiter.report(limit_statement(rate_per_s))
    # Shorter than the time after which a silent peer counts as new.
    network.timers.advance(1.1)
    # The last repeat of the news is lost as well.
    first.limiter._target(('shop-1', 0)).news_timers[-1].cancel()
    network.cut.clear()
    network.timers.advance(1.2)
    known = cut_off.limiter.limits.statement('shop-1', 0, 0.0)
    assert known is not None and known.rate_per_s == rate_per_s


async def test_an_instance_that_was_cut_off_learns_of_blocked_requests(
    network,
):
    """Guards against a cut-off instance that goes on to end targets."""
    first, cut_off = network.nodes['10.0.0.1'], network.nodes['10.0.0.3']
    network.cut.add('10.0.0.3')
    network.timers.advance(0.1)
    for number in range(3):
        report = engine_ends.EndReport(
            f'shop-{number}', 0, frozenset({'bad'}), 0.0
        )
        # A finding that is not sent again.
        first.request_guard.apply_finding(report, 'host')
    network.timers.advance(1.1)
    network.cut.clear()
    network.timers.advance(1.2)
    assert cut_off.request_guard._quarantine.find_block('bad', 0.0)


EVACUATION = evacuations.Evacuation('zone-a', True, 7, 1)


@pytest.mark.parametrize('active', [True, False])
def test_an_instance_that_was_cut_off_learns_of_evacuations(network, active):
    """Guards against sends to a zone that an unheard finding evacuated.

    The finding is not sent again once the instance is reachable.
    """
    first, second, cut_off = network.nodes.values()
    for node in network.nodes.values():
        registry = node.findings.evacuation_registry
        registry.apply(attrs.evolve(EVACUATION, active=not active, offset=3))
    network.cut.add('10.0.0.3')
    network.timers.advance(1.0)
    evacuation = attrs.evolve(EVACUATION, active=active)
    first.findings.evacuation_registry.apply(evacuation)
    first.findings.send_finding(evacuation)
    network.timers.advance(0.05)
    assert second.findings.evacuation_registry.find('zone-a') == evacuation
    network.timers.advance(4.0)
    network.cut.clear()
    network.timers.advance(3.0)
    assert cut_off.findings.evacuation_registry.find('zone-a') == evacuation


def test_an_instance_that_starts_learns_of_evacuations(network):
    """Guards against sends of an instance that cannot read the store."""
    first = network.nodes['10.0.0.1']
    first.findings.evacuation_registry.apply(EVACUATION)
    started = network.add('10.0.0.4')
    network.timers.advance(0.2)
    assert started.findings.evacuation_registry.zones == {'zone-a'}


@pytest.mark.parametrize(
    'row', [['', 1, 1, 1], ['a', 1, -2, 1], ['a', 1, 1], [7, 1, 1, 1]]
)
def test_an_invalid_evacuation_is_dropped(row):
    """Guards against findings that no store can have caused."""
    with pytest.raises(digests.DatagramInvalid):
        digests.decode(orjson.dumps({'v': row}))
