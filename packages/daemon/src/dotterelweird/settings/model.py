"""The settings of one instance. docs/settings.md describes each key."""

import attrs


def _validate_positive(
    instance: object, attribute: attrs.Attribute, value: float
) -> None:
    if value <= 0:
        raise ValueError(f'must be above 0, not {value}')


def _validate_not_negative(
    instance: object, attribute: attrs.Attribute, value: float
) -> None:
    if value < 0:
        raise ValueError(f'must be at least 0, not {value}')


def _validate_port(
    instance: object, attribute: attrs.Attribute, value: int
) -> None:
    if not 0 <= value <= 65535:
        raise ValueError(f'must be a port from 0 to 65535, not {value}')


def _validate_not_empty(
    instance: object, attribute: attrs.Attribute, value: str
) -> None:
    if not value:
        raise ValueError('must not be empty')


def _validate_keys(
    instance: object, attribute: attrs.Attribute, value: tuple[str, ...]
) -> None:
    if not value:
        raise ValueError('at least one key, not []')
    if any(not 16 <= len(key.encode()) <= 64 for key in value):
        raise ValueError('keys of 16 to 64 bytes, not a shorter or longer one')


def _validate_log_level(
    instance: object, attribute: attrs.Attribute, value: str
) -> None:
    levels = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
    if value not in levels:
        raise ValueError(f'one of {", ".join(levels)}, not {value}')


@attrs.frozen
class Address:
    """An IP address and a port.

    Attributes:
        host: IP address.
        port: Port; 0 lets the system choose.
    """

    host: str = attrs.field(default='127.0.0.1', validator=_validate_not_empty)
    port: int = attrs.field(default=0, validator=_validate_port)


@attrs.frozen
class Callers:
    """The HTTP interface for callers.

    Attributes:
        listen: Address of the callers' HTTP port.
        organisation_header: Header in which the balancer passes the
            organisation.
        default_organisation: Organisation of requests without the header;
            None rejects these requests.
        body_max_bytes: Largest accepted request body.
        header_max_bytes: Largest accepted header field.
        memory_mb: Memory of the process in MB; what callers may take of it
            follows from it.
        fds_max: Descriptors of the process; callers' connections use at most
            half of what is above 200.
    """

    listen: Address = attrs.field(factory=Address)
    organisation_header: str = attrs.field(
        default='X-Organisation', validator=_validate_not_empty
    )
    default_organisation: str | None = None
    body_max_bytes: int = attrs.field(
        default=4_194_304, validator=_validate_positive
    )
    header_max_bytes: int = attrs.field(
        default=8_190, validator=_validate_positive
    )
    memory_mb: float = attrs.field(default=512.0, validator=_validate_positive)
    fds_max: int = attrs.field(default=4_096, validator=_validate_positive)


@attrs.frozen
class Platform:
    """The platform's services.

    Attributes:
        log_url: Base URL of the log service.
        instances_url: Base URL of the instance list.
        weights_url: Base URL of the weight store. If it is empty, engines are
            loaded by other means and this instance issues no orders.
        instances_period_s: Time between two reads of the instance list.
        log_wait_s: Maximum time that one read of the log waits for records.
        log_timeout_s: Timeout for connecting to the log, for an append, and
            for a request to the instance list or the weight store. The
            response to a read may take 8 s longer than the read waits for
            records.
        log_retention_s: How long the log keeps records.
        config_stream: Stream of the tables of routes and pools.
        control_stream: Stream of leases.
        claim_stream_prefix: Prefix of the claim streams.
        claim_partitions: Number of claim streams.
    """

    log_url: str = attrs.field(validator=_validate_not_empty)
    instances_url: str = attrs.field(validator=_validate_not_empty)
    weights_url: str = ''
    instances_period_s: float = attrs.field(
        default=1.0, validator=_validate_positive
    )
    log_wait_s: float = attrs.field(default=5.0, validator=_validate_positive)
    log_timeout_s: float = attrs.field(
        default=2.0, validator=_validate_positive
    )
    log_retention_s: float = attrs.field(
        default=604_800.0, validator=_validate_positive
    )
    config_stream: str = attrs.field(
        default='config', validator=_validate_not_empty
    )
    control_stream: str = attrs.field(
        default='control', validator=_validate_not_empty
    )
    claim_stream_prefix: str = attrs.field(
        default='claims-', validator=_validate_not_empty
    )
    claim_partitions: int = attrs.field(
        default=1, validator=_validate_positive
    )


@attrs.frozen
class Claims:
    """Idempotency claims.

    Attributes:
        window_s: Lifetime of a claim; shorter than the retention of the log.
        append_interval_s: Minimum time between two appends.
        decision_timeout_s: Maximum time that a call waits for the decision on
            its claim.
        repeat_wait_s: Maximum time that a repeated call waits for the call
            in progress to end; 0 refuses it at once.
        dispatch_limit_s: Maximum time from the append of a claim to dispatch.
        outcome_max_bytes: Largest body that is stored with an outcome.
    """

    window_s: float = attrs.field(
        default=86_400.0, validator=_validate_positive
    )
    append_interval_s: float = attrs.field(
        default=0.05, validator=_validate_positive
    )
    decision_timeout_s: float = attrs.field(
        default=5.0, validator=_validate_positive
    )
    repeat_wait_s: float = attrs.field(
        default=2.0, validator=_validate_not_negative
    )
    dispatch_limit_s: float = attrs.field(
        default=30.0, validator=_validate_positive
    )
    outcome_max_bytes: int = attrs.field(
        default=16_384, validator=_validate_positive
    )


