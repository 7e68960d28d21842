"""Instances that give each other turns over a simulated network."""

import random

from dotterelweir_core import timers
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import digests
from dotterelweird.gateway import limiting
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import statistics


class TurnNetwork:
    """Instances whose datagrams arrive at once, or not at all.

    Args:
        count: Number of instances.
        target: The target to which requests are played.

    Attributes:
        timers: Virtual time.
        rng: Random source.
        lost_share: Share of the datagrams that are lost.
        sides: Parts of a divided network, by host; all hosts are in one
            without a division.
        dead: Hosts of instances that neither send nor receive.
        hosts: Hosts of all instances.
        limiters: The limiter of each instance, by host.
        views: What each instance sees of the others, by host.
        sent_s: Times at which requests were sent, in seconds.
    """

    def __init__(self, count: int, target: targets.Target) -> None:
        self._target = target
        self._statistics = statistics.Statistics()
        self.timers = timers.VirtualTimerService()
        self.rng = random.Random(count)
        self.lost_share = 0.0
        self.sides: dict[str, int] = {}
        self.dead: set[str] = set()
        self.hosts = [f'10.1.{n // 250}.{n % 250}' for n in range(count)]
        self.limiters = {host: self.create(host) for host in self.hosts}
        self.views = {host: self.view(host) for host in self.hosts}
        self.sent_s: list[float] = []

    def create(self, host: str) -> limiting.TargetLimiter:
        """Returns the limiter of an instance that has just started."""
        return limiting.TargetLimiter(
            f'node-{host}',
            self.timers,
            self._statistics,
            lambda receiver, message: self.deliver(host, receiver, message),
            lambda message: self.broadcast(host, message),
            lambda: self.views[host],
        )

    def view(
        self, host: str, hosts: list[str] | None = None
    ) -> peer_view.PeerView:
        """Returns what an instance sees if it reaches the given ones."""
        hosts = self.hosts if hosts is None else hosts
        share = len(hosts) / len(self.hosts)
        return peer_view.PeerView(
            tuple(
                peer_view.Peer(f'node-{other}', other)
                for other in hosts
                if other != host
            ),
            share,
        )

    def deliver(
        self, sender: str, receiver: str, message: digests.Message
    ) -> None:
        """Delivers a message, unless it is lost."""
        message = digests.decode(digests.encode(message))
        apart = self.sides.get(sender) != self.sides.get(receiver)
        if apart or self.rng.random() < self.lost_share:
            return
        if not {sender, receiver} & self.dead:
            self.limiters[receiver].handle_message(message, sender)

    def broadcast(self, sender: str, message: digests.Message) -> None:
        """Delivers a message to all other instances."""
        for receiver in self.hosts:
            if receiver != sender:
                self.deliver(sender, receiver, message)

    async def run(
        self,
        seconds: float,
        load_per_s: float = 60.0,
        urgent_share: float = 0.0,
    ) -> None:
        """Plays requests at random instances and records those sent.

        Args:
            seconds: Duration of the load, in seconds.
            load_per_s: Requests per second.
            urgent_share: Share of the requests that are urgent.
        """
        end_s = self.timers.monotonic_s() + seconds
        while self.timers.monotonic_s() < end_s:
            self.timers.advance(self.rng.expovariate(load_per_s))
            host = self.rng.choice(self.hosts)
            if host in self.dead:
                continue
            urgent = bool(urgent_share) and self.rng.random() < urgent_share
            if await self.limiters[host].acquire(
                self._target, 'request', urgent=urgent
            ):
                self.sent_s.append(self.timers.monotonic_s())
