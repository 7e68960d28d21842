"""Tests of the membership protocol in virtual time."""

import random

import attrs
import pytest

from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options
from dotterelweir_core.membership import state
from dotterelweir_core.targets import model
from dotterelweir_fakes import datagrams

ALIVE = messages.MemberState.ALIVE
DEAD = messages.MemberState.DEAD
LEFT = messages.MemberState.LEFT


def name(index):
    return f'instance-{index:04d}'


def deaths(group, member_id=None):
    return [
        (node.name, at_s, effect.member.member_id)
        for node in group.nodes.values()
        for at_s, effect in node.effects
        if isinstance(effect, options.MemberChanged)
        and effect.member.state == DEAD
        and member_id in (None, effect.member.member_id)
    ]


@pytest.mark.parametrize(('count', 'limit_s'), [(2, 5), (6, 6), (53, 12)])
def test_detection_time(make_group, count, limit_s):
    """Guards against a stopped instance that stays live for too long."""
    group = make_group(count)
    group.stop(name(1))
    group.run_until(group.has_converged, limit_s)
    assert len(deaths(group)) == count - 1


@pytest.mark.parametrize(
    ('count', 'seed', 'seconds'),
    [(6, 1, 300), (6, 2, 300), (6, 3, 300), (53, 1, 60)],
)
def test_no_false_death_under_loss(make_group, count, seed, seconds):
    """Guards against running instances declared dead under 20% loss."""
    group = make_group(count, seed)
    group.faults.loss = 0.2
    group.faults.duplication = 0.05
    group.faults.delay_s = (0.001, 0.05)
    group.run(seconds)
    assert deaths(group) == []
    group.faults.loss = 0.0
    group.run_until(group.has_converged, 10)


def test_refutation(make_group):
    """Guards against a suspicion that the suspected member cannot refute."""
    group = make_group(6)
    subject = group.nodes[name(1)]
    before = subject.machine.own_member.incarnation
    node = group.nodes[name(0)]
    suspicion = attrs.evolve(
        subject.machine.own_member, state=messages.MemberState.SUSPECT
    )
    datagram = messages.Datagram(
        messages.Kind.GOSSIP, name(2), 0, members=(suspicion,)
    )
    group.apply_effects(
        node, node.machine.receive(datagram, '10.0.0.3', 7000, group.now_s)
    )
    group.run_until(lambda: subject.machine.own_member.incarnation > before, 3)
    group.run(10)
    assert deaths(group) == []
    for other in group.nodes.values():
        assert all(m.state == ALIVE for m in other.machine.members())


@pytest.mark.parametrize('count', [6, 53])
def test_partition_and_heal(make_group, count):
    """Guards against parts of a group that do not rejoin after a partition."""
    group = make_group(count)
    names = sorted(group.nodes)
    half = len(names) // 2
    group.faults.partition(names[:half], names[half:])
    group.run(60)
    for node in group.nodes.values():
        side = names[:half] if node.name in names[:half] else names[half:]
        assert set(node.machine.live_ids()) == set(side)
    group.faults.cut_pairs.clear()
    group.run_until(group.has_converged, 30)


def test_one_way_cut_declares_no_other_member_dead(make_group):
    """Guards against an isolated instance that declares the others dead.

    It can still send but receives nothing.
    """
    group = make_group(6)
    isolated = name(0)
    group.faults.cut_pairs = {(other, isolated) for other in group.nodes}
    group.run(60)
    declared_dead = {d[2] for d in deaths(group) if d[0] != isolated}
    assert declared_dead == {isolated}
    group.faults.cut_pairs.clear()
    group.run_until(group.has_converged, 15)


def test_cut_between_two_declares_no_member_dead(make_group):
    """Guards against a member declared dead because of one broken link."""
    group = make_group(6)
    group.faults.partition([name(0)], [name(1)])
    group.run(120)
    assert deaths(group) == []


