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

# Number of different targets that must have failed in a row; all of them where
# fewer are registered.
_FAILED_TARGETS_MIN = 3
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
        self._failed: set[str] = set()

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
        self, target_id: str, registered_count: int, now_s: float
    ) -> bool:
        """Records that no connection to a target was made.

        Args:
            target_id: Id of the target.
            registered_count: Number of registered targets.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the targets are lost, which they were not before.
        """
        self._failed.add(target_id)
        needed = min(_FAILED_TARGETS_MIN, max(1, registered_count))
        if self.lost_since_s is not None or len(self._failed) < needed:
            return False
        self.lost_since_s = now_s
        return True


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
