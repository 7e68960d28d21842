"""Which software version began a stream that a caller takes up again.

Engines of several software versions may serve side by side, and a stream may
go on only at the version that began it. The callers' next attempts reach other
instances, also after the instance that served the stream was killed.

While a service has one version, nothing has to be known of a stream. Otherwise
each instance sends the origins of its streams to a few holders, ranked by the
id of the attempt that began the stream, and an instance that is asked for a
stream that it does not know asks these. The load that this answers: a few
streams a second at each instance, and thousands taken up in the seconds after
many instances are killed during a release.
"""

from collections.abc import Iterable
import hashlib

import attrs

from dotterelweir_core import bounded_map
from dotterelweir_core.gateway import targets

# Number of instances that hold the origin of a stream, besides the one that
# serves it. With half of the instances killed at once, one of four is left in
# 15 of 16 cases.
HOLDERS = 4
# Number of instances that are asked. It is larger than the number of holders,
# as instances that have joined since change the ranks.
ASKED = 8
# Maximum number of origins that are kept; the oldest are evicted first.
_ORIGINS_MAX = 8_192
# Longest time for which an engine serves on after another one was started in
# its place, in seconds.
_REPLACEMENT_S = 15.0


@attrs.frozen
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Name of the service.
        software_version: Version of the engine's software.
    """

    service: str
    software_version: str


@attrs.frozen
class OriginStatement:
    """States where a stream began.

    Attributes:
        request_id: Id of the attempt that brought its first event.
        origin: Where it began.
        lifetime_s: Time for which callers may take it up, in seconds.
    """

    request_id: str
    origin: StreamOrigin
    lifetime_s: float


@attrs.frozen
class OriginNews:
    """Tells a holder where streams began.

    Attributes:
        statements: A statement for each stream.
    """

    statements: tuple[OriginStatement, ...]


@attrs.frozen
class OriginQuery:
    """Asks an instance where a stream began.

    Attributes:
        number: Number of the query at the instance that sends it.
        request_id: Id of the attempt that brought the first event; empty if
            the caller does not name it.
        service: Name of the service that the caller's request is routed to.
        lifetime_s: Longest time since the stream began, in seconds.
    """

    number: int
    request_id: str
    service: str
    lifetime_s: float


@attrs.frozen
class KnownVersions:
    """Versions of a service in the time in which a stream can have begun.

    Attributes:
        versions: The versions, as far as an instance knows.
        is_complete: Whether the instance knows all of them.
    """

    versions: frozenset[str] = frozenset()
    is_complete: bool = False

    @property
    def only(self) -> str | None:
        """The only version; None if there may be others."""
        if self.is_complete and len(self.versions) == 1:
            return next(iter(self.versions))
        return None


@attrs.frozen
class OriginAnswer:
    """Answers such a query.

    Attributes:
        number: Number of the query.
        origin: Where the stream began; None if the instance does not know.
        known: What the instance knows of the versions of the service.
    """

    number: int
    origin: StreamOrigin | None
    known: KnownVersions = KnownVersions()


@attrs.define
class _Entry:
    """Origin of a stream, until the time at which it is dropped."""

    statement: OriginStatement
    expires_s: float
    is_own: bool


class OriginRegistry:
    """Origins of streams that began at this instance or at others."""

    def __init__(self) -> None:
        self._entries: bounded_map.BoundedMap[str, _Entry] = (
            bounded_map.BoundedMap(_ORIGINS_MAX)
        )

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self, statement: OriginStatement, now_s: float, is_own: bool = False
    ) -> None:
        """Records where a stream began, or that it goes on.

        Args:
            statement: The statement.
            now_s: Monotonic time, in seconds.
            is_own: Whether this instance serves the stream.
        """
        self._drop_expired(now_s)
        self._entries.put(
            statement.request_id,
            _Entry(statement, now_s + statement.lifetime_s, is_own),
        )

    def find(self, request_id: str, now_s: float) -> StreamOrigin | None:
        """Returns where a stream began; None if that is not known.

        Args:
            request_id: Id of the attempt that brought its first event.
            now_s: Monotonic time, in seconds.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.expires_s <= now_s:
            return None
        return entry.statement.origin

    def own_statements(
        self, service: str, now_s: float
    ) -> tuple[OriginStatement, ...]:
        """Returns the statements about the streams of this instance.

        Args:
            service: Name of the service.
            now_s: Monotonic time, in seconds.
        """
        return tuple(
            entry.statement
            for entry in self._entries.values()
            if entry.is_own
            and entry.expires_s > now_s
            and entry.statement.origin.service == service
        )

    def _drop_expired(self, now_s: float) -> None:
        """Drops expired entries from the oldest on, up to one that lasts."""
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.expires_s > now_s:
                return
            self._entries.popitem(last=False)