def test_flapping_instance_ends_alive(make_group):
    """Guards against a stale record that stays valid after many changes."""
    group = make_group(6)
    others = [n for n in group.nodes if n != name(1)]
    for _ in range(10):
        group.faults.partition([name(1)], others)
        group.run(6)
        group.faults.cut_pairs.clear()
        group.run(3)
    group.run_until(group.has_converged, 15)


def test_restart_has_a_new_incarnation(make_group):
    """Guards against the record of an old run that outlives a restart."""
    group = make_group(6)
    old = group.nodes[name(1)].machine.own_member.incarnation
    group.stop(name(1))
    group.run(20)
    group.start(1, [0, 1, 2])
    assert group.run_until(group.has_converged, 10) < 5
    for node in group.nodes.values():
        for member in node.machine.members():
            assert member.member_id != name(1) or member.incarnation > old


def test_restart_with_a_clock_that_went_back(make_group):
    """Guards against a new run that stays dead after its clock went back.

    Its incarnation is below that of the old run until it refutes.
    """
    group = make_group(6)
    node = group.nodes[name(1)]
    old = node.machine.own_member.incarnation
    group.stop(name(1))
    group.run(20)
    own = attrs.evolve(node.machine.own_member, incarnation=5)
    node = group.start(1, [])
    node.machine = state.Membership(
        own, options.Options(), random.Random(1), group.now_s
    )
    node.machine.set_contacts([group.contact(0)])
    group.apply_effects(node, [])
    group.run_until(group.has_converged, 10)
    assert node.machine.own_member.incarnation > old


@pytest.mark.parametrize(('count', 'limit_s'), [(6, 10), (53, 20)])
def test_mass_restart(make_group, count, limit_s):
    """Guards against a group that forms slowly when all restart at once."""
    group = make_group(count)
    group.run(10)
    group.start_many(count)
    assert group.run_until(group.has_converged, limit_s) < limit_s
    group.run(20)
    assert deaths(group) == []


@pytest.mark.parametrize('loss', [0.0, 0.2])
@pytest.mark.parametrize('count', [6, 53])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_leaving_notice_reaches_every_instance(make_group, count, loss, seed):
    """Guards against a leaving notice that takes over 2 s to spread (P5).

    All instances must have the notice within 3 s of the leaving, and the
    poll that detects the leaving takes up to 1 s of that time. The list of
    instances is not needed.
    """
    group = make_group(count, seed)
    group.run(30)
    group.faults.loss = loss
    node = group.nodes[name(0)]
    begin_s = group.now_s
    node.machine.announce_leaving('engine-1', 7, group.now_s)
    group.apply_effects(node, [])
    group.run(5)
    for other in group.nodes.values():
        if other is not node:
            times = other.effect_times_s(
                options.TargetLeaving, target_id='engine-1'
            )
            assert len(times) == 1
            assert times[0] - begin_s <= 2.0


def test_wave_of_leaving_targets(make_group):
    """Guards against notices of a whole zone that exceed the budget (P5)."""
    group = make_group(53)
    group.run(30)
    for index in range(240):
        node = group.nodes[name(index % 53)]
        node.machine.announce_leaving(f'engine-{index}', 7, group.now_s)
        group.apply_effects(node, [])
    group.run_until(
        lambda: all(
            len(n.machine.leaving()) == 240 for n in group.nodes.values()
        ),
        2.0,
    )


def test_expired_records_are_dropped_everywhere():
    """Guards against old notices and members that exchanged pages retain."""
    group = datagrams.Group(1, options=options.Options(retention_s=60.0))
    group.start_many(6)
    group.run_until(group.has_converged, 10)
    node = group.nodes[name(0)]
    node.machine.announce_leaving('engine-1', 7, group.now_s)
    group.apply_effects(node, [])
    group.stop(name(1))
    group.run(40)
    for other in group.nodes.values():
        assert len(other.machine.leaving()) == 1
        assert len(other.machine.members()) == 5
    group.run(120)
    for other in group.nodes.values():
        assert other.machine.leaving() == ()
        assert len(other.machine.members()) == 4
        if other is not node:
            assert len(other.effect_times_s(options.TargetLeaving)) == 1


