"""The ``slopes membership`` command: costs against the number of members.

Simulates groups in virtual time, with the codec and the replay protection of
the daemon. CPU time covers the state machine, the codec and the replay
protection, but not the socket calls.
"""

from collections.abc import Callable
from concurrent import futures
import itertools
import statistics
import time
import tracemalloc

import attrs
import click

from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module
from dotterelweir_core.targets import model
from dotterelweir_core.targets import watchers
from dotterelweir_fakes import datagrams
from dotterelweir_fakes import slopes_report
from dotterelweird.peers import codec
from dotterelweird.peers import replay

_KEYS = ('key of the measurement',)
_MEMBERS_PER_ZONE = 53
_TARGETS_PER_ZONE = 243
_WATCHERS = 2
_SIZES = (6, 25, 53, 120, 370)
_CONVERGENCE_TIMEOUT_S = 120.0
# Joins stay in the update queues for about a minute after all
# members of a large group have started at once.
_SETTLE_S = 75.0


@attrs.frozen
class Costs:
    """Costs of one run.

    The attributes are printed under their own names.

    Attributes:
        sent_bytes_per_s: Bytes per second that an instance sends, with IP
            and UDP headers; mean over the instances.
        sent_most_bytes_per_s: Bytes per second of the instance that sends
            most.
        received_bytes_per_s: Bytes per second that an instance receives;
            mean over the instances.
        cpu_percent: CPU use of an instance, in percent of a core; mean over
            the instances.
        news_s: Propagation time of a target's leaving notice to every
            instance, in seconds.
        join_s: Time until every member sees every other one when all start
            at once, in seconds.
    """

    sent_bytes_per_s: float
    sent_most_bytes_per_s: float
    received_bytes_per_s: float
    cpu_percent: float
    news_s: float
    join_s: float


class _Endpoints:
    """Encodes and decodes datagrams, with replay protection per instance."""

    def __init__(self, wall_s: Callable[[], float]) -> None:
        self._codec = codec.Codec(_KEYS)
        self._wall_s = wall_s
        self._guards: dict[str, replay.ReplayGuard] = {}
        self._sequence = itertools.count(1)

    def encode(self, name: str, datagram: messages.Datagram) -> bytes:
        return self._codec.encode(
            codec.Envelope(
                1, next(self._sequence), int(self._wall_s() * 1000), datagram
            )
        )

    def decode(self, name: str, data: bytes) -> messages.Datagram:
        envelope = self._codec.decode(data)
        guard = self._guards.setdefault(name, replay.ReplayGuard())
        guard.check(envelope, self._wall_s())
        return envelope.datagram


def measure(size: int, seed: int, seconds: float) -> Costs:
    """Simulates one group and measures its costs.

    Args:
        size: Number of members.
        seed: Seed of the run.
        seconds: Virtual time that is measured after the group has settled,
            in seconds.

    Returns:
        The costs. ``join_s`` is infinite if the group was not complete
        within the time limit.
    """
    zones = max(1, round(size / _MEMBERS_PER_ZONE))
    group = datagrams.Group(seed, zones, cpu_clock=time.process_time)
    endpoints = _Endpoints(group.timer.wall_s)
    group.set_codec(endpoints.encode, endpoints.decode)
    group.start_many(size)
    join_s = _run_until(
        group, group.has_converged, _CONVERGENCE_TIMEOUT_S, 0.5
    )
    targets_by_watcher = _assign_watchers(group, zones)
    group.timer.call_every(
        1.0, lambda: _announce_reports(group, targets_by_watcher)
    )
    group.run(_SETTLE_S)
    for node in group.nodes.values():
        node.sent_bytes = node.received_bytes = 0
        node.cpu_s = 0.0
    group.run(seconds)
    nodes = list(group.nodes.values())
    sent = [node.sent_bytes / seconds for node in nodes]
    received = [node.received_bytes / seconds for node in nodes]
    cpu = [100.0 * node.cpu_s / seconds for node in nodes]
    return Costs(
        statistics.fmean(sent),
        max(sent),
        statistics.fmean(received),
        statistics.fmean(cpu),
        _propagation_s(group, nodes),
        join_s,
    )


