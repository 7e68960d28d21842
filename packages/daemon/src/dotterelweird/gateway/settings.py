"""Settings of a gateway process."""

import attrs


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        instance_id: Name of the instance.
        zone: Its availability zone.
        callers: Address for callers.
        ready: Address of the readiness check.
        metrics: Address of the metrics; None to serve none.
        peers_port: Port for datagrams between instances.
        seed_hosts: Addresses of instances to begin with; may be stale.
        grace_s: Time between the request to stop and the end, in seconds.
        repeat_ratio: Repeats allowed for each request of a service.
        repeat_burst: Repeats allowed besides, for all instances together.
        repeat_window_s: Window of the two, in seconds.
        settle_s: Time after the store's return in which entries that
            lapsed meanwhile come back, in seconds.
        memory_bytes: Memory that the process may use.
    """

    instance_id: str
    zone: str
    callers: Address
    ready: Address
    metrics: Address | None
    peers_port: int
    seed_hosts: tuple[str, ...]
    grace_s: float
    repeat_ratio: float
    repeat_burst: float
    repeat_window_s: float
    settle_s: float
    memory_bytes: int