def test_leaving_notice_crosses_a_healed_partition(make_group):
    """Guards against a notice whose sends all ended during a partition."""
    group = make_group(6)
    names = sorted(group.nodes)
    group.faults.partition(names[:3], names[3:])
    node = group.nodes[name(0)]
    node.machine.announce_leaving('engine-1', 7, group.now_s)
    group.apply_effects(node, [])
    group.run(60)
    assert not group.nodes[name(5)].machine.leaving()
    group.faults.cut_pairs.clear()
    group.run_until(
        lambda: all(n.machine.leaving() for n in group.nodes.values()), 5
    )


def test_graceful_leave_is_known_at_once(make_group):
    """Guards against a planned stop that is detected only by suspicion."""
    group = make_group(6)
    node = group.nodes[name(1)]
    group.apply_effects(node, node.machine.leave(group.now_s))
    group.run(0.1)
    group.stop(name(1))
    assert group.run_until(group.has_converged, 2) < 2
    group.run(60)
    assert deaths(group) == []


def test_paused_process_declares_no_other_dead(make_group):
    """Guards against timeouts that expire while the process is paused."""
    group = make_group(6)
    node = group.nodes[name(0)]
    node.wakeup.cancel()
    group.faults.partition([name(0)], [n for n in group.nodes if n != name(0)])
    group.run(30)
    group.faults.cut_pairs.clear()
    group.apply_effects(node, [])
    group.run(20)
    assert {d[2] for d in deaths(group)} == {name(0)}
    assert group.has_converged()


def test_dead_instance_in_a_lagging_list_stays_dead(make_group):
    """Guards against a dead instance revived by an outdated list."""
    group = make_group(6)
    group.stop(name(1))
    group.run(60)
    assert group.has_converged()
    assert len(deaths(group)) == 5


def test_offset_that_is_ahead_is_announced(make_group):
    """Guards against an instance that never learns of a higher offset."""
    group = make_group(6)
    group.nodes[name(2)].machine.set_offset(41)
    group.run(5)
    for node in group.nodes.values():
        if node.name != name(2):
            ahead = node.machine.peers_ahead(40)
            assert [m.member_id for m in ahead] == [name(2)]
            assert node.effect_times_s(options.PeerAhead, offset=41)
    assert group.nodes[name(0)].machine.peers_ahead(41) == ()


def test_reports_reach_the_zone_only(make_group):
    """Guards against load reports that are lost or cross zones."""
    group = make_group(6, zones=2)
    for second in range(10):
        for index in range(10):
            report = model.LoadReport(
                f'engine-{index}', 7, measured_at_s=float(second + 1)
            )
            group.nodes[name(0)].machine.announce_report(report, group.now_s)
        group.run(1)
    for index in (2, 4):
        received = group.nodes[name(index)].effect_times_s(
            options.ReportReceived
        )
        assert len(received) >= 30
    for index in (1, 3, 5):
        assert not group.nodes[name(index)].effect_times_s(
            options.ReportReceived
        )


def test_datagrams_keep_their_bound(make_group):
    """Guards against datagrams above the size bound with many updates."""
    group = make_group(53, joined=False)
    sizes = []
    apply_effects = group.apply_effects

    def measure(node, effects):
        for effect in effects:
            if isinstance(effect, options.Send):
                datagram = effect.datagram
                sizes.append(
                    messages.header_bytes(datagram)
                    + sum(map(messages.member_bytes, datagram.members))
                    + sum(map(messages.leaving_bytes, datagram.leaving))
                    + sum(map(messages.report_bytes, datagram.reports))
                )
        apply_effects(node, effects)

    group.apply_effects = measure
    for index in range(100):
        node = group.nodes[name(index % 53)]
        node.machine.announce_leaving(f'engine-{index}', 7, group.now_s)
    group.run(10)
    assert max(sizes) <= messages.DATAGRAM_MAX_BYTES