def memory_bytes(size: int) -> int:
    """Returns the memory of one instance's state machine, in bytes.

    Args:
        size: Number of members in its list.
    """
    group = datagrams.Group(1)
    node = group.start(size, [])
    peer_codec = codec.Codec(_KEYS)
    encoded = []
    for index in range(size):
        contact = group.contact(index)
        member = messages.Member(
            contact.member_id, 'zone-0', contact.host, contact.port, 10**12
        )
        datagram = messages.Datagram(
            messages.Kind.SYNC, contact.member_id, 10**12, members=(member,)
        )
        encoded.append(
            peer_codec.encode(codec.Envelope(1, index + 1, 0, datagram))
        )
    tracemalloc.start()
    guard = replay.ReplayGuard()
    for data in encoded:
        envelope = peer_codec.decode(data)
        guard.check(envelope, 0.0)
        node.machine.receive(envelope.datagram, '10.0.0.1', 7000, 0.0)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


@click.command()
@click.option(
    '--size',
    'sizes',
    type=click.IntRange(2, 1000),
    multiple=True,
    default=_SIZES,
    show_default=True,
    help='Number of members; may be repeated.',
)
@click.option('--repeats', default=3, show_default=True)
@click.option(
    '--seconds', default=20.0, show_default=True, help='Measured virtual time.'
)
@click.option('--jobs', default=4, show_default=True, help='Concurrent runs.')
def membership(
    sizes: tuple[int, ...], repeats: int, seconds: float, jobs: int
) -> None:
    """Costs of membership against the number of members."""
    runs: dict[int, list[Costs]] = {size: [] for size in sizes}
    # The large groups run longest, so they start first.
    tasks = [
        (size, seed)
        for size in sorted(sizes, reverse=True)
        for seed in range(repeats)
    ]
    with futures.ProcessPoolExecutor(jobs) as pool:
        results = pool.map(
            measure,
            [size for size, _ in tasks],
            [seed for _, seed in tasks],
            [seconds] * len(tasks),
        )
        for (size, _), costs in zip(tasks, results, strict=True):
            runs[size].append(costs)
    for field in attrs.fields(Costs):
        slopes_report.print_fit(
            field.name,
            'member',
            {
                size: [getattr(run, field.name) for run in costs_of_size]
                for size, costs_of_size in runs.items()
            },
        )
    slopes_report.print_fit(
        'memory_bytes',
        'member',
        {
            size: [float(memory_bytes(size)) for _ in range(repeats)]
            for size in sizes
        },
    )


def _assign_watchers(
    group: datagrams.Group, zones: int
) -> dict[str, list[str]]:
    """Returns the targets that each instance watches, by instance name."""
    targets_by_watcher: dict[str, list[str]] = {
        name: [] for name in group.nodes
    }
    for zone in range(zones):
        names = [
            node.name
            for node in group.nodes.values()
            if node.machine.own_member.zone == f'zone-{zone}'
        ]
        # The ratio of targets to instances that is expected in 2 years.
        count = round(_TARGETS_PER_ZONE * len(names) / _MEMBERS_PER_ZONE)
        for index in range(count):
            target = f'engine-{zone}-{index:03d}'
            for name in watchers.choose_watchers(target, names, _WATCHERS):
                targets_by_watcher[name].append(target)
    return targets_by_watcher


def _announce_reports(
    group: datagrams.Group, targets_by_watcher: dict[str, list[str]]
) -> None:
    """Announces a load report of each target from each of its watchers."""
    for name, targets in targets_by_watcher.items():
        for target in targets:
            report = model.LoadReport(
                target,
                1_700_000_000_000,
                running=24,
                waiting=3,
                memory_used_tokens=412_345,
                memory_total_tokens=524_288,
                measured_at_s=group.timer.wall_s(),
            )
            group.nodes[name].machine.announce_report(report, group.now_s)


def _propagation_s(
    group: datagrams.Group, nodes: list[datagrams.Node]
) -> float:
    """Measures how long a leaving notice takes to reach all instances.

    Returns:
        The time, in seconds.
    """
    announcer = nodes[0]
    started_s = group.now_s
    announcer.machine.announce_leaving('engine-0-000', 1, started_s)
    group.apply_effects(announcer, [])
    _run_until(
        group,
        lambda: all(node.machine.leaving() for node in nodes),
        _CONVERGENCE_TIMEOUT_S,
        0.05,
    )
    return max(
        (
            node.effect_times_s(options_module.TargetLeaving)[0] - started_s
            for node in nodes[1:]
        ),
        default=0.0,
    )


def _run_until(
    group: datagrams.Group,
    condition: Callable[[], bool],
    timeout_s: float,
    step_s: float,
) -> float:
    """Advances virtual time until a condition holds.

    Returns:
        The elapsed virtual time, in seconds; infinite after the timeout.
    """
    started_s = group.now_s
    while not condition():
        if group.now_s - started_s > timeout_s:
            return float('inf')
        group.run(step_s)
    return group.now_s - started_s
