"""Targets, their states and their load reports."""

import enum

import attrs


class TargetKind(enum.StrEnum):
    """The kind of back end that a target runs."""

    ENGINE = 'engine'
    SERVICE = 'service'


class TargetState(enum.StrEnum):
    """Whether a target accepts new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class Target:
    """One running back end.

    A target that restarts at the same address has another incarnation and
    counts as another target.

    Attributes:
        target_id: Name of the target in the instance list.
        incarnation: Number that differs between runs of the target.
        service: Name of the service that the target belongs to.
        zone: Availability zone.
        host: IP address.
        port: TCP port.
    """

    target_id: str
    incarnation: int
    service: str
    zone: str
    host: str
    port: int

    @property
    def base_url(self) -> str:
        """The base URL of the target's HTTP interface."""
        return f'http://{self.host}:{self.port}'


@attrs.frozen
class LoadReport:
    """The load of a target, as the target measured it.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation that sent the report.
        state: Whether the target accepts new work or is leaving.
        running: Number of requests in the batch.
        waiting: Number of requests that wait for memory or for a slot in
            the batch.
        memory_used_tokens: Tokens held in the engine's memory.
        memory_total_tokens: Size of the engine's memory in tokens; 0 for a
            plain service.
        measured_at_s: Wall-clock time of the measurement, in seconds.
        models: Names of the loaded models.
        adapters: Names of the loaded adapters.
        version: Version of the weights.
        role: Role of the engine.
        fencing: Highest fencing token that the target has accepted.
    """

    target_id: str
    incarnation: int
    state: TargetState = TargetState.LIVE
    running: int = 0
    waiting: int = 0
    memory_used_tokens: int = 0
    memory_total_tokens: int = 0
    measured_at_s: float = 0.0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ''
    role: str = ''
    fencing: int = 0
