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
            of these, of those that have become silent lately, and of the
            addresses at which an instance may be that was not heard yet. A
            part of the deployment that is cut off uses its share of the
            limits.
        is_informed: Whether this instance has heard another one, or has read
            in the store that there is none. Until then it does not know how
            many there are, and that it hears nobody is no sign that it is
            alone.
    """

    peers: tuple[Peer, ...] = ()
    reachable_share: float = 1.0
    is_informed: bool = True

    @property
    def taking_count(self) -> int:
        """Number of reachable instances that send requests of others."""
        return sum(peer.takes_requests for peer in self.peers)
