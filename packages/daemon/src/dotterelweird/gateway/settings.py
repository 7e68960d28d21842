"""Settings of a gateway process."""

import attrs

from dotterelweir_core.gateway import pace as gateway_pace


@attrs.frozen
class Address:
    """An IP address and a port.

    Attributes:
        host: The IP address.
        port: The port.
    """

    host: str
    port: int


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        instance_id: Name of the instance.
        zone: Availability zone of the instance.
        callers: Address at which callers are served.
        ready: Address of the readiness check.
        metrics: Address of the metrics; None to serve none.
        peers_port: Port for datagrams and HTTP calls between instances.
        seed_hosts: IP addresses of instances to contact at the start; may
            be stale.
        grace_s: Time between the request to stop and the end of the process,
            in seconds.
        repeat_ratio: Retries allowed for each request of a service.
        repeat_burst: Further retries allowed per window, for all instances
            together.
        repeat_window_s: Window of the retry budget, in seconds.
        settle_s: Time after the store recovers from an outage within which
            targets write their expired entries again, in seconds.
        memory_bytes: Memory that the process may use, in bytes.
        fds_max: Descriptors that the process may open.
        pace: Pace of targets that have started or recovered.
        forwarding_port: Port at which instances take requests that another
            one cannot send; None to neither take nor pass any.
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
    fds_max: int
    pace: gateway_pace.PaceSettings = gateway_pace.PaceSettings()
    forwarding_port: int | None = None
