"""Targets, their states and their load reports."""

import enum

import attrs


class TargetKind(enum.StrEnum):
    """What a target is."""

    ENGINE = 'engine'
    SERVICE = 'service'


class TargetState(enum.StrEnum):
    """Whether a target takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class Target:
    """One running back end.

    A target that comes back under the same address has another incarnation
    and is another target.

    Attributes:
        target_id: Name of the target in the instance list.
        incarnation: Number that differs between runs of the target.
        service: Name of the service that it belongs to.
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
        """The base of the target's HTTP URLs."""
        return f'http://{self.host}:{self.port}'


@attrs.frozen
class LoadReport:
    """What a target said of its own load, some time ago.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation that reported.
        state: Whether the target is leaving.
        running: Requests in the batch.
        waiting: Requests that wait for memory or a place in the batch.
        memory_used_tokens: Tokens held in the engine's memory.
        memory_total_tokens: Size of that memory; 0 for a plain service.
        measured_at_s: When it was measured, in wall seconds.
        models: Models that are loaded.
        adapters: Adapters that are loaded.
        version: Version of the weights.
        role: Role of the engine.
        fencing: Highest fencing number that was accepted.
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
