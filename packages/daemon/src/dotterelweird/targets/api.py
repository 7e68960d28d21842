"""Base classes of the adapters to targets."""

import abc
from collections.abc import AsyncIterator

import attrs

from dotterelweir_core.targets import model


@attrs.frozen
class GenerationRequest:
    """A request for one generation.

    Attributes:
        request_id: Unique id of the attempt; the engine echoes it.
        path: URL path, one of the two completion paths.
        body: JSON body with ``stream`` set to true.
        engine_priority: Priority at the engine; 0 is the most urgent.
        resume_window_s: How long the engine keeps the generation after the
            connection of its reader has closed, in seconds.
        timeout_s: Limit on the wait for the response headers, in seconds.
    """

    request_id: str
    path: str
    body: bytes
    engine_priority: int
    resume_window_s: float
    timeout_s: float


class EngineStream(abc.ABC):
    """An open event stream of one generation.

    Attributes:
        generation_id: Id of the generation at the engine.
        incarnation: Incarnation of the engine that responded.
        state: State that the engine reported in its response.
    """

    generation_id: str
    incarnation: int
    state: model.TargetState

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Returns the raw bytes of the event stream as they arrive.

        Raises:
            DotterelweirError: TARGET_FAILED if the connection breaks.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection; the engine keeps the generation."""


class EngineClient(abc.ABC):
    """Client of engines that generate with a model in batches.

    Methods raise ``DotterelweirError``: TARGET_UNREACHABLE (not run) if no
    connection was established, TARGET_REFUSED (not run) if the engine states
    that it did not run the request, MALFORMED_REQUEST if the engine rejects
    the request as invalid, and TARGET_FAILED (unknown) otherwise.
    """

    @abc.abstractmethod
    async def start(
        self, target: model.Target, request: GenerationRequest
    ) -> EngineStream:
        """Starts a generation and returns its stream."""

    @abc.abstractmethod
    async def resume(
        self,
        target: model.Target,
        generation_id: str,
        last_sequence: int,
        timeout_s: float,
    ) -> EngineStream:
        """Reopens the stream of a generation after the last received event.

        Args:
            target: The engine.
            generation_id: Id of the generation at the engine.
            last_sequence: Sequence number of the last received event; -1 if
                none was received.
            timeout_s: Limit on the wait for the response headers, in seconds.

        Raises:
            DotterelweirError: RESUME_EXPIRED if the engine no longer has the
                generation or another incarnation responded.
        """

    @abc.abstractmethod
    async def cancel(self, target: model.Target, generation_id: str) -> None:
        """Cancels a generation; succeeds also if it has already ended."""


@attrs.frozen
class ServiceRequest:
    """A call to a plain service.

    Attributes:
        request_id: Unique id of the attempt.
        method: HTTP method.
        path_and_query: URL path and query.
        headers: Headers of the caller that are forwarded.
        body: The whole body.
        timeout_s: Limit on the whole call, in seconds.
        repeatable: Whether a failed call may be sent again. If not, the call
            uses a new connection.
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
    """The complete response of a plain service.

    Attributes:
        status: HTTP status.
        headers: Headers to return to the caller.
        body: The whole body.
        state: State that the service reported in its response.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    state: model.TargetState


class ServiceClient(abc.ABC):
    """Client of plain services; raises errors as ``EngineClient`` does."""

    @abc.abstractmethod
    async def call(
        self, target: model.Target, request: ServiceRequest
    ) -> ServiceResponse:
        """Makes one call and returns the complete response."""


class LoadClient(abc.ABC):
    """Client that reads load reports of engines and plain services."""

    @abc.abstractmethod
    async def load(
        self, target: model.Target, timeout_s: float
    ) -> model.LoadReport:
        """Reads the load report of a target.

        Args:
            target: The target to poll.
            timeout_s: Limit on the whole read, in seconds.
        """
