"""Whether this instance alone has lost its links to the targets.

An instance may be partitioned from all targets while callers, the store and
the other instances still reach it. Single failures do not show that: a target
may have ended, or be out of connections. The load that this answers: ordinary
traffic at an instance whose every new connection fails.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import random

import attrs

from dotterelweir_core.gateway import targets

# Number of different targets, and of their services, that must have failed in
# a row; all of them where fewer are registered. All targets of one service may
# be down at once.
_FAILED_TARGETS_MIN = 3
_FAILED_SERVICES_MIN = 2
# Number of different targets that failed in a row from which on further ones
# are tested.
_SUSPECTED_MIN = 2
# Maximum number of requests in flight over one other instance. It bounds what
# a partitioned instance adds to the load of another one.
_FORWARDED_PER_PEER_MAX = 64


class TargetReach:
    """Tells from new connections whether any target is reached.

    Open connections show nothing: they may live on while no new one is made,
    or hang for a while before they end.

    Attributes:
        lost_since_s: Monotonic time since which no target is reached, in
            seconds; None while targets are reached.
    """

    def __init__(self) -> None:
        self.lost_since_s: float | None = None
        # Services of the targets that failed since a connection was made.
        self._failed: dict[str, str] = {}

    @property
    def failed_targets(self) -> tuple[str, ...]:
        """Targets that failed since a connection was made last, sorted."""
        return tuple(sorted(self._failed))

    def record_connected(self) -> bool:
        """Records a connection to any target.

        Returns:
            Whether targets are reached again.
        """
        self._failed.clear()
        was_lost = self.lost_since_s is not None
        self.lost_since_s = None
        return was_lost

    def record_failed(
        self,
        target: targets.Target,
        registered: Collection[targets.Target],
        now_s: float,
    ) -> bool:
        """Records that no connection to a target was made.

        Args:
            target: The target.
            registered: All registered targets.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the targets are lost, which they were not before.
        """
        self._failed[target.target_id] = target.service
        services = {one.service for one in registered}
        if self.lost_since_s is not None or (
            len(self._failed) < min(_FAILED_TARGETS_MIN, len(registered))
            or len(set(self._failed.values()))
            < min(_FAILED_SERVICES_MIN, len(services))
        ):
            return False
        self.lost_since_s = now_s
        return True

    def is_suspected(self, registered: Collection[targets.Target]) -> bool:
        """Whether a test of further targets is to show if all are lost.

        Args:
            registered: All registered targets.
        """
        return len(self._failed) >= min(_SUSPECTED_MIN, len(registered))

    def choose_test(
        self, registered: Collection[targets.Target], rng: random.Random
    ) -> targets.Target | None:
        """Chooses the target whose connection tells most.

        Args:
            registered: All registered targets.
            rng: Random source.

        Returns:
            The target, one of a service without a failure if there is one;
            None if none is registered.
        """
        services = set(self._failed.values())
        return min(
            registered,
            key=lambda target: (
                target.service in services,
                target.target_id in self._failed,
                rng.random(),
            ),
            default=None,
        )


@attrs.frozen
class ForwardingPeer:
    """Another instance that may send a request to its target.

    Attributes:
        instance_id: Id of the instance.
        host: Its IP address.
        zone: Its availability zone.
    """

    instance_id: str
    host: str
    zone: str


def choose_peer(
    peers: Iterable[ForwardingPeer],
    in_flight: Mapping[str, int],
    zone: str,
    excluded: Collection[str],
    rng: random.Random,
) -> ForwardingPeer | None:
    """Chooses the instance that sends a request in place of this one.

    Requests are spread evenly; the own zone is preferred where that makes no
    difference.

    Args:
        peers: The instances that reach targets.
        in_flight: Requests of this instance in flight over each, by its id.
        zone: Availability zone of this instance.
        excluded: Ids of instances that were tried.
        rng: Random source for ties.

    Returns:
        The instance; None if none may be given a further request.
    """
    candidates = [
        peer
        for peer in peers
        if peer.instance_id not in excluded
        and in_flight.get(peer.instance_id, 0) < _FORWARDED_PER_PEER_MAX
    ]
    return min(
        candidates,
        key=lambda peer: (
            in_flight.get(peer.instance_id, 0),
            peer.zone != zone,
            rng.random(),
        ),
        default=None,
    )