@attrs.frozen
class Delivery:
    """Attempts and streams.

    Attributes:
        connect_timeout_s: Timeout for connecting to a target.
        first_token_timeout_s: Timeout for the first token from one engine.
        stall_timeout_s: Time without progress after which a stream is
            resumed on a new connection.
        resume_attempts: Number of resumes without progress after which a
            generation is abandoned.
        resume_window_s: How long an engine keeps a generation after its
            reader has disconnected.
        stream_buffer_bytes: Maximum size of the buffer for a slow reader.
        retry_ratio: Retries allowed per request, on average.
    """

    connect_timeout_s: float = attrs.field(
        default=1.0, validator=_validate_positive
    )
    first_token_timeout_s: float = attrs.field(
        default=30.0, validator=_validate_positive
    )
    stall_timeout_s: float = attrs.field(
        default=5.0, validator=_validate_positive
    )
    resume_attempts: int = attrs.field(default=4, validator=_validate_positive)
    resume_window_s: float = attrs.field(
        default=30.0, validator=_validate_positive
    )
    stream_buffer_bytes: int = attrs.field(
        default=65_536, validator=_validate_positive
    )
    retry_ratio: float = attrs.field(
        default=0.2, validator=_validate_not_negative
    )


@attrs.frozen
class Peers:
    """Communication between instances.

    Attributes:
        keys: Secrets of the keyed digest, 16 to 64 bytes each. The first
            signs, all verify.
        listen: UDP address; the peer HTTP port has the same number.
        period_s: Time between two probes.
        seeds: Addresses of peers that are contacted in addition to the
            instance list.
    """

    keys: tuple[str, ...] = attrs.field(validator=_validate_keys)
    listen: Address = attrs.field(factory=Address)
    period_s: float = attrs.field(default=0.5, validator=_validate_positive)
    seeds: tuple[Address, ...] = ()


@attrs.frozen
class Targets:
    """Polling of targets.

    Attributes:
        load_period_s: Time between two polls of the load report of a target.
        load_timeout_s: Timeout for polling one load report.
        watchers_per_target: Number of instances that poll each target; 0 for
            all.
    """

    load_period_s: float = attrs.field(
        default=1.0, validator=_validate_positive
    )
    load_timeout_s: float = attrs.field(
        default=1.0, validator=_validate_positive
    )
    watchers_per_target: int = attrs.field(
        default=0, validator=_validate_not_negative
    )


@attrs.frozen
class Limits:
    """Limits on admission and queueing.

    Attributes:
        queue_max_requests: Maximum number of queued requests in this
            instance.
        queue_timeout_s: Maximum time that a request is queued.
        limit_instances_min: Minimum number of instances among which the
            limits of organisations are divided.
    """

    queue_max_requests: int = attrs.field(
        default=1_000, validator=_validate_positive
    )
    queue_timeout_s: float = attrs.field(
        default=30.0, validator=_validate_positive
    )
    limit_instances_min: int = attrs.field(
        default=1, validator=_validate_positive
    )


@attrs.frozen
class Settings:
    """All settings of one instance.

    Attributes:
        instance_id: Name of the instance; unique.
        zone: Availability zone of the instance.
        platform: The platform's services.
        peers: Communication between instances.
        callers: The HTTP interface for callers.
        admin_listen: Address of the operators' HTTP port.
        claims: Idempotency claims.
        delivery: Attempts and streams.
        targets: Polling of targets.
        limits: Limits on admission and queueing.
        drain_grace_s: Time after SIGTERM in which new requests are still
            accepted, so that the balancer can detect the drain.
        drain_deadline_s: Time after SIGTERM at which the platform stops the
            process; None lets streams run to their end.
        log_level: Lowest level of events that are logged.
        seed: Seed of all random choices; None takes one from the
            operating system.
    """

    instance_id: str = attrs.field(validator=_validate_not_empty)
    zone: str = attrs.field(validator=_validate_not_empty)
    platform: Platform
    peers: Peers
    callers: Callers = attrs.field(factory=Callers)
    admin_listen: Address = attrs.field(factory=Address)
    claims: Claims = attrs.field(factory=Claims)
    delivery: Delivery = attrs.field(factory=Delivery)
    targets: Targets = attrs.field(factory=Targets)
    limits: Limits = attrs.field(factory=Limits)
    drain_grace_s: float = attrs.field(
        default=2.0, validator=_validate_not_negative
    )
    drain_deadline_s: float | None = None
    log_level: str = attrs.field(default='INFO', validator=_validate_log_level)
    seed: int | None = None
