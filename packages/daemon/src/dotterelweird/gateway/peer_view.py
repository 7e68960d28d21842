"""The other instances, as one of them sees them."""

import attrs


@attrs.frozen
class Peer:
    """Another instance.

    Attributes:
        instance_id: Id of the instance.
        host: Its IP address.
        zone: Its availability zone.
        takes_requests: Whether it sends requests of others, by its own word.
    """

    instance_id: str
    host: str
    zone: str = ''
    takes_requests: bool = True


@attrs.frozen
class PeerView:
    """The other instances as this one sees them.

    Attributes:
        peers: The reachable ones.
        reachable_share: Reachable instances, this one included, as a share
            of these and of those that have become silent lately. A part of
            the deployment that is cut off uses its share of the limits.
        paced_share: The same, with the addresses among those that the
            instance was started with at which it has not heard any instance
            yet. An instance that starts while it is cut off must not give
            the turns of all others.
    """

    peers: tuple[Peer, ...] = ()
    reachable_share: float = 1.0
    paced_share: float = 1.0

    @property
    def taking_count(self) -> int:
        """Number of reachable instances that send requests of others."""
        return sum(peer.takes_requests for peer in self.peers)