class VersionHistory:
    """Software versions that the services had lately.

    Args:
        directory: The registered targets.
    """

    def __init__(self, directory: targets.TargetDirectory) -> None:
        self._directory = directory
        # Monotonic times at which the last target of a version was lost, in
        # seconds, by service and version.
        self._lost_s: dict[str, dict[str, float]] = {}
        # Monotonic time since which the directory is complete, in seconds.
        self._complete_since_s: float | None = None

    def begin(self, now_s: float) -> None:
        """Records that the directory is complete; later calls do nothing.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._complete_since_s is None:
            self._complete_since_s = now_s

    def apply(self, change: targets.TargetChange, now_s: float) -> bool:
        """Applies a change of a target.

        Args:
            change: The change, which the directory holds already.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the service has a version that it did not have before,
            beside another one.
        """
        before, after = change.before, change.after
        if before is not None and not self._is_registered(before):
            lost_s = self._lost_s.setdefault(before.service, {})
            lost_s[before.software_version] = now_s
        if after is None or _version(before) == _version(after):
            return False
        others = [
            target
            for target in self._directory.of_service(after.service)
            if target.target_id != after.target_id
        ]
        return bool(others) and not any(
            target.software_version == after.software_version
            for target in others
        )

    def versions(
        self, service: str, lifetime_s: float, now_s: float
    ) -> set[str]:
        """Returns the versions that a service has, or had lately.

        Args:
            service: Name of the service.
            lifetime_s: Time that counts as lately, in seconds.
            now_s: Monotonic time, in seconds.
        """
        found = {
            target.software_version
            for target in self._directory.of_service(service)
        }
        for version, lost_s in self._lost_s.get(service, {}).items():
            if now_s - lost_s <= lifetime_s:
                found.add(version)
        return found

    def is_complete(self, lifetime_s: float, now_s: float) -> bool:
        """Whether the targets have been followed for some time.

        Args:
            lifetime_s: The time, in seconds.
            now_s: Monotonic time, in seconds.
        """
        since_s = self._complete_since_s
        return since_s is not None and now_s - since_s >= lifetime_s

    def is_calm(self, service: str, lifetime_s: float, wall_s: float) -> bool:
        """Whether no version is likely to have left lately.

        An instance that has just started cannot have seen a version leave.
        The engines of a version leave when others take their place, so none
        has left if no engine has started lately.

        Args:
            service: Name of the service.
            lifetime_s: Time that counts as lately, in seconds.
            wall_s: Wall time, in seconds.
        """
        calm_since_ms = 1000 * (wall_s - lifetime_s - _REPLACEMENT_S)
        registered = self._directory.of_service(service)
        # A start that is not stated may be a recent one.
        return self._complete_since_s is not None and all(
            0 < target.started_ms <= calm_since_ms for target in registered
        )

    def _is_registered(self, target: targets.Target) -> bool:
        """Whether a target of the same service and version is registered."""
        return any(
            other.software_version == target.software_version
            for other in self._directory.of_service(target.service)
        )


def _version(target: targets.Target | None) -> tuple[str, str] | None:
    if target is None:
        return None
    return target.service, target.software_version


def rank_holders(
    instance_ids: Iterable[str], request_id: str, count: int
) -> list[str]:
    """Returns the instances that hold the origin of a stream, in order.

    Args:
        instance_ids: Ids of the instances.
        request_id: Id of the attempt that brought its first event.
        count: Maximum number of instances.
    """
    ranked = sorted(
        instance_ids,
        key=lambda instance_id: hashlib.blake2b(
            f'{instance_id}\0{request_id}'.encode(), digest_size=8
        ).digest(),
    )
    return ranked[:count]
