"""Simulates a group of instances on a datagram network in virtual time."""

from collections import Counter
from collections.abc import Callable
import random

import attrs

from dotterelweir_core import timers
from dotterelweir_core.membership import messages
from dotterelweir_core.membership import options as options_module
from dotterelweir_core.membership import state

Encode = Callable[[str, messages.Datagram], bytes]
Decode = Callable[[str, bytes], messages.Datagram | None]

# IPv4 and UDP headers, which are included in the byte counts.
HEADER_BYTES = 28


@attrs.define
class Faults:
    """Faults that the simulated network applies to datagrams.

    Attributes:
        loss: Fraction of the datagrams that are lost, 0 to 1.
        duplication: Fraction of the datagrams that arrive twice, 0 to 1.
        delay_s: Minimum and maximum delay, in seconds; datagrams are
            reordered if they differ.
        cut_pairs: Pairs of sender and receiver between which every datagram
            is lost.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.002)
    cut_pairs: set[tuple[str, str]] = attrs.field(factory=set)

    def partition(self, left: list[str], right: list[str]) -> None:
        """Drops all datagrams between two sets of instances.

        Args:
            left: Names of the instances on one side.
            right: Names of the instances on the other side.
        """
        for left_name in left:
            for right_name in right:
                self.cut_pairs |= {
                    (left_name, right_name),
                    (right_name, left_name),
                }


@attrs.define(eq=False)
class Node:
    """One instance of the group.

    Attributes:
        name: Name of the instance.
        machine: Its membership state machine.
        effects: Effects other than sent datagrams, each with the virtual
            time at which it occurred, in seconds.
        sent_bytes: Bytes sent, including headers.
        received_bytes: Bytes received, including headers.
        cpu_s: Time spent in the state machine and the codec, in seconds.
        wakeup: Timer of the next tick of the state machine.
    """

    name: str
    machine: state.Membership
    effects: list[tuple[float, object]] = attrs.field(factory=list)
    sent_bytes: int = 0
    received_bytes: int = 0
    cpu_s: float = 0.0
    wakeup: timers.TimerHandle | None = None

    def effect_times_s(self, kind: type, **fields: object) -> list[float]:
        """Returns when matching effects occurred, in virtual seconds.

        Args:
            kind: Class of the effects.
            **fields: Values of fields that the effects must have.
        """
        return [
            at_s
            for at_s, effect in self.effects
            if isinstance(effect, kind)
            and all(getattr(effect, k) == v for k, v in fields.items())
        ]


class Group:
    """Instances that communicate over the simulated network.

    Attributes:
        timer: Source of virtual time.
        rng: Random source of all choices.
        faults: Faults of the network.
        nodes: Running instances, by name.
        sent_by_kind: Number of datagrams sent, by the name of their kind.
        zones: Number of availability zones.
        cpu_clock: Clock for the time spent in the instances, in seconds.
    """

    def __init__(
        self,
        seed: int,
        zones: int = 1,
        options: options_module.Options | None = None,
        cpu_clock: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Creates an empty group.

        Args:
            seed: Seed of all random choices.
            zones: Number of availability zones that instances are spread
                over.
            options: Parameters of the membership protocol; None for the
                defaults.
            cpu_clock: Clock for the time spent in the instances, in seconds.
        """
        self.timer = timers.VirtualTimerService()
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.nodes: dict[str, Node] = {}
        self.sent_by_kind: Counter[str] = Counter()
        self.zones = zones
        self.cpu_clock = cpu_clock
        self._options = options or options_module.Options()
        self._encode: Encode | None = None
        self._decode: Decode | None = None
        self._addresses: dict[tuple[str, int], str] = {}
        self._starts = 0

    @property
    def now_s(self) -> float:
        """The virtual time, in seconds."""
        return self.timer.monotonic_s()

    def set_codec(self, encode: Encode, decode: Decode) -> None:
        """Sets the codec; without one, datagrams are delivered as objects.

        Args:
            encode: Encodes a datagram. Its first argument is the name of the
                sender.
            decode: Decodes a datagram; returns None for an invalid one. Its
                first argument is the name of the receiver.
        """
        self._encode = encode
        self._decode = decode

    def contact(self, index: int) -> options_module.Contact:
        """Returns the address and the name of an instance."""
        host = f'10.0.{index // 250}.{index % 250 + 1}'
        return options_module.Contact(host, 7000, f'instance-{index:04d}')

    def start(self, index: int, contacts: list[int]) -> Node:
        """Starts or restarts an instance with an empty state.

        Args:
            index: Number of the instance, from 0.
            contacts: Numbers of the instances that it contacts to join.
        """
        self._starts += 1
        contact = self.contact(index)
        own = messages.Member(
            contact.member_id,
            f'zone-{index % self.zones}',
            contact.host,
            contact.port,
            int(self.timer.wall_s() * 1000),
        )
        machine = state.Membership(
            own,
            self._options,
            random.Random(self.rng.getrandbits(64)),
            self.now_s,
        )
        machine.set_contacts(self.contact(other) for other in contacts)
        self.stop(contact.member_id)
        node = Node(contact.member_id, machine)
        self.nodes[node.name] = node
        self._addresses[contact.host, contact.port] = node.name
        self._schedule(node)
        return node

    def start_many(self, count: int) -> list[Node]:
        """Starts instances that all have each other as contacts."""
        indices = list(range(count))
        return [self.start(index, indices) for index in indices]

    def stop(self, name: str) -> None:
        """Stops an instance without announcing it to the group."""
        node = self.nodes.pop(name, None)
        if node is not None and node.wakeup is not None:
            node.wakeup.cancel()

    def run(self, seconds: float) -> None:
        """Advances the virtual time by a number of seconds."""
        self.timer.advance(seconds)

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float:
        """Advances the virtual time until a condition holds.

        Args:
            done: The condition.
            limit_s: Time within which it must hold, in seconds.

        Returns:
            The time until the condition held, in seconds.

        Raises:
            AssertionError: The condition did not hold within the limit.
        """
        begin_s = self.now_s
        while not done():
            if self.now_s - begin_s > limit_s:
                raise AssertionError(f'not done within {limit_s} s')
            self.timer.advance(0.05)
        return self.now_s - begin_s

    def has_converged(self) -> bool:
        """Whether the live members of each instance are the running ones."""
        names = set(self.nodes)
        return all(
            set(node.machine.live_ids()) == names
            for node in self.nodes.values()
        )

    def apply_effects(
        self, node: Node, effects: list[options_module.Effect]
    ) -> None:
        """Sends datagrams and records the other effects of an instance."""
        for effect in effects:
            if isinstance(effect, options_module.Send):
                self._send(node, effect)
            else:
                node.effects.append((self.now_s, effect))
        self._schedule(node)

    def _schedule(self, node: Node) -> None:
        if self.nodes.get(node.name) is not node:
            return
        if node.wakeup is not None:
            node.wakeup.cancel()
        begin_s = self.cpu_clock()
        delay_s = node.machine.next_wakeup_s() - self.now_s
        node.cpu_s += self.cpu_clock() - begin_s
        node.wakeup = self.timer.call_after(
            min(max(0.0, delay_s), 3600.0), lambda: self._tick(node)
        )

    def _tick(self, node: Node) -> None:
        begin_s = self.cpu_clock()
        effects = node.machine.tick(self.now_s)
        node.cpu_s += self.cpu_clock() - begin_s
        self.apply_effects(node, effects)

    def _send(self, node: Node, send: options_module.Send) -> None:
        self.sent_by_kind[send.datagram.kind.name] += 1
        payload: bytes | messages.Datagram = send.datagram
        if self._encode is not None:
            begin_s = self.cpu_clock()
            payload = self._encode(node.name, send.datagram)
            node.cpu_s += self.cpu_clock() - begin_s
            node.sent_bytes += len(payload) + HEADER_BYTES
        receiver = self._addresses.get((send.host, send.port))
        if receiver is None or (node.name, receiver) in self.faults.cut_pairs:
            return
        if self.rng.random() < self.faults.loss:
            return
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        own = node.machine.own_member
        for _ in range(copies):
            self.timer.call_after(
                self.rng.uniform(*self.faults.delay_s),
                lambda: self._deliver(receiver, payload, own.host, own.port),
            )

    def _deliver(
        self,
        receiver: str,
        payload: bytes | messages.Datagram,
        host: str,
        port: int,
    ) -> None:
        node = self.nodes.get(receiver)
        if node is None:
            return
        begin_s = self.cpu_clock()
        datagram: messages.Datagram | None
        if isinstance(payload, bytes):
            node.received_bytes += len(payload) + HEADER_BYTES
            datagram = self._decode(node.name, payload)
        else:
            datagram = payload
        effects = []
        if datagram is not None:
            effects = node.machine.receive(datagram, host, port, self.now_s)
        node.cpu_s += self.cpu_clock() - begin_s
        self.apply_effects(node, effects)
