"""Base classes of the adapters to targets."""

import abc
from collections.abc import AsyncIterator

import attrs

from dotterelweir_core.targets import model


@attrs.frozen
class GenerationRequest:
    """A request for one generation.

    Attributes:
        request_id: Unique name of the attempt; the engine echoes it.
        path: URL path, one of the two completion paths.
        body: JSON body with ``stream`` set to true.
        engine_priority: 0 is the most urgent.
        resume_window_s: How long the engine keeps the generation for a
            reader that has gone.
        timeout_s: Bound on the wait for response headers.
    """

    request_id: str
    path: str
    body: bytes
    engine_priority: int
    resume_window_s: float
    timeout_s: float


class EngineStream(abc.ABC):
    """The open stream of one generation.

    Attributes:
        generation_id: The engine's name of the generation.
        incarnation: Incarnation of the engine.
        state: Whether the engine says that it is leaving.
    """

    generation_id: str
    incarnation: int
    state: model.TargetState

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """The raw bytes of the event stream, as they arrive.

        Raises:
            DotterelweirError: TARGET_FAILED when the link breaks.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection; the engine keeps the generation."""


class EngineClient(abc.ABC):
    """A batching model engine.

    Methods raise ``DotterelweirError``: TARGET_UNREACHABLE (not run) when no
    connection was made, TARGET_REFUSED (not run) when the engine said so,
    TARGET_FAILED (unknown) otherwise.
    """

    @abc.abstractmethod
    async def start(
        self, target: model.Target, request: GenerationRequest
    ) -> EngineStream:
        """Starts a generation."""

    @abc.abstractmethod
    async def resume(
        self,
        target: model.Target,
        generation_id: str,
        last_sequence: int,
        timeout_s: float,
    ) -> EngineStream:
        """Opens the stream of a running generation again.

        Args:
            target: The engine.
            generation_id: The engine's name of the generation.
            last_sequence: Last event that was received; -1 for none.
            timeout_s: Bound on the wait for response headers.

        Raises:
            DotterelweirError: RESUME_EXPIRED if the engine does not have it.
        """

    @abc.abstractmethod
    async def cancel(self, target: model.Target, generation_id: str) -> None:
        """Cancels a generation; succeeds if it has ended already."""


@attrs.frozen
class ServiceRequest:
    """A call of a plain service.

    Attributes:
        request_id: Unique name of the attempt.
        method: HTTP method.
        path_and_query: URL path and query.
        headers: Headers to pass on.
        body: The whole body.
        timeout_s: Bound on the whole call.
        repeatable: Whether a failed call may be sent again; if not, a fresh
            connection is used.
    """

    request_id: str
    method: str
    path_and_query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    repeatable: bool


@attrs.frozen
class ServiceResponse:
    """The whole answer of a plain service.

    Attributes:
        status: HTTP status.
        headers: Headers to pass back.
        body: The whole body.
        state: Whether the service says that it is leaving.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    state: model.TargetState


class ServiceClient(abc.ABC):
    """A plain service. Errors as for ``EngineClient``."""

    @abc.abstractmethod
    async def call(
        self, target: model.Target, request: ServiceRequest
    ) -> ServiceResponse:
        """Makes one call."""


class LoadClient(abc.ABC):
    """Reads load reports from targets of either kind."""

    @abc.abstractmethod
    async def load(
        self, target: model.Target, timeout_s: float
    ) -> model.LoadReport:
        """Reads the load report of a target."""
